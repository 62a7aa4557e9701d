#include "support/engine_fleet.h"
#include "support/properties.h"

using namespace carawayloft;
using namespace carawayloft::test_support;

TEST(GroupController, FormsGroupsOfEveryModelInEveryDomainAndKeepsSparesLoaded)
{
    engine_fleet fleet(3, 9, makeEngine(4, 3));
    fleet.lead(2);
    fleet.settle(40);
    EXPECT_EQ(fleet.open(largeModel).size(), 3U);
    EXPECT_EQ(fleet.open(smallModel).size(), 3U);
    for (const auto &[id, engine] : fleet.engines) {
        EXPECT_FALSE(engine.record.loaded.value().empty()) << id.value() << " holds no model";
    }
}

TEST(GroupController, ReplacesALostMemberByASpareOfItsDomainAtOnce)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    const backend_id lost = fleet.open(largeModel).front().members.back();
    fleet.lose(lost);
    fleet.settle(4); // The head closes, the members join, the head opens and reports it.
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    const std::vector<backend_id> members = fleet.open(largeModel).front().members;
    EXPECT_EQ(std::count(members.begin(), members.end(), lost), 0);
}

TEST(GroupController, MembersOfAHeadThatIsCutOffAndCountsAsEndedLeaveItBeforeTheyJoinElsewhere)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.cutOff(group.head(), true);
    fleet.settle(10); // The engines check that no member joins another group while it is in this one.
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_NE(fleet.open(largeModel).front().epoch, group.epoch);
    EXPECT_EQ(fleet.engines.at(group.head()).record.membership.state, membership_state::Open);
}

TEST(GroupController, FormationWaitsForAllMembersThatLeaveInsteadOfTakingServersOfAnotherModel)
{
    engine_fleet fleet(1, 11, makeEngine(4, 4));
    fleet.lead(2);
    fleet.settle(60); // A group of each model, and spares that one member more would make a group of.
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    const engine_group group = fleet.open(largeModel).front();
    fleet.delaysLeaves = true;
    fleet.cutOff(group.head(), true);
    fleet.reconcile();
    std::size_t forming = 0;
    while (fleet.answerLeave()) {
        const std::vector<engine_group> groups = fleet.controller.groups();
        forming = static_cast<std::size_t>(
            std::count_if(groups.begin(), groups.end(), [](const engine_group &each) { return each.phase == group_phase::Forming; }));
        EXPECT_TRUE(forming == 0 || !fleet.hasDelayedLeaves()) << "formed before all members have left";
    }
    EXPECT_EQ(forming, 1U);
}

TEST(GroupController, MembersThatCannotBeReachedStayBoundToAHeadThatMayServe)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    for (const backend_id &member : group.members) {
        fleet.engines.at(member).takesOrders = false;
    }
    fleet.cutOff(group.head(), false);
    fleet.settle(150); // Far longer than any timeout.
    for (std::size_t i = 1; i < group.members.size(); ++i) {
        EXPECT_EQ(fleet.engines.at(group.members[i]).record.membership.epoch, group.epoch);
    }
    for (std::size_t i = 1; i < group.members.size(); ++i) {
        fleet.reconnect(group.members[i]);
    }
    fleet.settle(20);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, AHeadThatReturnsAfterItsMembersHaveLeftIsClosedAndUsedAgain)
{
    engine_fleet fleet(1, 3, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.cutOff(group.head(), true);
    fleet.settle(25);
    EXPECT_TRUE(fleet.open(largeModel).empty());
    fleet.reconnect(group.head());
    fleet.settle(1);
    EXPECT_TRUE(fleet.open(largeModel).empty()) << "a group without members is published";
    fleet.settle(20);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, AHeadThatANewLeaderHasNotHeardKeepsItsMembersUntilTheyHaveLeft)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.registry = backend_registry();
    fleet.engines.at(group.head()).reportsToControl = false;
    fleet.engines.at(group.head()).takesOrders = false;
    fleet.lead(3);
    fleet.settle(60); // Longer than the time that a head is waited for; the engines check every join.
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.engines.at(group.head()).record.membership.state, membership_state::Open);
}

