#include <carawayloft/fleet/group_closure.h>

namespace carawayloft {

/** Whether the engine serves as the head of the group that it reports. */
static bool reportsServing(const membership_report &report)
{
    return report.state == membership_state::Open || report.state == membership_state::Closing;
}

void group_closure::clear()
{
    *this = group_closure();
}

void group_closure::observe(const backend_registry &registry)
{
    m_serving.clear();
    for (const auto &[id, entry] : registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool isPresent = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const auto closed = m_headClosedAt.find(report.epoch);
        const bool isOutdated = closed != m_headClosedAt.end() && entry.heardAt <= closed->second;
        if (isPresent && report.rank == 0 && !isOutdated && reportsServing(report)) {
            m_serving.insert(report.epoch);
        }
    }
}

void group_closure::recordEnd(group_epoch epoch)
{
    m_abandoned.erase(epoch);
    m_ended.insert(epoch);
}

void group_closure::recordAbandoned(group_epoch epoch)
{
    m_ended.erase(epoch);
    m_abandoned.insert(epoch);
}

void group_closure::recordHeadClosed(group_epoch epoch, time_point at)
{
    m_headClosedAt[epoch] = at;
    m_serving.erase(epoch);
}

void group_closure::recordLeft(const backend_id &backend, group_epoch epoch, time_point at)
{
    m_left[backend] = {epoch, at};
}

closure_proof group_closure::proofFor(const closing_head &head) const
{
    if (head.entry == nullptr) {
        return closure_proof::None;
    }
    if (head.startedAt && head.entry->record.startedAt != *head.startedAt) {
        return closure_proof::Restarted;
    }
    if (head.entry->replaced) {
        return closure_proof::Replaced;
    }
    if (m_headClosedAt.contains(head.epoch) && !serves(head.epoch)) {
        return closure_proof::Confirmed;
    }
    const bool isHeard = head.entry->record.state == backend_state::Ready || head.entry->record.state == backend_state::Draining;
    const membership_report &report = head.entry->record.membership;
    const bool mayServe = report.epoch == head.epoch && reportsServing(report);
    // What it announced before the order may be older than the order to open.
    if (isHeard && !mayServe && head.closeOrderedAt && head.entry->heardAt > *head.closeOrderedAt) {
        return closure_proof::Reported;
    }
    return closure_proof::None;
}

bool group_closure::serves(group_epoch epoch) const
{
    return m_serving.contains(epoch);
}

bool group_closure::isAbandoned(group_epoch epoch) const
{
    return m_abandoned.contains(epoch);
}

/** Whether the server has left the group that it last reported. */
bool group_closure::hasLeft(const backend_registry::entry &entry) const
{
    const auto left = m_left.find(entry.record.backend);
    return left != m_left.end() && left->second.epoch == entry.record.membership.epoch && entry.heardAt <= left->second.at;
}

bool group_closure::isReleased(const backend_registry::entry &entry) const
{
    const group_epoch epoch = entry.record.membership.epoch;
    return epoch.value() == 0 || hasLeft(entry) || (m_ended.contains(epoch) && !serves(epoch));
}

} // namespace carawayloft
