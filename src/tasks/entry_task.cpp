#include "tasks/entry_task.h"

#include "codec/openai_codec.h"
#include "ends/clock.h"
#include "ends/digest.h"
#include "ends/event_log.h"
#include "tasks/task_identity.h"

#include <carawayloft/core/overloaded.h>

#include <algorithm>
#include <charconv>

namespace carawayloft {

static constexpr duration tickPeriod{50};

/** An answer that is not streamed is buffered and sent with its length up to this size; a longer one is sent in chunks. */
static constexpr std::size_t maxBufferedBytes = std::size_t{64} << 10U;

static constexpr std::string_view servicesPath = "/services/";
static constexpr const char *chatPath = "/v1/chat/completions";
static constexpr std::size_t maxIdempotencyKeyBytes = 255;
static constexpr std::int64_t maxTimeoutMs = 86'400'000;

/** Bodies of the largest size that an entry can hold at least, where the settings allow larger ones than the default. */
static constexpr std::size_t heldBodies = 4;

result<std::unique_ptr<entry_task>> entry_task::create(asio::io_context &context, const settings &loaded, std::function<void()> onStopped)
{
    auto task = std::unique_ptr<entry_task>(new entry_task(context, loaded, std::move(onStopped)));
    http_limits limits;
    limits.maxBodyBytes = loaded.entry->maxBodyBytes;
    limits.maxHeldBytes = std::max(limits.maxHeldBytes, heldBodies * limits.maxBodyBytes);
    limits.maxConnectionsPerAddress = loaded.entry->maxConnectionsPerAddress;
    entry_task *self = task.get();
    auto http = http_server::create(context, loaded.entry->http, limits, [self](http_request request, std::shared_ptr<http_exchange> exchange) {
        self->serve(std::move(request), std::move(exchange));
    });
    if (failed(http)) {
        return errorOf(http);
    }
    task->m_httpServer = std::move(valueOf(http));
    return task;
}

entry_task::entry_task(asio::io_context &context, const settings &loaded, std::function<void()> onStopped)
    : m_context(context)
    , m_settings(loaded)
    , m_onStopped(std::move(onStopped))
    , m_timers(context)
    , m_pipe({loaded.zone, expected_wait_policy{}, std::random_device()(), loaded.entry->defaultTimeLimit})
    , m_random(std::random_device()())
    , m_agentLinks(context,
                   m_timers,
                   makeHello(loaded, process_role::Entry),
                   [this](const endpoint &agent, link_event event) { handleAgentEvent(agent, std::move(event)); })
    , m_control(
          context,
          m_timers,
          controlEndpoints(loaded),
          makeHello(loaded, process_role::Entry),
          [this] { return m_pipe.fleet().at(); },
          [this](peer_message message) { run(control_message{std::move(message)}); })
    , m_mailbox(context.get_executor(), [this](stop_requested) { beginStop(); })
    , m_sendStop(m_mailbox.sender())
    , m_tickTimer(m_timers.every(tickPeriod, [this](time_point) { run(request_tick{wallNow()}); }))
{
}

void entry_task::stop()
{
    m_sendStop({});
}

void entry_task::beginStop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    logEvent(event_number::ProcessStopping, {{"role", "entry"}, {"in_flight", m_pipe.inFlight()}});
    m_stopTimer = m_timers.after(m_settings.entry->stopTimeout, [this](time_point) { stopTimedOut(); });
    run(request_stop{});
}

void entry_task::stopTimedOut()
{
    logEvent(event_number::StopOverdue, {{"role", "entry"}, {"cut", m_pipe.inFlight()}, {"bound_ms", m_settings.entry->stopTimeout.count()}});
    m_onStopped();
}

void entry_task::handleAgentEvent(const endpoint &agent, link_event event)
{
    std::visit(overloaded{
                   [&](const link_opened &opened) {
                       logEvent(event_number::LinkOpened, {{"peer", opened.peer.process}, {"role", "agent"}});
                       run(agent_connected{agent});
                   },
                   [&](link_received &received) {
                       run(agent_message{agent, std::move(received.message)});
                   },
                   [&](const link_closed &closed) {
                       logEvent(event_number::LinkClosed, {{"peer", agent}, {"role", "agent"}, {"reason", describe(closed.why)}});
                       run(agent_disconnected{agent});
                   },
               },
               event);
}

