#include <carawayloft/backend/lease_terms.h>
#include <carawayloft/backend/member_lease.h>

namespace carawayloft {

member_lease::member_lease(host_id self, time_point startedAt)
    : m_self(std::move(self))
    , m_noGrantUntil(startedAt + grantorLeaseTime(memberLeaseLength))
{
}

std::vector<member_lease::output> member_lease::step(const input &in, time_point now)
{
    if (const auto *assigned = std::get_if<member_assignment>(&in)) {
        m_assigned = *assigned;
        return {};
    }
    if (const auto *ready = std::get_if<member_readiness>(&in)) {
        m_ready = ready->ready;
        return {};
    }
    const auto &request = std::get<member_lease_request>(in);
    if (const auto reason = refusal(request, now)) {
        return {member_lease_refused{request, *reason}};
    }
    m_granted = promise{request.group, request.lead, now + grantorLeaseTime(memberLeaseLength)};
    return {member_lease_grant{request.group, request.epoch, m_self, request.round, memberLeaseLength}};
}

std::optional<lease_refusal> member_lease::refusal(const member_lease_request &request, time_point now) const
{
    const bool assigned = m_assigned.group == request.group && m_assigned.epoch == request.epoch && m_assigned.lead == request.lead;
    if (!assigned) {
        return lease_refusal::NotAssigned;
    }
    if (now < m_noGrantUntil) {
        return lease_refusal::JustStarted;
    }
    const bool sameLead = m_granted && m_granted->group == request.group && m_granted->lead == request.lead;
    if (m_granted && !sameLead && now < m_granted->until) {
        return lease_refusal::LeasedToOtherLead;
    }
    if (!m_ready) {
        return lease_refusal::NotReady;
    }
    return std::nullopt;
}

} // namespace carawayloft
