#pragma once

#include <carawayloft/core/ids.h>

#include <map>
#include <vector>

namespace carawayloft {

/** Number of groups of each model, in the order of the engine's models. */
using group_counts = std::vector<std::size_t>;

/** The groups of one fabric domain. */
struct domain_composition {
    group_counts groups;
    bool hasSpare = false; /**< Whether a lost member can be replaced at once. */
};

/** The groups of a fleet by fabric domain. */
using fleet_composition = std::map<fabric_domain_id, domain_composition>;

} // namespace carawayloft
