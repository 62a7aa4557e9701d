#include "tasks/gateway_task.h"

#include "ends/clock.h"
#include "ends/connection_probe.h"
#include "ends/event_log.h"
#include "tasks/stored_configuration.h"
#include "tasks/task_identity.h"

#include <carawayloft/core/overloaded.h>

#include <random>

namespace carawayloft {

static constexpr duration tickPeriod{20};

/** Time without a message from the leader after which a gateway tries another replica: one report without a grant, plus some delay. */
static constexpr duration leaderTimeout{450};

/** A running backend server accepts a connection within this time. */
static constexpr duration probeTimeout{30};

/** The HTTP client's timeout for a backend call exceeds the time left to the request by this much. */
static constexpr duration callTimeoutMargin{250};

/** Time for the last bytes to be sent before the task reports that it has stopped. */
static constexpr duration flushDelay{150};

/**
 * Parts of the machine's memory for what callers make a gateway hold, and for answers that it keeps until they are
 * whole. The rest, 48 MB of 160, is for the process itself, which takes 11 to 18 MB, and for the system.
 */
static constexpr std::size_t callerMemoryDivisor = 2;
static constexpr std::size_t keptAnswersDivisor = 5;

/** Part of a backend server's memory for the requests that it holds; the rest is for its process and its own copies of them. */
static constexpr std::size_t backendMemoryDivisor = 2;

/** Retry-After of requests that are rejected while the process drains. */
static constexpr duration stopRetryAfter{100};

static gateway_pipe_options pipeOptions(const settings &loaded)
{
    gateway_pipe_options options{loaded.zone, loaded.gateway->limits, std::random_device()(), loaded.http.memoryBytes / keptAnswersDivisor, {}};
    options.backendBytes.bound = loaded.http.backendMemoryBytes / backendMemoryDivisor;
    return options;
}

/** Bytes that a server gets of the request, but for headers that the gateway adds. */
static std::size_t bytesOf(const http_request &request)
{
    std::size_t bytes = request.body.size() + request.path.size() + request.query.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

result<std::unique_ptr<gateway_task>>
gateway_task::create(asio::io_context &context, const settings &loaded, const front_end &frontEnd, std::function<void()> onStopped)
{
    auto task = std::unique_ptr<gateway_task>(new gateway_task(context, loaded, frontEnd, std::move(onStopped)));
    if (status listening = task->listen(); failed(listening)) {
        return errorOf(listening);
    }
    return task;
}

gateway_task::gateway_task(asio::io_context &context, const settings &loaded, const front_end &frontEnd, std::function<void()> onStopped)
    : m_context(context)
    , m_settings(loaded)
    , m_frontEnd(frontEnd)
    , m_onStopped(std::move(onStopped))
    , m_timers(context)
    , m_pipe(pipeOptions(loaded))
    , m_client(http_client::create(context))
    , m_control(
          context,
          m_timers,
          controlEndpoints(loaded),
          makeHello(loaded, process_role::Gateway),
          [this] { return m_pipe.fleet().at(); },
          [this](peer_message message) { handleControlMessage(std::move(message)); },
          leaderTimeout)
    , m_mailbox(context.get_executor(), [this](const task_message &message) { std::visit([this](const auto &each) { handle(each); }, message); })
    , m_send(m_mailbox.sender())
    , m_tickTimer(m_timers.every(tickPeriod, [this](time_point) { run(request_tick{wallNow()}); }))
{
}

status gateway_task::listen()
{
    const gateway_settings &own = *m_settings.gateway;
    http_limits limits;
    limits.maxHeldBytes = m_settings.http.memoryBytes / callerMemoryDivisor;
    limits.maxBodyPause = m_settings.http.maxBodyPause;
    limits.maxConnectionsPerAddress = m_settings.http.maxConnectionsPerAddress;
    auto callers = http_server::create(
        m_context,
        own.callers,
        limits,
        [this](http_request request, std::shared_ptr<http_exchange> exchange) { serve(std::move(request), std::move(exchange)); },
        [this](http_rejection why) { m_metrics.count("carawayloft_http_rejections_total", std::string("reason=\"") + name(why) + "\""); });
    if (failed(callers)) {
        return errorOf(callers);
    }
    m_callerServer = std::move(valueOf(callers));
    auto readiness
        = http_server::create(m_context, own.readiness, statusPortLimits(), [this](const http_request &, const std::shared_ptr<http_exchange> &exchange) {
              const bool ready = !m_stopping && m_pipe.isReady(monotonicNow());
              exchange->respond({ready ? 200U : 503U, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"});
          });
    if (failed(readiness)) {
        return errorOf(readiness);
    }
    m_readinessServer = std::move(valueOf(readiness));
    auto metricsHttp
        = http_server::create(m_context, own.metrics, statusPortLimits(), [this](const http_request &, const std::shared_ptr<http_exchange> &exchange) {
              exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, renderMetrics()});
          });
    if (failed(metricsHttp)) {
        return errorOf(metricsHttp);
    }
    m_metricsServer = std::move(valueOf(metricsHttp));
    return {};
}

void gateway_task::addReplicas(std::vector<control_peer> replicas)
{
    m_send(replicas_added{std::move(replicas)});
}

void gateway_task::stop()
{
    m_send(stop_requested{});
}

void gateway_task::handle(const replicas_added &in)
{
    std::vector<endpoint> frames;
    frames.reserve(in.replicas.size());
    for (const control_peer &each : in.replicas) {
        frames.push_back(each.frames);
    }
    m_control.addReplicas(frames);
}

void gateway_task::handleControlMessage(peer_message message)
{
    if (const auto *grant = std::get_if<gateway_grant>(&message)) {
        m_control.setListedReplicas(grant->replicas);
    }
    run(control_message{std::move(message)});
}

void gateway_task::handle(const stop_requested &)
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_rejectFrom = monotonicNow() + m_settings.gateway->stopAcceptingDelay;
    logEvent(event_number::ProcessStopping, {{"role", "gateway"}, {"in_flight", m_pipe.inFlight()}});
    m_drainTimer = m_timers.after(m_settings.gateway->stopAcceptingDelay, [this](time_point) { drain(); });
    m_stopTimer = m_timers.after(m_settings.gateway->stopTimeout, [this](time_point) {
        if (m_pipe.inFlight() > 0) {
            logEvent(event_number::StopOverdue, {{"role", "gateway"}, {"cut", m_pipe.inFlight()}, {"bound_ms", m_settings.gateway->stopTimeout.count()}});
        }
        finishStop();
    });
}

void gateway_task::drain()
{
    run(request_stop{});
}

void gateway_task::execute(const requests_drained &)
{
    // Until now callers who still come get a rejection that says that nothing ran; a closed port would tell them nothing.
    m_callerServer->stopListening();
    m_flushTimer = m_timers.after(flushDelay, [this](time_point) { finishStop(); });
}

void gateway_task::finishStop()
{
    if (!std::exchange(m_stopFinished, true)) {
        m_onStopped();
    }
}

void gateway_task::serve(http_request request, std::shared_ptr<http_exchange> exchange)
{
    result<gateway_request> decoded = m_frontEnd.decodeGatewayRequest(request);
    m_lastRequest = next(m_lastRequest);
    const request_id id = m_lastRequest;
    if (failed(decoded)) {
        logEvent(event_number::RequestRejected, {{"request", id}, {"reason", describe(errorOf(decoded))}});
        exchange->respond(m_frontEnd.encodeRejection({id, 400, errorOf(decoded), run_outcome::DidNotRun, {}}, {}));
        return;
    }
    if (m_stopping && monotonicNow() >= m_rejectFrom) {
        exchange->setClosing(true);
        exchange->respond(m_frontEnd.encodeRejection(
            {id, 503, {error_kind::Stopping, "this process is stopping", "send the request again on a new connection"}, run_outcome::DidNotRun, stopRetryAfter},
            valueOf(decoded).name));
        return;
    }
    gateway_request &call = valueOf(decoded);
    call.request = id;
    call.bytes = bytesOf(request);
    exchange->setClosing(m_stopping);
    exchange->onHangUp([this, id] {
        if (m_requests.contains(id)) {
            logEvent(event_number::CallerGone, {{"request", callerRequestIdOf(id)}});
            run(caller_disconnected{id});
            m_requests.erase(id);
        }
    });
    m_requests.emplace(id, pending_request{std::move(request), std::move(exchange), call.name});
    run(call);
}

const std::string &gateway_task::callerRequestIdOf(request_id request) const
{
    static const std::string unknown = "unknown";
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? unknown : found->second.callerRequestId;
}

void gateway_task::run(const gateway_pipe_input &in)
{
    for (const gateway_pipe_output &each : m_pipe.step(in, monotonicNow())) {
        std::visit([this](const auto &out) { execute(out); }, each);
    }
}

void gateway_task::execute(const revision_in_force &out)
{
    m_control.execute(out);
    const configuration_record &current = m_pipe.fleet().configuration();
    if (current.version == m_version) {
        return;
    }
    m_version = current.version;
    result<service_configuration> read = readStoredConfiguration(m_frontEnd, current);
    if (failed(read)) {
        logEvent(event_number::ConfigurationUnreadable, {{"version", m_version}, {"reason", describe(errorOf(read))}});
        return;
    }
    logEvent(event_number::ConfigurationInForce, {{"version", m_version}, {"revision", out.at}, {"routes", valueOf(read).routes().size()}});
    run(configuration_in_force{std::make_shared<const service_configuration>(std::move(valueOf(read)))});
}

void gateway_task::execute(const call_backend &out)
{
    const auto found = m_requests.find(out.request);
    if (found == m_requests.end()) {
        return;
    }
    http_call call = m_frontEnd.encodeBackendCall(found->second.request, out);
    call.timeout = out.timeLeft + callTimeoutMargin;
    call.freshConnection = out.freshConnection;
    const http_call_id http = m_client->start(call, [this, id = out.call](http_event event) { handleBackendEvent(id, std::move(event)); });
    m_calls.emplace(out.call, pending_call{http, out.request, out.backend, {}});
}

void gateway_task::handleBackendEvent(backend_call_id call, http_event event)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    std::visit(overloaded{
                   [&](http_started &each) {
                       found->second.head = std::move(each);
                       const auto request = m_requests.find(found->second.request);
                       if (request != m_requests.end()) {
                           const backend_answer_started answer = m_frontEnd.decodeBackendAnswer(found->second.head, request->second.request, call);
                           m_metrics.count("carawayloft_invalid_backend_headers_total", {}, answer.invalidHeaders);
                           run(answer);
                       }
                   },
                   [&](http_received &each) {
                       run(backend_bytes_received{call, std::move(each.bytes)});
                   },
                   [&](const http_finished &) {
                       run(backend_answer_finished{call});
                       m_calls.erase(call);
                   },
                   [&](const http_failed &each) {
                       m_malformedAnswers.record(each, found->second.backend.value(), callerRequestIdOf(found->second.request));
                       m_calls.erase(found);
                       run(backend_call_failed{call, each.neverSent, each.why.what, each.closedByServer});
                   },
               },
               event);
}

