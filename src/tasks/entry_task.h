#pragma once

#include "daemon/settings.h"
#include "ends/http_server.h"
#include "ends/mailbox.h"
#include "ends/metrics.h"
#include "ends/peer_links.h"
#include "tasks/control_session.h"

#include <carawayloft/request/request_pipe.h>

#include <random>

namespace carawayloft {

/** Serves callers. Owns their connections and the connections to lead agents, and runs one request pipe. */
class entry_task
{
public:
    /** Fails if the configured address cannot be listened on. @p onStopped is called once, when a stop has finished. */
    static result<std::unique_ptr<entry_task>> create(asio::io_context &context, const settings &loaded, std::function<void()> onStopped);

    /** Begins a planned stop. Thread-safe; further calls have no effect. */
    void stop();

private:
    struct stop_requested {
    };

    /** The answer to one request, until it has been sent in full. */
    struct pending_answer {
        std::shared_ptr<http_exchange> exchange;
        std::uint32_t status = 0;
        std::string contentType;
        std::string buffered; /**< The answer so far, while it may still be sent with a known length. */
        bool streaming = false;
    };

    entry_task(asio::io_context &context, const settings &loaded, std::function<void()> onStopped);

    void serve(http_request request, std::shared_ptr<http_exchange> exchange);
    /** Returns whether the path is one that this process answers itself. */
    bool serveBuiltInPath(const http_request &request, http_exchange &exchange);
    result<caller_request> decodeRequest(const http_request &request) const;
    void accept(caller_request request, std::shared_ptr<http_exchange> exchange);
    void reject(http_exchange &exchange, const reject_request &answer);
    void beginStop();
    void stopTimedOut();

    void run(const request_pipe_input &in);
    template<control_output Output>
    void execute(const Output &out)
    {
        m_control.execute(out);
    }
    void execute(const reject_request &out);
    void execute(const start_answer &out);
    void execute(const continue_answer &out);
    void execute(const finish_answer &out);
    void execute(const abort_answer &out);
    void execute(const send_to_agent &out);
    void execute(const set_agent_connections &out);
    void execute(const route_chosen &out);
    void execute(const route_unavailable &out);
    void execute(const group_ejected &out);
    void execute(const group_probed &out);
    void execute(const request_retried &out);
    void execute(const stream_resumed &out);
    void execute(const claim_decided &out);
    void execute(const requests_drained &out);
    void execute(const request_latency_measured &out);

    void writeChunk(pending_answer &answer, request_id request, const std::string &bytes);
    void handleAgentEvent(const endpoint &agent, link_event event);

    asio::io_context &m_context;
    settings m_settings;
    std::function<void()> m_onStopped;
    timer_service m_timers;
    metrics m_metrics;
    request_pipe m_pipe;
    std::mt19937_64 m_random;
    std::map<request_id, pending_answer> m_answers;
    std::unique_ptr<http_server> m_httpServer;
    peer_links m_agentLinks;
    control_session m_control;
    mailbox<stop_requested> m_mailbox;
    std::function<void(stop_requested)> m_sendStop;
    timer_service::subscription m_tickTimer;
    timer_service::subscription m_stopTimer;
    bool m_stopping = false;
};

} // namespace carawayloft
