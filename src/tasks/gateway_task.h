#pragma once

#include "daemon/settings.h"
#include "ends/http_server.h"
#include "ends/mailbox.h"
#include "ends/metrics.h"
#include "tasks/control_session.h"
#include "tasks/front_end.h"
#include "tasks/malformed_answers.h"

#include <carawayloft/gateway/gateway_pipe.h>

namespace carawayloft {

/** Forwards callers' requests directly to backend servers. Owns the connections to both and runs one gateway pipe. */
class gateway_task
{
public:
    /** Fails if a configured address cannot be listened on. @p onStopped is called once, when a stop has finished. */
    static result<std::unique_ptr<gateway_task>>
    create(asio::io_context &context, const settings &loaded, const front_end &frontEnd, std::function<void()> onStopped);

    /** Adds control replicas to connect to. Thread-safe. */
    void addReplicas(std::vector<control_peer> replicas);

    /** Begins a planned stop. Thread-safe; further calls have no effect. */
    void stop();

private:
    struct stop_requested {
    };
    struct replicas_added {
        std::vector<control_peer> replicas;
    };
    using task_message = std::variant<stop_requested, replicas_added>;

    /** A caller's request that has not been answered in full, and the exchange to answer it on. */
    struct pending_request {
        http_request request;
        std::shared_ptr<http_exchange> exchange;
        std::string callerRequestId;
    };
    /** A call to a backend server that has not finished. */
    struct pending_call {
        http_call_id http;
        request_id request;
        backend_id backend;
        http_started head;
    };

    gateway_task(asio::io_context &context, const settings &loaded, const front_end &frontEnd, std::function<void()> onStopped);

    status listen();
    void serve(http_request request, std::shared_ptr<http_exchange> exchange);
    void handle(const stop_requested &);
    void handle(const replicas_added &in);
    void handleControlMessage(peer_message message);
    /** Stops listening and completes the requests in flight. Called after the delay in which callers are to go to other gateways. */
    void drain();
    void finishStop();
    std::string renderMetrics();

    void run(const gateway_pipe_input &in);
    template<control_output Output>
    void execute(const Output &out)
    {
        m_control.execute(out);
    }
    void execute(const revision_in_force &out);
    void execute(const call_backend &out);
    void execute(const cancel_call &out);
    void execute(const pause_call &out);
    void execute(const begin_stream &out);
    void execute(const send_whole_answer &out);
    void execute(const continue_answer &out);
    void execute(const finish_answer &out);
    void execute(const abort_answer &out);
    void execute(const reject_request &out);
    void execute(const probe_backend &out);
    void execute(const requests_drained &out);
    void execute(const backend_chosen &out);
    void execute(const admission_refused &out);
    void execute(const call_repeated &out);
    void execute(const unanswered_call_lost &out);
    void execute(const backend_limit_observed &out);
    void execute(const backend_leaving_observed &out);
    void execute(const backend_refusal_observed &out);
    void execute(const group_suspended &out);
    void execute(const request_ended &out);
    void execute(const serving_lease_changed &out);

    void handleBackendEvent(backend_call_id call, http_event event);
    http_response answerHead(const pending_call &call) const;
    const std::string &callerRequestIdOf(request_id request) const;

    asio::io_context &m_context;
    settings m_settings;
    const front_end &m_frontEnd;
    std::function<void()> m_onStopped;
    timer_service m_timers;
    metrics m_metrics;
    malformed_answers m_malformedAnswers{m_metrics};
    gateway_pipe m_pipe;
    request_id m_lastRequest;
    std::map<request_id, pending_request> m_requests;
    std::map<backend_call_id, pending_call> m_calls;
    configuration_version m_version;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<http_server> m_callerServer;
    std::unique_ptr<http_server> m_readinessServer;
    std::unique_ptr<http_server> m_metricsServer;
    control_session m_control;
    mailbox<task_message> m_mailbox;
    std::function<void(task_message)> m_send;
    timer_service::subscription m_tickTimer;
    timer_service::subscription m_drainTimer;
    timer_service::subscription m_stopTimer;
    timer_service::subscription m_flushTimer;
    time_point m_rejectFrom; /**< During a stop, requests that arrive from this time on are rejected. */
    bool m_stopping = false;
    bool m_stopFinished = false;
};

} // namespace carawayloft
