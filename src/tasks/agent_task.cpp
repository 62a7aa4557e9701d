#include "tasks/agent_task.h"

#include "codec/backend_codec.h"
#include "codec/openai_codec.h"
#include "ends/clock.h"
#include "ends/event_log.h"
#include "tasks/task_identity.h"

#include <carawayloft/core/overloaded.h>

#include <random>

namespace carawayloft {

static constexpr duration tickPeriod{50};

/** Period and timeout of the polls for the backend server's load. */
static constexpr duration pollPeriod{100};
static constexpr duration pollTimeout{500};
static constexpr unsigned maxFailedPolls = 3;

/** Status of an answer that holds a report of the load. */
static constexpr std::uint32_t loadReported = 200;

static constexpr duration orderTimeout{600'000};

/** Longest report of the load and longest answer to an order. */
static constexpr std::size_t maxBackendMessageBytes = std::size_t{64} << 10U;

static backend_pipe_options pipeOptions(const settings &loaded)
{
    std::random_device entropy;
    const std::uint64_t randomIncarnation = (std::uint64_t{entropy()} << 32U) | entropy();
    return {loaded.agent->host, loaded.zone, loaded.agent->fabricDomain, loaded.agent->frames, incarnation(randomIncarnation)};
}

result<std::unique_ptr<agent_task>> agent_task::create(asio::io_context &context, const settings &loaded, std::function<void()> onStopped)
{
    auto task = std::unique_ptr<agent_task>(new agent_task(context, loaded, std::move(onStopped)));
    agent_task *self = task.get();
    auto listener = frame_listener::create(context, loaded.agent->frames, makeHello(loaded, process_role::Agent), [self](const auto &link, link_event event) {
        self->handleLinkEvent(link, std::move(event));
    });
    if (failed(listener)) {
        return errorOf(listener);
    }
    task->m_listener = std::move(valueOf(listener));
    auto http = http_server::create(context, loaded.agent->http, {}, [self](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
        self->serve(request, *exchange);
    });
    if (failed(http)) {
        return errorOf(http);
    }
    task->m_httpServer = std::move(valueOf(http));
    return task;
}

agent_task::agent_task(asio::io_context &context, const settings &loaded, std::function<void()> onStopped)
    : m_context(context)
    , m_settings(loaded)
    , m_onStopped(std::move(onStopped))
    , m_timers(context)
    , m_pipe(pipeOptions(loaded), monotonicNow())
    , m_client(http_client::create(context))
    , m_memberLinks(context,
                    m_timers,
                    makeHello(loaded, process_role::Agent),
                    [this](const endpoint &, link_event event) {
                        if (auto *received = std::get_if<link_received>(&event)) {
                            run(member_message{std::move(received->message)});
                        }
                    })
    , m_control(
          context,
          m_timers,
          controlEndpoints(loaded),
          makeHello(loaded, process_role::Agent),
          [this] { return m_pipe.fleet().at(); },
          [this](peer_message message) { run(control_message{std::move(message)}); })
    , m_mailbox(context.get_executor(), [this](stop_requested) { beginStop(); })
    , m_sendStop(m_mailbox.sender())
    , m_tickTimer(m_timers.every(tickPeriod, [this](time_point) { run(agent_tick{}); }))
    , m_pollTimer(m_timers.every(pollPeriod, [this](time_point) { pollBackend(); }))
{
}

void agent_task::stop()
{
    m_sendStop({});
}

void agent_task::beginStop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    logEvent(event_number::ProcessStopping, {{"role", "agent"}, {"in_flight", m_pipe.admissionFilter().running()}});
    m_stopTimer = m_timers.after(m_settings.agent->stopTimeout, [this](time_point) { stopTimedOut(); });
    run(agent_stop{});
}

void agent_task::stopTimedOut()
{
    logEvent(event_number::StopOverdue, {{"role", "agent"}, {"cut", m_pipe.admissionFilter().running()}, {"bound_ms", m_settings.agent->stopTimeout.count()}});
    m_onStopped();
}

void agent_task::handleLinkEvent(const std::shared_ptr<frame_link> &link, link_event event)
{
    std::visit(overloaded{
                   [&](const link_opened &opened) {
                       run(link_connected{m_links.idOf(link), opened.peer.role});
                   },
                   [&](link_received &received) {
                       run(link_message{m_links.idOf(link), std::move(received.message)});
                   },
                   [&](const link_closed &closed) {
                       const bool isProtocolError = closed.why.kind == error_kind::MalformedFrame || closed.why.kind == error_kind::VersionMismatch;
                       if (isProtocolError) {
                           logEvent(event_number::FrameRejected, {{"peer", link->peer().process}, {"reason", describe(closed.why)}});
                       }
                       run(link_lost{m_links.remove(link)});
                   },
               },
               event);
}

void agent_task::serve(const http_request &request, http_exchange &exchange)
{
    if (request.path == "/announce" && request.method == "POST") {
        handleAnnouncement(request, exchange);
    } else if (request.path == "/healthz" || request.path == "/readyz") {
        const bool ready = request.path == "/healthz" || !m_stopping;
        exchange.respond({ready ? 200U : 503U, {{"Content-Type", "text/plain"}}, ready ? "ok\n" : "stopping\n"});
    } else if (request.path == "/metrics") {
        const admission &admissionFilter = m_pipe.admissionFilter();
        m_metrics.setGauge("carawayloft_work_running", {}, admissionFilter.running());
        m_metrics.setGauge("carawayloft_work_waiting", {}, admissionFilter.waiting());
        m_metrics.setGauge("carawayloft_work_limit", {}, admissionFilter.limit());
        m_metrics.setGauge("carawayloft_revision", {}, static_cast<double>(m_pipe.fleet().at().value()));
        exchange.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.render()});
    } else {
        exchange.respond(
            {404,
             {{"Content-Type", "application/json"}},
             encodeError({error_kind::InvalidRequest, "no handler for path " + request.path, "use POST /announce, /metrics, /healthz or /readyz"})});
    }
}

