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

void request_pipe::startAttempt(flow &flow)
{
    flow.at = stage::Attempting;
    const request_id request = flow.request.request;
    const auto decided = m_router.step(route_wanted{request, flow.request.service, flow.request.prefixDigest, flow.refusedBy}, m_now);
    for (const router_output &each : decided) {
        std::visit(overloaded{
                       [&](const route_chosen &route) {
                           emit(route);
                           routed(flow, route);
                       },
                       [&](const route_unavailable &none) {
                           emit(none);
                           closeClaim(flow, claim_outcome::DidNotRun, false);
                           const error why{error_kind::Overloaded, "no group can take the request: " + none.reason, "send the request again later"};
                           reject(flow, {request, 503, why, run_outcome::DidNotRun, none.retryAfter});
                       },
                       [&](const auto &note) { emit(note); },
                   },
                   each);
    }
}

void request_pipe::routed(flow &flow, const route_chosen &route)
{
    flow.group = route.group;
    flow.attempt = next(flow.attempt);
    flow.sentAt = m_now;
    flow.firstByteAt.reset();
    flow.waited = duration(0);
    flow.creditOwed = 0;
    flow.assembler.step(attempt_begins{flow.attempt}, m_now);
    const caller_request &in = flow.request;
    emit(send_to_agent{flow.group.lead,
                       dispatch_request{in.request,
                                        flow.attempt,
                                        flow.group.group,
                                        flow.group.epoch,
                                        flow.account.account,
                                        flow.account.weight,
                                        in.priority,
                                        elapsed(m_now, flow.deadline),
                                        in.stream,
                                        in.method,
                                        in.path,
                                        in.contentType,
                                        in.body,
                                        flow.assembler.position(),
                                        initialCredit,
                                        in.prefixDigest}});
}

void request_pipe::endAttempt(flow &flow, attempt_result outcome)
{
    const auto served = [&](time_point until) { return std::max(duration(0), elapsed(flow.sentAt, until) - flow.waited); };
    const duration firstToken = served(flow.firstByteAt.value_or(m_now));
    for (const router_output &each : m_router.step(attempt_ended{flow.group.group, outcome, firstToken, served(m_now)}, m_now)) {
        std::visit([this](const auto &note) { emit(note); }, each);
    }
}

void request_pipe::tryElsewhere(flow &flow, const std::string &reason, const reject_caller &otherwise)
{
    const bool mayRepeat = flow.idempotent || flow.claimGranted;
    if (!mayRepeat || m_now >= flow.deadline || !m_budget.tryTake()) {
        closeClaim(flow, claim_outcome::DidNotRun, false);
        if (flow.answerStarted) {
            emit(cut_answer{flow.request.request});
            erase(flow.request.request);
        } else {
            reject(flow, otherwise);
        }
        return;
    }
    emit(request_retried{flow.request.request, flow.attempt, reason});
    startAttempt(flow);
}

void request_pipe::take(const agent_connected &in)
{
    m_connected.insert(in.agent);
    refreshGroups();
}