TEST(GroupController, AHeadThatDoesNotAnswerWhileItIsCutOffUnnoticedKeepsItsMembersUntilTheyHaveLeft)
{
    engine_fleet fleet(1, 5, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.engines.at(group.head()).takesOrders = false;
    fleet.lose(group.members.back());
    fleet.settle(20);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_NE(fleet.open(largeModel).front().epoch, group.epoch);
}

TEST(GroupController, AGroupThatWasInheritedWhileItOpenedIsClosedBeforeItsMembersAreFree)
{
    engine_fleet fleet(1, 3, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    engine_group inherited = fleet.open(largeModel).front();
    inherited.phase = group_phase::Forming; // The leader was cut off after it had mirrored this, and told the head to open.
    fleet.lose(inherited.members.back());
    fleet.add("d0");
    fleet.lead(3, {inherited});
    fleet.settle(40);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_NE(fleet.open(largeModel).front().epoch, inherited.epoch);
}

TEST(GroupController, ResendsAnOrderWhoseAnswerIsLost)
{
    engine_fleet fleet(1, 3, makeEngine(3, 4));
    fleet.unanswering = {backend_id("e1"), backend_id("e2"), backend_id("e3")};
    fleet.lead(2);
    fleet.settle(60);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, IgnoresTheOutcomeOfAnUnknownOrder)
{
    engine_fleet fleet(1, 3, makeEngine(3, 4));
    fleet.lead(2);
    fleet.controller.step(order_finished{order_id(99), order_outcome::Done}, fleet.now);
    fleet.settle(40);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, AStandbyThatAnnouncesNoFabricDomainDoesNotEndControl)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const backend_id added = fleet.add("d0");
    fleet.engines.at(added).record.staged = {largeModel};
    fleet.engines.at(added).takesOrders = false; // It stays a standby that is about to be ready.
    fleet.settle(1);
    fleet.engines.at(added).record.fabricDomain = {};
    EXPECT_NO_THROW(fleet.settle(30));
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, ANewLeaderAdoptsGroupsFromReportsOfTheirMembers)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const group_epoch epoch = fleet.open(largeModel).front().epoch;
    const std::size_t ordersBefore = fleet.orders;
    fleet.lead(3);
    fleet.settle(10);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.open(largeModel).front().epoch, epoch);
    EXPECT_EQ(fleet.orders, ordersBefore);
}

TEST(GroupController, ANewLeaderClosesAnOpenGroupWithAMissingMember)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.engines.at(group.members.back()).alive = false;
    fleet.registry = backend_registry();
    fleet.lead(3);
    fleet.settle(40);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_GT(fleet.open(largeModel).front().epoch, group.epoch);
}

TEST(GroupController, EpochsOfALaterTermAreHigher)
{
    engine_fleet fleet(1, 3, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const group_epoch before = fleet.open(largeModel).front().epoch;
    fleet.lose(backend_id("e1"));
    fleet.add("d0");
    fleet.lead(3);
    fleet.settle(60);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_GT(fleet.open(largeModel).front().epoch, before);
}

TEST(GroupController, FormsNoGroupsInAClosedZone)
{
    engine_fleet fleet(2, 3, makeEngine(3, 4));
    fleet.zonesOut = {availability_zone_id("d0")};
    fleet.lead(2);
    fleet.settle(40);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.engines.at(fleet.open(largeModel).front().head()).record.zone, availability_zone_id("d1"));
}

/** Partitions all engines from control for a second while they keep running; the registry counts them as lost. */
static void partitionAll(engine_fleet &fleet)
{
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = false;
        fleet.registry.step(backend_failure{id, true}, fleet.now);
    }
    fleet.settle(5);
}

TEST(GroupController, AHeadThatReturnsFromAPartitionIsNotReassigned)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    partitionAll(fleet);
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = true;
    }
    fleet.settle(20);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, MembersThatReturnBeforeTheirHeadAreNotReassigned)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    partitionAll(fleet);
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = id != group.head();
    }
    fleet.settle(10);
    fleet.engines.at(group.head()).reportsToControl = true;
    fleet.settle(20);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, ReplacesAMemberByASpareOfAnotherModel)
{
    engine_fleet fleet(1, 9, makeEngine(4, 3));
    fleet.lead(2);
    fleet.settle(40);
    // The first loss uses up the spare of the large model. After the second one three of its servers and a spare of the small model are left.
    for (int i = 0; i < 2; ++i) {
        ASSERT_FALSE(fleet.open(largeModel).empty());
        fleet.lose(fleet.open(largeModel).front().members.back());
        fleet.settle(4);
    }
    fleet.settle(30);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.open(smallModel).size(), 1U);
}

TEST(GroupController, DoesNotBreakUpAnotherGroupWhenAReplacementIsLoading)
{
    engine_fleet fleet(1, 9, makeEngine(4, 3));
    fleet.lead(2);
    fleet.settle(40);
    for (int i = 0; i < 2; ++i) {
        ASSERT_FALSE(fleet.open(largeModel).empty());
        fleet.lose(fleet.open(largeModel).front().members.back());
        fleet.settle(4);
    }
    const backend_id added = fleet.add("d0");
    fleet.settle(1);
    EXPECT_EQ(fleet.engines.at(added).record.loaded, largeModel);
    fleet.settle(30);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.open(smallModel).size(), 1U);
}

/** Lets a new leader start with an empty registry while only the head of an open group announces itself. */
static engine_group adoptFromHeadAlone(engine_fleet &fleet)
{
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = id == group.head();
    }
    fleet.registry = backend_registry();
    fleet.lead(3);
    return group;
}

TEST(GroupController, ANewLeaderOpensAnAdoptedGroupBeforeItsMembersAreAnnounced)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    const engine_group group = adoptFromHeadAlone(fleet);
    fleet.settle(2);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.open(largeModel).front().epoch, group.epoch);
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = true;
    }
    fleet.settle(2);
    EXPECT_EQ(fleet.open(largeModel).front().members, group.members);
}

