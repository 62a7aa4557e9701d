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
    const bool whole = isComplete(now);
    if (whole != m_wasWhole) {
        m_wasWhole = whole;
        if (whole) {
            out.emplace_back(group_complete{m_led.group});
        } else if (m_led.group.value() != 0) {
            out.emplace_back(group_incomplete{m_led.group, missing(now)});
        }
    }
    return out;
}

void group_leases::handle(const led_group &in, time_point, std::vector<output> &)
{
    if (in.group == m_led.group && in.epoch == m_led.epoch) {
        return;
    }
    m_led = in;
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
        out.emplace_back(request_member_lease{member, {m_led.group, m_led.epoch, m_self, m_round}});
    }
}

void group_leases::handle(const member_lease_grant &in, time_point, std::vector<output> &)
{
    const auto member = m_members.find(in.member);
    if (member == m_members.end() || in.group != m_led.group || in.epoch != m_led.epoch) {
        return;
    }
    const auto pending = member->second.pending.find(in.round);
    if (pending == member->second.pending.end()) {
        return;
    }
    // Counted from the question, which the member cannot have seen before it was pending.
    member->second.reliedUntil = std::max(member->second.reliedUntil, pending->second + holderLeaseTime(in.length));
    member->second.pending.erase(member->second.pending.begin(), std::next(pending));
}

bool group_leases::isComplete(time_point now) const
{
    if (m_led.group.value() == 0) {
        return false;
    }
    for (const auto &[member, state] : m_members) {
        if (now >= state.reliedUntil) {
            return false;
        }
    }
    return true;
}

std::vector<host_id> group_leases::missing(time_point now) const
{
    std::vector<host_id> hosts;
    for (const auto &[member, state] : m_members) {
        if (now >= state.reliedUntil) {
            hosts.push_back(member);
        }
    }
    return hosts;
}

} // namespace carawayloft
