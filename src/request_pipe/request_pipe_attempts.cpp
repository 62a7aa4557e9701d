#include <carawayloft/request/request_pipe.h>

#include <carawayloft/core/overloaded.h>

namespace carawayloft {

/** Chunks of an answer that may be in transit to a caller that does not read. */
static constexpr std::uint32_t initialCreditChunks = 64;
/** Consumed chunks after which their credit is returned in one grant. */
static constexpr std::uint32_t creditGrantChunks = 16;

static duration timeBetween(time_point from, time_point to)
{
    return std::chrono::duration_cast<duration>(to - from);
}

void request_pipe::startAttempt(request_context &context)
{
    context.stage = request_stage::Attempting;
    const request_id request = context.request.request;
    const auto outputs = m_router.step(route_requested{request, context.request.service, context.request.prefixDigest, context.excludedGroups}, m_now);
    for (const router_output &each : outputs) {
        std::visit(overloaded{
                       [&](const route_chosen &route) {
                           emit(route);
                           dispatch(context, route);
                       },
                       [&](const route_unavailable &none) {
                           emit(none);
                           closeClaim(context, claim_outcome::DidNotRun, false);
                           const error why{error_kind::Overloaded, "no group can accept the request: " + none.reason, "send the request again later"};
                           reject(context, {request, 503, why, run_outcome::DidNotRun, none.retryAfter});
                       },
                       [&](const auto &note) { emit(note); },
                   },
                   each);
    }
}

void request_pipe::dispatch(request_context &context, const route_chosen &route)
{
    context.group = route.group;
    context.attempt = next(context.attempt);
    context.sentAt = m_now;
    context.firstByteAt.reset();
    context.waited = duration(0);
    context.consumedChunks = 0;
    context.assembler.step(attempt_started{context.attempt}, m_now);
    const caller_request &in = context.request;
    emit(send_to_agent{context.group.leadAgent,
                       dispatch_request{in.request,
                                        context.attempt,
                                        context.group.group,
                                        context.group.epoch,
                                        context.account.account,
                                        context.account.weight,
                                        in.priority,
                                        timeBetween(m_now, context.deadline),
                                        in.stream,
                                        in.method,
                                        in.path,
                                        in.contentType,
                                        in.body,
                                        context.assembler.position(),
                                        initialCreditChunks,
                                        in.prefixDigest}});
}

void request_pipe::endAttempt(request_context &context, attempt_result outcome)
{
    const auto served = [&](time_point until) { return std::max(duration(0), timeBetween(context.sentAt, until) - context.waited); };
    const duration firstToken = served(context.firstByteAt.value_or(m_now));
    for (const router_output &each : m_router.step(attempt_ended{context.group.group, outcome, firstToken, served(m_now)}, m_now)) {
        std::visit([this](const auto &note) { emit(note); }, each);
    }
}

void request_pipe::retryOrReject(request_context &context, const std::string &reason, const reject_request &rejection)
{
    const bool mayRepeat = context.idempotent || context.claimGranted;
    if (!mayRepeat || m_now >= context.deadline || !m_retryBudget.tryTake()) {
        closeClaim(context, claim_outcome::DidNotRun, false);
        reject(context, rejection);
        return;
    }
    emit(request_retried{context.request.request, context.attempt, reason});
    startAttempt(context);
}

void request_pipe::handle(const agent_connected &in)
{
    m_connectedAgents.insert(in.agent);
    rebuildRoutingTable();
}

void request_pipe::handle(const agent_disconnected &in)
{
    m_connectedAgents.erase(in.agent);
    rebuildRoutingTable();
    std::vector<request_id> affected;
    for (const auto &[request, context] : m_requests) {
        if (context.stage == request_stage::Attempting && context.group.leadAgent == in.agent) {
            affected.push_back(request);
        }
    }
    for (const request_id &request : affected) {
        if (request_context *context = find(request, in.agent)) {
            endAttempt(*context, attempt_result::Failed);
            handleBrokenAttempt(*context, !context->firstByteAt);
        }
    }
}

void request_pipe::handle(const agent_message &in)
{
    std::visit(overloaded{
                   [&](const load_report &report) { m_router.step(load_reported{report}, m_now); },
                   [&](const request_refused &message) { handleRefusal(in.agent, message); },
                   [&](const answer_head &message) { assemble(in.agent, message.request, message); },
                   [&](const answer_chunk &message) { assemble(in.agent, message.request, message); },
                   [&](const answer_end &message) { assemble(in.agent, message.request, message); },
                   [](const auto &) {},
               },
               in.message);
}

void request_pipe::handleRefusal(const endpoint &agent, const request_refused &message)
{
    request_context *context = find(message.request, agent);
    if (context == nullptr || context->attempt != message.attempt) {
        return;
    }
    endAttempt(*context, attempt_result::Refused);
    context->excludedGroups.insert(context->group.group);
    const error why{error_kind::Overloaded, "the group refused the request", "send the request again later"};
    const duration retryAfter = std::max(message.retryAfter, duration(1'000));
    retryOrReject(*context, "refused", {message.request, 503, why, run_outcome::DidNotRun, retryAfter});
}

void request_pipe::assemble(const endpoint &agent, request_id request, const assembler_input &frame)
{
    request_context *context = find(request, agent);
    if (context == nullptr) {
        return;
    }
    if (const auto *head = std::get_if<answer_head>(&frame); head != nullptr && head->attempt == context->attempt) {
        context->waited = head->waited;
    }
    for (const assembler_output &each : context->assembler.step(frame, m_now)) {
        handleAssemblerOutput(*context, each);
        context = find(request, agent);
        if (context == nullptr) {
            return;
        }
    }
}

void request_pipe::handleAssemblerOutput(request_context &context, const assembler_output &out)
{
    const request_id request = context.request.request;
    std::visit(
        overloaded{
            [&](const head_ready &head) {
                context.status = head.status;
                context.contentType = head.contentType;
                if (!context.claimGranted && !context.callerDisconnected) {
                    context.answerStarted = true;
                    emit(start_answer{request, head.status, head.contentType, context.request.stream});
                }
            },
            [&](const bytes_ready &chunk) {
                if (!context.firstByteAt) {
                    context.firstByteAt = m_now;
                }
                if (context.claimGranted) {
                    context.body += chunk.bytes;
                } else if (!context.callerDisconnected) {
                    emit(continue_answer{request, chunk.bytes});
                    return;
                }
                handle(caller_consumed_chunk{request});
            },
            [&](const answer_complete &) {
                emit(request_latency_measured{timeBetween(context.arrivedAt, context.firstByteAt.value_or(m_now)), timeBetween(context.arrivedAt, m_now)});
                endAttempt(context, attempt_result::Answered);
                m_retryBudget.recordSuccess();
                if (context.claimGranted) {
                    context.stage = request_stage::Recording;
                    closeClaim(context, claim_outcome::Answered, true);
                } else {
                    finishAnswer(context);
                }
            },
            [&](const attempt_broken &broken) {
                endAttempt(context, attempt_result::Failed);
                handleBrokenAttempt(context, broken.noFrameReceived);
            },
        },
        out);
}

void request_pipe::handleBrokenAttempt(request_context &context, bool noFrameReceived)
{
    context.excludedGroups.insert(context.group.group);
    const bool resumable = context.request.kind == service_kind::Model && context.request.stream;
    const bool nothingForwarded = context.assembler.position().value() == 0 && !context.answerStarted;
    if (!context.idempotent || (!resumable && !nothingForwarded)) {
        endWithUnknownOutcome(context);
        return;
    }
    const attempt_number failedAttempt = context.attempt;
    const request_id request = context.request.request;
    const stream_offset position = context.assembler.position();
    const error why{error_kind::ConnectionFailed, "the attempt at the group failed", "send the request again"};
    retryOrReject(
        context, noFrameReceived ? "attempt failed before the answer" : "attempt failed during the answer", {request, 502, why, run_outcome::Unknown, {}});
    const struct request_pipe::request_context *resumed = find(request);
    if (resumed != nullptr && resumed->attempt != failedAttempt && position.value() > 0) {
        emit(stream_resumed{request, resumed->attempt, position});
    }
}

void request_pipe::finishAnswer(request_context &context)
{
    const request_id request = context.request.request;
    if (!context.callerDisconnected) {
        if (context.claimGranted) {
            emit(start_answer{request, context.status, context.contentType, false});
            emit(continue_answer{request, context.body});
        }
        emit(finish_answer{request});
    }
    erase(request);
}

void request_pipe::handle(const caller_consumed_chunk &in)
{
    request_context *context = find(in.request);
    if (context == nullptr || context->stage != request_stage::Attempting || ++context->consumedChunks < creditGrantChunks) {
        return;
    }
    emit(send_to_agent{context->group.leadAgent, grant_credit{in.request, context->attempt, context->consumedChunks}});
    context->consumedChunks = 0;
}

} // namespace carawayloft
