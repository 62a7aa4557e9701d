#include <carawayloft/placement/planner.h>

#include <algorithm>

namespace carawayloft {

static const host_record *leadOf(const group_record &group, const fleet_state &fleet)
{
    return fleet.host(group.hosts.front());
}

static std::uint32_t groupsIn(const availability_zone_id &zone, const fleet_state &fleet)
{
    return static_cast<std::uint32_t>(std::count_if(fleet.groups().begin(), fleet.groups().end(), [&](const auto &each) {
        const host_record *lead = leadOf(each.second, fleet);
        return lead != nullptr && lead->zone == zone;
    }));
}

/** Groups of @p service that the free hosts of @p zone could make. */
static std::size_t possibleGroups(const service_record &service, const availability_zone_id &zone, const fleet_state &fleet)
{
    const auto free = std::count_if(fleet.hosts().begin(), fleet.hosts().end(), [&](const auto &each) {
        return each.second.service == service.service && each.second.zone == zone && !each.second.leaving && fleet.groupOf(each.first) == nullptr;
    });
    return static_cast<std::size_t>(free) / service.hostsPerGroup;
}

status checkServiceLeft(const availability_zone_id &zone, const availability_zone_id &arriving, const fleet_state &fleet)
{
    for (const auto &[id, service] : fleet.services()) {
        std::size_t inside = 0;
        std::size_t elsewhere = 0;
        for (const auto &[group, record] : fleet.groups()) {
            const host_record *lead = leadOf(record, fleet);
            if (record.service == id && lead != nullptr && record.state == group_state::Active) {
                ++(lead->zone == zone ? inside : elsewhere);
            }
        }
        if (inside > 0 && elsewhere == 0 && possibleGroups(service, arriving, fleet) == 0) {
            return error{error_kind::NoServiceLeft,
                         "service '" + id.value() + "' would be left without a group",
                         "bring hosts of the service up in another availability zone first"};
        }
    }
    return {};
}

result<plan_record> makePlan(const zone_move_request &intent, const fleet_state &fleet, const plan_costs &costs, wall_time now)
{
    if (!fleet.zones().contains(intent.leaving)) {
        return error{error_kind::UnknownZone, "availability zone '" + intent.leaving.value() + "' is not known", "list the zones with 'carawayloft zones'"};
    }
    const bool arrives = !intent.arriving.value().empty();
    if (arrives && (!fleet.zones().contains(intent.arriving) || intent.arriving == intent.leaving)) {
        return error{error_kind::UnknownZone,
                     "availability zone '" + intent.arriving.value() + "' cannot take over",
                     "name a known zone other than the leaving one, or none"};
    }
    if (intent.deadline <= now) {
        return error{error_kind::DeadlineInThePast, "the deadline has passed already", "state a time in the future"};
    }
    if (status left = checkServiceLeft(intent.leaving, intent.arriving, fleet); failed(left)) {
        return errorOf(left);
    }
    plan_record plan;
    plan.baseRevision = fleet.at();
    plan.leaving = intent.leaving;
    plan.arriving = intent.arriving;
    plan.deadline = intent.deadline;
    const std::uint32_t groups = groupsIn(intent.leaving, fleet);
    const std::uint32_t loads = std::max(1U, costs.weightLoadsAtOnce);
    const auto loading = costs.weightLoad * ((groups + loads - 1) / loads);
    if (arrives) {
        plan.steps.push_back({step_kind::OpenZone, intent.arriving, 0, std::chrono::seconds(1)});
        plan.steps.push_back({step_kind::AwaitCapacity, intent.arriving, groups, loading});
    }
    plan.steps.push_back({step_kind::StopNewWork, intent.leaving, groups, std::chrono::seconds(1)});
    plan.steps.push_back({step_kind::DrainGroups, intent.leaving, groups, costs.drain});
    std::chrono::seconds total{0};
    for (const plan_step &each : plan.steps) {
        total += each.expected;
    }
    plan.meetsDeadline = now + total <= intent.deadline;
    return plan;
}

/** Whether the arriving zone serves as many groups as the plan asks for, or as many as its hosts can make. */
static bool hasCapacity(const plan_step &step, const fleet_view &in, time_point now)
{
    std::uint32_t serving = 0;
    bool waiting = false;
    for (const auto &[id, group] : in.fleet.groups()) {
        const host_record *lead = leadOf(group, in.fleet);
        if (lead != nullptr && lead->zone == step.zone && group.state == group_state::Active) {
            const bool serves = in.leases.isServing(group, now);
            serving += serves ? 1 : 0;
            waiting = waiting || !serves;
        }
    }
    const bool canMakeMore = std::any_of(
        in.fleet.services().begin(), in.fleet.services().end(), [&](const auto &each) { return possibleGroups(each.second, step.zone, in.fleet) > 0; });
    return serving >= step.groups || (serving > 0 && !waiting && !canMakeMore);
}

static placement_decision setZone(const availability_zone_id &zone, zone_state state, const std::string &reason)
{
    return {put_zone{zone_record{zone, state}}, reason};
}

static std::vector<placement_decision> runStep(const plan_record &plan, const fleet_view &in, time_point now)
{
    const plan_step &step = plan.steps[plan.nextStep];
    const auto zone = in.fleet.zones().find(step.zone);
    const zone_state state = zone == in.fleet.zones().end() ? zone_state::Out : zone->second.state;
    const placement_decision done{advance_plan{plan.plan, plan.nextStep}, "step " + std::to_string(plan.nextStep + 1) + " is done"};
    const std::string reason = "plan " + std::to_string(plan.plan.value());
    switch (step.kind) {
    case step_kind::OpenZone:
        if (state == zone_state::Arriving || state == zone_state::Serving) {
            return {done};
        }
        return {setZone(step.zone, zone_state::Arriving, reason)};
    case step_kind::AwaitCapacity:
        if (!hasCapacity(step, in, now)) {
            return {};
        }
        return {setZone(step.zone, zone_state::Serving, reason), done};
    case step_kind::StopNewWork:
        if (state == zone_state::Out) {
            return {done};
        }
        return {setZone(step.zone, zone_state::Out, reason)};
    case step_kind::DrainGroups:
        return groupsIn(step.zone, in.fleet) == 0 ? std::vector{done} : std::vector<placement_decision>();
    }
    return {};
}

std::vector<plan_runner::output> plan_runner::step(const input &in, time_point now)
{
    if (!in.leases.predecessorLeasesExpired(now)) {
        return {};
    }
    for (const auto &[id, plan] : in.fleet.plans()) {
        if (plan.state == plan_state::Confirmed) {
            return runStep(plan, in, now);
        }
    }
    return {};
}

} // namespace carawayloft