bool entry_task::serveBuiltInPath(const http_request &request, http_exchange &exchange)
{
    if (request.path == "/healthz") {
        exchange.respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
        return true;
    }
    if (request.path == "/readyz") {
        const bool ready = m_pipe.isReady();
        exchange.respond({ready ? 200U : 503U, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"});
        return true;
    }
    if (request.path == "/metrics") {
        m_metrics.setGauge("carawayloft_requests_in_flight", {}, static_cast<double>(m_pipe.inFlight()));
        m_metrics.setGauge("carawayloft_revision", {}, static_cast<double>(m_pipe.fleet().at().value()));
        exchange.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.render()});
        return true;
    }
    if (request.path == "/v1/models" && request.method == "GET") {
        std::vector<service_id> models;
        for (const auto &[id, service] : m_pipe.fleet().services()) {
            if (service.kind == service_kind::Model) {
                models.push_back(id);
            }
        }
        exchange.respond({200, {{"Content-Type", "application/json"}}, encodeModels(models)});
        return true;
    }
    return false;
}

static result<duration> decodeTimeout(const http_request &request)
{
    const std::string text = request.header("Carawayloft-Timeout-Ms");
    if (text.empty()) {
        return duration(0);
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 1 || value > maxTimeoutMs) {
        return error{error_kind::InvalidRequest,
                     "invalid Carawayloft-Timeout-Ms '" + text + "'",
                     "set it to whole milliseconds from 1 to " + std::to_string(maxTimeoutMs)};
    }
    return duration(value);
}

static std::string digestBearerToken(const http_request &request)
{
    static constexpr std::string_view scheme = "Bearer ";
    const std::string header = request.header("Authorization");
    return header.starts_with(scheme) ? sha256(std::string_view(header).substr(scheme.size())) : std::string();
}

/** Derives the service and the path at the backend server from the request's path and body. */
static status decodeTarget(const http_request &request, caller_request &decoded)
{
    if (request.path == chatPath) {
        if (request.method != "POST") {
            return error{error_kind::InvalidRequest, request.method + " is not allowed at " + chatPath, "use POST"};
        }
        const auto chat = decodeChatRequest(request.body);
        if (failed(chat)) {
            return errorOf(chat);
        }
        decoded.service = valueOf(chat).model;
        decoded.kind = service_kind::Model;
        decoded.stream = valueOf(chat).stream;
        decoded.prefixDigest = valueOf(chat).prefixDigest;
        decoded.path = chatPath;
        return {};
    }
    if (!request.path.starts_with(servicesPath)) {
        return error{error_kind::UnknownService, "no handler for path " + request.path, "use /v1/chat/completions, /v1/models or /services/SERVICE/PATH"};
    }
    const std::string rest = request.path.substr(servicesPath.size());
    const std::size_t slash = rest.find('/');
    decoded.service = service_id(rest.substr(0, slash));
    decoded.path = (slash == std::string::npos ? "/" : rest.substr(slash)) + request.queryPart();
    return {};
}

