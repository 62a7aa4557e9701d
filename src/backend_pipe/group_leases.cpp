#include <carawayloft/backend/group_leases.h>
#include <carawayloft/backend/lease_terms.h>

namespace carawayloft {

group_leases::group_leases(host_id self)
    : m_self(std::move(self))
{
}

std::vector<group_leases::output> group_leases::step(const input &in, time_point now)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { handle(each, now, out); }, in);
    const bool complete = isComplete(now);
    if (complete != m_wasComplete) {
        m_wasComplete = complete;
        if (complete) {
            out.emplace_back(group_complete{m_ledGroup.group});
        } else if (m_ledGroup.group.value() != 0) {
            out.emplace_back(group_incomplete{m_ledGroup.group, missing(now)});
        }
    }
    return out;
}

void group_leases::handle(const led_group &in, time_point, std::vector<output> &)
{
    if (in.group == m_ledGroup.group && in.epoch == m_ledGroup.epoch) {
        return;
    }
    m_ledGroup = in;
    m_members.clear();
    for (const host_id &each : in.others) {
        m_members.emplace(each, member_state{});
    }
}

void group_leases::handle(const lease_tick &, time_point now, std::vector<output> &out)
{
    if (m_members.empty()) {
        return;
    }
    ++m_round;
    for (auto &[member, state] : m_members) {
        std::erase_if(state.pending, [&](const auto &each) { return now > each.second + memberLeaseLength; });
        state.pending.emplace(m_round, now);
        out.emplace_back(request_member_lease{member, {m_ledGroup.group, m_ledGroup.epoch, m_self, m_round}});
    }
}

void group_leases::handle(const member_lease_grant &in, time_point, std::vector<output> &)
{
    const auto member = m_members.find(in.member);
    if (member == m_members.end() || in.group != m_ledGroup.group || in.epoch != m_ledGroup.epoch) {
        return;
    }
    const auto pending = member->second.pending.find(in.round);
    if (pending == member->second.pending.end()) {
        return;
    }
    // The lease starts when the request was sent. The member granted it later, so it ends here before it ends at the member.
    member->second.leaseUntil = std::max(member->second.leaseUntil, pending->second + holderLeaseTime(in.length));
    member->second.pending.erase(member->second.pending.begin(), std::next(pending));
}

bool group_leases::isComplete(time_point now) const
{
    if (m_ledGroup.group.value() == 0) {
        return false;
    }
    for (const auto &[member, state] : m_members) {
        if (now >= state.leaseUntil) {
            return false;
        }
    }
    return true;
}

std::vector<host_id> group_leases::missing(time_point now) const
{
    std::vector<host_id> hosts;
    for (const auto &[member, state] : m_members) {
        if (now >= state.leaseUntil) {
            hosts.push_back(member);
        }
    }
    return hosts;
}

} // namespace carawayloft
