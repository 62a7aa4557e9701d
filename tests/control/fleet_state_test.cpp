#include <carawayloft/control/fleet_state.h>

#include "support/properties.h"

using namespace carawayloft;

static const service_id model("drafting-models");

static host_record makeHost(const std::string &name, const std::string &zone = "mid-a")
{
    host_record host;
    host.host = host_id(name);
    host.zone = availability_zone_id(zone);
    host.service = model;
    return host;
}

static fleet_command makeCommand(fleet_change change, const std::string &id = {}, std::uint64_t seenRevision = 0, const std::string &author = "tariq")
{
    return {command_id(id), author, revision(seenRevision), std::move(change)};
}

namespace {

/** A fleet of four hosts and a service with two hosts per group; the next revision is 10. */
class FleetState : public ::testing::Test
{
protected:
    FleetState()
    {
        apply(put_service{{model, service_kind::Model, 2, {}}});
        for (const char *host : {"h1", "h2", "h3", "h4"}) {
            apply(put_host{makeHost(host)});
        }
        m_next = 10;
    }

    result<revision> apply(fleet_change change, const std::string &id = {}, std::uint64_t seenRevision = 0, const std::string &author = "tariq")
    {
        return m_fleet.apply(makeCommand(std::move(change), id, seenRevision, author), revision(m_next++));
    }

    fleet_state m_fleet;
    std::uint64_t m_next = 1;
};

} // namespace

TEST_F(FleetState, RejectsAHostThatIsAlreadyAssigned)
{
    ASSERT_FALSE(failed(apply(create_group{model, {host_id("h1"), host_id("h2")}})));
    const auto second = apply(create_group{model, {host_id("h2"), host_id("h3")}});
    ASSERT_TRUE(failed(second));
    EXPECT_EQ(errorOf(second).kind, error_kind::HostAlreadyAssigned);
    EXPECT_FALSE(errorOf(second).remedy.empty());
}

TEST_F(FleetState, RejectsAGroupWithADuplicateHost)
{
    EXPECT_TRUE(failed(apply(create_group{model, {host_id("h1"), host_id("h1")}})));
}

TEST_F(FleetState, ReturnsTheFirstResultToARetry)
{
    const auto first = apply(put_zone{{availability_zone_id("mid-a"), zone_state::Out}}, "c1");
    ASSERT_FALSE(failed(first));
    ASSERT_FALSE(failed(apply(put_zone{{availability_zone_id("mid-a"), zone_state::Serving}}, "c2")));
    const auto retry = apply(put_zone{{availability_zone_id("mid-a"), zone_state::Out}}, "c1");
    ASSERT_FALSE(failed(retry));
    EXPECT_EQ(valueOf(retry), valueOf(first));
    EXPECT_TRUE(m_fleet.acceptsWork(availability_zone_id("mid-a")));
}

TEST_F(FleetState, RejectsTheSecondOfTwoChangesBasedOnTheSameRevision)
{
    ASSERT_FALSE(failed(apply(put_zone{{availability_zone_id("mid-a"), zone_state::Out}}, "c1", 9, "priya")));
    const auto second = apply(put_zone{{availability_zone_id("mid-a"), zone_state::Serving}}, "c2", 9, "tom");
    ASSERT_TRUE(failed(second));
    EXPECT_EQ(errorOf(second).kind, error_kind::RevisionConflict);
    EXPECT_NE(errorOf(second).what.find("priya"), std::string::npos);
    EXPECT_FALSE(m_fleet.acceptsWork(availability_zone_id("mid-a")));
}

TEST_F(FleetState, ARetryOfARejectedCommandIsRejectedAgain)
{
    const auto first = apply(put_zone{{availability_zone_id("nowhere"), zone_state::Out}}, "c1");
    ASSERT_TRUE(failed(first));
    const auto retry = apply(put_zone{{availability_zone_id("mid-a"), zone_state::Out}}, "c1");
    ASSERT_TRUE(failed(retry));
    EXPECT_EQ(errorOf(retry).kind, error_kind::UnknownZone);
    EXPECT_EQ(errorOf(retry).what, errorOf(first).what);
}

TEST_F(FleetState, RejectsConfirmationOfAPlanOlderThanTheLastChange)
{
    plan_record plan;
    plan.leaving = availability_zone_id("mid-a");
    plan.steps = {{step_kind::StopNewWork, plan.leaving, 0, {}}, {step_kind::DrainGroups, plan.leaving, 0, {}}};
    const plan_id stalePlan(valueOf(apply(propose_plan{plan}, "p1")).value());
    ASSERT_FALSE(failed(apply(put_account{{client_account_id("closedesk"), "x"}}, "a1", 0, "priya")));
    const auto late = apply(confirm_plan{stalePlan}, "p2");
    ASSERT_TRUE(failed(late));
    EXPECT_EQ(errorOf(late).kind, error_kind::PlanConflict);
    EXPECT_NE(errorOf(late).what.find("priya"), std::string::npos);

    const plan_id currentPlan(valueOf(apply(propose_plan{plan}, "p3")).value());
    EXPECT_FALSE(failed(apply(confirm_plan{currentPlan}, "p4")));
    EXPECT_FALSE(failed(apply(advance_plan{currentPlan, 0})));
    EXPECT_FALSE(failed(apply(advance_plan{currentPlan, 0})));
    EXPECT_EQ(m_fleet.plans().at(currentPlan).nextStep, 1U);
    EXPECT_FALSE(failed(apply(advance_plan{currentPlan, 1})));
    EXPECT_EQ(m_fleet.plans().at(currentPlan).state, plan_state::Done);
    EXPECT_TRUE(failed(apply(cancel_plan{currentPlan}, "p5")));
}

