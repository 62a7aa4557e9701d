#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/http_status.h>

#include <algorithm>

namespace carawayloft {

/** Calls for one request at most, those included that servers rejected unrun. */
static constexpr std::uint32_t maxSends = 4;

/** Time that a server is left alone after it could not be reached or rejected a request unrun. */
static constexpr duration avoidTime{400};

/** Weight of the newest outcome in what is known of a plain server, and its price in requests waiting there. */
static constexpr double outcomeWeight = 0.2;
static constexpr double failurePrice = 20.0;

/** Price of a server in another availability zone, in milliseconds and in requests. */
static constexpr double otherZoneMs = 3.0;
static constexpr double otherZoneRequests = 0.3;

/** Age of a group from which on reports tell what other gateways send there. */
static constexpr duration settleTime{1'200};

/** Time that a caller of a broken stream waits for more before it leaves. */
static constexpr duration resumePatience{1'800};

/** Part of a group's places that may be taken; the last ones slow down everyone else. */
static constexpr double usedSlotShare = 1.0;

/** Part of a route's objective that the pass may take that reads a prompt: those that come during a pass wait for the next one. */
static constexpr double passShare = 0.47;

/** The same for streams that were broken off: their callers already have a part of the answer. */
static constexpr double resumePassShare = 0.9;

/** Of these two for requests that cannot be on time any more; the rest is kept for those that can. */
static constexpr double lateSlotShare = 0.7;
static constexpr double latePassShare = 0.35;

bool gateway_pipe::mayBeUsed(const backend_view::backend &backend) const
{
    return backend.record.state == backend_state::Ready && m_fleet.state().acceptsWork(backend.record.zone);
}

void gateway_pipe::dispatch(flow &each)
{
    m_waiting.erase(each.request.request);
    if (m_now >= each.deadline) {
        giveUp(each);
        return;
    }
    const std::optional<candidate> target = choose(each);
    if (!target) {
        waitForServer(each);
        return;
    }
    if (each.sends > 0 && !m_limits.takeRetry(each.service->service, m_now)) {
        each.lastFailure += "; the bound on repeats is reached";
        giveUp(each);
        return;
    }
    sendTo(each, *target);
}

std::optional<gateway_pipe::candidate> gateway_pipe::choose(const flow &each)
{
    return each.service->engine && !each.request.model.value().empty() ? chooseGroup(each) : chooseServer(each);
}

/** The open group with the shortest time to the first event among those that bear one more request. */
std::optional<gateway_pipe::candidate> gateway_pipe::chooseGroup(const flow &each)
{
    const engine_duration timeToObjective = each.arrivedAt + each.route->objective - m_now;
    const auto usualPrompt = static_cast<token_count>(each.service->engine->meanPromptTokens);
    std::vector<candidate> candidates;
    for (const auto &[epoch, group] : m_view.groups()) {
        group_monitor *watch = watchOf(epoch);
        if (group.model != each.request.model || group.service != each.service->service || group.phase != group_phase::Open || watch == nullptr
            || watch->isSuspended(m_now)) {
            continue;
        }
        const backend_view::backend *head = m_view.find(group.head());
        if (head == nullptr || !mayBeUsed(*head) || each.tried.contains(group.head())) {
            continue;
        }
        // A long prompt is not held to be late for its own length, or the longest ones would hardly be served.
        const prompt_forecast expected = watch->forecast(std::min(each.request.promptTokens, usualPrompt), m_now);
        const bool late = !each.relayed && (each.returns || expected.firstEvent > timeToObjective);
        const bool full = expected.running >= watch->slots() * (late ? lateSlotShare : usedSlotShare);
        // The prompt itself does not count, or the longest ones would always wait.
        const double allowed = each.relayed ? resumePassShare : (late ? latePassShare : passShare);
        if (full || expected.passWithout > each.route->objective * allowed) {
            continue;
        }
        const double zone = head->record.zone == m_options.zone ? 0.0 : otherZoneMs;
        candidates.push_back({head, epoch, expected.firstEvent.count() + zone, expected.running});
    }
    return firstThatBears(each, std::move(candidates));
}

/** The plain server with the fewest requests of this gateway, where failures count as requests. */
std::optional<gateway_pipe::candidate> gateway_pipe::chooseServer(const flow &each)
{
    std::vector<candidate> candidates;
    for (const auto &[id, backend] : m_view.backends()) {
        if (backend.record.service != each.service->service || !mayBeUsed(backend)) {
            continue;
        }
        const server_stats &watch = m_servers[id];
        const double avoided = m_now < watch.avoidedUntil ? failurePrice : 0.0;
        const double tried = each.tried.contains(id) ? failurePrice : 0.0;
        const double zone = backend.record.zone == m_options.zone ? 0.0 : otherZoneRequests;
        const double drawn = std::uniform_real_distribution<double>(0.0, 0.5)(m_random);
        candidates.push_back({&backend, {}, watch.running + failurePrice * watch.failures + avoided + tried + zone + drawn, watch.running});
    }
    return firstThatBears(each, std::move(candidates));
}

/** The cheapest candidate whose bound on sends leaves room for one more; it is taken. */
std::optional<gateway_pipe::candidate> gateway_pipe::firstThatBears(const flow &each, std::vector<candidate> candidates)
{
    std::sort(candidates.begin(), candidates.end(), [](const candidate &left, const candidate &right) { return left.cost < right.cost; });
    for (const candidate &target : candidates) {
        const bool cold = m_now < target.backend->coldUntil;
        std::optional<double> others;
        // What others have running is about what they send in a second; right after the start it says nothing.
        if (const group_monitor *watch = watchOf(target.group); watch != nullptr && !cold && watch->age(m_now) >= settleTime) {
            others = watch->othersRunning();
        }
        if (m_limits.takeColdSend(target.backend->record.backend, each.service->coldRequestsPerSecond, cold, others, m_now)) {
            return target;
        }
    }
    return std::nullopt;
}

void gateway_pipe::sendTo(flow &each, const candidate &target)
{
    m_lastCall = next(m_lastCall);
    each.call = m_lastCall;
    each.backend = target.backend->record.backend;
    each.group = target.group;
    each.sentAt = m_now;
    each.heardAt = m_now;
    each.headCame = false;
    each.streams = false;
    each.body.clear();
    each.splice.startOver();
    ++each.sends;
    ++each.possibleRuns;
    m_calls[each.call] = each.request.request;
    if (group_monitor *watch = watchOf(each.group)) {
        watch->begin(each.call, each.request.promptTokens, m_now);
    } else {
        ++m_servers[each.backend].running;
    }
    const auto timeLeft = std::chrono::duration_cast<duration>(each.deadline - m_now);
    emit(backend_chosen{each.request.request,
                        each.call,
                        each.backend,
                        each.group,
                        static_cast<std::uint32_t>(m_view.groups().size()),
                        target.running,
                        each.group.value() != 0 ? watchOf(each.group)->loadAge(m_now) : duration(0),
                        each.configuration->version(),
                        each.sends});
    emit(call_backend{each.call,
                      each.request.request,
                      each.backend,
                      target.backend->record.address,
                      each.account,
                      timeLeft,
                      each.splice.lastEvent(),
                      !each.route->allowsRetry()});
}

gateway_pipe::flow *gateway_pipe::flowOf(backend_call_id call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return nullptr;
    }
    const auto each = m_flows.find(found->second);
    return each == m_flows.end() || each->second.call != call ? nullptr : &each->second;
}

/** Forgets the call under way; the task was or will be told apart. */
void gateway_pipe::endCall(flow &each)
{
    if (group_monitor *watch = watchOf(each.group)) {
        watch->end(each.call);
    } else if (const auto server = m_servers.find(each.backend); server != m_servers.end() && server->second.running > 0) {
        --server->second.running;
    }
    m_calls.erase(each.call);
    each.call = {};
}

void gateway_pipe::noteOutcome(const flow &each, bool failure)
{
    if (each.group.value() == 0) {
        double &failures = m_servers[each.backend].failures;
        failures += outcomeWeight * ((failure ? 1.0 : 0.0) - failures);
    }
}

/** A call came to nothing; another server goes on if that does no harm. */
void gateway_pipe::callFailed(flow &each, bool mayHaveRun, std::string reason)
{
    noteOutcome(each, true);
    const backend_id from = each.backend;
    endCall(each);
    each.tried.insert(from);
    each.lastFailure = std::move(reason);
    if (!mayHaveRun) {
        --each.possibleRuns;
        m_servers[from].avoidedUntil = m_now + avoidTime;
    }
    const bool allowsRetry = each.possibleRuns == 0 || (each.route->allowsRetry() && each.possibleRuns < each.route->attempts);
    if (!allowsRetry || each.sends >= maxSends || each.splice.hasGap()) {
        giveUp(each);
        return;
    }
    if (each.possibleRuns > 0) {
        const time_point since = each.relayed ? each.relayedAt : m_now;
        each.waitsUntil = since + resumePatience;
    }
    emit(call_repeated{each.request.request, from, each.lastFailure, each.splice.lastEvent()});
    dispatch(each);
}

/** Whether callers take the status as a promise that the request has not run. */
static bool promisesNotRun(std::uint32_t status)
{
    return status == http_status::requestTimeout || status == http_status::misdirectedRequest || status == http_status::tooManyRequests
           || status == http_status::serviceUnavailable;
}

void gateway_pipe::take(const backend_answer_started &in)
{
    flow *each = flowOf(in.call);
    if (each == nullptr) {
        return;
    }
    if (in.requestIdMismatch) {
        emit(cancel_call{in.call});
        callFailed(*each, true, "the server answered some other request");
        return;
    }
    if (in.wrongBackend || in.notExecuted) {
        rejected(*each, in);
        return;
    }
    if (promisesNotRun(in.status)) {
        emit(cancel_call{in.call});
        callFailed(*each, true, "the server answered with status " + std::to_string(in.status) + " without saying that it did not run the request");
        return;
    }
    const bool serverFailed = in.status >= http_status::internalServerError;
    if (serverFailed && each->route->allowsRetry() && each->possibleRuns < each->route->attempts && each->sends < maxSends) {
        emit(cancel_call{in.call});
        callFailed(*each, true, "the server answered with status " + std::to_string(in.status));
        return;
    }
    if (each->relayed && (in.status != http_status::ok || !in.isStream)) {
        emit(cancel_call{in.call});
        callFailed(*each, true, "the server did not go on with the stream");
        return;
    }
    each->headCame = true;
    each->status = in.status;
    each->streams = in.isStream && in.status == http_status::ok;
    if (each->streams && !each->relayed) {
        each->relayed = true;
        each->relayedAt = m_now;
        emit(begin_stream{each->request.request, in.call});
    }
}

/** The server says that it did not run the request. */
void gateway_pipe::rejected(flow &each, const backend_answer_started &in)
{
    const group_epoch group = each.group;
    emit(cancel_call{in.call});
    if (group_monitor *watch = watchOf(group)) {
        watch->suspend(m_now + avoidTime);
    }
    callFailed(each, false, in.wrongBackend ? "another server has the address" : "the server rejected it unrun with status " + std::to_string(in.status));
}

void gateway_pipe::take(const backend_bytes_received &in)
{
    flow *each = flowOf(in.call);
    if (each == nullptr) {
        return;
    }
    if (group_monitor *watch = watchOf(each->group)) {
        watch->progress(in.call, m_now);
    }
    each->heardAt = m_now;
    if (each->firstByte.count() == 0) {
        each->firstByte = std::chrono::duration_cast<duration>(m_now - each->arrivedAt);
    }
    if (!each->streams) {
        each->body += in.bytes;
        return;
    }
    std::string events = each->splice.take(in.bytes);
    if (each->splice.hasGap()) {
        emit(cancel_call{in.call});
        callFailed(*each, true, "an event of the stream is missing");
        return;
    }
    if (!events.empty()) {
        if (each->eventRelayed) {
            each->longestPause = std::max(each->longestPause, std::chrono::duration_cast<duration>(m_now - each->relayedAt));
        }
        each->eventRelayed = true;
        each->relayedAt = m_now;
        emit(continue_answer{each->request.request, std::move(events)});
    }
}

void gateway_pipe::take(const backend_answer_finished &in)
{
    flow *each = flowOf(in.call);
    if (each == nullptr) {
        return;
    }
    if (each->streams && each->splice.holdsPart()) {
        callFailed(*each, true, "the stream ended within an event");
        return;
    }
    noteOutcome(*each, each->status >= http_status::internalServerError);
    const request_id request = each->request.request;
    if (each->streams) {
        emit(finish_answer{request});
    } else {
        emit(send_whole_answer{request, in.call, std::move(each->body)});
    }
    endCall(*each);
    finish(request, true);
}

void gateway_pipe::take(const backend_call_failed &in)
{
    flow *each = flowOf(in.call);
    if (each == nullptr) {
        return;
    }
    const group_epoch group = each->group;
    if (const auto found = m_view.groups().find(group); found != m_view.groups().end()) {
        if (group_monitor *watch = watchOf(group); watch != nullptr && in.neverSent) {
            watch->suspend(m_now + avoidTime);
        }
        suspect(found->second);
    }
    callFailed(*each, !in.neverSent, in.reason);
}

} // namespace carawayloft