void gateway_task::execute(const cancel_call &out)
{
    const auto found = m_calls.find(out.call);
    if (found != m_calls.end()) {
        m_client->cancel(found->second.http);
        m_calls.erase(found);
    }
}

void gateway_task::execute(const pause_call &out)
{
    if (const auto found = m_calls.find(out.call); found != m_calls.end()) {
        m_client->setPaused(found->second.http, out.paused);
    }
}

http_response gateway_task::answerHead(const pending_call &call) const
{
    return {call.head.status, endToEndHeaders(call.head.headers), {}};
}

void gateway_task::execute(const begin_stream &out)
{
    const auto found = m_requests.find(out.request);
    const auto call = m_calls.find(out.call);
    if (found != m_requests.end() && call != m_calls.end()) {
        found->second.exchange->startStream(answerHead(call->second));
    }
}

void gateway_task::execute(const send_whole_answer &out)
{
    const auto found = m_requests.find(out.request);
    const auto call = m_calls.find(out.call);
    if (found != m_requests.end() && call != m_calls.end()) {
        http_response response = answerHead(call->second);
        response.body = out.body;
        found->second.exchange->respond(response);
        m_requests.erase(found);
    }
}

void gateway_task::execute(const continue_answer &out)
{
    const auto found = m_requests.find(out.request);
    if (found != m_requests.end()) {
        const auto reportTaken = [this, request = out.request, bytes = out.bytes.size()] { run(answer_bytes_taken{request, bytes}); };
        found->second.exchange->write(out.bytes, reportTaken);
    }
}

