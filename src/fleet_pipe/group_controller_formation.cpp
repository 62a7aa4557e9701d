#include <carawayloft/fleet/group_controller.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace carawayloft {

/** Expected join time of an engine whose last group had the same model. */
static constexpr engine_duration hotJoinTime{200};

/** Slack added to the expected join time for resent orders. */
static constexpr duration joinSlack{4'000};

/** At the first start, all backend servers are taken to have announced themselves after this time without a new one. */
static constexpr duration registrationQuietPeriod{350};

/** Maximum age of the plan. */
static constexpr duration planningInterval{1'000};

/** In a domain where many servers come back, groups are formed once none has come for this long. */
static constexpr duration arrivalQuietPeriod{350};

/** Maximum time between two reports of the state of a model. */
static constexpr duration assessmentInterval{1'000};

/** Minimum weight of a model's configured traffic share, even when no traffic is observed. */
static constexpr double minPriorWeight = 0.05;

/** Utilization of the groups that is assumed before any traffic is observed. */
static constexpr double priorUtilization = 0.4;

/** Objective for the first event that is assumed before any traffic is observed. */
static constexpr engine_duration priorObjective{300};

void group_controller::averageCapacities()
{
    capacity_factors learned;
    for (const auto &[model, estimate] : m_context->capacities) {
        learned[model] = estimate.factor();
    }
    m_planCapacity.record(learned, m_now);
}

/** Builds the utility from the observed traffic, mixed with the configured shares as long as that is incomplete. */
fleet_utility group_controller::makeUtility(const service_settings &service) const
{
    const engine_profile &engine = *service.engine;
    double shares = 0.0;
    std::size_t servers = 0;
    for (const model_profile &each : engine.models) {
        shares += each.share.value();
    }
    for (const auto &[id, entry] : m_context->registry.entries()) {
        servers += entry.record.service == service.service && entry.record.state == backend_state::Ready ? 1 : 0;
    }
    const double observedWeight = std::min(m_context->trafficConfidence, 1.0 - minPriorWeight);
    fleet_traffic traffic;
    for (const model_profile &each : engine.models) {
        const engine_duration request = requestTime(engine, each, engine.meanPromptTokens, engine.meanAnswerTokens);
        // The configured share is a share of servers, not of groups.
        const double share = shares > 0.0 ? each.share.value() / shares : 0.0; // Without any share, only observed traffic counts.
        const double groups = share * static_cast<double>(servers) / each.hostsPerGroup.value();
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
    return {engine, traffic, m_planCapacity.factors()};
}

/** The groups that serve or are being formed, by the fabric domain of their head. */
fleet_composition group_controller::compose(const service_settings &service, const domain_pools &pools) const
{
    const std::vector<model_profile> &models = service.engine->models;
    fleet_composition fleet;
    for (const auto &[domain, pool] : pools) {
        fleet[domain] = {group_counts(models.size()), pool.readyCount() > 0};
    }
    for (const auto &[epoch, each] : m_groups) {
        const auto model = std::find_if(models.begin(), models.end(), [&](const model_profile &profile) { return profile.model == each.group.model; });
        if (each.group.service != service.service || each.group.phase == group_phase::Closing || model == models.end()) {
            continue;
        }
        domain_composition &domain = fleet[domainOf(each)];
        domain.groups.resize(models.size());
        ++domain.groups[static_cast<std::size_t>(model - models.begin())];
    }
    return fleet;
}

/** Fabric domain of the group's head; empty if that is unknown. */
fabric_domain_id group_controller::domainOf(const managed_group &group) const
{
    const backend_registry::entry *head = findEntry(group.group.head());
    return head == nullptr ? fabric_domain_id() : head->record.fabricDomain;
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
    return m_closure.isReleased(entry);
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

/** The plan for the servers there are, made anew when their number changes and every planningInterval. */
const fleet_plan &group_controller::planFor(const service_settings &service, const fleet_utility &utility, const domain_pools &pools)
{
    fleet_plan &plan = m_plans[service.service];
    std::map<fabric_domain_id, std::size_t> sizes;
    bool changed = plan.size() != pools.size();
    for (const auto &[domain, pool] : pools) {
        sizes[domain] = pool.size();
        const auto planned = plan.find(domain);
        changed = changed || planned == plan.end()
                  || std::accumulate(planned->second.servers.begin(), planned->second.servers.end(), std::size_t{0}) != pool.size();
    }
    if (changed || m_now >= m_plannedAt[service.service] + planningInterval) {
        plan = planFleet(utility, sizes);
        m_plannedAt[service.service] = m_now;
    }
    return plan;
}

/** Whether many servers of the domain came just now, so that groups formed now would lack those that follow. */
bool group_controller::isReturning(const fabric_domain_id &domain, const domain_pool &pool, std::size_t smallestGroup)
{
    domain_arrivals &arrivals = m_arrivals[domain];
    for (std::size_t count = arrivals.known; count < pool.size(); ++count) {
        arrivals.recent.push_back(m_now);
    }
    arrivals.known = pool.size();
    while (!arrivals.recent.empty() && m_now >= arrivals.recent.front() + arrivalQuietPeriod) {
        arrivals.recent.pop_front();
    }
    return m_context->trafficStarted && arrivals.recent.size() >= std::max<std::size_t>(smallestGroup, 2);
}

void group_controller::reconcileService(const service_settings &service)
{
    domain_pools pools = buildPools(service);
    const fleet_utility utility = makeUtility(service);
    fleet_composition fleet = compose(service, pools);
    const fleet_plan &plan = planFor(service, utility, pools);
    const auto &models = service.engine->models;
    const auto smallest
        = std::min_element(models.begin(), models.end(), [](const auto &one, const auto &other) { return one.hostsPerGroup < other.hostsPerGroup; });
    for (auto &[domain, pool] : pools) {
        if (smallest == models.end() || isReturning(domain, pool, smallest->hostsPerGroup)) {
            continue;
        }
        for (const planned_group &each : formDomainGroups(utility, fleet, domain, pool, plan.at(domain).groups)) {
            formGroup(service, each);
        }
    }
    assessModels(service, utility, fleet, plan);
    rebalance(service, utility, fleet, pools, plan);
    for (auto &[domain, pool] : pools) {
        assignStandbys(service, pool, plan.at(domain).servers);
    }
    stageAdditionalModels(service, utility, fleet, pools);
}

/** Reports the state of each model when its number of groups or the plan for it changes, and at least every assessmentInterval. */
void group_controller::assessModels(const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, const fleet_plan &plan)
{
    const std::vector<model_profile> &models = service.engine->models;
    for (std::size_t i = 0; i < models.size(); ++i) {
        const model_id &model = models[i].model;
        model_assessed now{model, 0.0, 0, 0, 0.0};
        for (const auto &[domain, composition] : fleet) {
            now.groups += composition.groups[i];
        }
        for (const auto &[domain, planned] : plan) {
            now.plannedGroups += planned.groups[i];
        }
        if (const auto found = m_context->modelTraffic.find(model); found != m_context->modelTraffic.end()) {
            now.requestsPerSecond = found->second.requestsPerSecond;
        }
        if (const auto learned = m_context->capacities.find(model); learned != m_context->capacities.end()) {
            now.observedOnTimeShare = learned->second.onTimeShare();
            now.capacityFactor = learned->second.factor();
        }
        now.onTimeShare = utility.onTimeFraction(model, now.groups, now.capacityFactor);
        const auto last = m_assessed.find(model);
        const bool changed = last == m_assessed.end() || last->second.groups != now.groups || last->second.plannedGroups != now.plannedGroups;
        if (changed || m_now >= m_assessedAt[model] + assessmentInterval) {
            m_assessed[model] = now;
            m_assessedAt[model] = m_now;
            m_out.emplace_back(now);
        }
    }
}

void group_controller::formGroup(const service_settings &service, const planned_group &chosen)
{
    const model_profile &model = *findProfile(service.service, chosen.model);
    const bool allLoaded = std::all_of(chosen.members.begin(), chosen.members.end(), [&](const spare_backend &each) { return each.loaded == chosen.model; });
    managed_group group;
    group.group = {nextEpoch(epoch_use::Service), service.service, chosen.model, group_phase::Forming, {}};
    group.deadline = m_now + ceilDuration(allLoaded ? hotJoinTime : std::max(hotJoinTime, model.warmLoadTime.value())) + joinSlack;
    for (const spare_backend &each : chosen.members) {
        group.group.members.push_back(each.backend);
        group.startedAt.push_back(findEntry(each.backend)->record.startedAt);
    }
    managed_group &placed = insertGroup(std::move(group));
    setPhase(placed, group_phase::Forming, "all members hold the model");
    reconcileForming(placed);
}

} // namespace carawayloft
