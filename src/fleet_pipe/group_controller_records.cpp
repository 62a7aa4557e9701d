#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

// The groups in the replicated log: what a new leader does with them, when they are recorded and when removed.

namespace carawayloft {

/** Time after which a proposal that has not come about is made again. */
static constexpr duration proposalResendDelay{500};

/** Time allowed for the members of a recorded group to announce themselves to a new leader, whether or not their head has: as for adopted groups. */
static constexpr duration knownHeadTimeout{2'000};
static constexpr duration unknownHeadTimeout{8'000};

/** Time for which a new leader completes a group of which it does not know whether it has opened. */
static constexpr duration completionTimeout{8'000};

/** A group whose members are all gone stays in the log for this time, as long as records of lost servers do. */
static constexpr duration goneGroupRetention{120'000};

void group_controller::handle(const groups_recorded &in)
{
    if (m_active) {
        takeRecords(in.groups);
    }
}

void group_controller::takeRecords(const std::vector<engine_group_record> &records)
{
    m_recorded.clear();
    for (const engine_group_record &each : records) {
        m_recorded.emplace(each.epoch, each);
    }
    m_closure.setRecords(records);
    std::erase_if(m_removalProposedAt, [this](const auto &each) { return !m_recorded.contains(each.first); });
    std::erase_if(m_givenUp, [this](const auto &each) { return !m_recorded.contains(each.first); });
}

/**
 * Takes over a mirrored group, unless the log shows that its servers were free for a later one, or that they are in
 * another one and this one was mirrored but never committed, so that nobody was ordered to join it.
 */
void group_controller::inherit(const engine_group &group)
{
    const auto record = m_recorded.find(group.epoch);
    bool isOutdated = false;
    bool isElsewhere = false;
    for (const backend_id &each : group.members) {
        const group_epoch latest = m_closure.recordedEpoch(each);
        isOutdated = isOutdated || latest > group.epoch;
        isElsewhere = isElsewhere || (latest.value() != 0 && latest != group.epoch);
    }
    if (isOutdated && record == m_recorded.end()) {
        m_closure.recordEnd(group.epoch);
    }
    if (isOutdated || (isElsewhere && record == m_recorded.end())) {
        return;
    }
    managed_group inherited;
    inherited.group = group;
    inherited.inherited = true;
    inherited.phaseStartedAt = m_now;
    inherited.deadline = m_now + completionTimeout;
    if (record != m_recorded.end()) {
        for (const engine_member_record &each : record->second.members) {
            inherited.startedAt.push_back(each.startedAt);
        }
    } else if (group.phase == group_phase::Opening) {
        // It has been removed from the log since; its members have to be ready again before its head may open.
        inherited.group.phase = group_phase::Forming;
    }
    insertGroup(std::move(inherited));
}

group_controller::managed_group &group_controller::insertRecorded(const engine_group_record &record)
{
    managed_group group;
    group.group = {record.epoch, record.service, record.model, group_phase::Forming, {}};
    group.inherited = true;
    group.phaseStartedAt = m_now;
    group.deadline = m_now + completionTimeout;
    for (const engine_member_record &each : record.members) {
        group.group.members.push_back(each.backend);
        group.startedAt.push_back(each.startedAt);
    }
    return insertGroup(std::move(group));
}

void group_controller::adoptRecordedGroups()
{
    for (const auto &[epoch, record] : m_recorded) {
        if (!m_groups.contains(epoch) && !m_closure.hasEnded(epoch)) {
            adoptRecorded(record);
        }
    }
}

/** Handles a recorded group that was not mirrored and may be open: completes it, closes it, or orders its members to leave. */
void group_controller::adoptRecorded(const engine_group_record &record)
{
    const group_epoch epoch = record.epoch;
    const backend_registry::entry *head = findEntry(record.members.front().backend);
    if (const closure_proof proof = m_closure.proofFor(epoch, head); proof != closure_proof::None) {
        m_closure.recordEnd(epoch, head);
        m_out.emplace_back(group_retired{epoch, describe(proof)});
        return;
    }
    if (m_givenUp.contains(epoch) || m_closure.isAbandoned(epoch)) {
        release(record);
        return;
    }
    if (isSuperseded(record)) {
        close(insertRecorded(record), true, "in the log beside a later group of its servers");
        return;
    }
    const bool isKnown
        = std::all_of(record.members.begin(), record.members.end(), [this](const engine_member_record &each) { return findEntry(each.backend) != nullptr; });
    if (isKnown) {
        managed_group &placed = insertRecorded(record);
        if (const char *missing = missingMemberReason(placed)) {
            close(placed, true, missing);
        } else {
            setPhase(placed, group_phase::Forming, "in the log, and may be open");
        }
    } else if (m_now >= m_beganAt + (head == nullptr ? unknownHeadTimeout : knownHeadTimeout)) {
        close(insertRecorded(record), true, "in the log, but not all members announced themselves in time");
    }
}

/** Whether a server of the group was chosen for a later one, which it was free for. */
bool group_controller::isSuperseded(const engine_group_record &record) const
{
    return std::any_of(
        record.members.begin(), record.members.end(), [&](const engine_member_record &each) { return m_closure.recordedEpoch(each.backend) > record.epoch; });
}

static bool isPresent(const backend_registry::entry *entry)
{
    return entry != nullptr && (entry->record.state == backend_state::Ready || entry->record.state == backend_state::Draining);
}

/** Has the members of a group that was given up leave it, and closes it again once its head is heard. */
void group_controller::release(const engine_group_record &record)
{
    const time_point givenUpAt = m_givenUp.try_emplace(record.epoch, m_now).first->second;
    const backend_id &headId = record.members.front().backend;
    const backend_registry::entry *head = findEntry(headId);
    const bool isHeadHeard = isPresent(head) && head->heardAt > givenUpAt;
    if (isHeadHeard && m_closure.mayBeIn(*head, record.epoch)) {
        close(insertRecorded(record), true, "its head is heard again");
        return;
    }
    if (isHeadHeard) {
        orderToLeave(headId, record.epoch); // Its answer proves that the group is over.
    }
    for (const engine_member_record &each : record.members) {
        const backend_registry::entry *entry = findEntry(each.backend);
        if (each.backend != headId && isPresent(entry) && m_closure.mayBeIn(*entry, record.epoch)) {
            orderToLeave(each.backend, record.epoch);
        }
    }
}

/** Notes that the head of the group may serve, but is ordered no more. */
void group_controller::giveUp(group_epoch epoch)
{
    m_closure.recordAbandoned(epoch);
    if (m_recorded.contains(epoch)) {
        m_givenUp[epoch] = m_now;
    }
}

bool group_controller::isRecorded(const managed_group &each) const
{
    return m_recorded.contains(each.group.epoch);
}

/** Whether nobody can be in the group any more: its head does not serve it and its servers have left it, or all of them are long gone. */
bool group_controller::isOver(const engine_group_record &record) const
{
    const bool hasEnded = m_closure.hasEnded(record.epoch);
    const auto givenUp = m_givenUp.find(record.epoch);
    if (!hasEnded && (givenUp == m_givenUp.end() || m_now < givenUp->second + goneGroupRetention)) {
        return false;
    }
    return std::none_of(record.members.begin(), record.members.end(), [&](const engine_member_record &each) {
        const backend_registry::entry *entry = findEntry(each.backend);
        // A lost member of a group that has ended will report the group if it returns.
        const bool counts = hasEnded ? isPresent(entry) : entry != nullptr;
        return counts && m_closure.mayBeIn(*entry, record.epoch);
    });
}

engine_group_record group_controller::recordOf(const managed_group &each) const
{
    engine_group_record record{each.group.epoch, each.group.service, each.group.model, {}};
    for (std::size_t i = 0; i < each.group.members.size(); ++i) {
        record.members.push_back({each.group.members[i], each.startedAt[i]});
    }
    return record;
}

/**
 * Proposes to record the groups that are not in the log, and to remove those that are over. A proposal with new groups
 * removes all that are over, since these may have been groups of the same servers.
 */
void group_controller::proposeRecords()
{
    group_records_proposed proposal;
    for (auto &[epoch, each] : m_groups) {
        const bool isWhole = !each.incomplete && each.startedAt.size() == each.group.members.size();
        const bool isDue = !each.recordProposedAt || m_now >= *each.recordProposedAt + proposalResendDelay;
        if (!isRecorded(each) && each.group.phase != group_phase::Closing && isWhole && isDue) {
            each.recordProposedAt = m_now;
            proposal.formed.push_back(recordOf(each));
        }
    }
    bool isDue = !proposal.formed.empty();
    for (const auto &[epoch, record] : m_recorded) {
        if (!m_groups.contains(epoch) && isOver(record)) {
            const auto proposed = m_removalProposedAt.find(epoch);
            isDue = isDue || proposed == m_removalProposedAt.end() || m_now >= proposed->second + proposalResendDelay;
            proposal.retired.push_back(epoch);
        }
    }
    if (!isDue) {
        return;
    }
    for (const group_epoch &each : proposal.retired) {
        m_removalProposedAt[each] = m_now;
    }
    m_out.emplace_back(std::move(proposal));
}

} // namespace carawayloft
