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

/** Standbys that will be ready within this time count as spares. */
static constexpr duration upcomingSpareWindow{2'500};

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

/** Groups of one fabric domain to close so that others formed of their members give the fleet the highest utility; empty if none is worth it. */
std::vector<group_epoch> group_controller::bestRegrouping(
    const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, const domain_pools &pools, const fleet_plan &plan) const
{
    const std::vector<model_profile> &models = service.engine->models;
    std::vector<group_epoch> best;
    double bestGain = 0.0;
    for (const auto &[domain, pool] : pools) {
        if (isClosingIn(domain)) {
            continue;
        }
        fleet_composition unchanged = fleet;
        domain_pool spares = pool;
        formDomainGroups(utility, unchanged, domain, spares, plan.at(domain).groups);
        const double unchangedUtility = utility.of(unchanged);
        for (std::size_t from = 0; from < models.size(); ++from) {
            for (std::size_t to = 0; to < models.size(); ++to) {
                if (from == to) {
                    continue;
                }
                domain_pool freed = pool;
                const std::vector<group_epoch> closed = groupsToFree(service, domain, models[from], models[to], freed);
                if (closed.empty()) {
                    continue;
                }
                fleet_composition after = fleet;
                after.at(domain).groups[from] -= closed.size();
                formDomainGroups(utility, after, domain, freed, plan.at(domain).groups);
                const double gain = utility.of(after) - unchangedUtility - minGainPerClosedGroup * static_cast<double>(closed.size());
                if (gain > bestGain) {
                    bestGain = gain;
                    best = closed;
                }
            }
        }
    }
    return best;
}

/** Closes groups when their members and the spares of their domain have more utility in groups of another model. */
void group_controller::rebalance(
    const service_settings &service, const fleet_utility &utility, const fleet_composition &fleet, domain_pools pools, const fleet_plan &plan)
{
    if (!m_context->trafficStarted || m_now < m_rebalancedAt + rebalanceInterval) {
        return;
    }
    addUpcomingSpares(service, pools);
    const std::vector<group_epoch> surplus = bestRegrouping(service, utility, fleet, pools, plan);
    if (surplus != m_surplusGroups) {
        m_surplusGroups = surplus;
        m_surplusSince = m_now;
    }
    if (surplus.empty() || m_now < m_surplusSince + rebalanceDelay) {
        return;
    }
    m_rebalancedAt = m_now;
    for (const group_epoch &each : surplus) {
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