TEST_F(FleetState, ReplacingAMemberStartsANewEpoch)
{
    const group_id group(valueOf(apply(create_group{model, {host_id("h1"), host_id("h2")}})).value());
    const group_epoch epoch = m_fleet.groups().at(group).epoch;
    ASSERT_FALSE(failed(apply(replace_member{group, epoch, host_id("h2"), host_id("h3")})));
    EXPECT_GT(m_fleet.groups().at(group).epoch, epoch);
    EXPECT_EQ(m_fleet.groupOf(host_id("h2")), nullptr);
    EXPECT_EQ(m_fleet.groupOf(host_id("h3"))->group, group);
    const auto stale = apply(dissolve_group{group, epoch});
    ASSERT_TRUE(failed(stale));
    EXPECT_EQ(errorOf(stale).kind, error_kind::RevisionConflict);
    EXPECT_TRUE(failed(apply(remove_host{host_id("h1")})));
}

TEST_F(FleetState, DoesNotRestoreAnOlderSnapshot)
{
    const fleet_snapshot old = m_fleet.snapshot();
    ASSERT_FALSE(failed(apply(put_zone{{availability_zone_id("mid-a"), zone_state::Out}}, "c1")));
    EXPECT_FALSE(m_fleet.restore(old));
    EXPECT_FALSE(m_fleet.acceptsWork(availability_zone_id("mid-a")));
}

namespace {

/** Reference model: a map from host to group. */
using reference_assignments = std::map<host_id, group_id>;

} // namespace

static fleet_change randomChange(const fleet_state &fleet)
{
    const auto host = [] { return host_id("h" + std::to_string(*rc::gen::inRange(1, 9))); };
    const auto group = [&] {
        if (fleet.groups().empty()) {
            return group_record();
        }
        const auto place = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, fleet.groups().size()));
        return std::next(fleet.groups().begin(), place)->second;
    };
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return put_host{makeHost(host().value())};
    case 1:
        return create_group{model, {host(), host()}};
    case 2: {
        const group_record chosen = group();
        return replace_member{chosen.group, chosen.epoch, host(), host()};
    }
    case 3: {
        const group_record chosen = group();
        return dissolve_group{chosen.group, chosen.epoch};
    }
    default:
        return remove_host{host()};
    }
}

static reference_assignments assignmentsOf(const fleet_state &fleet)
{
    reference_assignments assignments;
    for (const auto &[id, group] : fleet.groups()) {
        for (const host_id &host : group.hosts) {
            RC_ASSERT(assignments.emplace(host, id).second);
        }
    }
    return assignments;
}

RC_GTEST_PROP(FleetStateProperty, MatchesAMapFromHostToGroup, ())
{
    fleet_state fleet;
    (void)fleet.apply(makeCommand(put_service{{model, service_kind::Model, 2, {}}}), revision(1));
    reference_assignments reference;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
        const revision at(static_cast<std::uint64_t>(i) + 2);
        const fleet_change change = randomChange(fleet);
        if (!failed(fleet.apply(makeCommand(change), at))) {
            if (const auto *created = std::get_if<create_group>(&change)) {
                for (const host_id &host : created->hosts) {
                    RC_ASSERT(reference.emplace(host, group_id(at.value())).second);
                }
            } else if (const auto *replaced = std::get_if<replace_member>(&change)) {
                reference.erase(replaced->leaving);
                RC_ASSERT(reference.emplace(replaced->joining, replaced->group).second);
            } else if (const auto *dissolved = std::get_if<dissolve_group>(&change)) {
                std::erase_if(reference, [&](const auto &each) { return each.second == dissolved->group; });
            } else if (const auto *removed = std::get_if<remove_host>(&change)) {
                RC_ASSERT(!reference.contains(removed->host));
            }
        }
        RC_ASSERT(assignmentsOf(fleet) == reference);
        for (const auto &[host, group] : reference) {
            RC_ASSERT(fleet.groupOf(host)->group == group);
        }
    }
    fleet_state copy;
    RC_ASSERT(copy.restore(fleet.snapshot()));
    RC_ASSERT(assignmentsOf(copy) == reference);
    RC_ASSERT(copy.at() == fleet.at());
}

