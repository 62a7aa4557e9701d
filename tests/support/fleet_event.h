#pragma once

#include <carawayloft/core/units.h>

#include <variant>

/** What happens to a simulated fleet during a run. */
namespace carawayloft::test_support {

/** The head of the group ends; its calls fail. */
struct group_ends {
    std::size_t group = 0;
};

/** A lost group is open again, under a new epoch. */
struct group_returns {
    std::size_t group = 0;
};

/** The group takes this many times as long for everything; 1 restores its speed. */
struct group_slows {
    std::size_t group = 0;
    double factor = 1.0;
};

/** Reports and grants are lost for a time. */
struct control_falls_silent {
    duration length{0};
};

/** The gateway loses its requests and its state. */
struct gateway_restarts {
    std::size_t gateway = 0;
};

using fleet_event = std::variant<group_ends, group_returns, group_slows, control_falls_silent, gateway_restarts>;

struct timed_event {
    duration at{0}; /**< Counted from the first request. */
    fleet_event what;
};

} // namespace carawayloft::test_support
