#pragma once

#include "daemon/settings.h"
#include "ends/frame_listener.h"
#include "ends/http_client.h"
#include "ends/http_server.h"
#include "ends/link_table.h"
#include "ends/mailbox.h"
#include "ends/metrics.h"
#include "ends/peer_links.h"
#include "tasks/control_session.h"
#include "tasks/malformed_answers.h"

#include <carawayloft/backend/backend_pipe.h>

namespace carawayloft {

/** Runs on the host of one backend server. Owns all connections to that server and runs one backend pipe. */
class agent_task
{
public:
    /** Fails if a configured address cannot be listened on. @p onStopped is called once, when a stop has finished. */
    static result<std::unique_ptr<agent_task>> create(asio::io_context &context, const settings &loaded, std::function<void()> onStopped);

    /** Begins a planned stop. Thread-safe; further calls have no effect. */
    void stop();

private:
    struct stop_requested {
    };

    agent_task(asio::io_context &context, const settings &loaded, std::function<void()> onStopped);

    void handleLinkEvent(const std::shared_ptr<frame_link> &link, link_event event);
    void serve(const http_request &request, http_exchange &exchange);
    void handleAnnouncement(const http_request &request, http_exchange &exchange);
    void pollBackend();
    /** An answer to a poll of the backend server's load. */
    struct load_answer {
        std::uint32_t status = 0;
        std::string body;
    };
    void handleLoadAnswer(const load_answer &answer);
    void recordFailedPoll();
    void beginStop();
    void stopTimedOut();

    void run(const backend_pipe_input &in);
    template<control_output Output>
    void execute(const Output &out)
    {
        m_control.execute(out);
    }
    void execute(const send_to_link &out);
    void execute(const send_to_member &out);
    void execute(const start_backend_call &out);
    void execute(const cancel_backend_call &out);
    void execute(const pause_backend_call &out);
    void execute(const send_serve_order &out);
    void execute(const group_complete &out);
    void execute(const group_incomplete &out);
    void execute(const limit_changed &out);
    void execute(const work_rejected &out);
    void execute(const member_lease_refused &out);
    void execute(const control_lease_changed &out);
    void execute(const backend_changed &out);
    void execute(const agent_drained &out);

    asio::io_context &m_context;
    settings m_settings;
    std::function<void()> m_onStopped;
    timer_service m_timers;
    metrics m_metrics;
    malformed_answers m_malformedAnswers{m_metrics};
    backend_pipe m_pipe;
    std::string m_backendUrl; /**< Empty until the backend server has announced itself. */
    std::map<attempt_key, http_call_id> m_calls;
    bool m_polling = false;
    unsigned m_failedPolls = 0;
    link_table m_links;
    std::unique_ptr<http_client> m_client;
    std::unique_ptr<http_server> m_httpServer;
    std::unique_ptr<frame_listener> m_listener;
    peer_links m_memberLinks;
    control_session m_control;
    mailbox<stop_requested> m_mailbox;
    std::function<void(stop_requested)> m_sendStop;
    timer_service::subscription m_tickTimer;
    timer_service::subscription m_pollTimer;
    timer_service::subscription m_stopTimer;
    bool m_stopping = false;
};

} // namespace carawayloft
