#include <carawayloft/request/request_pipe.h>

namespace carawayloft {

/** Time between open_claim_calls while an earlier request holds the claim. */
static constexpr duration runningClaimPollInterval{100};

/** Time after which a claim call without a reply is repeated. */
static constexpr duration controlReplyTimeout{500};

/** Time for which the outcome of a claim is resent while control does not acknowledge it. */
static constexpr duration claimCloseRetryPeriod{60'000};

/** Largest answer body that is recorded for a repeated request; a larger one is recorded as empty. */
static constexpr std::size_t maxRecordedAnswerBytes = std::size_t{64} << 10U;

void request_pipe::openClaim(request_context &context)
{
    m_openClaimCalls.erase(context.claimCallId);
    context.claimCallId = m_nextCallId++;
    m_openClaimCalls.emplace(context.claimCallId, context.request.request);
    context.claimRetryAt = m_now + controlReplyTimeout;
    const wall_time deadline = m_wallNow + std::chrono::duration_cast<duration>(context.deadline - m_now);
    emit(send_to_control{open_claim_call{
        context.claimCallId,
        {context.account.account, context.request.key, context.request.requestDigest, context.request.request, context.request.service, deadline, {}}}});
}

void request_pipe::handleOpenClaimReply(const claim_call_reply &reply)
{
    const auto call = m_openClaimCalls.find(reply.call);
    if (call == m_openClaimCalls.end()) {
        return;
    }
    request_context *context = find(call->second);
    m_openClaimCalls.erase(call);
    if (context == nullptr || context->stage != request_stage::Claiming || context->claimCallId != reply.call || !reply.accepted) {
        return;
    }
    const request_id request = context->request.request;
    emit(claim_decided{request, context->account.account, reply.reply.verdict});
    switch (reply.reply.verdict) {
    case claim_verdict::Granted:
        context->claimGranted = true;
        startAttempt(*context);
        return;
    case claim_verdict::Running:
        context->claimRetryAt = m_now + runningClaimPollInterval;
        return;
    case claim_verdict::Answered:
        replayRecordedAnswer(*context, reply.reply);
        return;
    case claim_verdict::KeyReused:
        reject(*context,
               {request,
                422,
                {error_kind::KeyReused, "the idempotency key was used for a different request", "use a new key for a new request"},
                run_outcome::DidNotRun,
                {}});
        return;
    case claim_verdict::Unknown:
    case claim_verdict::Closed:
    case claim_verdict::NotOwner:
        reject(*context,
               {request,
                504,
                {error_kind::UnknownClaim,
                 "an earlier request with this idempotency key may have run",
                 "ask an operator to look up the claim with 'carawayloft claims show'"},
                run_outcome::Unknown,
                {}});
        return;
    }
}

void request_pipe::replayRecordedAnswer(request_context &context, const claim_reply &reply)
{
    const request_id request = context.request.request;
    if (!context.callerDisconnected) {
        emit(start_answer{request, reply.status, reply.contentType, false});
        emit(continue_answer{request, reply.body});
        emit(finish_answer{request});
    }
    erase(request);
}

void request_pipe::closeClaim(const request_context &context, claim_outcome outcome, bool callerWaits)
{
    if (context.claimCallId == 0) {
        return;
    }
    close_claim claim{context.account.account, context.request.key, context.request.request, outcome, 0, {}, {}, {}, {}};
    if (outcome == claim_outcome::Answered) {
        claim.status = context.status;
        claim.contentType = context.contentType;
        claim.body = context.body.size() <= maxRecordedAnswerBytes ? context.body : std::string();
    }
    const std::uint64_t call = m_nextCallId++;
    m_pendingClaimCloses.emplace(
        call, pending_claim_close{claim, callerWaits ? context.request.request : request_id(), m_now + controlReplyTimeout, m_now + claimCloseRetryPeriod});
    emit(send_to_control{close_claim_call{call, std::move(claim)}});
}

void request_pipe::handleCloseClaimReply(const claim_call_reply &reply)
{
    const auto found = m_pendingClaimCloses.find(reply.call);
    if (found == m_pendingClaimCloses.end() || !reply.accepted) {
        return;
    }
    const request_id request = found->second.waitingRequest;
    m_pendingClaimCloses.erase(found);
    request_context *context = find(request);
    if (context != nullptr && context->stage == request_stage::Recording) {
        finishAnswer(*context);
    }
}

void request_pipe::resendClaimCloses()
{
    std::erase_if(m_pendingClaimCloses, [this](const auto &each) { return m_now >= each.second.giveUpAt; });
    for (auto &[call, close] : m_pendingClaimCloses) {
        if (m_now >= close.resendAt) {
            close.resendAt = m_now + controlReplyTimeout;
            emit(send_to_control{close_claim_call{call, close.claim}});
        }
    }
}

} // namespace carawayloft
