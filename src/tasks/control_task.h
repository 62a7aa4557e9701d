#pragma once

#include "daemon/settings.h"
#include "ends/data_folder.h"
#include "ends/frame_listener.h"
#include "ends/http_server.h"
#include "ends/link_table.h"
#include "ends/mailbox.h"
#include "ends/metrics.h"
#include "ends/peer_links.h"
#include "tasks/front_end.h"
#include "tasks/replica_directory.h"

#include <carawayloft/fleet/fleet_pipe.h>
#include <carawayloft/order/cluster_formation.h>
#include <carawayloft/order/control_pipe.h>

#include <random>

namespace carawayloft {

/** A control replica: owns its disk, its connections and its operators' page, and hosts one order pipe. */
class control_task
{
public:
    /** Fails on damaged files and on addresses that cannot be listened on. @p ended is called once, with whether all went well. */
    static result<std::unique_ptr<control_task>>
    create(asio::io_context &context, const settings &loaded, const front_end *front, std::function<void(bool)> ended);

    /** More control replicas are known; safe from any thread. */
    void addReplicas(std::vector<control_peer> replicas);

    /** Begins a planned stop; safe from any thread, and a second call changes nothing. */
    void stop();

private:
    struct stop_requested {
    };
    struct replicas_added {
        std::vector<control_peer> replicas;
    };
    using task_message = std::variant<stop_requested, replicas_added>;

    /** An operator who waits for an answer, and what to answer with when the log agrees. */
    struct waiting_operator {
        std::shared_ptr<http_exchange> exchange;
        std::function<http_response(revision at)> answer;
    };

    control_task(asio::io_context &context, const settings &loaded, const front_end *front, std::function<void(bool)> ended);

    // Start.
    status openFolder();
    status listen();
    status startLog(replica_id self, recovered_log recovered);
    void runFormation(const formation_input &in);
    void execute(const probe_peer &out);
    void execute(const form_log &out);
    void execute(const join_log &out);
    status formLog();
    status joinLog();
    status storeIdentity(replica_id self);
    void askToJoin();
    void take(const stop_requested &);
    void take(const replicas_added &in);
    void addReplica(const control_peer &replica);
    void learnMembers();
    void introduceLeader(const log_member &joining);

    /** Whether this replica's log has seen an election, or came in later. */
    bool isFormed() const;

    // Frames.
    void linkEvent(const std::shared_ptr<frame_link> &link, link_event event);
    void peerEvent(const endpoint &peer, link_event event);
    void received(const std::shared_ptr<frame_link> &link, peer_message message);

    // The pipe. Outputs are acted on together, so that one sync covers all that came in meanwhile.
    void run(const control_pipe_input &in);
    void flush();
    void replicaStopped(const error &why);
    void execute(const send_to_replica &out);
    void execute(const send_to_link &out);
    void execute(const operator_reply &out);
    void execute(const role_changed &out);
    void execute(const change_applied &out);
    void execute(const change_in_force &out);
    void execute(const placement_proposed &out);
    void execute(const hosts_stranded &out);
    void execute(const log_compacted &out);
    void execute(const control_drained &out);
    template<class Persisted>
    void execute(const Persisted &)
    {
    }

    // The fleet of backend servers.
    void runFleet(const fleet_pipe_input &in);
    void execute(const publish_to_gateway &out);
    void execute(const grant_to_gateway &out);
    void execute(const mirror_fleet &out);
    void execute(const send_engine_order &out);
    void execute(const probe_backend &out);
    void execute(const log_backend_change &out);
    void execute(const group_changed &out);
    void execute(const group_retired &out);
    void lookAtLeadership();
    void lookAtConfiguration();
    void gatewayReported(link_id gateway, const gateway_report &report);
    bool leadsFleet() const;
    std::vector<endpoint> replicaFrames() const;

    // What the front end asks.
    bool serveFrontEnd(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void redirectToLeader(const http_request &request, http_exchange &exchange) const;
    void serveCall(const configuration_change &call, const std::shared_ptr<http_exchange> &exchange);
    void serveCall(const configuration_query &call, const std::shared_ptr<http_exchange> &exchange);
    void serveCall(const zone_change &call, const std::shared_ptr<http_exchange> &exchange);
    void serveCall(const backend_check_in &call, const std::shared_ptr<http_exchange> &exchange);
    void serveCall(const backend_departure &call, const std::shared_ptr<http_exchange> &exchange);

    // Operators.
    void serve(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void serveRead(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void serveCommand(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    operator_request_token wait(const std::shared_ptr<http_exchange> &exchange, std::function<http_response(revision)> answer);
    void respondError(http_exchange &exchange, const error &why);
    std::string renderMetrics();
    endpoint leaderHttp() const;

    asio::io_context &m_context;
    settings m_settings;
    const front_end *m_frontEnd = nullptr; /**< Of the installation, beside the own interface; may be null. */
    replica_directory m_directory;
    std::function<void(bool)> m_ended;
    timer_service m_timers;
    metrics m_metrics;
    std::mt19937_64 m_random;
    std::unique_ptr<data_folder> m_folder;
    log_store m_store;
    std::optional<cluster_formation> m_formation;
    std::optional<control_pipe> m_pipe;
    replica_id m_self;
    std::vector<control_pipe_output> m_pending;
    bool m_flushPosted = false;
    bool m_failed = false;
    bool m_joining = false;
    link_table m_links;
    std::map<operator_request_token, waiting_operator> m_operators;
    operator_request_token m_lastOperator;
    std::map<service_id, std::size_t> m_stranded;
    std::unique_ptr<frame_listener> m_listener;
    std::unique_ptr<http_server> m_http;
    std::unique_ptr<http_server> m_metricsHttp;
    fleet_pipe m_fleet;
    bool m_leadsFleet = false;
    configuration_version m_fleetVersion;
    std::set<availability_zone_id> m_zonesOut;
    revision m_publishedAt; /**< Up to which all has been sent to subscribers. */
    log_index m_membersSeenAt;
    peer_links m_peers;
    std::unique_ptr<http_client> m_engines;
    mailbox<task_message> m_mailbox;
    std::function<void(task_message)> m_send;
    timer_service::subscription m_tick;
    timer_service::subscription m_joinTick;
    timer_service::subscription m_endTimer;
    bool m_stopping = false;
};

} // namespace carawayloft
