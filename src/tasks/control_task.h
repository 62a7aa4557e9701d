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
#include "tasks/malformed_answers.h"
#include "tasks/replica_directory.h"

#include <carawayloft/control/cluster_formation.h>
#include <carawayloft/control/control_pipe.h>
#include <carawayloft/fleet/fleet_pipe.h>

#include <random>

namespace carawayloft {

/** A control replica: owns the data folder, the connections and the operators' HTTP interface, and runs the control and fleet pipes. */
class control_task
{
public:
    /** Fails on damaged files and on addresses that cannot be listened on. @p onEnded is called once, with false if the task ended because of a failure. */
    static result<std::unique_ptr<control_task>>
    create(asio::io_context &context, const settings &loaded, const front_end *frontEnd, std::function<void(bool)> onEnded);

    /** Adds control replicas to connect to. Thread-safe. */
    void addReplicas(std::vector<control_peer> replicas);

    /** Begins a planned stop; further calls have no effect. Thread-safe. */
    void stop();

private:
    struct stop_requested {
    };
    struct replicas_added {
        std::vector<control_peer> replicas;
    };
    using task_message = std::variant<stop_requested, replicas_added>;

    /** An HTTP request that is answered once the replicated log has committed the change or confirmed the read. */
    struct waiting_request {
        std::shared_ptr<http_exchange> exchange;
        std::function<http_response(revision at)> makeResponse;
        std::string subject; /**< What an operator asked for; empty if the answer is not logged. */
        time_point receivedAt;
    };

    control_task(asio::io_context &context, const settings &loaded, const front_end *frontEnd, std::function<void(bool)> onEnded);

    // Recovery and formation of the log.
    status openDataFolder();
    status listen();
    status startLog(replica_id self, recovered_log recovered);
    void runFormation(const formation_input &in);
    void execute(const probe_peer &out);
    void execute(const form_log &out);
    void execute(const join_log &out);
    status formLog();
    status joinLog();
    status storeIdentity(replica_id self);
    void requestJoin();
    log_member ownMember() const;
    /** Whether the message is for this replica as it was before it lost its disk. */
    bool isForEarlierDisk(const log_traffic &traffic) const;
    void handle(const stop_requested &);
    void handle(const replicas_added &in);
    void addReplica(const control_peer &replica);
    void addLogMembers();
    void sendLeaderAddress(const log_member &joining);

    /** Whether the log has had an election or this replica joined an existing log. */
    bool isFormed() const;

    // Connections.
    void handleLinkEvent(const std::shared_ptr<frame_link> &link, link_event event);
    void handlePeerEvent(const endpoint &peer, link_event event);
    void handleMessage(const std::shared_ptr<frame_link> &link, peer_message message);

    // The control pipe. Its outputs are executed in batches, so that one disk sync covers all inputs that arrived meanwhile.
    void run(const control_pipe_input &in);
    void flush();
    std::vector<disk_operation> operationsOf(const std::vector<control_pipe_output> &outputs);
    void store();
    void handleDiskFailure(const error &failure);
    void stopOnFailure(const error &failure);

    /** Whether outputs wait until the disk, which is full, has room. Nothing is acknowledged, led or granted meanwhile. */
    bool isWaitingForDisk() const
    {
        return m_diskFullSince.has_value();
    }
    void execute(const send_to_replica &out);
    void execute(const send_to_link &out);
    void execute(const operator_reply &out);
    void execute(const role_changed &out);
    void execute(const change_applied &out);
    void execute(const change_in_force &out);
    void execute(const placement_proposed &out);
    void execute(const hosts_stranded &out);
    void execute(const members_changed &out);
    void execute(const log_compacted &out);
    void execute(const control_drained &out);
    /** flush() has stored these outputs already. */
    template<class Persisted>
    void execute(const Persisted &)
    {
    }

