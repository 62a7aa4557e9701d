#include <carawayloft/fleet/group_controller.h>

#include <algorithm>

namespace carawayloft {

/**
 * Minimum gain in utility, in units of one group's work, for each group that is closed in favour of others: closing
 * disturbs its streams, and its capacity is lost meanwhile.
 */
static constexpr double minGainPerClosedGroup = 0.15;

/** Time for which the gain must persist: a new spare may make the change unnecessary. */
static constexpr duration rebalanceDelay{1'000};

/** Minimum time between two such changes. */
static constexpr duration rebalanceInterval{2'000};

/** Least time that servers take to join a group. */
static constexpr engine_duration minJoinTime{200};

/** Standbys that will be ready within this time count as spares. */
static constexpr duration upcomingSpareWindow{2'500};

/** Time for which servers that come from groups of another model serve nothing. Their hosts have the weights staged. */
static double joinSecondsOf(const model_profile &model)
{
    return std::chrono::duration<double>(std::max(minJoinTime, model.warmLoadTime.value())).count();
}

bool group_controller::isClosingIn(const fabric_domain_id &domain) const
{
    return std::any_of(
        m_groups.begin(), m_groups.end(), [&](const auto &each) { return each.second.group.phase == group_phase::Closing && domainOf(each.second) == domain; });
}

std::vector<spare_backend> group_controller::membersAsSpares(const managed_group &group) const
{
    std::vector<spare_backend> spares;
    for (const backend_id &member : group.group.members) {
        if (const backend_registry::entry *entry = findEntry(member)) {
            spares.push_back({member, entry->record.loaded, entry->record.staged});
        }
    }
    return spares;
}

/**
 * The fewest groups of one model in the domain whose members, with the spares, can form a group of another; their members
 * are added to the pool. Empty if no number of them suffices.
 */
std::vector<group_epoch> group_controller::groupsToFree(
    const service_settings &service, const fabric_domain_id &domain, const model_profile &from, const model_profile &to, domain_pool &pool) const
{
    struct candidate {
        group_epoch epoch;
        std::vector<spare_backend> members;
        std::ptrdiff_t useful = 0; /**< Members that can serve the other model without a load from the weight store. */
    };
    std::vector<candidate> candidates;
    for (const auto &[epoch, each] : m_groups) {
        if (each.group.service != service.service || each.group.model != from.model || each.group.phase != group_phase::Open || domainOf(each) != domain) {
            continue;
        }
        candidate one{epoch, membersAsSpares(each), 0};
        one.useful = std::count_if(one.members.begin(), one.members.end(), [&](const spare_backend &member) { return member.canServe(to.model); });
        candidates.push_back(std::move(one));
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const candidate &one, const candidate &other) { return one.useful > other.useful; });
    std::vector<group_epoch> freed;
    for (const candidate &each : candidates) {
        if (pool.readyCount(to.model) >= to.hostsPerGroup || each.useful == 0) {
            break;
        }
        for (const spare_backend &member : each.members) {
            pool.addSpare(member);
        }
        freed.push_back(each.epoch);
    }
    return pool.readyCount(to.model) >= to.hostsPerGroup ? freed : std::vector<group_epoch>();
}

/** The regroupings that are possible in one domain, at most one for each pair of models. */
std::vector<group_controller::regrouping> group_controller::regroupingsOf(const service_settings &service,
                                                                          const fleet_utility &utility,
                                                                          const fleet_composition &fleet,
                                                                          const std::pair<const fabric_domain_id, domain_pool> &domain,
                                                                          const group_counts &planned) const
{
    const std::vector<model_profile> &models = service.engine->models;
    const auto &[id, pool] = domain;
    fleet_composition unchanged = fleet;
    domain_pool spares = pool;
    formDomainGroups(utility, unchanged, id, spares, planned);
    const double unchangedUtility = utility.of(unchanged);
    std::vector<regrouping> possible;
    for (std::size_t from = 0; from < models.size(); ++from) {
        for (std::size_t to = 0; to < models.size(); ++to) {
            if (from == to) {
                continue;
            }
            domain_pool freed = pool;
            std::vector<group_epoch> closed = groupsToFree(service, id, models[from], models[to], freed);
            if (closed.empty()) {
                continue;
            }
            fleet_composition closing = unchanged;
            closing.at(id).groups[from] -= closed.size();
            const double lostPerSecond = std::max(0.0, unchangedUtility - utility.of(closing));
            fleet_composition after = fleet;
            after.at(id).groups[from] -= closed.size();
            formDomainGroups(utility, after, id, freed, planned);
            const double gain = utility.of(after) - unchangedUtility - minGainPerClosedGroup * static_cast<double>(closed.size());
            possible.push_back({{models[from].model, models[to].model}, std::move(closed), gain, lostPerSecond * joinSecondsOf(models[to])});
        }
    }
    return possible;
}

/** The possible regrouping of the highest utility for each pair of models. */
std::vector<group_controller::regrouping> group_controller::possibleRegroupings(
    const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, const domain_pools &pools, const fleet_plan &plan) const
{
    std::map<regrouping_direction, regrouping> best;
    for (const auto &each : pools) {
        if (isClosingIn(each.first)) {
            continue;
        }
        for (regrouping &possible : regroupingsOf(service, utility, fleet, each, plan.at(each.first).groups)) {
            const auto [found, isNew] = best.try_emplace(possible.direction, possible);
            if (!isNew && possible.gain > found->second.gain) {
                found->second = std::move(possible);
            }
        }
    }
    std::vector<regrouping> out;
    out.reserve(best.size());
    for (auto &[direction, each] : best) {
        out.push_back(std::move(each));
    }
    return out;
}

/** Closes groups when their members and the spares of their domain have more utility in groups of another model, and for long enough. */
void group_controller::rebalance(
    const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, domain_pools pools, const fleet_plan &plan)
{
    if (!m_context->trafficStarted || m_now < m_rebalancedAt + rebalanceInterval) {
        return;
    }
    addUpcomingSpares(service, pools);
    const std::vector<regrouping> possible = possibleRegroupings(service, utility, fleet, pools, plan);
    regrouping_balance &balance = m_regroupings[service.service];
    std::vector<regrouping_gain> gains;
    regrouping best;
    for (const regrouping &each : possible) {
        gains.push_back({each.direction, each.gain});
        if (each.gain > best.gain) {
            best = each;
        }
    }
    balance.record(gains, m_now);
    if (best.closed != m_surplusGroups) {
        m_surplusGroups = best.closed;
        m_surplusSince = m_now;
    }
    if (best.closed.empty() || m_now < m_surplusSince + rebalanceDelay || !balance.isWorth(best.direction, best.cost, m_now)) {
        return;
    }
    m_rebalancedAt = m_now;
    balance.regrouped(best.direction, m_now);
    for (const group_epoch &each : best.closed) {
        close(m_groups.at(each), false, "rebalancing: its members have more utility in other groups");
    }
}

/** Adds standbys that will be ready within upcomingSpareWindow as spares. */
void group_controller::addUpcomingSpares(const service_settings &service, domain_pools &pools) const
{
    for (const auto &[backend, each] : m_standby) {
        const backend_registry::entry *entry = findEntry(backend);
        if (entry == nullptr || entry->record.service != service.service || m_now + upcomingSpareWindow < each.expectedReadyAt) {
            continue;
        }
        if (const auto pool = pools.find(entry->record.fabricDomain); pool != pools.end()) {
            pool->second.addSpare({backend, each.model, {}});
        }
    }
}

} // namespace carawayloft
