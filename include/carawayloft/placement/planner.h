#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/result.h>
#include <carawayloft/placement/placer.h>

namespace carawayloft {

/** What an operator wants: @p leaving empty by @p deadline, its work taken over by @p arriving or by the rest. */
struct zone_move_request {
    availability_zone_id leaving;
    availability_zone_id arriving;
    wall_time deadline;
};

/** Times that plans reckon with. */
struct plan_costs {
    std::chrono::seconds weightLoad{60}; /**< Of one group. */
    std::uint32_t weightLoadsAtOnce = 4;
    std::chrono::seconds drain{120}; /**< Until the longest answers have ended. */
};

/**
 * The steps that fulfil an intent. Fails with UnknownZone, DeadlineInThePast, or NoServiceLeft when
 * a service would be left without a group.
 */
result<plan_record> makePlan(const zone_move_request &intent, const fleet_state &fleet, const plan_costs &costs, wall_time now);

/** Fails with NoServiceLeft when some service has groups in @p zone and nowhere else. */
status checkServiceLeft(const availability_zone_id &zone, const availability_zone_id &arriving, const fleet_state &fleet);

/** Carries out confirmed plans: proposes the change of the step that is due, or marks it done. */
class plan_runner
{
public:
    using input = fleet_view;
    using output = placement_decision;

    std::vector<output> step(const input &in, time_point now);
};

static_assert(filter<plan_runner>);

} // namespace carawayloft
