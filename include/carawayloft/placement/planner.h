#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/result.h>
#include <carawayloft/placement/placer.h>

namespace carawayloft {

/** An operator's request to empty a zone by a deadline. */
struct zone_move_request {
    availability_zone_id leaving;
    availability_zone_id arriving; /**< Takes over the work; empty leaves it to the remaining zones. */
    wall_time deadline;
};

/** Estimates of how long the steps of a plan take. */
struct plan_costs {
    std::chrono::seconds weightLoad{60}; /**< For one group. */
    std::uint32_t weightLoadsAtOnce = 4;
    std::chrono::seconds drain{120}; /**< Until the longest answers are complete. */
};

/**
 * Makes the steps of a zone move. Fails with UnknownZone, DeadlineInThePast, or NoServiceLeft if a service would be left
 * without a group.
 */
result<plan_record> makePlan(const zone_move_request &request, const fleet_state &fleet, const plan_costs &costs, wall_time now);

/**
 * Fails with NoServiceLeft if a service has active groups only in @p zone and @p arriving has too few free hosts for a
 * group of it.
 */
status checkServiceLeft(const availability_zone_id &zone, const availability_zone_id &arriving, const fleet_state &fleet);

/**
 * Carries out confirmed plans, one at a time: proposes the changes of the next step, or marks it as done. It keeps no
 * state and each change may be applied twice, so a new leader continues where its predecessor stopped.
 */
class plan_runner
{
public:
    using input = fleet_view;
    using output = placement_decision;

    std::vector<output> step(const input &in, time_point now);
};

static_assert(filter<plan_runner>);

} // namespace carawayloft
