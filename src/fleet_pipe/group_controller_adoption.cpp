#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/** Time allowed for all members of an adopted group to announce themselves. */
static constexpr duration adoptionTimeout{2'000};

/** Time after which members of a group are free if its head has not announced itself. */
static constexpr duration missingHeadTimeout{8'000};

void group_controller::collectServingEpochs()
{
    m_servingEpochs.clear();
    for (const auto &[id, entry] : m_context->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool isHead = report.rank == 0 && (entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining);
        const auto closed = m_closedAt.find(report.epoch);
        const bool outdated = closed != m_closedAt.end() && entry.heardAt <= closed->second;
        if (isHead && !outdated && (report.state == membership_state::Open || report.state == membership_state::Closing)) {
            m_servingEpochs.insert(report.epoch);
        }
    }
}

/**
 * Whether the head of a retired group may still serve: the head was unreachable and so was this member, so
 * both may have been on the same side of a network partition.
 */
bool group_controller::headMayStillServe(const backend_registry::entry &entry) const
{
    const group_epoch epoch = entry.record.membership.epoch;
    const auto unsure = m_unconfirmedClosures.find(epoch);
    if (m_servingEpochs.contains(epoch)) {
        return true;
    }
    if (unsure == m_unconfirmedClosures.end() || m_now >= entry.recoveredAt + missingHeadTimeout) {
        return false;
    }
    const backend_registry::entry *head = findEntry(unsure->second);
    const bool isBack = head != nullptr && head->record.state != backend_state::Lost && head->heardAt >= entry.recoveredAt - missingHeadTimeout;
    return !isBack;
}

void group_controller::adoptReportedGroups()
{
    std::map<group_epoch, std::map<std::uint32_t, backend_id>> seen;
    for (const auto &[id, entry] : m_context->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool usable = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const auto standby = m_standby.find(id);
        const bool isStandby = standby != m_standby.end() && standby->second.epoch == report.epoch;
        const bool isOver = m_retired.contains(report.epoch) && !m_servingEpochs.contains(report.epoch);
        if (usable && report.epoch.value() != 0 && !isStandby && !m_groups.contains(report.epoch) && !isOver) {
            seen[report.epoch].emplace(report.rank, id);
        }
    }
    std::erase_if(m_unadoptedSince, [&](const auto &each) { return !seen.contains(each.first); });
    for (const auto &[epoch, ranks] : seen) {
        m_unadoptedSince.emplace(epoch, m_now);
        adopt(epoch, ranks);
    }
}

/** Adopts a group that another leader formed, or frees its members once its head is certain not to serve. */
void group_controller::adopt(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks)
{
    const auto head = ranks.find(0);
    const duration known = std::chrono::duration_cast<duration>(m_now - m_unadoptedSince.at(epoch));
    if (head == ranks.end()) {
        if (known >= missingHeadTimeout) {
            m_retired.insert(epoch);
        }
        return;
    }
    const backend_record &record = findEntry(head->second)->record;
    if (record.membership.state != membership_state::Open && record.membership.state != membership_state::Closing) {
        m_retired.insert(epoch);
        return;
    }
    managed_group group;
    group.group = {epoch, record.service, record.loaded, group_phase::Open, {}};
    for (const auto &[rank, member] : ranks) {
        group.group.members.push_back(member);
        group.startedAt.push_back(findEntry(member)->record.startedAt);
    }
    managed_group &placed = insertGroup(std::move(group));
    // A head is only told to open once all members are ready, so traffic need not wait for their announcements.
    placed.incomplete = true;
    setPhase(placed, group_phase::Open, "adopted from the report of its head");
    completeAdopted(placed);
}

const model_profile *group_controller::findProfile(const service_id &service, const model_id &model) const
{
    for (const service_settings &each : m_context->services) {
        if (each.service != service || !each.engine) {
            continue;
        }
        const auto found
            = std::find_if(each.engine->models.begin(), each.engine->models.end(), [&](const model_profile &profile) { return profile.model == model; });
        return found == each.engine->models.end() ? nullptr : &*found;
    }
    return nullptr;
}

/** Adds all members of an adopted group once they have announced themselves; closes the group at adoptionTimeout. */
void group_controller::completeAdopted(managed_group &each)
{
    std::map<std::uint32_t, backend_id> ranks;
    for (const auto &[id, entry] : m_context->registry.entries()) {
        const bool usable = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        if (usable && entry.record.membership.epoch == each.group.epoch) {
            ranks.emplace(entry.record.membership.rank, id);
        }
    }
    const model_profile *model = findProfile(each.group.service, each.group.model);
    const bool whole = model != nullptr && ranks.size() == model->hostsPerGroup && ranks.rbegin()->first + 1 == model->hostsPerGroup;
    if (!whole) {
        if (m_now >= each.phaseStartedAt + adoptionTimeout) {
            close(each, true, "adopted, but not all members announced themselves in time");
        }
        return;
    }
    each.incomplete = false;
    each.group.members.clear();
    each.startedAt.clear();
    for (const auto &[rank, member] : ranks) {
        each.group.members.push_back(member);
        each.startedAt.push_back(findEntry(member)->record.startedAt);
        m_memberOf[member] = each.group.epoch;
    }
    setPhase(each, group_phase::Open, "adopted with all members");
}

} // namespace carawayloft
