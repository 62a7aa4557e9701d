#include <carawayloft/fleet/group_controller.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Expected join time of an engine whose last group had the same model. */
static constexpr engine_duration hotJoinTime{200};

/** Slack added to the expected join time for resent orders. */
static constexpr duration joinSlack{4'000};

/** At the first start, all backend servers are taken to have announced themselves after this time without a new one. */
static constexpr duration registrationQuietPeriod{350};

/**
 * Minimum gain in utility, in units of one group's work, for closing a group in favour of others: closing disturbs its
 * streams, and its capacity is lost meanwhile.
 */
static constexpr double minRebalanceGain = 0.6;

/** Time for which the gain must persist: a new spare may make the change unnecessary. */
static constexpr duration rebalanceDelay{1'500};

/** Minimum time between two such changes: the effect of the first must show in the reported loads. */
static constexpr duration rebalanceInterval{4'000};

/** Standbys that will be ready within this time count as spares. */
static constexpr duration upcomingSpareWindow{2'500};

/** Maximum time between two reports of the state of a model. */
static constexpr duration assessmentInterval{5'000};

/** Minimum weight of a model's configured traffic share, even when no traffic is observed. */
static constexpr double minPriorWeight = 0.05;

/** Utilization of the groups that is assumed before any traffic is observed. */
static constexpr double priorUtilization = 0.4;

/** Objective for the first event that is assumed before any traffic is observed. */
static constexpr engine_duration priorObjective{300};

/** Builds the utility from the observed traffic, mixed with the configured shares as long as that is incomplete. */
fleet_utility group_controller::makeUtility(const service_settings &service) const
{
    const engine_profile &engine = *service.engine;
    double shares = 0.0;
    std::size_t servers = 0;
    for (const model_profile &each : engine.models) {
        shares += each.share;
    }
    for (const auto &[id, entry] : m_context->registry.entries()) {
        servers += entry.record.service == service.service && entry.record.state == backend_state::Ready ? 1 : 0;
    }
    const double observedWeight = std::min(m_context->trafficConfidence, 1.0 - minPriorWeight);
    fleet_traffic traffic;
    for (const model_profile &each : engine.models) {
        const engine_duration request = requestTime(engine, each, engine.meanPromptTokens, engine.meanAnswerTokens);
        // The configured share is a share of servers, not of groups.
        const double groups = each.share / shares * static_cast<double>(servers) / each.hostsPerGroup;
        const double prior = groups * priorUtilization / std::chrono::duration<double>(request).count();
        const auto observed = m_context->modelTraffic.find(each.model);
        model_traffic mixed{each.model, prior, engine.meanPromptTokens, engine.meanAnswerTokens, priorObjective};
        if (observed != m_context->modelTraffic.end()) {
            mixed = observed->second;
        }
        mixed.requestsPerSecond
            = (1.0 - observedWeight) * prior + observedWeight * (observed == m_context->modelTraffic.end() ? 0.0 : observed->second.requestsPerSecond);
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

/** The group of a backend server, or nullptr. */
const group_controller::managed_group *group_controller::findGroup(const backend_id &backend) const
{
    const auto found = m_memberOf.find(backend);
    return found == m_memberOf.end() ? nullptr : &m_groups.at(found->second);
}

bool group_controller::isFree(const backend_registry::entry &entry) const
{
    if (entry.record.state != backend_state::Ready || m_context->zonesOut.contains(entry.record.zone)) {
        return false;
    }
    if (m_standby.contains(entry.record.backend) || findGroup(entry.record.backend) != nullptr) {
        return false;
    }
    const group_epoch epoch = entry.record.membership.epoch;
    return epoch.value() == 0 || (m_retired.contains(epoch) && !headMayStillServe(entry));
}

std::optional<spare_backend> group_controller::spareFrom(const backend_registry::entry &entry) const
{
    if (!isFree(entry)) {
        return std::nullopt;
    }
    return spare_backend{entry.record.backend, entry.record.loaded, entry.record.staged};
}

group_controller::domain_pools group_controller::buildPools(const service_settings &service) const
{
    domain_pools pools;
    for (const auto &[id, entry] : m_context->registry.entries()) {
        const backend_record &record = entry.record;
        if (record.service != service.service || record.fabricDomain.value().empty()) {
            continue;
        }
        domain_pool &pool = pools[record.fabricDomain];
        if (const auto standby = m_standby.find(id); standby != m_standby.end()) {
            pool.addStandby(standby->second.model);
        } else if (const managed_group *group = findGroup(id)) {
            pool.addMembers(group->group.model, 1);
        } else if (std::optional<spare_backend> spare = spareFrom(entry)) {
            pool.addSpare(std::move(*spare));
        }
    }
    return pools;
}

/** Before any traffic, servers beyond the targets are assigned only once no new ones register. */
bool group_controller::serversStillRegistering()
{
    const std::size_t count = m_context->registry.entries().size();
    if (count != m_registeredCount) {
        m_registeredCount = count;
        m_lastRegisteredAt = m_now;
    }
    return !m_context->trafficStarted && m_now < m_lastRegisteredAt + registrationQuietPeriod;
}

void group_controller::reconcileService(const service_settings &service)
{
    domain_pools pools = buildPools(service);
    const fleet_utility utility = makeUtility(service);
    fleet_counts fleet{countGroups(service), 0};
    std::map<fabric_domain_id, std::size_t> sizes;
    for (const auto &[domain, pool] : pools) {
        sizes[domain] = pool.size();
        fleet.domainsWithSpares += pool.readyCount() > 0 ? 1 : 0;
    }
    for (auto &[domain, pool] : pools) {
        for (const planned_group &each : formDomainGroups(utility, fleet, pool)) {
            formGroup(service, each);
        }
    }
    rebalance(service, utility, fleet, pools);
    const std::map<fabric_domain_id, domain_allocation> targets = allocateModels(utility, sizes);
    assessModels(service, utility, fleet.groups, targets);
    for (auto &[domain, pool] : pools) {
        assignStandbys(service, pool, targets.at(domain));
    }
    stageAdditionalModels(service, utility, fleet, pools);
}

/** Reports the state of each model when its number of groups or the plan for it changes, and at least every assessmentInterval. */
void group_controller::assessModels(const service_settings &service,
                                    const fleet_utility &utility,
                                    const group_counts &groups,
                                    const std::map<fabric_domain_id, domain_allocation> &targets)
{
    for (const model_profile &each : service.engine->models) {
        model_assessed now{each.model, 0.0, 0, 0, utility.onTimeFraction(each.model, groups)};
        if (const auto found = groups.find(each.model); found != groups.end()) {
            now.groups = found->second;
        }
        if (const auto found = m_context->modelTraffic.find(each.model); found != m_context->modelTraffic.end()) {
            now.requestsPerSecond = found->second.requestsPerSecond;
        }
        for (const auto &[domain, target] : targets) {
            now.plannedGroups += target.at(each.model) / each.hostsPerGroup;
        }
        const auto last = m_assessed.find(each.model);
        const bool changed = last == m_assessed.end() || last->second.groups != now.groups || last->second.plannedGroups != now.plannedGroups;
        if (changed || m_now >= m_assessedAt[each.model] + assessmentInterval) {
            m_assessed[each.model] = now;
            m_assessedAt[each.model] = m_now;
            m_out.emplace_back(now);
        }
    }
}

void group_controller::formGroup(const service_settings &service, const planned_group &chosen)
{
    const model_profile &model = *findProfile(service.service, chosen.model);
    const bool allLoaded = std::all_of(chosen.members.begin(), chosen.members.end(), [&](const spare_backend &each) { return each.loaded == chosen.model; });
    managed_group group;
    group.group = {nextEpoch(), service.service, chosen.model, group_phase::Forming, {}};
    group.deadline = m_now + std::chrono::ceil<duration>(allLoaded ? hotJoinTime : std::max(hotJoinTime, model.warmLoadTime)) + joinSlack;
    for (const spare_backend &each : chosen.members) {
        group.group.members.push_back(each.backend);
        group.startedAt.push_back(findEntry(each.backend)->record.startedAt);
    }
    managed_group &placed = insertGroup(std::move(group));
    setPhase(placed, group_phase::Forming, "all members hold the model");
    reconcileForming(placed);
}

/** Utility of the fleet once every fabric domain has formed groups of its spares, current and upcoming. */
static double utilityWhenFilled(const fleet_utility &utility, fleet_counts fleet, std::map<fabric_domain_id, domain_pool> pools)
{
    for (auto &[domain, pool] : pools) {
        formDomainGroups(utility, fleet, pool);
    }
    return utility.of(fleet);
}

/** Closes a group when its members and the spares of their domain have more utility in other groups. */
void group_controller::rebalance(const service_settings &service, const fleet_utility &utility, const fleet_counts &fleet, domain_pools pools)
{
    const bool closing = std::any_of(m_groups.begin(), m_groups.end(), [&](const auto &each) {
        return each.second.group.service == service.service && each.second.group.phase == group_phase::Closing;
    });
    if (closing || !m_context->trafficStarted || m_now < m_rebalancedAt + rebalanceInterval) {
        return;
    }
    addUpcomingSpares(service, pools);
    double bestUtility = utilityWhenFilled(utility, fleet, pools) + minRebalanceGain;
    managed_group *best = nullptr;
    for (auto &[epoch, each] : m_groups) {
        const backend_registry::entry *head = findEntry(each.group.head());
        if (each.group.service != service.service || each.group.phase != group_phase::Open || head == nullptr) {
            continue;
        }
        domain_pools freed = pools;
        for (const backend_id &member : each.group.members) {
            if (const backend_registry::entry *entry = findEntry(member)) {
                freed[head->record.fabricDomain].addSpare({member, entry->record.loaded, entry->record.staged});
            }
        }
        fleet_counts without = fleet;
        --without.groups[each.group.model];
        if (const double candidateUtility = utilityWhenFilled(utility, without, freed); candidateUtility > bestUtility) {
            bestUtility = candidateUtility;
            best = &each;
        }
    }
    const std::optional<group_epoch> surplus = best == nullptr ? std::nullopt : std::optional(best->group.epoch);
    if (surplus != m_surplusGroup) {
        m_surplusGroup = surplus;
        m_surplusSince = m_now;
    }
    if (best != nullptr && m_now >= m_surplusSince + rebalanceDelay) {
        m_rebalancedAt = m_now;
        close(*best, false, "rebalancing: its members have more utility in other groups");
    }
}

/** Adds standbys that will be ready within upcomingSpareWindow as spares. */
void group_controller::addUpcomingSpares(const service_settings &service, domain_pools &pools) const
{
    for (const auto &[backend, each] : m_standby) {
        const backend_registry::entry *entry = findEntry(backend);
        if (entry != nullptr && entry->record.service == service.service && m_now + upcomingSpareWindow >= each.expectedReadyAt) {
            pools[entry->record.fabricDomain].addSpare({backend, each.model, {}});
        }
    }
}

} // namespace carawayloft
