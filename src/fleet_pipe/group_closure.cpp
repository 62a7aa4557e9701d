#include <carawayloft/fleet/group_closure.h>

namespace carawayloft {

/** Whether the engine serves as the head of the group that it reports. */
static bool reportsServing(const membership_report &report)
{
    return report.state == membership_state::Open || report.state == membership_state::Closing;
}

const char *describe(closure_proof proof)
{
    switch (proof) {
    case closure_proof::None:
        break;
    case closure_proof::Reported:
        return "the head reported that it stopped serving";
    case closure_proof::Confirmed:
        return "the head confirmed that it stopped serving";
    case closure_proof::Restarted:
        return "the head restarted";
    case closure_proof::Replaced:
        return "a later server uses the address of the head";
    }
    return "unknown";
}

void group_closure::clear()
{
    *this = group_closure();
}

void group_closure::setRecords(const std::vector<engine_group_record> &records)
{
    m_recorded.clear();
    for (const engine_group_record &group : records) {
        for (const engine_member_record &member : group.members) {
            recorded_membership &latest = m_recorded[member.backend];
            if (latest.epoch < group.epoch) {
                latest = {group.epoch, member.startedAt};
            }
        }
    }
}

void group_closure::observe(const backend_registry &registry)
{
    m_serving.clear();
    for (const auto &[id, entry] : registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool isPresent = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const auto closed = m_headClosedAt.find(report.epoch);
        const bool isOutdated = closed != m_headClosedAt.end() && entry.heardAt <= closed->second;
        if (isPresent && report.rank == 0 && !isOutdated && !isReportOutdated(entry) && reportsServing(report)) {
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
    // An order to join that was repeated after a restart may have reached the later run, which is in the group again then.
    if (head.startedAt && head.entry->record.startedAt > *head.startedAt && head.entry->record.membership.epoch != head.epoch) {
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

bool group_closure::hasEnded(group_epoch epoch) const
{
    return m_ended.contains(epoch) && !serves(epoch);
}

group_epoch group_closure::recordedEpoch(const backend_id &backend) const
{
    const auto recorded = m_recorded.find(backend);
    return recorded == m_recorded.end() ? group_epoch() : recorded->second.epoch;
}

/** Whether the server has been chosen for a later group than it reports: it was free of the reported one by then. */
bool group_closure::isReportOutdated(const backend_registry::entry &entry) const
{
    const auto recorded = m_recorded.find(entry.record.backend);
    return recorded != m_recorded.end() && entry.record.startedAt <= recorded->second.startedAt && entry.record.membership.epoch < recorded->second.epoch;
}

bool group_closure::isBoundByRecord(const backend_registry::entry &entry, group_epoch epoch) const
{
    const auto recorded = m_recorded.find(entry.record.backend);
    const bool isMember = recorded != m_recorded.end() && recorded->second.epoch == epoch && entry.record.startedAt <= recorded->second.startedAt;
    // Epochs of one server only grow, so a later one shows that it is out of this group.
    if (!isMember || entry.record.membership.epoch > epoch || hasEnded(epoch)) {
        return false;
    }
    const auto left = m_left.find(entry.record.backend);
    return left == m_left.end() || left->second.epoch < epoch;
}

bool group_closure::isReleasedByReport(const backend_registry::entry &entry) const
{
    const group_epoch epoch = entry.record.membership.epoch;
    return epoch.value() == 0 || isReportOutdated(entry) || hasLeft(entry) || hasEnded(epoch);
}

bool group_closure::isReleased(const backend_registry::entry &entry) const
{
    return isReleasedByReport(entry) && !isBoundByRecord(entry, recordedEpoch(entry.record.backend));
}

} // namespace carawayloft