result<caller_request> entry_task::decodeRequest(const http_request &request) const
{
    caller_request decoded;
    const result<duration> timeout = decodeTimeout(request);
    if (failed(timeout)) {
        return errorOf(timeout);
    }
    const std::string priority = request.header("Carawayloft-Priority");
    if (!priority.empty() && priority != "interactive" && priority != "background") {
        return error{error_kind::InvalidRequest, "invalid Carawayloft-Priority '" + priority + "'", "use interactive or background"};
    }
    decoded.key = idempotency_key(request.header("Idempotency-Key"));
    if (decoded.key.value().size() > maxIdempotencyKeyBytes) {
        return error{error_kind::InvalidRequest, "Idempotency-Key is too long", "use at most " + std::to_string(maxIdempotencyKeyBytes) + " bytes"};
    }
    if (status target = decodeTarget(request, decoded); failed(target)) {
        return errorOf(target);
    }
    decoded.keyDigest = digestBearerToken(request);
    decoded.method = request.method;
    decoded.contentType = request.header("Content-Type");
    decoded.body = request.body;
    decoded.priority = priority == "background" ? work_priority::Background : work_priority::Interactive;
    decoded.timeLimit = valueOf(timeout);
    decoded.receivedAt = wallNow();
    decoded.requestDigest = fastDigest(request.method + '\n' + request.path + '\n' + request.query + '\n' + request.body);
    return decoded;
}

void entry_task::serve(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (serveBuiltInPath(request, *exchange)) {
        return;
    }
    result<caller_request> decoded = decodeRequest(request);
    if (failed(decoded)) {
        const bool notFound = errorOf(decoded).kind == error_kind::UnknownService;
        reject(*exchange, {request_id(), notFound ? 404U : 400U, errorOf(decoded), run_outcome::DidNotRun, {}});
        return;
    }
    accept(std::move(valueOf(decoded)), std::move(exchange));
}

void entry_task::accept(caller_request request, std::shared_ptr<http_exchange> exchange)
{
    request.request = request_id(m_random());
    const request_id id = request.request;
    exchange->onHangUp([this, id] {
        if (m_answers.erase(id) > 0) {
            logEvent(event_number::CallerGone, {{"request", id}});
            run(caller_disconnected{id});
        }
    });
    m_answers.emplace(id, pending_answer{std::move(exchange), 0, {}, {}, false});
    run(std::move(request));
}

void entry_task::reject(http_exchange &exchange, const reject_request &answer)
{
    const char *outcome = answer.outcome == run_outcome::DidNotRun ? "did-not-run" : "unknown";
    logEvent(answer.outcome == run_outcome::DidNotRun ? event_number::RequestRejected : event_number::RequestOutcomeUnknown,
             {{"request", answer.request}, {"status", answer.status}, {"kind", name(answer.why.kind)}, {"outcome", outcome}, {"reason", answer.why.what}});
    m_metrics.count("carawayloft_requests_refused_total", std::string("kind=\"") + name(answer.why.kind) + "\",outcome=\"" + outcome + "\"");
    http_headers headers{{"Content-Type", "application/json"}, {"Carawayloft-Outcome", outcome}};
    if (answer.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retryAfter);
        headers.emplace("Retry-After", std::to_string(seconds.count()));
    }
    exchange.respond({answer.status, std::move(headers), encodeError(answer.why)});
}

void entry_task::run(const request_pipe_input &in)
{
    for (const request_pipe_output &each : m_pipe.step(in, monotonicNow())) {
        std::visit([this](const auto &out) { execute(out); }, each);
    }
}

void entry_task::execute(const reject_request &out)
{
    const auto found = m_answers.find(out.request);
    if (found != m_answers.end()) {
        const pending_answer answer = std::move(found->second);
        m_answers.erase(found);
        reject(*answer.exchange, out);
    }
}

void entry_task::execute(const start_answer &out)
{
    const auto found = m_answers.find(out.request);
    if (found == m_answers.end()) {
        return;
    }
    found->second.status = out.status;
    found->second.contentType = out.contentType;
    if (out.stream) {
        writeChunk(found->second, out.request, {});
    }
}

void entry_task::writeChunk(pending_answer &answer, request_id request, const std::string &bytes)
{
    if (!answer.streaming) {
        answer.streaming = true;
        answer.exchange->startStream({answer.status, {{"Content-Type", answer.contentType}, {"Cache-Control", "no-cache"}}, {}});
    }
    if (!bytes.empty()) {
        answer.exchange->write(bytes, [this, request] { run(caller_consumed_chunk{request}); });
    }
}