TEST(GroupController, ClosesAnAdoptedGroupWhoseMembersAreNotAnnounced)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    const engine_group group = adoptFromHeadAlone(fleet);
    fleet.settle(15); // Longer than the adoption timeout.
    EXPECT_TRUE(fleet.open(largeModel).empty());
    EXPECT_EQ(fleet.engines.at(group.head()).record.membership.state, membership_state::None);
}

TEST(GroupController, FreesMembersOnceTheHeadConfirmsItsClosure)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.engines.at(group.head()).reportsToControl = false; // It executes orders, but its announcements are lost.
    fleet.lose(group.members.back());
    fleet.reconcile();
    fleet.reconcile();
    const std::vector<engine_group> groups = fleet.controller.groups();
    EXPECT_TRUE(std::none_of(groups.begin(), groups.end(), [&](const engine_group &each) { return each.epoch == group.epoch; }));
}

TEST(GroupController, FormsTheLastLargeGroupOfADomainAgainFromMembersOfSmallOnes)
{
    engine_fleet fleet(2, 11, makeEngine(6, 2));
    fleet.stagingTime = duration(16'000);
    fleet.demand
        = {{largeModel, {largeModel, 16.0, 1'000.0, 100.0, engine_duration(300)}}, {smallModel, {smallModel, 8.0, 1'000.0, 100.0, engine_duration(300)}}};
    fleet.lead(2);
    fleet.settle(200);
    ASSERT_EQ(fleet.open(largeModel).size(), 2U);
    const std::vector<backend_id> members = fleet.open(largeModel).front().members;
    fleet.lose(members[1]);
    fleet.lose(members[2]); // One more than the domain has spares.
    fleet.settle(100); // 20 s, longer than a load.
    EXPECT_EQ(fleet.open(largeModel).size(), 2U);
}

TEST(GroupController, StagesTheOtherModelOnAllMembersBeforeTraffic)
{
    engine_fleet fleet(3, 9, makeEngine(4, 3));
    fleet.trafficStarted = false;
    fleet.lead(2);
    fleet.settle(100);
    for (const auto &[id, engine] : fleet.engines) {
        const std::vector<model_id> &staged = engine.record.staged;
        EXPECT_TRUE(std::any_of(staged.begin(), staged.end(), [&](const model_id &model) { return model != engine.record.loaded; })) << id.value();
    }
}

TEST(GroupController, StagesTheOtherModelOnSpares)
{
    engine_fleet fleet(1, 9, makeEngine(4, 4));
    fleet.lead(2);
    fleet.settle(60);
    const auto versatile = std::count_if(fleet.engines.begin(), fleet.engines.end(), [](const auto &each) {
        const backend_record &record = each.second.record;
        return std::any_of(record.staged.begin(), record.staged.end(), [&](const model_id &model) { return model != record.loaded; });
    });
    EXPECT_GT(versatile, 0);
}

TEST(GroupController, ReportsDemandAndGroupsOfEveryModel)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.demand[largeModel] = {largeModel, 5.0, 1'000.0, 100.0, engine_duration(300)};
    fleet.lead(2);
    fleet.settle(40);
    EXPECT_EQ(fleet.assessed.at(largeModel).groups, fleet.open(largeModel).size());
    EXPECT_DOUBLE_EQ(fleet.assessed.at(largeModel).requestsPerSecond, 5.0);
    EXPECT_GT(fleet.assessed.at(largeModel).onTimeShare, 0.0);
    fleet.lose(backend_id("e1"));
    fleet.lose(backend_id("e2"));
    fleet.settle(4);
    EXPECT_EQ(fleet.assessed.at(largeModel).groups, 0U);
}

TEST(GroupController, NeverReassignsAMemberWhileItsHeadServes)
{
    EXPECT_TRUE(rc::check([] {
        engine_fleet fleet(2, 7, makeEngine(3, 2));
        fleet.lead(2);
        std::uint64_t term = 2;
        for (int i = 0; i < 60; ++i) {
            const auto pick = *rc::gen::inRange<std::size_t>(0, fleet.engines.size());
            const backend_id id = std::next(fleet.engines.begin(), static_cast<std::ptrdiff_t>(pick))->first;
            switch (*rc::gen::inRange(0, 14)) {
            case 0:
                fleet.lose(id);
                break;
            case 1:
                fleet.engines.at(id).record.state = backend_state::Draining;
                break;
            case 2:
                fleet.add("d0");
                break;
            case 3:
                fleet.lead(++term);
                break;
            case 4:
                fleet.lead(++term, fleet.controller.groups());
                break;
            case 5:
                fleet.unanswering.insert(id);
                break;
            case 6:
                fleet.unanswering.erase(id);
                break;
            case 7:
                fleet.cutOff(id, *rc::gen::arbitrary<bool>());
                break;
            case 8:
                fleet.reconnect(id);
                break;
            default:
                break;
            }
            fleet.settle(2);
        }
        RC_ASSERT(!::testing::Test::HasFailure());
    }));
}
