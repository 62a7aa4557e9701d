#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/http_status.h>

#include <algorithm>

// What backend servers answer, and what of it reaches the caller.

namespace carawayloft {

/** Whether callers take the status as proof that the request has not run. */
static bool impliesNotExecuted(std::uint32_t status)
{
    return status == http_status::requestTimeout || status == http_status::misdirectedRequest || status == http_status::tooManyRequests
           || status == http_status::serviceUnavailable;
}

void gateway_pipe::handle(const backend_answer_started &in)
{
    request_context *context = findByCall(in.call);
    if (context == nullptr) {
        return;
    }
    if (!in.wrongBackend) {
        recordNotices(*context, in);
    }
    if (in.requestIdMismatch) {
        emit(cancel_call{in.call});
        recordForm(*context, true);
        handleCallFailure(*context, true, "the answer belongs to another request");
        return;
    }
    if (!in.wrongBackend) {
        recordNamedLimit(context->backend, in.requestLimit);
        if (context->group.value() == 0) {
            m_serverStats[context->backend].answeredAt = m_now;
        }
    }
    if (in.wrongBackend || in.notExecuted) {
        handleNotExecuted(*context, in);
        return;
    }
    if (impliesNotExecuted(in.status)) {
        emit(cancel_call{in.call});
        handleCallFailure(*context, true, "the server returned status " + std::to_string(in.status) + " without stating that the request did not run");
        return;
    }
    const bool serverFailed = in.status >= http_status::internalServerError;
    if (serverFailed && context->route->allowsRetry() && context->possibleRuns < context->route->attempts && context->sendCount < maxSends) {
        emit(cancel_call{in.call});
        handleCallFailure(*context, true, "the server returned status " + std::to_string(in.status));
        return;
    }
    if (context->headRelayed && (in.status != http_status::ok || !in.isStream)) {
        emit(cancel_call{in.call});
        handleCallFailure(*context, true, "the server did not resume the stream");
        return;
    }
    context->headReceived = true;
    context->status = in.status;
    context->isStreaming = in.isStream && in.status == http_status::ok;
    if (context->isStreaming && !context->headRelayed) {
        context->headRelayed = true;
        context->lastRelayedAt = m_now;
        emit(begin_stream{context->request.request, in.call});
    }
}

/** Records what the server says of itself beside its answer. */
void gateway_pipe::recordNotices(const request_context &context, const backend_answer_started &in)
{
    if (in.leaving && m_notices.recordLeaving(context.backend, context.backendStartedAt)) {
        emit(backend_leaving_observed{context.backend, context.backendStartedAt});
        sendReport();
    }
    if (in.refusalTime) {
        m_notices.recordRefusal(context.backend, context.backendStartedAt, *in.refusalTime, m_now);
        emit(backend_refusal_observed{context.backend, *in.refusalTime});
    }
}

/** Retries elsewhere: the server did not run the request, or a different server uses the address. */
void gateway_pipe::handleNotExecuted(request_context &context, const backend_answer_started &in)
{
    const group_epoch group = context.group;
    emit(cancel_call{in.call});
    if (group_monitor *monitor = monitorFor(group)) {
        monitor->suspend(m_now + avoidanceTime);
    }
    handleCallFailure(
        context,
        false,
        in.wrongBackend ? "a different server uses the address" : "the server rejected the request without running it, status " + std::to_string(in.status));
}

/** Records progress of the call in flight. Of a stream only whole events count: a server that sends a byte now and then is stalled. */
void gateway_pipe::recordProgress(request_context &context)
{
    if (group_monitor *monitor = monitorFor(context.group)) {
        monitor->recordProgress(context.call, m_now);
    }
    context.progressAt = m_now;
}

void gateway_pipe::handle(const backend_bytes_received &in)
{
    request_context *context = findByCall(in.call);
    if (context == nullptr) {
        return;
    }
    if (context->firstByte.count() == 0) {
        context->firstByte = std::chrono::duration_cast<duration>(m_now - context->arrivedAt);
    }
    if (!context->isStreaming) {
        recordProgress(*context);
        context->answerBegunAt = context->answerBegunAt.value_or(m_now);
        recordAnswerProgress(*context, false);
        context->body += in.bytes;
        const bool isLarge = context->body.size() > largeAnswerBytes;
        if (context->body.size() > maxWholeAnswerBytes || (isLarge && keptAnswerBytes() > m_options.maxKeptAnswers)) {
            emit(cancel_call{in.call});
            recordForm(*context, true);
            handleCallFailure(*context, true, "the answer is too long");
        }
        return;
    }
    std::string events = context->splice.append(in.bytes);
    if (context->splice.hasGap() || context->splice.hasEndlessEvent()) {
        emit(cancel_call{in.call});
        handleCallFailure(*context, true, context->splice.hasGap() ? "an event is missing in the stream" : "an event of the stream is too long");
        return;
    }
    if (!events.empty()) {
        recordProgress(*context);
        context->answerBegunAt = context->answerBegunAt.value_or(m_now);
        recordAnswerProgress(*context, false);
        const bool isFirst = !context->eventRelayed;
        const auto pause = std::chrono::duration_cast<duration>(m_now - context->lastRelayedAt);
        if (!isFirst) {
            context->longestPause = std::max(context->longestPause, pause);
        }
        const duration longest = context->route->longestPause;
        countAnswer(*context, isFirst ? m_now > context->arrivedAt + context->route->objective : longest.count() > 0 && pause > longest);
        relay(*context, std::move(events));
    }
}

/** Counts an answer from which the capacity of groups is learned: a first attempt that one group served all the time. */
void gateway_pipe::countAnswer(request_context &context, bool isLate)
{
    group_monitor *monitor = monitorFor(context.group);
    if (monitor == nullptr || context.isLate || context.sendCount > 1 || monitor->isSuspended(m_now)) {
        return;
    }
    if (!context.isCounted) {
        context.isCounted = true;
        monitor->recordAnswer(m_now);
    }
    if (isLate && !context.isCountedLate) {
        context.isCountedLate = true;
        monitor->recordLateAnswer(m_now);
    }
}

/** Counts a call whose objective has passed without an event. */
void gateway_pipe::countOverdue(request_context &context)
{
    if (context.call.value() != 0 && !context.eventRelayed && m_now > context.arrivedAt + context.route->objective) {
        countAnswer(context, true);
    }
}

/** Passes events on to the caller, and stops reading from the server once the caller has too many to take. */
void gateway_pipe::relay(request_context &context, std::string events)
{
    context.eventRelayed = true;
    context.lastRelayedAt = m_now;
    const std::optional<bool> pause = context.window.add(events.size());
    emit(continue_answer{context.request.request, std::move(events)});
    if (pause) {
        emit(pause_call{context.call, *pause});
    }
}

void gateway_pipe::handle(const answer_bytes_taken &in)
{
    const auto found = m_activeRequests.find(in.request);
    if (found == m_activeRequests.end()) {
        return;
    }
    request_context &context = found->second;
    const std::optional<bool> pause = context.window.taken(in.bytes);
    if (pause && context.call.value() != 0) {
        recordProgress(context); // The server was not the one that paused.
        emit(pause_call{context.call, *pause});
    }
}

/** Bytes of all answers that are kept until they are whole. */
std::size_t gateway_pipe::keptAnswerBytes() const
{
    std::size_t sum = 0;
    for (const auto &[request, context] : m_activeRequests) {
        sum += context.body.size();
    }
    return sum;
}

void gateway_pipe::handle(const backend_answer_finished &in)
{
    request_context *context = findByCall(in.call);
    if (context == nullptr) {
        return;
    }
    if (context->isStreaming && context->splice.hasPartialEvent()) {
        handleCallFailure(*context, true, "the stream ended inside an event");
        return;
    }
    // The server may have ended before the first event; an answer that goes on after the last one has none.
    if (context->isStreaming && !context->answerBegunAt && !context->splice.lastEvent()) {
        handleCallFailure(*context, true, "the stream ended before its first event");
        return;
    }
    recordOutcome(*context, context->status >= http_status::internalServerError);
    recordForm(*context, false);
    recordAnswerProgress(*context, true);
    const request_id request = context->request.request;
    if (context->isStreaming) {
        emit(finish_answer{request});
    } else {
        emit(send_whole_answer{request, in.call, std::move(context->body)});
    }
    endCall(*context);
    finish(request, true);
}

void gateway_pipe::handle(const backend_call_failed &in)
{
    request_context *context = findByCall(in.call);
    if (context == nullptr) {
        return;
    }
    const group_epoch group = context->group;
    if (const auto found = m_view.groups().find(group); found != m_view.groups().end()) {
        if (group_monitor *monitor = monitorFor(group); monitor != nullptr && in.neverSent) {
            monitor->suspend(m_now + avoidanceTime);
        }
        probeMembers(found->second);
    }
    if (in.closedByServer) {
        recordLostCall(*context);
    }
    if (!in.neverSent) {
        recordForm(*context, true);
    }
    handleCallFailure(*context, !in.neverSent, in.reason);
}

} // namespace carawayloft