    // The fleet pipe, which controls the backend servers.
    void runFleet(const fleet_pipe_input &in);
    void stepFleet(const fleet_pipe_input &in);
    void updateLeaderLease();
    void execute(const publish_to_gateway &out);
    void execute(const grant_to_gateway &out);
    void execute(const mirror_fleet &out);
    void execute(const send_engine_order &out);
    void execute(const probe_backend &out);
    void execute(const log_backend_change &out);
    void execute(const group_changed &out);
    void execute(const group_retired &out);
    void execute(const group_records_proposed &out);
    void execute(const model_assessed &out);
    void execute(const crash_recorded &out);
    void execute(const trait_suspected &out);
    void execute(const quarantine_proposed &out);
    void execute(const quarantine_expired &out);
    void updateFleetLeadership();
    void updateFleetConfiguration();
    void handleGatewayReport(link_id gateway, const gateway_report &report);
    bool isActiveFleetLeader() const;
    void reportReplacedFigures(const service_configuration &configuration);
    std::vector<endpoint> replicaFrameEndpoints() const;

    // Requests through the installation's front end.
    /** Returns false if the request does not belong to the front end. */
    bool serveFrontEnd(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    /** Returns the status of the answer. */
    std::uint32_t redirectToLeader(const http_request &request, http_exchange &exchange) const;
    void serveControlRequest(const configuration_change &request, const std::shared_ptr<http_exchange> &exchange);
    void serveControlRequest(const configuration_query &request, const std::shared_ptr<http_exchange> &exchange);
    void serveControlRequest(const zone_change &request, const std::shared_ptr<http_exchange> &exchange);
    void serveControlRequest(const backend_check_in &request, const std::shared_ptr<http_exchange> &exchange);
    void serveControlRequest(const backend_departure &request, const std::shared_ptr<http_exchange> &exchange);
    void confirmDeparture(const departure_record &departure, const http_response &response, const std::shared_ptr<http_exchange> &exchange);

    // The operators' HTTP interface.
    void serve(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void serveRead(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    void serveCommand(const http_request &request, const std::shared_ptr<http_exchange> &exchange);
    operator_request_token
    addWaitingRequest(const std::shared_ptr<http_exchange> &exchange, std::function<http_response(revision)> makeResponse, std::string subject = {});
    void respondError(http_exchange &exchange, const error &failure);
    std::string renderMetrics();
    endpoint leaderHttp() const;

    asio::io_context &m_context;
    settings m_settings;
    const front_end *m_frontEnd = nullptr; /**< The installation's HTTP interface, served beside the built-in one; may be null. */
    replica_directory m_directory;
    std::function<void(bool)> m_onEnded;
    timer_service m_timers;
    metrics m_metrics;
    malformed_answers m_malformedAnswers{m_metrics};
    std::mt19937_64 m_random;
    std::unique_ptr<data_folder> m_folder;
    log_store m_store;
    std::optional<cluster_formation> m_formation;
    std::optional<control_pipe> m_pipe;
    replica_id m_self;
    std::vector<control_pipe_output> m_pendingOutputs;
    std::vector<control_pipe_output> m_unstoredOutputs; /**< To be executed once m_diskOperations are done. */
    std::vector<disk_operation> m_diskOperations;
    std::vector<control_pipe_input> m_deferredInputs; /**< Arrived while the disk was full. */
    std::optional<time_point> m_diskFullSince;
    timer_service::subscription m_diskTimer;
    bool m_flushPosted = false;
    bool m_failed = false;
    link_table m_links;
    std::map<operator_request_token, waiting_request> m_waitingRequests;
    operator_request_token m_lastOperatorToken;
    std::map<service_id, std::size_t> m_strandedHosts;
    std::unique_ptr<frame_listener> m_listener;
    std::unique_ptr<http_server> m_http;
    std::unique_ptr<http_server> m_metricsHttp;
    fleet_pipe m_fleet;
    bool m_isFleetLeader = false;
    bool m_holdsLeaderLease = false; /**< As the fleet pipe was told last. */
    configuration_version m_configurationVersion;
    std::set<availability_zone_id> m_zonesOutOfService;
    std::set<service_trait> m_quarantinedTraits;
    std::vector<departure_record> m_departures;
    revision m_engineGroupsRevision; /**< Of the groups that the fleet pipe was told last. */
    revision m_publishedRevision; /**< All changes up to this revision have been sent to the subscribers. */
    peer_links m_peers;
    std::unique_ptr<http_client> m_engineClient;
    mailbox<task_message> m_mailbox;
    std::function<void(task_message)> m_send;
    timer_service::subscription m_tick;
    timer_service::subscription m_joinTick;
    timer_service::subscription m_shutdownTimer;
    bool m_stopping = false;
};

} // namespace carawayloft