void gateway_task::execute(const finish_answer &out)
{
    const auto found = m_requests.find(out.request);
    if (found != m_requests.end()) {
        found->second.exchange->finish();
        m_requests.erase(found);
    }
}

void gateway_task::execute(const abort_answer &out)
{
    const auto found = m_requests.find(out.request);
    if (found != m_requests.end()) {
        logEvent(event_number::AnswerCut, {{"request", found->second.callerRequestId}});
        found->second.exchange->abort();
        m_requests.erase(found);
    }
}

void gateway_task::execute(const reject_request &out)
{
    const auto found = m_requests.find(out.request);
    if (found == m_requests.end()) {
        return;
    }
    const bool didNotRun = out.outcome == run_outcome::DidNotRun;
    logEvent(didNotRun ? event_number::RequestRejected : event_number::RequestOutcomeUnknown,
             {{"request", found->second.callerRequestId},
              {"status", out.status},
              {"kind", name(out.why.kind)},
              {"outcome", didNotRun ? "did-not-run" : "unknown"},
              {"retry_after_ms", out.retryAfter.count()},
              {"reason", out.why.what}});
    m_metrics.count("carawayloft_requests_refused_total", std::string("kind=\"") + name(out.why.kind) + "\"");
    found->second.exchange->respond(m_frontEnd.encodeRejection(out, found->second.callerRequestId));
    m_requests.erase(found);
}