void agent_task::handleAnnouncement(const http_request &request, http_exchange &exchange)
{
    const auto backend = decodeAnnouncement(request.body);
    if (failed(backend)) {
        exchange.respond({400, {{"Content-Type", "application/json"}}, encodeError(errorOf(backend))});
        return;
    }
    m_backendUrl = valueOf(backend).url;
    run(valueOf(backend).announcement);
    exchange.respond({204, {}, {}});
}

void agent_task::pollBackend()
{
    if (m_backendUrl.empty() || m_polling) {
        return;
    }
    m_polling = true;
    auto answer = std::make_shared<load_answer>();
    m_client->start({"GET", m_backendUrl + "/load", {}, {}, pollTimeout, false, maxBackendMessageBytes}, [this, answer](const http_event &event) {
        std::visit(overloaded{
                       [&](const http_started &started) { answer->status = started.status; },
                       [&](const http_received &received) { answer->body += received.bytes; },
                       [&](const http_finished &) {
                           m_polling = false;
                           handleLoadAnswer(*answer);
                       },
                       [&](const http_failed &failure) {
                           m_malformedAnswers.record(failure, m_backendUrl, "load report");
                           m_polling = false;
                           recordFailedPoll();
                       },
                   },
                   event);
    });
}

void agent_task::handleLoadAnswer(const load_answer &answer)
{
    const result<backend_report> report = decodeLoadReport(answer.body);
    if (answer.status != loadReported || failed(report)) {
        recordFailedPoll();
        return;
    }
    m_failedPolls = 0;
    run(valueOf(report));
}

void agent_task::recordFailedPoll()
{
    if (++m_failedPolls >= maxFailedPolls) {
        run(backend_report{});
    }
}

void agent_task::run(const backend_pipe_input &in)
{
    for (const backend_pipe_output &each : m_pipe.step(in, monotonicNow())) {
        std::visit([this](const auto &out) { execute(out); }, each);
    }
}

void agent_task::execute(const send_to_link &out)
{
    m_links.send(out.link, out.message);
}

void agent_task::execute(const send_to_member &out)
{
    m_memberLinks.add(out.agent);
    m_memberLinks.send(out.agent, out.message);
}

void agent_task::execute(const start_backend_call &out)
{
    const dispatch_request &request = out.request;
    http_call call{request.method, m_backendUrl + request.path, {}, request.body, request.timeLeft};
    if (!request.contentType.empty()) {
        call.headers.emplace("Content-Type", request.contentType);
    }
    call.headers.emplace("X-Request-Id", std::to_string(request.request.value()));
    call.headers.emplace("X-Group-Epoch", std::to_string(request.epoch.value()));
    if (request.resumeAt.value() > 0) {
        call.headers.emplace("X-Resume-Offset", std::to_string(request.resumeAt.value()));
    }
    // A kept connection may hold a late copy of an earlier answer, and libcurl repeats a call on one that turns out dead.
    call.freshConnection = true;
    const attempt_key key = out.key;
    m_calls[key] = m_client->start(call, [this, key](const http_event &event) {
        std::visit(overloaded{
                       [&](const http_started &started) {
                           run(backend_call_event{key, answer_started{started.status, started.contentType}});
                       },
                       [&](const http_received &received) {
                           run(backend_call_event{key, answer_bytes_received{received.bytes}});
                       },
                       [&](const http_finished &) {
                           m_calls.erase(key);
                           run(backend_call_event{key, answer_finished{}});
                       },
                       [&](const http_failed &failure) {
                           m_malformedAnswers.record(failure, m_backendUrl, std::to_string(key.request.value()));
                           m_calls.erase(key);
                           run(backend_call_event{key, answer_failed{failure.neverSent}});
                       },
                   },
                   event);
    });
    m_metrics.count("carawayloft_work_started_total");
}

