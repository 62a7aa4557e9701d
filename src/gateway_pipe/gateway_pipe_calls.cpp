#include <carawayloft/gateway/gateway_pipe.h>

#include <algorithm>

namespace carawayloft {

/** Weight of the newest outcome in a server's failure rate, and the cost of a failure rate of one in running requests. */
static constexpr double outcomeWeight = 0.2;
static constexpr double failureCost = 20.0;

/** Cost of a server in another availability zone: in milliseconds for groups, in running requests for other servers. */
static constexpr double otherZoneCostMs = 3.0;
static constexpr double otherZoneCostRequests = 0.3;

/** Time after the first call to a group from which reports cover the load of other gateways there. */
static constexpr duration minReportedAge{1'200};

/** Time that callers wait for the next event of an interrupted stream before they disconnect. */
static constexpr duration maxResumeWait{1'800};

/** Share of a group's slots that may be used; the last slots slow down all other requests. */
static constexpr double maxSlotShare = 1.0;

/** Longest iteration as a share of the route's objective: a prompt that arrives during an iteration waits for the next one. */
static constexpr double maxIterationShare = 0.47;

/** The same for interrupted streams, whose callers already have part of the answer. */
static constexpr double maxResumeIterationShare = 0.9;

/** Random part of the cost of a group as a share of the objective: gateways that learn late what others send must not all choose the same group. */
static constexpr double costJitterShare = 1.0;

/** Both shares for requests that cannot meet their objective; the rest is reserved for those that can. */
static constexpr double maxLateSlotShare = 0.7;
static constexpr double maxLateIterationShare = 0.2;

bool gateway_pipe::acceptsRequests(const backend_view::backend &backend) const
{
    return backend.record.state == backend_state::Ready && !m_notices.isLeaving(backend.record) && !m_notices.refuses(backend.record, m_now)
           && m_fleet.state().acceptsWork(backend.record.zone);
}

void gateway_pipe::dispatch(request_context &context)
{
    m_waiting.erase(context.request.request);
    if (isQuarantined(context)) {
        rejectQuarantined(context);
        return;
    }
    if (m_now >= context.deadline) {
        giveUp(context);
        return;
    }
    const std::optional<candidate> target = chooseBackend(context);
    if (!target) {
        waitForBackend(context);
        return;
    }
    if (context.sendCount > 0 && !m_limiter.mayRetry(context.service->service, m_now)) {
        context.lastFailure += "; the retry budget is exhausted";
        giveUp(context);
        return;
    }
    sendTo(context, *target);
}

std::optional<gateway_pipe::candidate> gateway_pipe::chooseBackend(const request_context &context)
{
    return context.service->engine && !context.request.model.value().empty() ? chooseGroup(context) : chooseServer(context);
}

/** Chooses the open group with the shortest time to the first event among those with capacity for one more request. */
std::optional<gateway_pipe::candidate> gateway_pipe::chooseGroup(const request_context &context)
{
    const engine_duration timeToObjective = context.arrivedAt + context.route->objective - m_now;
    const auto usualPrompt = static_cast<token_count>(context.service->engine->meanPromptTokens.value());
    std::vector<candidate> candidates;
    for (const auto &[epoch, group] : m_view.groups()) {
        group_monitor *monitor = monitorFor(epoch);
        if (group.model != context.request.model || group.service != context.service->service || group.phase != group_phase::Open || monitor == nullptr
            || monitor->isSuspended(m_now)) {
            continue;
        }
        const backend_view::backend *head = m_view.find(group.head());
        if (head == nullptr || !acceptsRequests(*head) || context.triedBackends.contains(group.head())) {
            continue;
        }
        // The prompt length is capped, since otherwise the longest prompts would always count as late and hardly be served.
        const prompt_forecast forecast = monitor->forecast(std::min(context.request.promptTokens, usualPrompt), m_now);
        const bool late = !context.headRelayed && (context.isLate || forecast.timeToFirstEvent > timeToObjective);
        const bool full = forecast.running >= monitor->slots() * (late ? maxLateSlotShare : maxSlotShare);
        // The iteration time excludes the prompt itself, since otherwise the longest prompts would always wait.
        const double maxShare = context.headRelayed ? maxResumeIterationShare : (late ? maxLateIterationShare : maxIterationShare);
        if (full || forecast.baseIterationTime > context.route->objective * maxShare) {
            continue;
        }
        const double zoneCost = head->record.zone == m_options.zone ? 0.0 : otherZoneCostMs;
        const double jitter = std::uniform_real_distribution<double>(0.0, costJitterShare)(m_random) * static_cast<double>(context.route->objective.count());
        candidates.push_back({head, epoch, forecast.timeToFirstEvent.count() + zoneCost + jitter, forecast.running, ceilDuration(forecast.timeToFirstEvent)});
    }
    return chooseCheapest(context, std::move(candidates));
}

/** Chooses the server with the fewest running requests of this gateway, where failures and distance count as requests. */
std::optional<gateway_pipe::candidate> gateway_pipe::chooseServer(const request_context &context)
{
    std::vector<candidate> candidates;
    for (const auto &[id, backend] : m_view.backends()) {
        if (backend.record.service != context.service->service || !acceptsRequests(backend)) {
            continue;
        }
        const server_stats &stats = m_serverStats[id];
        const double avoidedCost = m_now < stats.avoidedUntil ? failureCost : 0.0;
        const double triedCost = context.triedBackends.contains(id) ? failureCost : 0.0;
        const double zoneCost = backend.record.zone == m_options.zone ? 0.0 : otherZoneCostRequests;
        const double jitter = std::uniform_real_distribution<double>(0.0, 0.5)(m_random);
        candidates.push_back({&backend, {}, stats.running + failureCost * stats.failureRate + avoidedCost + triedCost + zoneCost + jitter, stats.running, {}});
    }
    dropFailing(candidates);
    return chooseCheapest(context, std::move(candidates));
}

/** Leaves out servers that are failing if any other is sound, also one that its limit keeps from taking a request just now. */
void gateway_pipe::dropFailing(std::vector<candidate> &candidates) const
{
    const auto isFailing = [this](const candidate &each) {
        const server_stats &stats = m_serverStats.at(each.backend->record.backend);
        return stats.streak.isFailing(stats.running, m_now);
    };
    if (!std::all_of(candidates.begin(), candidates.end(), isFailing)) {
        std::erase_if(candidates, isFailing);
    }
}

/** The limits on requests to the candidate, over all gateways. */
send_limits gateway_pipe::sendLimitsOf(const request_context &context, const candidate &target)
{
    const backend_record &record = target.backend->record;
    send_limits limits{context.service->coldRequestsPerSecond.value(), m_now < target.backend->coldUntil, std::nullopt, namedShareOf(record)};
    // Running requests of other gateways approximate their sends per second, except while the group is new.
    if (const group_monitor *monitor = monitorFor(target.group); monitor != nullptr && !limits.cold && monitor->age(m_now) >= minReportedAge) {
        limits.otherGatewaysRate = monitor->othersRunning();
    }
    return limits;
}

/** Chooses the cheapest candidate whose limits allow one more request. */
std::optional<gateway_pipe::candidate> gateway_pipe::chooseCheapest(const request_context &context, std::vector<candidate> candidates)
{
    std::sort(candidates.begin(), candidates.end(), [](const candidate &left, const candidate &right) { return left.cost < right.cost; });
    for (const candidate &target : candidates) {
        const backend_id &backend = target.backend->record.backend;
        if (m_byteLimiter.maySend(backend, context.request.bytes) && m_limiter.maySend(backend, sendLimitsOf(context, target), m_now)) {
            return target;
        }
    }
    return std::nullopt;
}

void gateway_pipe::sendTo(request_context &context, const candidate &target)
{
    m_lastCall = next(m_lastCall);
    context.call = m_lastCall;
    context.backend = target.backend->record.backend;
    context.backendStartedAt = target.backend->record.startedAt;
    m_limiter.recordSend(context.backend, m_now);
    m_byteLimiter.recordSend(context.call, context.backend, context.request.bytes);
    if (context.sendCount > 0) {
        m_limiter.recordRetry(context.service->service, m_now);
    }
    context.group = target.group;
    context.forecast = target.forecast;
    context.sentAt = m_now;
    context.progressAt = m_now;
    context.answerBegunAt.reset();
    context.survivalRecorded = false;
    context.headReceived = false;
    context.isStreaming = false;
    context.body.clear();
    context.splice.restart();
    ++context.sendCount;
    ++context.possibleRuns;
    m_calls[context.call] = context.request.request;
    if (group_monitor *monitor = monitorFor(context.group)) {
        monitor->addCall(context.call, context.request.promptTokens, m_now);
    } else {
        ++m_serverStats[context.backend].running;
    }
    const auto timeLeft = std::chrono::duration_cast<duration>(context.deadline - m_now);
    emit(backend_chosen{context.request.request,
                        context.call,
                        context.backend,
                        context.group,
                        static_cast<std::uint32_t>(m_view.groups().size()),
                        target.running,
                        context.group.value() != 0 ? monitorFor(context.group)->loadAge(m_now) : duration(0),
                        context.configuration->version(),
                        context.sendCount});
    emit(call_backend{context.call,
                      context.request.request,
                      context.backend,
                      target.backend->record.address,
                      context.account,
                      timeLeft,
                      context.splice.lastEvent(),
                      !mayRunAgain(context) || context.triedBackends.contains(context.backend),
                      context.group.value() != 0 ? m_urgencies.urgencyOf(precedenceOf(context)) : std::nullopt});
}

gateway_pipe::request_context *gateway_pipe::findByCall(backend_call_id call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return nullptr;
    }
    const auto context = m_activeRequests.find(found->second);
    return context == m_activeRequests.end() || context->second.call != call ? nullptr : &context->second;
}

/** Removes the state of the call in flight; does not cancel the call itself. */
void gateway_pipe::endCall(request_context &context)
{
    if (group_monitor *monitor = monitorFor(context.group)) {
        monitor->removeCall(context.call);
    } else if (const auto server = m_serverStats.find(context.backend); server != m_serverStats.end() && server->second.running > 0) {
        --server->second.running;
    }
    m_byteLimiter.recordEnd(context.call);
    m_calls.erase(context.call);
    context.call = {};
    context.window.restart();
}

void gateway_pipe::recordOutcome(const request_context &context, bool failure)
{
    if (context.group.value() == 0) {
        double &failureRate = m_serverStats[context.backend].failureRate;
        failureRate += outcomeWeight * ((failure ? 1.0 : 0.0) - failureRate);
    }
}

/** Records whether an answer was whole, whatever its status. Refusals and slow servers are no broken answers. */
void gateway_pipe::recordForm(const request_context &context, bool isBroken)
{
    if (context.group.value() == 0) {
        m_serverStats[context.backend].streak.record(isBroken, m_now);
    }
}

/** Whether the route allows one more run beside those that there may have been. */
bool gateway_pipe::mayRunAgain(const request_context &context)
{
    return context.route->allowsRetry() && context.possibleRuns < context.route->attempts;
}

/** Ends a failed call and dispatches the request again if it may run again. */
void gateway_pipe::handleCallFailure(request_context &context, bool mayHaveRun, std::string reason)
{
    recordOutcome(context, true);
    const backend_id from = context.backend;
    const bool isSuspect = mayHaveRun && mayHaveCrashedItsServer(context) && m_crashWitness.isSuspect(context.service->service, context.request.traits, m_now);
    endCall(context);
    context.triedBackends.insert(from);
    context.lastFailure = std::move(reason);
    if (!mayHaveRun) {
        --context.possibleRuns;
        m_serverStats[from].avoidedUntil = m_now + avoidanceTime;
    }
    const bool mayRetry = context.possibleRuns == 0 || mayRunAgain(context);
    if (!mayRetry || isSuspect || context.sendCount >= maxSends || context.splice.hasGap()) {
        giveUp(context);
        return;
    }
    if (context.possibleRuns > 0) {
        const time_point since = context.headRelayed ? context.lastRelayedAt : m_now;
        context.waitDeadline = since + maxResumeWait;
    }
    emit(call_repeated{context.request.request, from, context.lastFailure, context.splice.lastEvent()});
    dispatch(context);
}

} // namespace carawayloft
