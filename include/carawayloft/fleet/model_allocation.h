#pragma once

#include <carawayloft/fleet/domain_pool.h>
#include <carawayloft/fleet/fleet_utility.h>

namespace carawayloft {

/** A group to form of spares of one fabric domain. */
struct planned_group {
    model_id model;
    std::vector<spare_backend> members;
};

/** What a fabric domain should hold, regardless of what it holds now. Counts are in the order of the engine's models. */
struct domain_plan {
    group_counts groups;
    std::vector<std::size_t> servers; /**< Servers that should have each model as their primary one, spares included. */
};

using fleet_plan = std::map<fabric_domain_id, domain_plan>;

/** Plans what every fabric domain should hold, by the number of its servers. */
fleet_plan planFleet(const fleet_utility &utility, const std::map<fabric_domain_id, std::size_t> &domains);

/**
 * Forms those groups of the spares in the pool that give the fleet the highest utility, and removes their members from
 * the pool. Spares that the plan has for a group that cannot be formed yet are not used for more groups of other models.
 */
std::vector<planned_group>
formDomainGroups(const fleet_utility &utility, fleet_composition &fleet, const fabric_domain_id &domain, domain_pool &pool, const group_counts &planned);

} // namespace carawayloft
