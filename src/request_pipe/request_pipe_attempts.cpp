#include <carawayloft/request/request_pipe.h>

#include <carawayloft/core/overloaded.h>

namespace carawayloft {

/** Pieces of an answer that may be on the way to a caller who does not take them. */
static constexpr std::uint32_t initialCredit = 64;
static constexpr std::uint32_t creditStep = 16;

static duration elapsed(time_point from, time_point to)
{
    return std::chrono::duration_cast<duration>(to - from);
}

void request_pipe::startAttempt(context &context)
{
    context.at = stage::Attempting;
    const request_id request = context.request.request;
    const auto decided = m_router.step(route_requested{request, context.request.service, context.request.prefixDigest, context.excludedGroups}, m_now);
    for (const router_output &each : decided) {
        std::visit(overloaded{
                       [&](const route_chosen &route) {
                           emit(route);
                           routed(context, route);
                       },
                       [&](const route_unavailable &none) {
                           emit(none);
                           closeClaim(context, claim_outcome::DidNotRun, false);
                           const error why{error_kind::Overloaded, "no group can take the request: " + none.reason, "send the request again later"};
                           reject(context, {request, 503, why, run_outcome::DidNotRun, none.retryAfter});
                       },
                       [&](const auto &note) { emit(note); },
                   },
                   each);
    }
}

void request_pipe::routed(context &context, const route_chosen &route)
{
    context.group = route.group;
    context.attempt = next(context.attempt);
    context.sentAt = m_now;
    context.firstByteAt.reset();
    context.waited = duration(0);
    context.creditOwed = 0;
    context.assembler.step(attempt_started{context.attempt}, m_now);
    const caller_request &in = context.request;
    emit(send_to_agent{context.group.lead,
                       dispatch_request{in.request,
                                        context.attempt,
                                        context.group.group,
                                        context.group.epoch,
                                        context.account.account,
                                        context.account.weight,
                                        in.priority,
                                        elapsed(m_now, context.deadline),
                                        in.stream,
                                        in.method,
                                        in.path,
                                        in.contentType,
                                        in.body,
                                        context.assembler.position(),
                                        initialCredit,
                                        in.prefixDigest}});
}

void request_pipe::endAttempt(context &context, attempt_result outcome)
{
    const auto served = [&](time_point until) { return std::max(duration(0), elapsed(context.sentAt, until) - context.waited); };
    const duration firstToken = served(context.firstByteAt.value_or(m_now));
    for (const router_output &each : m_router.step(attempt_ended{context.group.group, outcome, firstToken, served(m_now)}, m_now)) {
        std::visit([this](const auto &note) { emit(note); }, each);
    }
}

void request_pipe::tryElsewhere(context &context, const std::string &reason, const reject_request &otherwise)
{
    const bool mayRepeat = context.idempotent || context.claimGranted;
    if (!mayRepeat || m_now >= context.deadline || !m_budget.tryTake()) {
        closeClaim(context, claim_outcome::DidNotRun, false);
        if (context.answerStarted) {
            emit(abort_answer{context.request.request});
            erase(context.request.request);
        } else {
            reject(context, otherwise);
        }
        return;
    }
    emit(request_retried{context.request.request, context.attempt, reason});
    startAttempt(context);
}

void request_pipe::take(const agent_connected &in)
{
    m_connected.insert(in.agent);
    refreshGroups();
}

void request_pipe::take(const agent_disconnected &in)
{
    m_connected.erase(in.agent);
    refreshGroups();
    std::vector<request_id> affected;
    for (const auto &[request, context] : m_flows) {
        if (context.at == stage::Attempting && context.group.lead == in.agent) {
            affected.push_back(request);
        }
    }
    for (const request_id &request : affected) {
        if (context *lost = find(request, in.agent)) {
            endAttempt(*lost, attempt_result::Failed);
            broken(*lost, !lost->firstByteAt);
        }
    }
}

void request_pipe::take(const agent_message &in)
{
    std::visit(overloaded{
                   [&](const load_report &report) { m_router.step(load_reported{report}, m_now); },
                   [&](const request_refused &message) { refused(in.agent, message); },
                   [&](const answer_head &message) { assemble(in.agent, message.request, message); },
                   [&](const answer_chunk &message) { assemble(in.agent, message.request, message); },
                   [&](const answer_end &message) { assemble(in.agent, message.request, message); },
                   [](const auto &) {},
               },
               in.message);
}

void request_pipe::refused(const endpoint &agent, const request_refused &message)
{
    context *refusedFlow = find(message.request, agent);
    if (refusedFlow == nullptr || refusedFlow->attempt != message.attempt) {
        return;
    }
    endAttempt(*refusedFlow, attempt_result::Refused);
    refusedFlow->excludedGroups.insert(refusedFlow->group.group);
    const error why{error_kind::Overloaded, "the group refused the request", "send the request again later"};
    const duration retryAfter = std::max(message.retryAfter, duration(1'000));
    tryElsewhere(*refusedFlow, "refused", {message.request, 503, why, run_outcome::DidNotRun, retryAfter});
}

void request_pipe::assemble(const endpoint &agent, request_id request, const assembler_input &frame)
{
    context *context = find(request, agent);
    if (context == nullptr) {
        return;
    }
    if (const auto *head = std::get_if<answer_head>(&frame); head != nullptr && head->attempt == context->attempt) {
        context->waited = head->waited;
    }
    for (const assembler_output &each : context->assembler.step(frame, m_now)) {
        assembled(*context, each);
        context = find(request, agent);
        if (context == nullptr) {
            return;
        }
    }
}

void request_pipe::assembled(context &context, const assembler_output &out)
{
    const request_id request = context.request.request;
    std::visit(overloaded{
                   [&](const head_ready &head) {
                       context.status = head.status;
                       context.contentType = head.contentType;
                       if (!context.claimGranted && !context.callerGone) {
                           context.answerStarted = true;
                           emit(start_answer{request, head.status, head.contentType, context.request.stream});
                       }
                   },
                   [&](const bytes_ready &piece) {
                       if (!context.firstByteAt) {
                           context.firstByteAt = m_now;
                       }
                       if (context.claimGranted) {
                           context.body += piece.bytes;
                       } else if (!context.callerGone) {
                           emit(continue_answer{request, piece.bytes});
                           return;
                       }
                       take(caller_consumed_chunk{request});
                   },
                   [&](const answer_complete &) {
                       emit(request_latency_measured{elapsed(context.begun, context.firstByteAt.value_or(m_now)), elapsed(context.begun, m_now)});
                       endAttempt(context, attempt_result::Answered);
                       m_budget.recordSuccess();
                       if (context.claimGranted) {
                           context.at = stage::Recording;
                           closeClaim(context, claim_outcome::Answered, true);
                       } else {
                           whole(context);
                       }
                   },
                   [&](const attempt_broken &cut) {
                       endAttempt(context, attempt_result::Failed);
                       broken(context, cut.noFrameReceived);
                   },
               },
               out);
}

void request_pipe::broken(context &context, bool noFrameReceived)
{
    context.excludedGroups.insert(context.group.group);
    const bool resumable = context.request.kind == service_kind::Model && context.request.stream;
    const bool nothingForwarded = context.assembler.position().value() == 0 && !context.answerStarted;
    if (!context.idempotent || (!resumable && !nothingForwarded)) {
        giveUp(context);
        return;
    }
    const attempt_number before = context.attempt;
    const request_id request = context.request.request;
    const stream_offset position = context.assembler.position();
    const error why{error_kind::ConnectionFailed, "the group was lost", "send the request again"};
    tryElsewhere(context, noFrameReceived ? "lost before the answer" : "lost in the answer", {request, 502, why, run_outcome::Unknown, {}});
    const struct request_pipe::context *resumed = find(request);
    if (resumed != nullptr && resumed->attempt != before && position.value() > 0) {
        emit(stream_resumed{request, resumed->attempt, position});
    }
}

void request_pipe::whole(context &context)
{
    const request_id request = context.request.request;
    if (!context.callerGone) {
        if (context.claimGranted) {
            emit(start_answer{request, context.status, context.contentType, false});
            emit(continue_answer{request, context.body});
        }
        emit(finish_answer{request});
    }
    erase(request);
}

void request_pipe::take(const caller_consumed_chunk &in)
{
    context *taker = find(in.request);
    if (taker == nullptr || taker->at != stage::Attempting || ++taker->creditOwed < creditStep) {
        return;
    }
    emit(send_to_agent{taker->group.lead, grant_credit{in.request, taker->attempt, taker->creditOwed}});
    taker->creditOwed = 0;
}

} // namespace carawayloft
