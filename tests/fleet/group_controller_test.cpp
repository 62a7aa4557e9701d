#include "support/engine_fleet.h"
#include "support/properties.h"

using namespace carawayloft;
using namespace carawayloft::test_support;

TEST(GroupController, FormsGroupsOfEveryModelInEveryDomainAndKeepsSpares)
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
    fleet.settle(4); // The head closes, members join, the head opens, and says so.
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    const std::vector<backend_id> members = fleet.open(largeModel).front().members;
    EXPECT_EQ(std::count(members.begin(), members.end(), lost), 0);
}

TEST(GroupController, LeavesMembersAloneWhileAHeadThatIsOnlyCutOffMayServe)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.engines.at(group.head()).reportsToControl = false;
    fleet.registry.step(backend_failure{group.head(), false}, fleet.now);
    fleet.settle(20);
    for (std::size_t i = 1; i < group.members.size(); ++i) {
        EXPECT_EQ(fleet.engines.at(group.members[i]).record.membership.epoch, group.epoch);
    }
    fleet.engines.at(group.head()).alive = false; // Its engine breaks the group after its stall time.
    fleet.settle(30);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, GivesAnOrderAgainUntilItIsAnswered)
{
    engine_fleet fleet(1, 3, makeEngine(3, 4));
    fleet.deaf = {backend_id("e1"), backend_id("e2"), backend_id("e3")};
    fleet.lead(2);
    fleet.settle(60);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, AFinishedOrderOfAFormerGroupChangesNothing)
{
    engine_fleet fleet(1, 3, makeEngine(3, 4));
    fleet.lead(2);
    fleet.keeper.step(order_finished{order_id(99), order_outcome::Done}, fleet.now);
    fleet.settle(40);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, ANewLeaderTakesGroupsOverFromWhatTheirMembersReport)
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

TEST(GroupController, ANewLeaderClosesAnOpenGroupOfWhichAMemberIsMissing)
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

TEST(GroupController, FormsNothingInAZoneThatIsOut)
{
    engine_fleet fleet(2, 3, makeEngine(3, 4));
    fleet.zonesOut = {availability_zone_id("d0")};
    fleet.lead(2);
    fleet.settle(40);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.engines.at(fleet.open(largeModel).front().head()).record.zone, availability_zone_id("d1"));
}

/** A domain whose servers nobody reaches for a while, although they run; comes back member by member. */
static void cutOff(engine_fleet &fleet)
{
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = false;
        fleet.registry.step(backend_failure{id, true}, fleet.now);
    }
    fleet.settle(5);
}

TEST(GroupController, AHeadThatWasOnlyCutOffIsNotTakenForFree)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    cutOff(fleet);
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = true;
    }
    fleet.settle(20);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, MembersThatComeBackBeforeTheirHeadWaitForIt)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    cutOff(fleet);
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = id != group.head();
    }
    fleet.settle(10);
    fleet.engines.at(group.head()).reportsToControl = true;
    fleet.settle(20);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
}

TEST(GroupController, CompletesAGroupFromAServerThatWaitsInVain)
{
    engine_fleet fleet(1, 9, makeEngine(4, 3));
    fleet.lead(2);
    fleet.settle(40);
    // The spare of the large model goes first, then one more member: three are left, and a spare of the small one.
    for (int i = 0; i < 2; ++i) {
        ASSERT_FALSE(fleet.open(largeModel).empty());
        fleet.lose(fleet.open(largeModel).front().members.back());
        fleet.settle(4);
    }
    fleet.settle(30);
    EXPECT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.open(smallModel).size(), 1U);
}

TEST(GroupController, TakesNoServersFromAGroupThatWillSoonBeComplete)
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

/** A group that serves when a new leader begins, to which of its members the head alone announces itself. */
static engine_group takenOverFromItsHead(engine_fleet &fleet)
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

TEST(GroupController, ANewLeaderGivesWorkToAHeadBeforeItsMembersHaveAnnouncedThemselves)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    const engine_group group = takenOverFromItsHead(fleet);
    fleet.settle(2);
    ASSERT_EQ(fleet.open(largeModel).size(), 1U);
    EXPECT_EQ(fleet.open(largeModel).front().epoch, group.epoch);
    for (auto &[id, engine] : fleet.engines) {
        engine.reportsToControl = true;
    }
    fleet.settle(2);
    EXPECT_EQ(fleet.open(largeModel).front().members, group.members);
}

TEST(GroupController, ClosesAHeadWhoseMembersDoNotAnnounceThemselves)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    const engine_group group = takenOverFromItsHead(fleet);
    fleet.settle(15); // Longer than members have for it.
    EXPECT_TRUE(fleet.open(largeModel).empty());
    EXPECT_EQ(fleet.engines.at(group.head()).record.membership.state, membership_state::Ready);
}

TEST(GroupController, FreesMembersOnceTheHeadAnswersThatItHasClosed)
{
    engine_fleet fleet(1, 4, makeEngine(3, 4));
    fleet.lead(2);
    fleet.settle(40);
    const engine_group group = fleet.open(largeModel).front();
    fleet.engines.at(group.head()).reportsToControl = false; // It obeys, and its announcements go astray.
    fleet.lose(group.members.back());
    fleet.look();
    fleet.look();
    const std::vector<engine_group> groups = fleet.keeper.groups();
    EXPECT_TRUE(std::none_of(groups.begin(), groups.end(), [&](const engine_group &each) { return each.epoch == group.epoch; }));
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

TEST(GroupController, NeverLetsAMemberGoElsewhereWhileItsHeadServes)
{
    EXPECT_TRUE(rc::check([] {
        engine_fleet fleet(2, 7, makeEngine(3, 2));
        fleet.lead(2);
        std::uint64_t term = 2;
        for (int i = 0; i < 60; ++i) {
            const auto pick = *rc::gen::inRange<std::size_t>(0, fleet.engines.size());
            const backend_id id = std::next(fleet.engines.begin(), static_cast<std::ptrdiff_t>(pick))->first;
            switch (*rc::gen::inRange(0, 12)) {
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
                fleet.lead(++term, fleet.keeper.groups());
                break;
            case 5:
                fleet.deaf.insert(id);
                break;
            case 6:
                fleet.deaf.erase(id);
                break;
            default:
                break;
            }
            fleet.settle(2);
        }
        RC_ASSERT(!::testing::Test::HasFailure());
    }));
}
