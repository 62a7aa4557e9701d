#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/http_status.h>
#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Part of a caller's remaining time for which a request may wait for a backend server, and the most. */
static constexpr int waitShare = 4;
static constexpr duration longestWait{1'200};

/** What a refused caller is told to wait: about the time in which a group is repaired. */
static constexpr duration repairRetryAfter{900};

/** The same when the process itself has lost control: about the time in which a new leader is found. */
static constexpr duration controlRetryAfter{800};

/** Time after its start in which a process finds control, even if that starts at the same moment. */
static constexpr duration startTime{1'500};

/** A stream that is silent for this long, and for this many times the expected pause, goes on elsewhere. */
static constexpr duration longestSilence{700};
static constexpr double silentPasses = 4.0;

/** Time over a route's limit that a backend server has to say that it ran out of time itself. */
static constexpr duration limitGrace{60};

gateway_pipe::gateway_pipe(const gateway_pipe_options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_limits(options.limits)
{
}

std::vector<gateway_pipe::output> gateway_pipe::step(const input &in, time_point now)
{
    m_now = now;
    m_startedAt = m_startedAt == time_point() ? now : m_startedAt;
    m_out.clear();
    std::visit([this](const auto &each) { take(each); }, in);
    if (m_stopping && !m_drainedReported && m_flows.empty()) {
        m_drainedReported = true;
        emit(requests_drained{});
    }
    return std::move(m_out);
}

bool gateway_pipe::isReady(time_point now) const
{
    return !m_stopping && m_routes.configuration() && now < m_rightUntil;
}

bool gateway_pipe::holdsRight() const
{
    return m_now < m_rightUntil;
}

void gateway_pipe::take(const gateway_request &in)
{
    flow &each = m_flows[in.request];
    each.request = in;
    each.arrivedAt = m_now;
    each.splice = stream_splice(in.resumeAfter);
    if (isStarting()) {
        // Its caller may have lost a try to the same outage already, and will be served in a moment.
        m_early.insert(in.request);
    } else {
        admit(each);
    }
}

/** Whether this process has just started and has not found control yet. */
bool gateway_pipe::isStarting() const
{
    return (!m_routes.configuration() || !holdsRight()) && m_now < m_startedAt + startTime;
}

/** Admits the requests that came before control was found. */
void gateway_pipe::admitEarly()
{
    if (m_early.empty() || isStarting()) {
        return;
    }
    for (const request_id &request : std::exchange(m_early, {})) {
        if (const auto found = m_flows.find(request); found != m_flows.end()) {
            admit(found->second);
        }
    }
}

void gateway_pipe::admit(flow &each)
{
    const gateway_request &in = each.request;
    std::uint32_t status = 0;
    if (const std::optional<error> failure = identify(each, status)) {
        refuse(each, status, *failure, run_outcome::DidNotRun, status == http_status::serviceUnavailable ? controlRetryAfter : duration(0));
        return;
    }
    const duration limit = in.timeLimit.count() > 0 ? std::min(in.timeLimit, each.route->timeLimit) : each.route->timeLimit;
    each.deadline = each.arrivedAt + limit;
    m_limits.countRequest(each.service->service, m_now);
    // A caller that was refused before states less time; it will not come again.
    each.returns = (in.timeLimit.count() > 0 && in.timeLimit < each.route->timeLimit * 9 / 10) || m_now >= each.arrivedAt + each.route->objective;
    if (!each.returns) {
        countAsked(each);
    }
    each.waitsUntil = m_now + (each.returns ? std::min(longestWait, limit / waitShare) : each.route->objective * 6 / 10);
    dispatch(each);
}

/** Finds route, account and service; an error with the status to refuse with otherwise. */
std::optional<error> gateway_pipe::identify(flow &each, std::uint32_t &status)
{
    status = http_status::serviceUnavailable;
    if (!m_routes.configuration()) {
        return error{error_kind::NotReady, "no configuration has come from control yet", "try again soon"};
    }
    each.configuration = m_routes.configuration();
    each.route = m_routes.find(each.request.host, each.request.path);
    if (each.route == nullptr) {
        status = http_status::notFound;
        return error{error_kind::UnknownService, "no route leads from " + each.request.host + each.request.path, "check host and path"};
    }
    const bool keyed = each.configuration->requiresAccessKey() && !each.route->isPublic;
    if (keyed) {
        if (!holdsRight()) {
            return error{error_kind::NotReady, "control has not confirmed the access keys lately", "try again soon"};
        }
        const account_settings *account = m_routes.account(each.request.key);
        if (account == nullptr) {
            status = http_status::unauthorized;
            return error{error_kind::Unauthorized, "the access key is missing or not known", "send a key of a client account"};
        }
        each.account = account->account;
    }
    each.service = chooseService(*each.route, *each.configuration);
    if (each.service == nullptr) {
        return error{error_kind::UnknownService, "the route names no service that is declared", "correct the configuration"};
    }
    return std::nullopt;
}

/** Adds a request to what callers ask of its model. */
void gateway_pipe::countAsked(const flow &each)
{
    if (each.service->engine && !each.request.model.value().empty()) {
        const bool hinted = each.request.expectedAnswerTokens > 0;
        const token_count answer = hinted ? each.request.expectedAnswerTokens : each.request.maxAnswerTokens;
        m_meter.count(each.request.model, each.request.promptTokens, answer, each.route->objective, m_now);
    }
}

/** Draws one of the route's services by weight. */
const service_settings *gateway_pipe::chooseService(const service_route &route, const service_configuration &configuration)
{
    std::uint64_t sum = 0;
    for (const route_target &each : route.targets) {
        sum += each.weight;
    }
    if (sum == 0) {
        return nullptr;
    }
    std::uint64_t drawn = std::uniform_int_distribution<std::uint64_t>(0, sum - 1)(m_random);
    for (const route_target &each : route.targets) {
        if (drawn < each.weight) {
            return configuration.service(each.service);
        }
        drawn -= each.weight;
    }
    return nullptr;
}

void gateway_pipe::refuse(flow &each, std::uint32_t status, error why, run_outcome outcome, duration retryAfter)
{
    const request_id request = each.request.request;
    each.status = status;
    emit(reject_request{request, status, std::move(why), outcome, retryAfter});
    finish(request, false);
}

void gateway_pipe::finish(request_id request, bool whole)
{
    const auto found = m_flows.find(request);
    const flow &each = found->second;
    const auto total = std::chrono::duration_cast<duration>(m_now - each.arrivedAt);
    emit(request_ended{request, each.request.name, each.status, each.sends, each.request.promptTokens, each.firstByte, each.longestPause, total, whole});
    m_waiting.erase(request);
    m_early.erase(request);
    m_flows.erase(found);
}

void gateway_pipe::take(const caller_disconnected &in)
{
    const auto found = m_flows.find(in.request);
    if (found == m_flows.end()) {
        return;
    }
    if (found->second.call.value() != 0) {
        emit(cancel_call{found->second.call});
        endCall(found->second);
    }
    finish(in.request, false);
}

/** Nobody can take the request now: it waits, or is given up. */
void gateway_pipe::waitForServer(flow &each)
{
    if (m_now >= each.waitsUntil || m_now >= each.deadline) {
        giveUp(each);
    } else {
        m_waiting.insert(each.request.request);
    }
}

void gateway_pipe::dispatchWaiting()
{
    // Streams that were broken off first, then what can be on time, the newest first: in overload the oldest would all be late.
    std::vector<std::pair<int, request_id>> waiting;
    waiting.reserve(m_waiting.size());
    for (const request_id &request : m_waiting) {
        const flow &each = m_flows.at(request);
        waiting.emplace_back(each.relayed ? 2 : (each.returns ? 0 : 1), request);
    }
    std::sort(waiting.rbegin(), waiting.rend());
    m_waiting.clear();
    for (const auto &[rank, request] : waiting) {
        if (const auto found = m_flows.find(request); found != m_flows.end() && found->second.call.value() == 0) {
            dispatch(found->second);
        }
    }
}

/** Ends a request that no backend server answers. */
void gateway_pipe::giveUp(flow &each)
{
    const request_id request = each.request.request;
    if (each.relayed) {
        emit(abort_answer{request});
        finish(request, false);
        return;
    }
    if (each.possibleRuns > 0) {
        const bool late = m_now >= each.deadline;
        refuse(each,
               late ? http_status::gatewayTimeout : http_status::badGateway,
               {error_kind::ConnectionFailed, "no whole answer came: " + each.lastFailure, "whether the request ran is not known"},
               run_outcome::Unknown,
               duration(0));
        return;
    }
    refuse(each,
           http_status::serviceUnavailable,
           {error_kind::Overloaded, each.lastFailure.empty() ? "no backend server is free" : each.lastFailure, "try again after the time stated"},
           run_outcome::DidNotRun,
           repairRetryAfter);
}

/** Ends requests whose time is over, and calls that take so long that another server should try. */
void gateway_pipe::lookAtTimes(flow &each)
{
    if (m_now >= each.deadline + limitGrace) {
        each.lastFailure = "the time limit of the route is over";
        if (each.call.value() != 0) {
            emit(cancel_call{each.call});
            endCall(each);
        }
        giveUp(each);
        return;
    }
    const duration silence = std::chrono::duration_cast<duration>(m_now - each.heardAt);
    const group_monitor *watch = watchOf(each.group);
    // The group may go on while this one connection has died.
    if (each.call.value() != 0 && watch != nullptr && each.route->allowsRetry() && each.possibleRuns < each.route->attempts
        && silence > std::max(longestSilence, std::chrono::ceil<duration>(silentPasses * watch->forecast(each.request.promptTokens, m_now).firstEvent))) {
        emit(cancel_call{each.call});
        callFailed(each, true, "nothing came for " + std::to_string(silence.count()) + " ms");
        return;
    }
    const bool plain = each.group.value() == 0 && each.call.value() != 0 && !each.headCame;
    const bool repeats = each.route->kind == retry_policy::Idempotent && each.possibleRuns < each.route->attempts;
    // A plain server that has not answered after most of the objective has lost the answer or is slow.
    if (plain && repeats && m_now >= each.sentAt + each.route->objective * 6 / 10) {
        emit(cancel_call{each.call});
        callFailed(each, true, "no answer after most of the objective");
    }
}

void gateway_pipe::take(const request_tick &)
{
    static constexpr duration standstill{120};
    if (m_lastTick != time_point() && m_now >= m_lastTick + standstill) {
        for (auto &[epoch, watch] : m_groups) {
            watch.forgiveSilence(m_now);
        }
    }
    m_lastTick = m_now;
    std::vector<request_id> requests;
    requests.reserve(m_flows.size());
    for (const auto &[request, each] : m_flows) {
        requests.push_back(request);
    }
    for (const request_id &request : requests) {
        if (const auto found = m_flows.find(request); found != m_flows.end() && !m_early.contains(request)) {
            lookAtTimes(found->second);
        }
    }
    admitEarly();
    dispatchWaiting();
    watchGroups();
    lookAtRight();
    if (m_now >= m_reportDue) {
        report();
    }
}

void gateway_pipe::take(const request_stop &)
{
    m_stopping = true;
}

void gateway_pipe::take(const configuration_in_force &in)
{
    m_routes = route_table(in.configuration);
}

} // namespace carawayloft
