#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/** Time allowed for all members of an adopted group to announce themselves. */
static constexpr duration adoptionTimeout{2'000};

/** Time after which the members of a group leave it if its head has not announced itself. */
static constexpr duration missingHeadTimeout{8'000};

void group_controller::adoptReportedGroups()
{
    std::map<group_epoch, std::map<std::uint32_t, backend_id>> seen;
    for (const auto &[id, entry] : m_context->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool usable = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const auto standby = m_standby.find(id);
        const bool isStandby = standby != m_standby.end() && standby->second.epoch == report.epoch;
        const bool isMember = report.epoch.value() != 0 && !m_groups.contains(report.epoch);
        if (usable && !isStandby && isMember && !m_closure.isReleasedByReport(entry)) {
            seen[report.epoch].emplace(report.rank, id);
        }
    }
    std::erase_if(m_unadoptedSince, [&](const auto &each) { return !seen.contains(each.first); });
    for (const auto &[epoch, ranks] : seen) {
        m_unadoptedSince.emplace(epoch, m_now);
        adopt(epoch, ranks);
    }
}

/** Makes servers that report no group refuse the orders that were sent to an earlier run of theirs, before they are used. */
void group_controller::fenceRestartedServers()
{
    for (const auto &[id, entry] : m_context->registry.entries()) {
        const bool isEngine = !entry.record.fabricDomain.value().empty();
        const managed_group *group = findGroup(id);
        const bool isUnused = (group == nullptr || group->group.phase == group_phase::Closing) && !m_standby.contains(id);
        if (isEngine && isUnused && entry.record.state == backend_state::Ready && m_closure.mayJoinLate(entry)) {
            fenceEarlierOrders(id);
        }
    }
}

/** Adopts a group that another leader formed, or releases its members. */
void group_controller::adopt(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks)
{
    const auto head = ranks.find(0);
    if (head == ranks.end()) {
        releaseHeadless(epoch, ranks);
        return;
    }
    const backend_record &record = findEntry(head->second)->record;
    if (record.membership.state != membership_state::Open && record.membership.state != membership_state::Closing) {
        // The head of a recorded group may have been told to open since it announced this.
        if (isStandbyEpoch(epoch)) {
            m_closure.recordEnd(epoch);
        } else if (!m_recorded.contains(epoch)) {
            orderAllToLeave(epoch, ranks);
        }
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
    if (m_closure.isAbandoned(epoch)) {
        close(placed, true, "its members have left");
        return;
    }
    setPhase(placed, group_phase::Open, "adopted from the report of its head");
    completeAdopted(placed);
}

/** Has the members of a group leave it if its head has not announced itself for long, or if the group was given up before. */
void group_controller::releaseHeadless(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks)
{
    const duration known = std::chrono::duration_cast<duration>(m_now - m_unadoptedSince.at(epoch));
    if (known < missingHeadTimeout && !m_closure.isAbandoned(epoch)) {
        return;
    }
    m_closure.recordAbandoned(epoch);
    orderAllToLeave(epoch, ranks);
}

void group_controller::orderAllToLeave(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks)
{
    for (const auto &[rank, member] : ranks) {
        orderToLeave(member, epoch);
    }
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

/** Adds all members of an adopted group once they have announced themselves; returns false if it closes the group, at adoptionTimeout. */
bool group_controller::completeAdopted(managed_group &each)
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
            return false;
        }
        return true;
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
    return true;
}

} // namespace carawayloft
