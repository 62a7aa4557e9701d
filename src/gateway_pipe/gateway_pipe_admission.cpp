#include <carawayloft/gateway/gateway_pipe.h>

#include <carawayloft/core/http_status.h>

#include <algorithm>

// What admission control is told and asked.

namespace carawayloft {

/** Part of the overall admitted share below which an account is above its fair share; the rest is for rounding and chance. */
static constexpr double evenShare = 0.95;

admission_request gateway_pipe::admissionRequestOf(const request_context &context) const
{
    const auto timeLeft = std::chrono::duration_cast<duration>(context.deadline - m_now);
    const auto returningLimit = std::chrono::duration_cast<duration>(maxReturningTimeShare * context.route->timeLimit);
    return {context.request.model, context.rank, context.account, context.isLate, timeLeft, std::max(duration(0), timeLeft - returningLimit)};
}

dispatch_precedence gateway_pipe::precedenceOf(const request_context &context) const
{
    if (context.headRelayed) {
        return {request_progress::Interrupted, context.rank, context.isAboveFairShare};
    }
    return {context.isLate ? request_progress::Returning : request_progress::FirstAttempt, context.rank, context.isAboveFairShare};
}

/** Requests per second that the groups of the model answer on time; a slow group counts in proportion to its speed. */
std::optional<double> gateway_pipe::capacityOf(const request_context &context, const model_profile &model)
{
    const std::optional<double> peakRate = m_peakRates.peakRate(*context.service->engine, model);
    if (!peakRate) {
        return std::nullopt;
    }
    double groups = 0.0;
    for (const auto &[epoch, group] : m_view.groups()) {
        const group_monitor *monitor = group.model == model.model && group.phase == group_phase::Open ? monitorFor(epoch) : nullptr;
        if (monitor == nullptr || monitor->isSuspended(m_now)) {
            continue;
        }
        const backend_view::backend *head = m_view.find(group.head());
        if (head != nullptr && !acceptsRequests(*head)) {
            continue;
        }
        const double limit = head == nullptr ? 0.0 : namedLimitOf(head->record);
        groups += std::min(1.0 / monitor->slowdown(), limit > 0.0 ? limit / *peakRate : 1.0);
    }
    // Requests for a model without groups wait for one that opens.
    return groups > 0.0 ? std::optional(groups * *peakRate) : std::nullopt;
}

/** Rejects the request if the groups of its model cannot answer all requests in time and it is not among those admitted. */
bool gateway_pipe::isRefused(request_context &context)
{
    const model_profile *model = modelOf(context);
    if (model == nullptr) {
        return false;
    }
    if (!m_admission.knowsCapacity(model->model, m_now)) {
        m_admission.step(capacity_assessed{model->model, capacityOf(context, *model)}, m_now);
    }
    for (const admission_control_output &each : m_admission.step(admissionRequestOf(context), m_now)) {
        const admission_decision &decision = std::get<admission_decision>(each);
        if (!decision.admitted) {
            rejectByAdmission(context, {error_kind::Overloaded, "the groups of the model are overloaded", "retry after the stated time"}, decision);
            return true;
        }
        // Where all accounts are cut alike, none goes before another.
        context.isAboveFairShare = decision.share < evenShare * std::min(1.0, decision.capacity / std::max(decision.demand, 1.0));
    }
    return false;
}

/** Rejects a request that was admitted, but that no backend server has taken. */
void gateway_pipe::rejectForOverload(request_context &context, error why)
{
    if (modelOf(context) == nullptr) {
        const retry_time named = m_retrySchedule.next(std::nullopt, admissionRequestOf(context).timeLeft, duration(0), m_now);
        reject(context, http_status::serviceUnavailable, std::move(why), run_outcome::DidNotRun, named.after);
        return;
    }
    for (const admission_control_output &each : m_admission.step(unserved_request{admissionRequestOf(context)}, m_now)) {
        rejectByAdmission(context, why, std::get<admission_decision>(each));
    }
}

void gateway_pipe::rejectByAdmission(request_context &context, error why, const admission_decision &decision)
{
    emit(admission_refused{context.request.request,
                           context.request.model,
                           context.rank,
                           context.account,
                           context.isLate,
                           decision.share,
                           decision.capacity,
                           decision.demand,
                           decision.hasSlot});
    reject(context, http_status::serviceUnavailable, std::move(why), run_outcome::DidNotRun, decision.retryAfter);
}

} // namespace carawayloft
