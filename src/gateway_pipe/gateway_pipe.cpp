#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/http_status.h>
#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** A late request waits for a backend server for at most this fraction of its time limit, and at most this long. */
static constexpr int waitDivisor = 4;
static constexpr duration maxWait{1'200};

/** Retry delay while this process has no connection to control: about the time that finding a new leader takes. */
static constexpr duration controlRetryAfter{800};

/** Time after the start in which a process connects to control, even if control starts at the same time. */
static constexpr duration startupTime{1'500};

/** A call is moved after a silence of this length and of this many times the expected time to the first event. */
static constexpr duration minStreamTimeout{700};
static constexpr double streamTimeoutFactor = 4.0;

/** Time after the deadline in which a backend server may still report its own timeout. */
static constexpr duration deadlineGrace{60};

gateway_pipe::gateway_pipe(const gateway_pipe_options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_limiter(options.limits, options.seed)
    , m_byteLimiter(options.backendBytes)
    , m_admission(options.seed)
    , m_retrySchedule(options.seed)
{
}

std::vector<gateway_pipe::output> gateway_pipe::step(const input &in, time_point now)
{
    m_now = now;
    if (m_startedAt == time_point()) {
        m_startedAt = now;
        m_limiter.setStartedAt(now);
    }
    m_out.clear();
    std::visit([this](const auto &each) { handle(each); }, in);
    if (m_stopping && !m_drainedReported && m_activeRequests.empty()) {
        m_drainedReported = true;
        emit(requests_drained{});
    }
    return std::move(m_out);
}

bool gateway_pipe::isReady(time_point now) const
{
    return !m_stopping && m_routes.configuration() && now < m_leaseUntil;
}

bool gateway_pipe::holdsLease() const
{
    return m_now < m_leaseUntil;
}

void gateway_pipe::handle(const gateway_request &in)
{
    request_context &context = m_activeRequests[in.request];
    context.request = in;
    context.arrivedAt = m_now;
    context.splice = stream_splice(in.resumeAfter);
    if (isAwaitingControl()) {
        // The caller may already have lost an attempt to the same outage, and control is usually found within moments.
        m_deferred.insert(in.request);
    } else {
        admit(context);
    }
}

/** Whether this process has started recently and still lacks a configuration or a lease. */
bool gateway_pipe::isAwaitingControl() const
{
    return (!m_routes.configuration() || !holdsLease()) && m_now < m_startedAt + startupTime;
}

/** Admits the requests deferred at startup, once control is found or startupTime is over. */
void gateway_pipe::admitDeferred()
{
    if (m_deferred.empty() || isAwaitingControl()) {
        return;
    }
    for (const request_id &request : std::exchange(m_deferred, {})) {
        if (const auto found = m_activeRequests.find(request); found != m_activeRequests.end()) {
            admit(found->second);
        }
    }
}

/** Whether the caller has been rejected before: it states what is left of its time limit, and will not return once more. */
bool gateway_pipe::isReturning(const gateway_request &request, const service_route &route)
{
    return request.timeLimit.count() > 0 && request.timeLimit < maxReturningTimeShare * route.timeLimit;
}

void gateway_pipe::admit(request_context &context)
{
    const gateway_request &in = context.request;
    std::uint32_t status = 0;
    if (const std::optional<error> failure = resolve(context, status)) {
        reject(context, status, *failure, run_outcome::DidNotRun, status == http_status::serviceUnavailable ? controlRetryAfter : duration(0));
        return;
    }
    const duration limit = in.timeLimit.count() > 0 ? std::min(in.timeLimit, context.route->timeLimit) : context.route->timeLimit;
    context.deadline = context.arrivedAt + limit;
    m_limiter.countRequest(context.service->service, m_now);
    context.isLate = isReturning(in, *context.route) || m_now >= context.arrivedAt + context.route->objective;
    recordTraffic(context);
    if (isRefused(context)) {
        return;
    }
    context.waitDeadline = m_now + (context.isLate ? std::min(maxWait, limit / waitDivisor) : context.route->objective * 6 / 10);
    if (hasWaitingBefore(context)) {
        waitForBackend(context);
    } else {
        dispatch(context);
    }
}

/** Whether a request waits that goes before this one in dispatch. */
bool gateway_pipe::hasWaitingBefore(const request_context &context) const
{
    const dispatch_precedence own = precedenceOf(context);
    return std::any_of(m_waiting.begin(), m_waiting.end(), [&](const request_id &each) { return precedenceOf(m_activeRequests.at(each)) < own; });
}

/** Finds route, account and service; on failure returns the error and sets the status of the rejection. */
std::optional<error> gateway_pipe::resolve(request_context &context, std::uint32_t &status)
{
    status = http_status::serviceUnavailable;
    if (!m_routes.configuration()) {
        return error{error_kind::NotReady, "no configuration received from control yet", "retry shortly"};
    }
    context.configuration = m_routes.configuration();
    context.route = m_routes.find(context.request.host, context.request.path);
    if (context.route == nullptr) {
        status = http_status::notFound;
        return error{error_kind::UnknownService, "no route matches " + context.request.host + context.request.path, "check the host and path"};
    }
    const bool needsKey = context.configuration->requiresAccessKey() && !context.route->isPublic;
    if (needsKey) {
        if (!holdsLease()) {
            return error{error_kind::NotReady, "access keys cannot be verified: the lease from control has expired", "retry shortly"};
        }
        const account_settings *account = m_routes.account(context.request.key);
        if (account == nullptr) {
            status = http_status::unauthorized;
            return error{error_kind::Unauthorized, "the access key is missing or unknown", "send the access key of a client account"};
        }
        context.account = account->account;
        context.rank = rankOf(*context.route, account);
    } else {
        context.rank = rankOf(*context.route, nullptr);
    }
    context.service = chooseService(*context.route, *context.configuration);
    if (context.service == nullptr) {
        return error{error_kind::UnknownService, "the route has no declared target service", "correct the configuration"};
    }
    return std::nullopt;
}

/** Profile of the requested model, or nullptr if the service runs no engines or does not have the model. */
const model_profile *gateway_pipe::modelOf(const request_context &context) const
{
    if (!context.service->engine) {
        return nullptr;
    }
    const auto &models = context.service->engine->models;
    const auto found = std::find_if(models.begin(), models.end(), [&](const model_profile &each) { return each.model == context.request.model; });
    return found == models.end() ? nullptr : &*found;
}

/** Counts the request in the reported traffic of its model. Models that the service does not have are left out, since callers may name any. */
void gateway_pipe::recordTraffic(const request_context &context)
{
    if (modelOf(context) != nullptr) {
        if (context.isLate) {
            m_trafficMeter.countReturning(context.request.model, m_now);
            return;
        }
        const bool hinted = context.request.expectedAnswerTokens > 0;
        const token_count answer = hinted ? context.request.expectedAnswerTokens : context.request.maxAnswerTokens;
        m_trafficMeter.count(context.request.model, context.request.promptTokens, answer, context.route->objective, m_now);
        m_classMeter.count(context.request.model, context.rank, context.account, m_now);
    }
}

/** Chooses one of the route's services at random by weight; nullptr if none is declared. */
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

void gateway_pipe::reject(request_context &context, std::uint32_t status, error why, run_outcome outcome, duration retryAfter)
{
    const request_id request = context.request.request;
    context.status = status;
    emit(reject_request{request, status, std::move(why), outcome, retryAfter});
    finish(request, false);
}

void gateway_pipe::finish(request_id request, bool whole)
{
    const auto found = m_activeRequests.find(request);
    const request_context &context = found->second;
    const auto total = std::chrono::duration_cast<duration>(m_now - context.arrivedAt);
    emit(request_ended{request,
                       context.request.name,
                       context.status,
                       context.sendCount,
                       context.request.model,
                       context.request.promptTokens,
                       context.route == nullptr ? duration(0) : context.route->objective,
                       context.forecast,
                       context.firstByte,
                       context.longestPause,
                       total,
                       whole});
    m_waiting.erase(request);
    m_deferred.erase(request);
    m_activeRequests.erase(found);
}

void gateway_pipe::handle(const caller_disconnected &in)
{
    const auto found = m_activeRequests.find(in.request);
    if (found == m_activeRequests.end()) {
        return;
    }
    if (found->second.call.value() != 0) {
        emit(cancel_call{found->second.call});
        endCall(found->second);
    }
    finish(in.request, false);
}

/** Lets the request wait for a backend server, or ends it if its wait deadline has passed. */
void gateway_pipe::waitForBackend(request_context &context)
{
    if (m_now >= context.waitDeadline || m_now >= context.deadline) {
        giveUp(context);
    } else {
        m_waiting.insert(context.request.request);
    }
}

void gateway_pipe::dispatchWaiting()
{
    // Within a class the newest goes first: in overload, oldest first would make all of them late.
    std::vector<std::pair<dispatch_precedence, request_id>> waiting;
    waiting.reserve(m_waiting.size());
    for (const request_id &request : m_waiting) {
        waiting.emplace_back(precedenceOf(m_activeRequests.at(request)), request);
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first < right.first : left.second > right.second;
    });
    m_waiting.clear();
    for (const auto &[precedence, request] : waiting) {
        if (const auto found = m_activeRequests.find(request); found != m_activeRequests.end() && found->second.call.value() == 0) {
            dispatch(found->second);
        }
    }
}

/** Ends a request that no backend server has answered completely. */
void gateway_pipe::giveUp(request_context &context)
{
    const request_id request = context.request.request;
    if (context.headRelayed) {
        emit(abort_answer{request});
        finish(request, false);
        return;
    }
    if (context.possibleRuns > 0) {
        const bool late = m_now >= context.deadline;
        reject(context,
               late ? http_status::gatewayTimeout : http_status::badGateway,
               {error_kind::ConnectionFailed, "no complete answer received: " + context.lastFailure, "the request may have run"},
               run_outcome::Unknown,
               duration(0));
        return;
    }
    rejectForOverload(
        context, {error_kind::Overloaded, context.lastFailure.empty() ? "no backend server is free" : context.lastFailure, "retry after the stated time"});
}

/** Whether another backend server would take the request now; the one that has it may be slow but sound. */
bool gateway_pipe::canMove(request_context &context)
{
    if (!m_limiter.mayRetry(context.service->service, m_now)) {
        return false;
    }
    const bool isNew = context.triedBackends.insert(context.backend).second;
    const std::optional<candidate> target = chooseBackend(context);
    if (isNew) {
        context.triedBackends.erase(context.backend);
    }
    return target && target->backend->record.backend != context.backend;
}

/** Ends a request past its deadline, and moves a call that takes too long to another server. */
void gateway_pipe::checkTimeouts(request_context &context)
{
    if (m_now >= context.deadline + deadlineGrace) {
        context.lastFailure = "the time limit of the request has expired";
        if (context.call.value() != 0) {
            emit(cancel_call{context.call});
            // An answer that has begun and does not end; a shorter call may have come too late for a whole one.
            if (context.headReceived && m_now >= context.sentAt + context.route->objective) {
                recordOutcome(context, true);
                recordForm(context, true);
            }
            endCall(context);
        }
        giveUp(context);
        return;
    }
    const duration silence = std::chrono::duration_cast<duration>(m_now - context.progressAt);
    const group_monitor *monitor = monitorFor(context.group);
    // A dead connection affects only this call: the group itself may make progress.
    if (context.call.value() != 0 && monitor != nullptr && context.route->allowsRetry() && context.possibleRuns < context.route->attempts
        && silence > std::max(minStreamTimeout, ceilDuration(streamTimeoutFactor * monitor->forecast(context.request.promptTokens, m_now).timeToFirstEvent))
        && canMove(context)) {
        emit(cancel_call{context.call});
        handleCallFailure(context, true, "no data for " + std::to_string(silence.count()) + " ms");
        return;
    }
    const bool awaitsHead = context.group.value() == 0 && context.call.value() != 0 && !context.headReceived;
    const bool retryable = context.route->kind == retry_policy::Idempotent && context.possibleRuns < context.route->attempts;
    // A server outside any group that has not answered after most of the objective has lost the request or is slow.
    if (awaitsHead && retryable && m_now >= context.sentAt + context.route->objective * 6 / 10 && canMove(context)) {
        emit(cancel_call{context.call});
        handleCallFailure(context, true, "no answer within most of the latency objective");
    }
}

void gateway_pipe::handle(const request_tick &)
{
    // A tick that comes this late shows that the process was paused.
    static constexpr duration processPause{120};
    if (m_lastTick != time_point() && m_now >= m_lastTick + processPause) {
        for (auto &[epoch, monitor] : m_groupMonitors) {
            monitor.restartSilence(m_now);
        }
    }
    m_lastTick = m_now;
    std::vector<request_id> requests;
    requests.reserve(m_activeRequests.size());
    for (const auto &[request, context] : m_activeRequests) {
        requests.push_back(request);
    }
    for (const request_id &request : requests) {
        if (const auto found = m_activeRequests.find(request); found != m_activeRequests.end() && !m_deferred.contains(request)) {
            if (found->second.window.isPaused()) {
                recordProgress(found->second); // Its silence is that of the caller.
            }
            countOverdue(found->second);
            checkTimeouts(found->second);
        }
    }
    admitDeferred();
    dispatchWaiting();
    checkGroups();
    emitLeaseChange();
    if (m_now >= m_nextReportAt) {
        sendReport();
    }
}

void gateway_pipe::handle(const request_stop &)
{
    m_stopping = true;
}

void gateway_pipe::handle(const configuration_in_force &in)
{
    m_routes = route_table(in.configuration);
    m_urgencies = urgency_scale(*in.configuration);
}

} // namespace carawayloft
