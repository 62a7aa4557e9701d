#include <carawayloft/request/request_pipe.h>

namespace carawayloft {

/** Time between questions about a claim that another attempt holds, or that got no reply. */
static constexpr duration askRunningAgain{100};
static constexpr duration askSilentAgain{500};

/** Time for which an outcome is sent again while control does not acknowledge it. */
static constexpr duration closeEffort{60'000};

/** Longest answer that is recorded for resends, in bytes. */
static constexpr std::size_t maxRecordedBytes = std::size_t{64} << 10U;

void request_pipe::askClaim(flow &flow)
{
    m_claimCalls.erase(flow.claimCall);
    flow.claimCall = m_nextCall++;
    m_claimCalls.emplace(flow.claimCall, flow.request.request);
    flow.askAgainAt = m_now + askSilentAgain;
    const wall_time deadline = m_wallNow + std::chrono::duration_cast<duration>(flow.deadline - m_now);
    emit(send_to_control{open_claim_call{
        flow.claimCall, {flow.account.account, flow.request.key, flow.request.requestDigest, flow.request.request, flow.request.service, deadline, {}}}});
}

void request_pipe::decideClaim(const claim_call_reply &reply)
{
    const auto call = m_claimCalls.find(reply.call);
    if (call == m_claimCalls.end()) {
        return;
    }
    flow *waiting = find(call->second);
    m_claimCalls.erase(call);
    if (waiting == nullptr || waiting->at != stage::Claiming || waiting->claimCall != reply.call || !reply.accepted) {
        return;
    }
    const request_id request = waiting->request.request;
    emit(claim_decided{request, waiting->account.account, reply.reply.verdict});
    switch (reply.reply.verdict) {
    case claim_verdict::Granted:
        waiting->claimGranted = true;
        startAttempt(*waiting);
        return;
    case claim_verdict::Running:
        waiting->askAgainAt = m_now + askRunningAgain;
        return;
    case claim_verdict::Answered:
        answerRecorded(*waiting, reply.reply);
        return;
    case claim_verdict::KeyReused:
        reject(*waiting,
               {request,
                422,
                {error_kind::KeyReused, "the idempotency key was used with another request", "use a new key for a new request"},
                run_outcome::DidNotRun,
                {}});
        return;
    case claim_verdict::Unknown:
    case claim_verdict::Closed:
    case claim_verdict::NotOwner:
        reject(*waiting,
               {request,
                504,
                {error_kind::UnknownClaim, "an earlier attempt with this key may have run", "ask an operator to look it up with 'carawayloft claims show'"},
                run_outcome::Unknown,
                {}});
        return;
    }
}

void request_pipe::answerRecorded(flow &flow, const claim_reply &reply)
{
    const request_id request = flow.request.request;
    if (!flow.callerGone) {
        emit(start_answer{request, reply.status, reply.contentType, false});
        emit(continue_answer{request, reply.body});
        emit(finish_answer{request});
    }
    erase(request);
}

void request_pipe::closeClaim(const flow &flow, claim_outcome outcome, bool callerWaits)
{
    if (flow.claimCall == 0) {
        return;
    }
    close_claim claim{flow.account.account, flow.request.key, flow.request.request, outcome, 0, {}, {}, {}, {}};
    if (outcome == claim_outcome::Answered) {
        claim.status = flow.status;
        claim.contentType = flow.contentType;
        claim.body = flow.body.size() <= maxRecordedBytes ? flow.body : std::string();
    }
    const std::uint64_t call = m_nextCall++;
    m_closes.emplace(call, pending_close{claim, callerWaits ? flow.request.request : request_id(), m_now + askSilentAgain, m_now + closeEffort});
    emit(send_to_control{close_claim_call{call, std::move(claim)}});
}

void request_pipe::claimClosed(const claim_call_reply &reply)
{
    const auto found = m_closes.find(reply.call);
    if (found == m_closes.end() || !reply.accepted) {
        return;
    }
    const request_id request = found->second.waiting;
    m_closes.erase(found);
    flow *waiting = find(request);
    if (waiting != nullptr && waiting->at == stage::Recording) {
        whole(*waiting);
    }
}

void request_pipe::sendCloses()
{
    std::erase_if(m_closes, [this](const auto &each) { return m_now >= each.second.giveUpAt; });
    for (auto &[call, close] : m_closes) {
        if (m_now >= close.sendAgainAt) {
            close.sendAgainAt = m_now + askSilentAgain;
            emit(send_to_control{close_claim_call{call, close.claim}});
        }
    }
}

} // namespace carawayloft
