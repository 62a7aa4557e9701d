#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/** Time that a group of unknown origin has to show all its members. */
static constexpr duration adoptionTime{2'000};

/** Time after which members whose head never showed up are free. */
static constexpr duration headlessTime{8'000};

void group_controller::findServing()
{
    m_serving.clear();
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool isHead = report.rank == 0 && (entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining);
        const auto closed = m_closedAt.find(report.epoch);
        const bool outdated = closed != m_closedAt.end() && entry.heardAt <= closed->second;
        if (isHead && !outdated && (report.state == membership_state::Open || report.state == membership_state::Closing)) {
            m_serving.insert(report.epoch);
        }
    }
}

/**
 * Whether the head of a retired group may still serve: nobody reached it, and this member was away too, so
 * that both may just have been cut off.
 */
bool group_controller::headMayStillServe(const backend_registry::entry &entry) const
{
    const group_epoch epoch = entry.record.membership.epoch;
    const auto unsure = m_unsure.find(epoch);
    if (m_serving.contains(epoch)) {
        return true;
    }
    if (unsure == m_unsure.end() || m_now >= entry.recoveredAt + headlessTime) {
        return false;
    }
    const backend_registry::entry *head = entryOf(unsure->second);
    const bool isBack = head != nullptr && head->record.state != backend_state::Lost && head->heardAt >= entry.recoveredAt - headlessTime;
    return !isBack;
}

void group_controller::adoptUnknown()
{
    std::map<group_epoch, std::map<std::uint32_t, backend_id>> seen;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const membership_report &report = entry.record.membership;
        const bool usable = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        const auto standby = m_standby.find(id);
        const bool isStandby = standby != m_standby.end() && standby->second.epoch == report.epoch;
        const bool isOver = m_retired.contains(report.epoch) && !m_serving.contains(report.epoch);
        if (usable && report.epoch.value() != 0 && !isStandby && !m_groups.contains(report.epoch) && !isOver) {
            seen[report.epoch].emplace(report.rank, id);
        }
    }
    std::erase_if(m_unknownSince, [&](const auto &each) { return !seen.contains(each.first); });
    for (const auto &[epoch, ranks] : seen) {
        m_unknownSince.emplace(epoch, m_now);
        adopt(epoch, ranks);
    }
}

/** Takes over a group that another leader formed, or frees its members once its head surely does not serve. */
void group_controller::adopt(group_epoch epoch, const std::map<std::uint32_t, backend_id> &ranks)
{
    const auto head = ranks.find(0);
    const duration known = std::chrono::duration_cast<duration>(m_now - m_unknownSince.at(epoch));
    if (head == ranks.end()) {
        if (known >= headlessTime) {
            m_retired.insert(epoch);
        }
        return;
    }
    const backend_record &record = entryOf(head->second)->record;
    if (record.membership.state != membership_state::Open && record.membership.state != membership_state::Closing) {
        m_retired.insert(epoch);
        return;
    }
    managed_group group;
    group.group = {epoch, record.service, record.loaded, group_phase::Open, {}};
    for (const auto &[rank, member] : ranks) {
        group.group.members.push_back(member);
        group.startedAt.push_back(entryOf(member)->record.startedAt);
    }
    managed_group &placed = place(std::move(group));
    // A head is only told to open once all its members are ready, so its callers need not wait for their word.
    placed.incomplete = true;
    setPhase(placed, group_phase::Open, "taken over from what its head reports");
    lookAtIncomplete(placed);
}

const model_profile *group_controller::profileOf(const service_id &service, const model_id &model) const
{
    for (const service_settings &each : m_view->services) {
        if (each.service != service || !each.engine) {
            continue;
        }
        const auto found
            = std::find_if(each.engine->models.begin(), each.engine->models.end(), [&](const model_profile &profile) { return profile.model == model; });
        return found == each.engine->models.end() ? nullptr : &*found;
    }
    return nullptr;
}

/** Adds the members of a group that was taken over as they announce themselves. */
void group_controller::lookAtIncomplete(managed_group &each)
{
    std::map<std::uint32_t, backend_id> ranks;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const bool usable = entry.record.state == backend_state::Ready || entry.record.state == backend_state::Draining;
        if (usable && entry.record.membership.epoch == each.group.epoch) {
            ranks.emplace(entry.record.membership.rank, id);
        }
    }
    const model_profile *model = profileOf(each.group.service, each.group.model);
    const bool whole = model != nullptr && ranks.size() == model->hostsPerGroup && ranks.rbegin()->first + 1 == model->hostsPerGroup;
    if (!whole) {
        if (m_now >= each.since + adoptionTime) {
            close(each, true, "taken over, and not all its members announced themselves");
        }
        return;
    }
    each.incomplete = false;
    each.group.members.clear();
    each.startedAt.clear();
    for (const auto &[rank, member] : ranks) {
        each.group.members.push_back(member);
        each.startedAt.push_back(entryOf(member)->record.startedAt);
        m_memberOf[member] = each.group.epoch;
    }
    setPhase(each, group_phase::Open, "all its members have announced themselves");
}

} // namespace carawayloft