void request_pipe::take(const agent_lost &in)
{
    m_connected.erase(in.agent);
    refreshGroups();
    std::vector<request_id> affected;
    for (const auto &[request, flow] : m_flows) {
        if (flow.at == stage::Attempting && flow.group.lead == in.agent) {
            affected.push_back(request);
        }
    }
    for (const request_id &request : affected) {
        if (flow *lost = find(request, in.agent)) {
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
    flow *refusedFlow = find(message.request, agent);
    if (refusedFlow == nullptr || refusedFlow->attempt != message.attempt) {
        return;
    }
    endAttempt(*refusedFlow, attempt_result::Refused);
    refusedFlow->refusedBy.insert(refusedFlow->group.group);
    const error why{error_kind::Overloaded, "the group refused the request", "send the request again later"};
    const duration retryAfter = std::max(message.retryAfter, duration(1'000));
    tryElsewhere(*refusedFlow, "refused", {message.request, 503, why, run_outcome::DidNotRun, retryAfter});
}

void request_pipe::assemble(const endpoint &agent, request_id request, const assembler_input &frame)
{
    flow *flow = find(request, agent);
    if (flow == nullptr) {
        return;
    }
    if (const auto *head = std::get_if<answer_head>(&frame); head != nullptr && head->attempt == flow->attempt) {
        flow->waited = head->waited;
    }
    for (const assembler_output &each : flow->assembler.step(frame, m_now)) {
        assembled(*flow, each);
        flow = find(request, agent);
        if (flow == nullptr) {
            return;
        }
    }
}

void request_pipe::assembled(flow &flow, const assembler_output &out)
{
    const request_id request = flow.request.request;
    std::visit(overloaded{
                   [&](const head_ready &head) {
                       flow.status = head.status;
                       flow.contentType = head.contentType;
                       if (!flow.claimGranted && !flow.callerGone) {
                           flow.answerStarted = true;
                           emit(start_answer{request, head.status, head.contentType, flow.request.stream});
                       }
                   },
                   [&](const bytes_ready &piece) {
                       if (!flow.firstByteAt) {
                           flow.firstByteAt = m_now;
                       }
                       if (flow.claimGranted) {
                           flow.body += piece.bytes;
                       } else if (!flow.callerGone) {
                           emit(continue_answer{request, piece.bytes});
                           return;
                       }
                       take(caller_took{request});
                   },
                   [&](const answer_whole &) {
                       emit(request_measured{elapsed(flow.begun, flow.firstByteAt.value_or(m_now)), elapsed(flow.begun, m_now)});
                       endAttempt(flow, attempt_result::Answered);
                       m_budget.recordSuccess();
                       if (flow.claimGranted) {
                           flow.at = stage::Recording;
                           closeClaim(flow, claim_outcome::Answered, true);
                       } else {
                           whole(flow);
                       }
                   },
                   [&](const attempt_broken &cut) {
                       endAttempt(flow, attempt_result::Failed);
                       broken(flow, cut.nothingSeen);
                   },
               },
               out);
}

void request_pipe::broken(flow &flow, bool nothingSeen)
{
    flow.refusedBy.insert(flow.group.group);
    const bool resumable = flow.request.kind == service_kind::Model && flow.request.stream;
    const bool fresh = flow.assembler.position().value() == 0 && !flow.answerStarted;
    if (!flow.idempotent || (!resumable && !fresh)) {
        giveUp(flow);
        return;
    }
    const attempt_number before = flow.attempt;
    const request_id request = flow.request.request;
    const stream_offset position = flow.assembler.position();
    const error why{error_kind::ConnectionFailed, "the group was lost", "send the request again"};
    tryElsewhere(flow, nothingSeen ? "lost before the answer" : "lost in the answer", {request, 502, why, run_outcome::Unknown, {}});
    const struct request_pipe::flow *resumed = find(request);
    if (resumed != nullptr && resumed->attempt != before && position.value() > 0) {
        emit(stream_resumed{request, resumed->attempt, position});
    }
}

void request_pipe::whole(flow &flow)
{
    const request_id request = flow.request.request;
    if (!flow.callerGone) {
        if (flow.claimGranted) {
            emit(start_answer{request, flow.status, flow.contentType, false});
            emit(continue_answer{request, flow.body});
        }
        emit(finish_answer{request});
    }
    erase(request);
}

void request_pipe::take(const caller_took &in)
{
    flow *taker = find(in.request);
    if (taker == nullptr || taker->at != stage::Attempting || ++taker->creditOwed < creditStep) {
        return;
    }
    emit(send_to_agent{taker->group.lead, grant_credit{in.request, taker->attempt, taker->creditOwed}});
    taker->creditOwed = 0;
}

} // namespace carawayloft