void gateway_task::execute(const probe_backend &out)
{
    probeConnection(m_context, out.address, probeTimeout, [this, out](bool reachable) {
        logEvent(event_number::BackendProbed, {{"backend", out.backend}, {"reachable", reachable ? 1 : 0}});
        run(probe_finished{out.probe, reachable});
    });
}

std::string gateway_task::renderMetrics()
{
    m_metrics.setGauge("carawayloft_http_connections", {}, static_cast<double>(m_callerServer->connections()));
    m_metrics.setGauge("carawayloft_http_held_bytes", {}, static_cast<double>(m_callerServer->heldBytes()));
    m_metrics.setGauge("carawayloft_backend_bytes_share", {}, static_cast<double>(m_pipe.byteLimiter().share()));
    m_metrics.setGauge("carawayloft_backend_bytes_most", {}, static_cast<double>(m_pipe.byteLimiter().mostOutstanding()));
    m_metrics.setGauge("carawayloft_requests_in_flight", {}, static_cast<double>(m_pipe.inFlight()));
    m_metrics.setGauge("carawayloft_revision", {}, static_cast<double>(m_pipe.fleet().at().value()));
    m_metrics.setGauge("carawayloft_groups_known", {}, static_cast<double>(m_pipe.view().groups().size()));
    m_metrics.setGauge("carawayloft_backends_known", {}, static_cast<double>(m_pipe.view().backends().size()));
    return m_metrics.render();
}

} // namespace carawayloft
