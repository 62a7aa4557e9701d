#include <carawayloft/fleet/group_controller.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Time in which an engine joins when its last group had the same model. */
static constexpr engine_duration hotJoinTime{200};

/** Slack on top of the expected time of a join, for orders that are given again. */
static constexpr duration joinSlack{4'000};

/** Time without another backend server after which all that there are at the first start have announced themselves. */
static constexpr duration arrivalPause{350};

/** What it must gain, in groups' worth of work, to give a group up for others: its streams are disturbed, and work is lost meanwhile. */
static constexpr double rebalanceCost = 0.6;

/** Time for which it must be so: a spare may turn up that makes it needless. */
static constexpr duration rebalanceDelay{1'500};

/** Time between two such changes: the first must show in the loads. */
static constexpr duration rebalancePause{4'000};

/** Servers that will hold a model within this time are worth waiting for. */
static constexpr duration soonTime{2'500};

/** Part of a model's published traffic that counts even when callers ask for nothing of it. */
static constexpr double leastPrior = 0.05;

/** Part of their time for which the groups of a fleet are taken to be busy before anything was asked of it. */
static constexpr double usualUse = 0.4;

/** Time in which the first event is taken to be wanted before anything was asked. */
static constexpr engine_duration usualObjective{300};

/** Weighs models against each other: by what callers ask for, and before there is any by the published shares. */
fleet_utility group_controller::weigh(const service_settings &service) const
{
    const engine_profile &engine = *service.engine;
    double shares = 0.0;
    std::size_t servers = 0;
    for (const model_profile &each : engine.models) {
        shares += each.share;
    }
    for (const auto &[id, entry] : m_view->registry.entries()) {
        servers += entry.record.service == service.service && entry.record.state == backend_state::Ready ? 1 : 0;
    }
    const double known = std::min(m_view->askedKnown, 1.0 - leastPrior);
    fleet_traffic traffic;
    for (const model_profile &each : engine.models) {
        const engine_duration request = requestTime(engine, each, engine.meanPromptTokens, engine.meanAnswerTokens);
        // The published share is one of servers, not of groups.
        const double groups = each.share / shares * static_cast<double>(servers) / each.hostsPerGroup;
        const double published = groups * usualUse / std::chrono::duration<double>(request).count();
        const auto asked = m_view->asked.find(each.model);
        model_traffic mixed{each.model, published, engine.meanPromptTokens, engine.meanAnswerTokens, usualObjective};
        if (asked != m_view->asked.end()) {
            mixed = asked->second;
        }
        mixed.requestsPerSecond = (1.0 - known) * published + known * (asked == m_view->asked.end() ? 0.0 : asked->second.requestsPerSecond);
        traffic[each.model] = mixed;
    }
    return {engine, traffic};
}

group_counts group_controller::countGroups(const service_settings &service) const
{
    group_counts counts;
    for (const auto &[epoch, each] : m_groups) {
        if (each.group.service == service.service && each.group.phase != group_phase::Closing) {
            ++counts[each.group.model];
        }
    }
    return counts;
}

/** The group that a backend server is a member of, or nullptr. */
const group_controller::managed_group *group_controller::groupOf(const backend_id &backend) const
{
    const auto found = m_memberOf.find(backend);
    return found == m_memberOf.end() ? nullptr : &m_groups.at(found->second);
}

bool group_controller::isFree(const backend_registry::entry &entry) const
{
    if (entry.record.state != backend_state::Ready || m_view->zonesOut.contains(entry.record.zone)) {
        return false;
    }
    if (m_standby.contains(entry.record.backend) || groupOf(entry.record.backend) != nullptr) {
        return false;
    }
    const group_epoch epoch = entry.record.membership.epoch;
    return epoch.value() == 0 || (m_retired.contains(epoch) && !headMayStillServe(entry));
}

std::optional<spare_backend> group_controller::spareOf(const backend_registry::entry &entry) const
{
    if (!isFree(entry)) {
        return std::nullopt;
    }
    return spare_backend{entry.record.backend, entry.record.loaded, entry.record.staged};
}

group_controller::domain_pools group_controller::poolsOf(const service_settings &service) const
{
    domain_pools pools;
    for (const auto &[id, entry] : m_view->registry.entries()) {
        const backend_record &record = entry.record;
        if (record.service != service.service || record.fabricDomain.value().empty()) {
            continue;
        }
        domain_pool &pool = pools[record.fabricDomain];
        if (const auto standby = m_standby.find(id); standby != m_standby.end()) {
            pool.addPreparing(standby->second.model);
        } else if (const managed_group *group = groupOf(id)) {
            pool.addMembers(group->group.model, 1);
        } else if (std::optional<spare_backend> spare = spareOf(entry)) {
            pool.addSpare(std::move(*spare));
        }
    }
    return pools;
}

/** Before there is traffic, the last servers are planned for only once no more turn up. */
bool group_controller::stillArriving()
{
    const std::size_t count = m_view->registry.entries().size();
    if (count != m_arrived) {
        m_arrived = count;
        m_arrivedAt = m_now;
    }
    return !m_view->traffic && m_now < m_arrivedAt + arrivalPause;
}

void group_controller::planService(const service_settings &service)
{
    domain_pools pools = poolsOf(service);
    const fleet_utility value = weigh(service);
    fleet_counts fleet{countGroups(service), 0};
    std::map<fabric_domain_id, std::size_t> sizes;
    for (const auto &[domain, pool] : pools) {
        sizes[domain] = pool.size();
        fleet.domainsWithSpares += pool.ready() > 0 ? 1 : 0;
    }
    for (auto &[domain, pool] : pools) {
        for (const planned_group &each : formDomainGroups(value, fleet, pool)) {
            form(service, each);
        }
    }
    rebalance(service, value, fleet, pools);
    const std::map<fabric_domain_id, domain_allocation> targets = allocateModels(value, sizes);
    for (auto &[domain, pool] : pools) {
        prepare(service, pool, targets.at(domain));
    }
    stageMore(service, value, fleet, pools);
}

void group_controller::form(const service_settings &service, const planned_group &chosen)
{
    const model_profile &model = *profileOf(service.service, chosen.model);
    const bool allLoaded = std::all_of(chosen.members.begin(), chosen.members.end(), [&](const spare_backend &each) { return each.loaded == chosen.model; });
    managed_group group;
    group.group = {nextEpoch(), service.service, chosen.model, group_phase::Forming, {}};
    group.due = m_now + std::chrono::ceil<duration>(allLoaded ? hotJoinTime : std::max(hotJoinTime, model.warmLoadTime)) + joinSlack;
    for (const spare_backend &each : chosen.members) {
        group.group.members.push_back(each.backend);
        group.startedAt.push_back(entryOf(each.backend)->record.startedAt);
    }
    managed_group &placed = place(std::move(group));
    setPhase(placed, group_phase::Forming, "its members hold the model");
    lookAtForming(placed);
}

/** Value of the fleet once every fabric domain has used up the spares that it has, or will have soon. */
static double valueWhenFilled(const fleet_utility &value, fleet_counts fleet, std::map<fabric_domain_id, domain_pool> pools)
{
    for (auto &[domain, pool] : pools) {
        formDomainGroups(value, fleet, pool);
    }
    return value.of(fleet);
}

/** Closes a group when its members and the spares of their domain are worth more in other groups. */
void group_controller::rebalance(const service_settings &service, const fleet_utility &value, const fleet_counts &fleet, domain_pools pools)
{
    const bool closing = std::any_of(m_groups.begin(), m_groups.end(), [&](const auto &each) {
        return each.second.group.service == service.service && each.second.group.phase == group_phase::Closing;
    });
    if (closing || !m_view->traffic || m_now < m_rebalancedAt + rebalancePause) {
        return;
    }
    addSoonReady(service, pools);
    double bestValue = valueWhenFilled(value, fleet, pools) + rebalanceCost;
    managed_group *best = nullptr;
    for (auto &[epoch, each] : m_groups) {
        const backend_registry::entry *head = entryOf(each.group.head());
        if (each.group.service != service.service || each.group.phase != group_phase::Open || head == nullptr) {
            continue;
        }
        domain_pools freed = pools;
        for (const backend_id &member : each.group.members) {
            if (const backend_registry::entry *entry = entryOf(member)) {
                freed[head->record.fabricDomain].addSpare({member, entry->record.loaded, entry->record.staged});
            }
        }
        fleet_counts without = fleet;
        --without.groups[each.group.model];
        if (const double worth = valueWhenFilled(value, without, freed); worth > bestValue) {
            bestValue = worth;
            best = &each;
        }
    }
    const std::optional<group_epoch> surplus = best == nullptr ? std::nullopt : std::optional(best->group.epoch);
    if (surplus != m_surplus) {
        m_surplus = surplus;
        m_surplusSince = m_now;
    }
    if (best != nullptr && m_now >= m_surplusSince + rebalanceDelay) {
        m_rebalancedAt = m_now;
        close(*best, false, "its members are worth more in another group");
    }
}

/** Counts servers that will soon hold a model as spares. */
void group_controller::addSoonReady(const service_settings &service, domain_pools &pools) const
{
    for (const auto &[backend, each] : m_standby) {
        const backend_registry::entry *entry = entryOf(backend);
        if (entry != nullptr && entry->record.service == service.service && m_now + soonTime >= each.readyAt) {
            pools[entry->record.fabricDomain].addSpare({backend, each.model, {}});
        }
    }
}

} // namespace carawayloft