void agent_task::execute(const cancel_backend_call &out)
{
    const auto call = m_calls.find(out.key);
    if (call != m_calls.end()) {
        m_client->cancel(call->second);
        m_calls.erase(call);
    }
}

void agent_task::execute(const pause_backend_call &out)
{
    const auto call = m_calls.find(out.key);
    if (call != m_calls.end()) {
        m_client->setPaused(call->second, out.paused);
    }
}

void agent_task::execute(const send_serve_order &out)
{
    const http_call call{
        "POST", m_backendUrl + "/orders", {{"Content-Type", "application/json"}}, encodeOrder(out), orderTimeout, false, maxBackendMessageBytes};
    const group_epoch epoch = out.epoch;
    auto accepted = std::make_shared<bool>(false);
    m_client->start(call, [this, epoch, accepted](const http_event &event) {
        std::visit(overloaded{
                       [&](const http_started &started) { *accepted = started.status == 200; },
                       [](const http_received &) {},
                       [&](const http_finished &) {
                           run(serve_order_result{epoch, *accepted});
                       },
                       [&](const http_failed &failure) {
                           m_malformedAnswers.record(failure, m_backendUrl, "serve order");
                           run(serve_order_result{epoch, false});
                       },
                   },
                   event);
    });
}

void agent_task::execute(const group_complete &out)
{
    logEvent(event_number::GroupWhole, {{"group", out.group}});
}

static std::string joinHosts(const std::vector<host_id> &hosts)
{
    std::string text;
    for (const host_id &each : hosts) {
        text += (text.empty() ? "" : ",") + each.value();
    }
    return text;
}

void agent_task::execute(const group_incomplete &out)
{
    logEvent(event_number::GroupSilenced, {{"group", out.group}, {"missing", joinHosts(out.missing)}});
    m_metrics.count("carawayloft_group_silenced_total");
}

void agent_task::execute(const limit_changed &out)
{
    logEvent(event_number::LimitChanged, {{"limit", out.limit}, {"reason", out.reason}});
}

static const char *nameOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NotLeading:
        return "not_leading";
    case refusal_reason::GroupIncomplete:
        return "group_incomplete";
    case refusal_reason::ZoneOut:
        return "zone_out";
    case refusal_reason::Leaving:
        return "leaving";
    case refusal_reason::Stopping:
        return "stopping";
    case refusal_reason::Overloaded:
        return "overloaded";
    case refusal_reason::DeadlinePassed:
        return "deadline_passed";
    case refusal_reason::BackendDown:
        return "backend_down";
    }
    return "unknown";
}

void agent_task::execute(const work_rejected &out)
{
    logEvent(event_number::WorkRefused, {{"request", out.key.request}, {"attempt", out.key.attempt}, {"reason", nameOf(out.reason)}});
    m_metrics.count("carawayloft_work_refused_total", std::string("reason=\"") + nameOf(out.reason) + "\"");
}

static const char *nameOf(lease_refusal reason)
{
    switch (reason) {
    case lease_refusal::NotAssigned:
        return "not_assigned";
    case lease_refusal::NotReady:
        return "not_ready";
    case lease_refusal::LeasedToOtherLead:
        return "promised_elsewhere";
    case lease_refusal::JustStarted:
        return "just_started";
    }
    return "unknown";
}

void agent_task::execute(const member_lease_refused &out)
{
    logEvent(
        event_number::LeaseRefused, {{"group", out.request.group}, {"epoch", out.request.epoch}, {"lead", out.request.lead}, {"reason", nameOf(out.reason)}});
}

void agent_task::execute(const control_lease_changed &out)
{
    logEvent(out.held ? event_number::ControlLeaseGained : event_number::ControlLeaseLost, {{"epoch", out.epoch}});
}

void agent_task::execute(const backend_changed &out)
{
    switch (out.change) {
    case backend_change::Announced:
        logEvent(event_number::BackendAnnounced, {{"url", m_backendUrl}});
        return;
    case backend_change::Cold:
        logEvent(event_number::BackendCold, {{"url", m_backendUrl}});
        return;
    case backend_change::Lost:
        logEvent(event_number::BackendLost, {{"url", m_backendUrl}});
        return;
    case backend_change::Leaving:
        logEvent(event_number::BackendLeaving, {{"url", m_backendUrl}});
        return;
    }
}

void agent_task::execute(const agent_drained &)
{
    // Leaves time for the last frames to be sent.
    m_stopTimer = m_timers.after(tickPeriod, [this](time_point) { m_onStopped(); });
}

} // namespace carawayloft
