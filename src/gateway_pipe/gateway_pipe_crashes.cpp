#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/http_status.h>

#include <algorithm>

namespace carawayloft {

/** A server that still answers this long after the first bytes of an answer has survived the request. */
static constexpr duration survivalTime{50};

bool gateway_pipe::isQuarantined(const request_context &context) const
{
    const auto &quarantine = m_fleet.state().quarantine();
    if (quarantine.empty() || context.service == nullptr) {
        return false;
    }
    const auto &traits = context.request.traits;
    return std::any_of(traits.begin(), traits.end(), [&](const request_trait &each) { return quarantine.contains({context.service->service, each}); });
}

void gateway_pipe::rejectQuarantined(request_context &context)
{
    const bool mayHaveRun = context.possibleRuns > 0;
    const error why{error_kind::Quarantined,
                    "requests like this one crash the servers of the service",
                    "do not repeat it before the stated time; an operator can list and release the traits in quarantine"};
    if (context.headRelayed) {
        const request_id request = context.request.request;
        emit(abort_answer{request});
        finish(request, false);
        return;
    }
    reject(context,
           mayHaveRun ? http_status::badGateway : http_status::serviceUnavailable,
           why,
           mayHaveRun ? run_outcome::Unknown : run_outcome::DidNotRun,
           mayHaveRun ? duration(0) : quarantineTime);
}

/** Ends the requests whose traits have just been put in quarantine, unless their answer has begun already. */
void gateway_pipe::dropQuarantined()
{
    std::vector<request_id> dropped;
    for (const auto &[request, context] : m_activeRequests) {
        if (!context.answerBegunAt && isQuarantined(context)) {
            dropped.push_back(request);
        }
    }
    for (const request_id &request : dropped) {
        request_context &context = m_activeRequests.at(request);
        if (context.call.value() != 0) {
            emit(cancel_call{context.call});
            endCall(context);
        }
        rejectQuarantined(context);
    }
}

/** Whether the request in flight may be why its server crashed, if that crashed now. */
bool gateway_pipe::mayHaveCrashedItsServer(const request_context &context) const
{
    return !context.answerBegunAt || m_now < *context.answerBegunAt + survivalTime;
}

void gateway_pipe::recordLostCall(const request_context &context)
{
    if (mayHaveCrashedItsServer(context)) {
        m_crashWitness.recordExposure(context.backend, context.service->service, context.request.traits, m_now);
        emit(unanswered_call_lost{context.request.request, context.backend, context.request.traits});
    }
}

/** Records calls that are given up because their server is gone; if it closed others, it would have closed these, too. */
void gateway_pipe::recordLostCalls(const backend_id &backend, const std::vector<request_id> &requests)
{
    if (!m_crashWitness.hasRecentExposure(backend, m_now)) {
        return;
    }
    for (const request_id &request : requests) {
        recordLostCall(m_activeRequests.at(request));
    }
}

/** Records that the server survived the beginning of the answer in flight, once that is certain. */
void gateway_pipe::recordAnswerProgress(request_context &context, bool finished)
{
    const bool survived = context.answerBegunAt && (finished || !mayHaveCrashedItsServer(context));
    if (survived && !context.survivalRecorded) {
        context.survivalRecorded = true;
        m_crashWitness.recordSurvival(context.service->service, context.request.traits, m_now);
    }
}

} // namespace carawayloft
