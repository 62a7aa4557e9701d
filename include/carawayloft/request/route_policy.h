#pragma once

#include <variant>

namespace carawayloft {

/** Least expected wait among a few candidates drawn at random, with prefix affinity and zone distance. */
struct expected_wait_policy {
    unsigned sampledGroups = 2; /**< Few enough that entries with the same late reports do not all choose the same group. */
};

/** Baselines of the routing bench. */
struct random_policy {
};
struct round_robin_policy {
};
struct least_outstanding_policy {
};

using route_policy = std::variant<expected_wait_policy, random_policy, round_robin_policy, least_outstanding_policy>;

} // namespace carawayloft
