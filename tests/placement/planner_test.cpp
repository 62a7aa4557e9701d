#include <carawayloft/placement/planner.h>

#include "support/fleet_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using test_support::fleet_builder;

static const availability_zone_id midA("mid-a");
static const availability_zone_id midB("mid-b");
static constexpr wall_time now{std::chrono::hours(1'000'000)};
static const plan_costs costs{std::chrono::seconds(60), 1, std::chrono::seconds(120)};

static fleet_builder makeFleet(bool groupInB)
{
    fleet_builder fleet(1);
    fleet.addHost("a1", "mid-a", "fa");
    fleet.addHost("a2", "mid-a", "fa");
    fleet.addHost("b1", "mid-b", "fb");
    fleet.addGroup({"a1"});
    fleet.addGroup({"a2"});
    if (groupInB) {
        fleet.addGroup({"b1"});
    }
    return fleet;
}

static error_kind kindOf(const result<plan_record> &plan)
{
    return errorOf(plan).kind;
}

TEST(Planner, OrdersTheStepsAndEstimatesTheirDuration)
{
    const fleet_builder fleet = makeFleet(true);
    const auto plan = makePlan({midA, midB, now + std::chrono::hours(1)}, fleet.fleet(), costs, now);
    ASSERT_FALSE(failed(plan));
    const auto &steps = valueOf(plan).steps;
    ASSERT_EQ(steps.size(), 4U);
    EXPECT_EQ(steps[0].kind, step_kind::OpenZone);
    EXPECT_EQ(steps[1].kind, step_kind::AwaitCapacity);
    EXPECT_EQ(steps[1].expected, std::chrono::seconds(120));
    EXPECT_EQ(steps[2].kind, step_kind::StopNewWork);
    EXPECT_EQ(steps[3].kind, step_kind::DrainGroups);
    EXPECT_TRUE(valueOf(plan).meetsDeadline);
    EXPECT_FALSE(valueOf(makePlan({midA, midB, now + std::chrono::minutes(2)}, fleet.fleet(), costs, now)).meetsDeadline);
}

TEST(Planner, RefusesUnsuitableZonesAndPastDeadlines)
{
    const fleet_builder fleet = makeFleet(true);
    const wall_time later = now + std::chrono::hours(1);
    EXPECT_EQ(kindOf(makePlan({availability_zone_id("nowhere"), {}, later}, fleet.fleet(), costs, now)), error_kind::UnknownZone);
    EXPECT_EQ(kindOf(makePlan({midA, midA, later}, fleet.fleet(), costs, now)), error_kind::UnknownZone);
    EXPECT_EQ(kindOf(makePlan({midA, {}, now}, fleet.fleet(), costs, now)), error_kind::DeadlineInThePast);
}

TEST(Planner, RefusesToLeaveAServiceWithoutAGroup)
{
    const fleet_builder fleet = makeFleet(false);
    const wall_time later = now + std::chrono::hours(1);
    const auto plan = makePlan({midA, {}, later}, fleet.fleet(), costs, now);
    ASSERT_TRUE(failed(plan));
    EXPECT_EQ(kindOf(plan), error_kind::NoServiceLeft);
    EXPECT_FALSE(errorOf(plan).remedy.empty());
    // With an arriving zone the plan is accepted: its free host can serve the service.
    EXPECT_FALSE(failed(makePlan({midA, midB, later}, fleet.fleet(), costs, now)));
}

TEST(PlanRunner, CarriesOutAZoneMoveInRepeatableStepsWhileTheServiceStaysUp)
{
    fleet_builder fleet = makeFleet(false);
    fleet.apply(put_zone{{midB, zone_state::Out}});
    plan_record plan = valueOf(makePlan({midA, midB, now + std::chrono::hours(1)}, fleet.fleet(), costs, now));
    const plan_id id(valueOf(fleet.apply(propose_plan{plan})).value());
    placer placer({duration(5'000), duration(3'000), 10});
    fleet.renewAll();
    EXPECT_TRUE(plan_runner().step(fleet.view(), fleet.now()).empty());
    ASSERT_FALSE(failed(fleet.apply(confirm_plan{id})));
    std::size_t leastServing = 3;
    for (int round = 0; round < 40 && fleet.fleet().plans().at(id).state != plan_state::Done; ++round) {
        fleet.pass(duration(250));
        fleet.renewAll();
        // Applies each change twice: a new leader knows only the recorded state and may repeat a change of its predecessor.
        const auto decisions = plan_runner().step(fleet.view(), fleet.now());
        for (const placement_decision &each : decisions) {
            ASSERT_FALSE(failed(fleet.apply(each.change)));
            ASSERT_FALSE(failed(fleet.apply(each.change)));
        }
        fleet.place(placer);
        std::size_t active = 0;
        for (const auto &[group, record] : fleet.fleet().groups()) {
            active += record.state == group_state::Active ? 1 : 0;
        }
        leastServing = std::min(leastServing, active);
    }
    EXPECT_EQ(fleet.fleet().plans().at(id).state, plan_state::Done);
    EXPECT_FALSE(fleet.fleet().acceptsWork(midA));
    EXPECT_TRUE(fleet.fleet().acceptsWork(midB));
    EXPECT_GE(leastServing, 1U);
    for (const auto &[group, record] : fleet.fleet().groups()) {
        EXPECT_EQ(fleet.fleet().host(record.hosts.front())->zone, midB);
    }
}
