#pragma once

#include <carawayloft/fleet/domain_pool.h>
#include <carawayloft/fleet/fleet_utility.h>

namespace carawayloft {

/** A group to form of spares of one fabric domain. */
struct planned_group {
    model_id model;
    std::vector<spare_backend> members;
};

/** How many backend servers of a fabric domain should have each model as their primary one, spares included. */
using domain_allocation = std::map<model_id, std::size_t>;

/** Greedily forms groups of the spares in the pool as long as the utility of the fleet grows. */
std::vector<planned_group> formDomainGroups(const fleet_utility &utility, fleet_counts &fleet, domain_pool &pool);

/** The allocation that every fabric domain should reach, by the number of its servers and regardless of what they hold now. */
std::map<fabric_domain_id, domain_allocation> allocateModels(const fleet_utility &utility, const std::map<fabric_domain_id, std::size_t> &domains);

} // namespace carawayloft