TEST(FleetStateDepartures, RemembersDeparturesAcrossSnapshots)
{
    fleet_state state;
    state.apply(fleet_command{{}, "backend server", {}, record_departure{{backend_id("a"), 5}}}, revision(1));
    fleet_state restored;
    restored.restore(state.snapshot());
    EXPECT_TRUE(restored.hasDeparted({backend_id("a"), 5}));
    EXPECT_TRUE(restored.hasDeparted({backend_id("a"), 4})) << "an earlier run";
    EXPECT_FALSE(restored.hasDeparted({backend_id("a"), 6})) << "a later run";
    EXPECT_FALSE(restored.hasDeparted({backend_id("b"), 5}));
}

TEST(FleetStateDepartures, ALaterDepartureOfTheSameServerReplacesTheEarlierOne)
{
    fleet_state state;
    state.apply(fleet_command{{}, "backend server", {}, record_departure{{backend_id("a"), 5}}}, revision(1));
    state.apply(fleet_command{{}, "backend server", {}, record_departure{{backend_id("a"), 9}}}, revision(2));
    state.apply(fleet_command{{}, "backend server", {}, record_departure{{backend_id("a"), 5}}}, revision(3));
    ASSERT_EQ(state.departures().size(), 1U);
    EXPECT_EQ(state.departures().front().startedAt, 9);
}

TEST(FleetStateDepartures, DropsTheOldestDeparturesFirst)
{
    fleet_state state;
    constexpr std::uint64_t recorded = 3'000; // More than are remembered.
    for (std::uint64_t i = 1; i <= recorded; ++i) {
        state.apply(fleet_command{{}, "backend server", {}, record_departure{{backend_id("e" + std::to_string(i)), 1}}}, revision(i));
    }
    EXPECT_LT(state.departures().size(), recorded);
    EXPECT_FALSE(state.hasDeparted({backend_id("e1"), 1}));
    EXPECT_TRUE(state.hasDeparted({backend_id("e" + std::to_string(recorded)), 1}));
}

static engine_group_record makeEngineGroup(std::uint64_t epoch)
{
    return {group_epoch(epoch), model, model_id("large"), {{backend_id("a"), 5}, {backend_id("b"), 6}}};
}

static fleet_command recordGroups(std::vector<engine_group_record> formed, std::vector<removed_engine_group> retired = {})
{
    return {{}, "group control", {}, record_engine_groups{std::move(formed), std::move(retired)}};
}

// Guards against a successor that does not know a group which its servers were ordered to join.
TEST(FleetStateEngineGroups, RemembersGroupsAcrossSnapshots)
{
    fleet_state state;
    state.apply(recordGroups({makeEngineGroup(7)}), revision(1));
    fleet_state restored;
    restored.restore(state.snapshot());
    ASSERT_EQ(restored.engineGroups().size(), 1U);
    EXPECT_EQ(restored.engineGroups().at(group_epoch(7)), makeEngineGroup(7));
    EXPECT_NE(restored.engineGroupsChangedAt(), revision()) << "nobody would be told of them";
}

TEST(FleetStateEngineGroups, ARetiredGroupIsInNoSnapshot)
{
    fleet_state state;
    state.apply(recordGroups({makeEngineGroup(7)}), revision(1));
    state.apply(recordGroups({makeEngineGroup(8)}, {{group_epoch(7)}}), revision(2));
    ASSERT_EQ(state.snapshot().engineGroups.size(), 1U);
    EXPECT_EQ(state.snapshot().engineGroups.front().epoch, group_epoch(8));
    EXPECT_EQ(state.engineGroupsChangedAt(), revision(2));
}

TEST(FleetStateEngineGroups, RefusesAGroupWithoutMembers)
{
    fleet_state state;
    EXPECT_TRUE(failed(state.apply(recordGroups({{group_epoch(7), model, model_id("large"), {}}}), revision(1))));
    EXPECT_TRUE(state.engineGroups().empty());
}

// Guards against memory without bound, and against groups that are dropped for others: their servers would count as free.
TEST(FleetStateEngineGroups, RefusesMoreGroupsThanAFleetCanHaveAndDropsNone)
{
    fleet_state state;
    std::uint64_t recorded = 0;
    while (!failed(state.apply(recordGroups({makeEngineGroup(recorded + 1)}), revision(recorded + 1)))) {
        ASSERT_LT(++recorded, 100'000U) << "no bound";
    }
    EXPECT_GT(recorded, 5'300U);
    EXPECT_EQ(state.engineGroups().size(), recorded);
    EXPECT_TRUE(state.engineGroups().contains(group_epoch(1)));
    EXPECT_TRUE(failed(state.apply(recordGroups({makeEngineGroup(recorded + 1), makeEngineGroup(recorded + 2)}, {{group_epoch(1)}}), revision(recorded + 2))));
    EXPECT_TRUE(state.engineGroups().contains(group_epoch(1))) << "a refused change was made in part";
    EXPECT_FALSE(failed(state.apply(recordGroups({makeEngineGroup(recorded + 2)}, {{group_epoch(1)}}), revision(recorded + 3))));
}