void entry_task::execute(const continue_answer &out)
{
    const auto found = m_answers.find(out.request);
    if (found == m_answers.end()) {
        return;
    }
    pending_answer &answer = found->second;
    if (answer.streaming || answer.buffered.size() + out.bytes.size() > maxBufferedBytes) {
        writeChunk(answer, out.request, std::exchange(answer.buffered, {}) + out.bytes);
        return;
    }
    answer.buffered += out.bytes;
    // A buffered chunk is not written to the caller, so its credit is returned at once. Posted because the pipe's outputs are still being executed.
    asio::post(m_context, [this, request = out.request] { run(caller_consumed_chunk{request}); });
}

void entry_task::execute(const finish_answer &out)
{
    const auto found = m_answers.find(out.request);
    if (found == m_answers.end()) {
        return;
    }
    const pending_answer answer = std::move(found->second);
    m_answers.erase(found);
    m_metrics.count("carawayloft_requests_answered_total");
    if (answer.streaming) {
        answer.exchange->finish();
        return;
    }
    http_headers headers;
    if (!answer.contentType.empty()) {
        headers.emplace("Content-Type", answer.contentType);
    }
    answer.exchange->respond({answer.status, std::move(headers), answer.buffered});
}

void entry_task::execute(const abort_answer &out)
{
    logEvent(event_number::AnswerCut, {{"request", out.request}});
    m_metrics.count("carawayloft_answers_cut_total");
    const auto found = m_answers.find(out.request);
    if (found != m_answers.end()) {
        const pending_answer answer = std::move(found->second);
        m_answers.erase(found);
        if (answer.streaming) {
            answer.exchange->abort();
        } else {
            reject(*answer.exchange,
                   {out.request,
                    502,
                    {error_kind::ConnectionFailed, "the answer ended before it was complete", "send the request again"},
                    run_outcome::Unknown,
                    {}});
        }
    }
}

void entry_task::execute(const send_to_agent &out)
{
    m_agentLinks.send(out.agent, out.message);
}

void entry_task::execute(const set_agent_connections &out)
{
    m_agentLinks.setWanted({out.agents.begin(), out.agents.end()});
}

void entry_task::execute(const route_chosen &out)
{
    logEvent(event_number::RouteChosen,
             {{"request", out.request}, {"group", out.group.group}, {"epoch", out.group.epoch}, {"candidates", out.candidates}, {"reason", out.reason}});
    m_metrics.count("carawayloft_routes_total");
}

void entry_task::execute(const route_unavailable &out)
{
    logEvent(event_number::RouteNone, {{"request", out.request}, {"known_groups", out.knownGroups}, {"reason", out.reason}});
}

void entry_task::execute(const group_ejected &out)
{
    logEvent(event_number::GroupEjected, {{"group", out.group}, {"for_ms", out.ejectionTime.count()}, {"reason", out.reason}});
}

void entry_task::execute(const group_probed &out)
{
    logEvent(event_number::GroupProbed, {{"group", out.group}});
}

void entry_task::execute(const request_retried &out)
{
    logEvent(event_number::RequestRetried, {{"request", out.request}, {"after_attempt", out.attempt}, {"reason", out.reason}});
    m_metrics.count("carawayloft_retries_total");
}

void entry_task::execute(const stream_resumed &out)
{
    logEvent(event_number::StreamResumed, {{"request", out.request}, {"attempt", out.attempt}, {"offset", out.at}});
    m_metrics.count("carawayloft_streams_resumed_total");
}

void entry_task::execute(const claim_decided &out)
{
    logEvent(event_number::ClaimDecided, {{"request", out.request}, {"account", out.account}, {"verdict", static_cast<int>(out.verdict)}});
}

void entry_task::execute(const requests_drained &)
{
    // Leaves time for the last answers to be sent.
    m_stopTimer = m_timers.after(tickPeriod, [this](time_point) { m_onStopped(); });
}

void entry_task::execute(const request_latency_measured &out)
{
    m_metrics.observe("carawayloft_first_token_seconds", {}, out.firstToken);
    m_metrics.observe("carawayloft_request_seconds", {}, out.total);
}

} // namespace carawayloft
