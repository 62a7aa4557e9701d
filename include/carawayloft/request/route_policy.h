#pragma once

#include <variant>

namespace carawayloft {

/** Least expected wait among randomly sampled candidates; accounts for cached prompt prefixes and for other availability zones. */
struct expected_wait_policy {
    unsigned sampledGroups = 2; /**< A small sample keeps entry processes with the same delayed load reports from all choosing the same group. */
};

// Baselines for the routing benchmark.

struct random_policy {
};
struct round_robin_policy {
};
struct least_outstanding_policy {
};

using route_policy = std::variant<expected_wait_policy, random_policy, round_robin_policy, least_outstanding_policy>;

} // namespace carawayloft
