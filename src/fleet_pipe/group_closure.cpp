#include <carawayloft/fleet/group_closure.h>

#include <algorithm>

namespace carawayloft {

/** Number of groups of one server that are kept; the order to leave an earlier one is sent again if the answer is needed. */
static constexpr std::size_t maxLeavesOfServer = 8;

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
    case closure_proof::Left:
        return "the head confirmed that it left the group";
    case closure_proof::Replaced:
        return "a later server uses the address of the head";
    }
    return "unknown";
}

void group_closure::clear()
{
    *this = group_closure();
}

void group_closure::setKnown(const std::vector<backend_id> &servers)
{
    m_known.insert(servers.begin(), servers.end());
}

void group_closure::setRecords(const std::vector<engine_group_record> &records)
{
    for (const engine_group_record &group : records) {
        for (const engine_member_record &member : group.members) {
            if (!m_firstRuns.contains(member.backend)) {
                m_known.insert(member.backend);
            }
            recorded_membership &latest = m_recorded[member.backend];
            if (latest.epoch < group.epoch) {
                latest = {group.epoch, member.startedAt};
            }
        }
    }
}

void group_closure::observe(const backend_registry &registry)
{
    noteRuns(registry);
    m_serving.clear();
    for (const auto &[id, entry] : registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool isPresent = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        if (isPresent && report.rank == 0 && !hasLeft(entry) && !isReportOutdated(entry) && reportsServing(report)) {
            m_serving.insert(report.epoch);
        }
        reopenAfterRestart(report.epoch, registry);
    }
}

void group_closure::noteRuns(const backend_registry &registry)
{
    for (const auto &[id, entry] : registry.entries()) {
        m_firstRuns.try_emplace(id, entry.record.startedAt);
    }
}

/** A head that has started again may join and open its group once more by late orders, until its new run has left it too. */
void group_closure::reopenAfterRestart(group_epoch epoch, const backend_registry &registry)
{
    const auto ended = m_ended.find(epoch);
    if (ended == m_ended.end() || ended->second.backend.value().empty()) {
        return;
    }
    const backend_registry::entry *head = registry.find(ended->second.backend);
    if (head != nullptr && head->record.startedAt > ended->second.startedAt) {
        recordAbandoned(epoch);
    }
}

void group_closure::recordEnd(group_epoch epoch, const backend_registry::entry *head)
{
    m_abandoned.erase(epoch);
    m_ended[epoch] = head == nullptr ? ended_head() : ended_head{head->record.backend, head->record.startedAt};
}

void group_closure::recordAbandoned(group_epoch epoch)
{
    m_ended.erase(epoch);
    m_abandoned.insert(epoch);
}

void group_closure::recordLeft(const confirmed_leave &leave)
{
    std::map<group_epoch, confirmed_leave> &leaves = m_left[leave.backend];
    std::erase_if(leaves, [&](const auto &each) { return each.second.startedAt != leave.startedAt; });
    leaves[leave.epoch] = leave;
    if (leaves.size() > maxLeavesOfServer) {
        leaves.erase(leaves.begin());
    }
}

void group_closure::forgetGone(const backend_registry &registry)
{
    std::erase_if(m_left, [&](const auto &each) { return registry.find(each.first) == nullptr; });
    std::erase_if(m_firstRuns, [&](const auto &each) { return registry.find(each.first) == nullptr; });
    std::erase_if(m_known, [&](const backend_id &each) { return registry.find(each) == nullptr; });
    std::erase_if(m_recorded, [&](const auto &each) { return registry.find(each.first) == nullptr; });
}

closure_proof group_closure::proofFor(group_epoch epoch, const backend_registry::entry *head) const
{
    if (head == nullptr) {
        return closure_proof::None;
    }
    if (head->replaced) {
        return closure_proof::Replaced;
    }
    return findLeave(*head, epoch) != nullptr && !serves(epoch) ? closure_proof::Left : closure_proof::None;
}

bool group_closure::serves(group_epoch epoch) const
{
    return m_serving.contains(epoch);
}

bool group_closure::isAbandoned(group_epoch epoch) const
{
    return m_abandoned.contains(epoch);
}

/** The answer of the present run of the server that it has left the group, or nullptr. */
const confirmed_leave *group_closure::findLeave(const backend_registry::entry &entry, group_epoch epoch) const
{
    const auto leaves = m_left.find(entry.record.backend);
    if (leaves == m_left.end()) {
        return nullptr;
    }
    const auto found = leaves->second.find(epoch);
    return found == leaves->second.end() || found->second.startedAt != entry.record.startedAt ? nullptr : &found->second;
}

/** Whether the present run of the server has left the group or a later one. */
bool group_closure::hasLeftSince(const backend_registry::entry &entry, group_epoch epoch) const
{
    const auto leaves = m_left.find(entry.record.backend);
    return leaves != m_left.end() && !leaves->second.empty() && findLeave(entry, leaves->second.rbegin()->first) != nullptr
           && leaves->second.rbegin()->first >= epoch;
}

/** Whether the present run of the server has answered an order to leave, and has announced itself since. */
bool group_closure::hasReportedSinceLeave(const backend_registry::entry &entry) const
{
    const auto leaves = m_left.find(entry.record.backend);
    if (leaves == m_left.end()) {
        return false;
    }
    return std::any_of(leaves->second.begin(), leaves->second.end(), [&](const auto &each) {
        return each.second.startedAt == entry.record.startedAt && entry.heardAt > each.second.at;
    });
}

/** Whether the server has left the group that it last reported. */
bool group_closure::hasLeft(const backend_registry::entry &entry) const
{
    const confirmed_leave *left = findLeave(entry, entry.record.membership.epoch);
    return left != nullptr && entry.heardAt <= left->at;
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
    const bool isMember = recorded != m_recorded.end() && recorded->second.epoch == epoch;
    // Epochs of one run only grow, so a later one shows that it is out of this group.
    if (!isMember || entry.record.membership.epoch > epoch) {
        return false;
    }
    return !hasLeftSince(entry, epoch);
}

bool group_closure::mayBeIn(const backend_registry::entry &entry, group_epoch epoch) const
{
    return (entry.record.membership.epoch == epoch && !isReleasedByReport(entry)) || isBoundByRecord(entry, epoch);
}

bool group_closure::mayJoinLate(const backend_registry::entry &entry) const
{
    if (entry.record.membership.epoch.value() != 0 || hasReportedSinceLeave(entry)) {
        return false;
    }
    const auto first = m_firstRuns.find(entry.record.backend);
    const bool isFirstRun = first != m_firstRuns.end() && first->second == entry.record.startedAt;
    const bool isKnown = m_known.contains(entry.record.backend);
    return !isFirstRun || (isKnown && !hasLeftSince(entry, group_epoch()));
}

bool group_closure::isOutOfReportedGroup(const backend_registry::entry &entry) const
{
    const group_epoch epoch = entry.record.membership.epoch;
    if (epoch.value() == 0) {
        return !mayJoinLate(entry);
    }
    return isStandbyEpoch(epoch) ? hasEnded(epoch) : hasLeft(entry);
}

bool group_closure::isReleasedByReport(const backend_registry::entry &entry) const
{
    return isReportOutdated(entry) || isOutOfReportedGroup(entry);
}

bool group_closure::isReleased(const backend_registry::entry &entry) const
{
    return isReleasedByReport(entry) && !isBoundByRecord(entry, recordedEpoch(entry.record.backend));
}

} // namespace carawayloft
