#pragma once

#include "daemon/settings.h"
#include "ends/http_server.h"
#include "ends/mailbox.h"
#include "ends/metrics.h"
#include "tasks/control_session.h"
#include "tasks/front_end.h"

#include <carawayloft/gateway/gateway_pipe.h>

namespace carawayloft {

/** Serves callers straight from backend servers: owns the connections to both, and hosts one gateway pipe. */
class gateway_task
{
public:
    /** Fails when an address of the settings cannot be listened on. @p drained is called once after a stop. */
    static result<std::unique_ptr<gateway_task>>
    create(asio::io_context &context, const settings &loaded, const front_end &front, std::function<void()> drained);

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

    /** One request of a caller and the answering side of it. */
    struct open_request {
        http_request request;
        std::shared_ptr<http_exchange> exchange;
        std::string name; /**< The caller's own id of the request. */
    };
    /** One call to a backend server. */
    struct open_call {
        http_call_id http;
        request_id request;
        http_started head;
    };

    gateway_task(asio::io_context &context, const settings &loaded, const front_end &front, std::function<void()> drained);

    status listen();
    void serve(http_request request, std::shared_ptr<http_exchange> exchange);
    void handle(const stop_requested &);
    void handle(const replicas_added &in);
    void leave();
    void end();
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
    void execute(const begin_stream &out);
    void execute(const send_whole_answer &out);
    void execute(const continue_answer &out);
    void execute(const finish_answer &out);
    void execute(const abort_answer &out);
    void execute(const reject_request &out);
    void execute(const probe_backend &out);
    void execute(const requests_drained &out);
    void execute(const backend_chosen &out);
    void execute(const call_repeated &out);
    void execute(const group_suspended &out);
    void execute(const request_ended &out);
    void execute(const serving_lease_changed &out);

    void backendEvent(backend_call_id call, http_event event);
    http_response answerHead(const open_call &call) const;
    const std::string &nameOf(request_id request) const;

    asio::io_context &m_context;
    settings m_settings;
    const front_end &m_frontEnd;
    std::function<void()> m_drained;
    timer_service m_timers;
    metrics m_metrics;
    gateway_pipe m_pipe;
    request_id m_lastRequest;
    std::map<request_id, open_request> m_requests;
    std::map<backend_call_id, open_call> m_calls;
    configuration_version m_version;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_metricsHttp;
    control_session m_control;
    mailbox<task_message> m_mailbox;
    std::function<void(task_message)> m_send;
    timer_service::subscription m_tick;
    timer_service::subscription m_leaveTimer;
    timer_service::subscription m_stopBound;
    timer_service::subscription m_endTimer;
    time_point m_refusesFrom; /**< While it stops. */
    bool m_stopping = false;
    bool m_ended = false;
};

} // namespace carawayloft
