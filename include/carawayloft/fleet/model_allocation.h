#pragma once

#include <carawayloft/fleet/domain_pool.h>
#include <carawayloft/fleet/fleet_utility.h>

namespace carawayloft {

/** A group that spares of a fabric domain can form. */
struct planned_group {
    model_id model;
    std::vector<spare_backend> members;
};

/** How many backend servers of a fabric domain should hold each model first of all, spares included. */
using domain_allocation = std::map<model_id, std::size_t>;

/** Takes spares out of the pool for one group after the other, as long as the fleet's value grows. */
std::vector<planned_group> formDomainGroups(const fleet_utility &value, fleet_counts &fleet, domain_pool &pool);

/** What every fabric domain should hold, whatever its servers hold now, by the number of servers in it. */
std::map<fabric_domain_id, domain_allocation> allocateModels(const fleet_utility &value, const std::map<fabric_domain_id, std::size_t> &domains);

} // namespace carawayloft
