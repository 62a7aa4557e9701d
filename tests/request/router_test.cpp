#include <carawayloft/request/router.h>

#include "support/properties.h"

using namespace carawayloft;

static const service_id model("drafting-models");
static const time_point start(std::chrono::hours(1));

static routable_group makeGroup(std::uint64_t id, const std::string &zone = "mid-a")
{
    return {group_id(id), group_epoch(id), model, availability_zone_id(zone), endpoint("127.0.0.1:" + std::to_string(id)), 8};
}

static load_reported makeReport(std::uint64_t id, std::uint32_t running, std::uint32_t limit, std::uint32_t own = 0, bool accepting = true)
{
    return {{group_id(id), group_epoch(id), accepting, false, running, 0, limit, own, 0}};
}

static group_id chosenBy(router &router, std::uint64_t request, time_point now, std::set<group_id> excludedGroups = {}, std::uint64_t prefix = 0)
{
    for (const router_output &each : router.step(route_requested{request_id(request), model, prefix, std::move(excludedGroups)}, now)) {
        if (const auto *chosen = std::get_if<route_chosen>(&each)) {
            return chosen->group.group;
        }
    }
    return {};
}

TEST(Router, CountsItsOwnRequestsAtOnceAndThoseOfOthersFromLateReports)
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1), makeGroup(2)}}, start);
    router.step(makeReport(1, 0, 4), start);
    router.step(makeReport(2, 2, 4), start);
    std::map<group_id, int> sent;
    for (std::uint64_t i = 0; i < 6; ++i) {
        ++sent[chosenBy(router, i, start)];
    }
    EXPECT_EQ(sent[group_id(1)], 4);
    EXPECT_EQ(sent[group_id(2)], 2);
}

TEST(Router, NeverChoosesAGroupThatRefusedOrTakesNothing)
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1), makeGroup(2), makeGroup(3)}}, start);
    router.step(makeReport(1, 0, 4), start);
    router.step(makeReport(2, 0, 4, 0, false), start);
    router.step(makeReport(3, 0, 4), start);
    for (std::uint64_t i = 0; i < 4; ++i) {
        EXPECT_EQ(chosenBy(router, i, start, {group_id(1)}), group_id(3));
    }
    EXPECT_EQ(chosenBy(router, 9, start, {group_id(1), group_id(3)}), group_id());
}

TEST(Router, LeavesAGroupThatRefusedAloneUntilItReportsAgain)
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1)}}, start);
    router.step(makeReport(1, 0, 4), start);
    EXPECT_EQ(chosenBy(router, 1, start), group_id(1));
    router.step(attempt_ended{group_id(1), attempt_result::Refused, {}, {}}, start);
    EXPECT_EQ(chosenBy(router, 2, start), group_id());
    router.step(makeReport(1, 0, 4, 1), start);
    EXPECT_EQ(chosenBy(router, 3, start), group_id(1));
}

TEST(Router, PrefersAGroupThatHasThePrefixCached)
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1), makeGroup(2), makeGroup(3), makeGroup(4)}}, start);
    for (std::uint64_t i = 1; i <= 4; ++i) {
        load_reported report = makeReport(i, 0, 8);
        report.report.cachedPrefix = i == 3 ? 77 : 0;
        router.step(report, start);
    }
    EXPECT_EQ(chosenBy(router, 1, start, {}, 77), group_id(3));
}

TEST(Router, PrefersTheOwnZone)
{
    router router(availability_zone_id("mid-b"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1, "mid-a"), makeGroup(2, "mid-b")}}, start);
    router.step(makeReport(1, 0, 8), start);
    router.step(makeReport(2, 0, 8), start);
    EXPECT_EQ(chosenBy(router, 1, start), group_id(2));
}

TEST(Router, AStragglerGetsNothingAndIsThenTriedWithOneRequest)
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1), makeGroup(2), makeGroup(3)}}, start);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        router.step(makeReport(i, 0, 100), start);
    }
    bool ejected = false;
    for (int i = 0; i < 20; ++i) {
        router.step(attempt_ended{group_id(1), attempt_result::Answered, duration(10), duration(20)}, start);
        router.step(attempt_ended{group_id(2), attempt_result::Answered, duration(10), duration(20)}, start);
        for (const router_output &each : router.step(attempt_ended{group_id(3), attempt_result::Answered, duration(400), duration(500)}, start)) {
            ejected = ejected || std::holds_alternative<group_ejected>(each);
        }
        if (ejected) {
            break;
        }
    }
    ASSERT_TRUE(ejected);
    for (std::uint64_t i = 0; i < 20; ++i) {
        EXPECT_NE(chosenBy(router, i, start), group_id(3));
    }
    const time_point later = start + std::chrono::seconds(2);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        router.step(makeReport(i, 0, 100), later);
    }
    const std::set<group_id> others{group_id(1), group_id(2)};
    EXPECT_EQ(chosenBy(router, 100, later, others), group_id(3));
    EXPECT_EQ(chosenBy(router, 101, later, others), group_id());
    router.step(attempt_ended{group_id(3), attempt_result::Answered, duration(10), duration(20)}, later);
    EXPECT_EQ(chosenBy(router, 102, later, others), group_id(3));
}

TEST(Router, AGroupOfWhichNothingIsKnownGetsWork)
{
    router router(availability_zone_id("mid-b"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1, "mid-b"), makeGroup(2, "mid-a")}}, start);
    router.step(makeReport(1, 4, 8), start);
    router.step(makeReport(2, 0, 8), start);
    for (int i = 0; i < 10; ++i) {
        router.step(attempt_ended{group_id(1), attempt_result::Answered, duration(60), duration(150)}, start);
    }
    EXPECT_EQ(chosenBy(router, 1, start), group_id(2));
}

TEST(Router, AGroupThatWasSlowIsTriedAgainLater)
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1), makeGroup(2)}}, start);
    router.step(makeReport(1, 4, 8), start);
    router.step(makeReport(2, 0, 8), start);
    router.step(attempt_ended{group_id(1), attempt_result::Answered, duration(50), duration(100)}, start);
    router.step(attempt_ended{group_id(2), attempt_result::Answered, duration(500), duration(900)}, start);
    EXPECT_EQ(chosenBy(router, 1, start), group_id(1));
    const time_point later = start + std::chrono::seconds(11);
    router.step(attempt_ended{group_id(1), attempt_result::Answered, duration(50), duration(100)}, later);
    router.step(makeReport(1, 4, 8), later);
    router.step(makeReport(2, 0, 8), later);
    EXPECT_EQ(chosenBy(router, 2, later), group_id(2));
}

TEST(Router, EjectsAGroupThatKeepsFailing)
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, 1);
    router.step(groups_changed{{makeGroup(1), makeGroup(2)}}, start);
    router.step(makeReport(1, 0, 8), start);
    router.step(makeReport(2, 0, 8), start);
    for (int i = 0; i < 3; ++i) {
        router.step(attempt_ended{group_id(1), attempt_result::Failed, {}, {}}, start);
    }
    EXPECT_EQ(chosenBy(router, 1, start, {group_id(2)}), group_id());
}

/** Whatever happens, a choice is a group that is known, serves the model and has not refused the request. */
RC_GTEST_PROP(RouterProperty, ChoosesOnlyAmongWhatMayBeChosen, ())
{
    router router(availability_zone_id("mid-a"), expected_wait_policy{}, *rc::gen::arbitrary<std::uint64_t>());
    std::map<group_id, bool> accepting;
    time_point now = start;
    for (std::uint64_t i = 0; i < 100; ++i) {
        now += duration(*rc::gen::inRange(0, 400));
        const auto id = static_cast<std::uint64_t>(*rc::gen::inRange(1, 6));
        switch (*rc::gen::inRange(0, 5)) {
        case 0: {
            accepting.clear();
            std::vector<routable_group> groups;
            for (std::uint64_t g = 1; g < id; ++g) {
                groups.push_back(makeGroup(g));
                accepting.emplace(group_id(g), true);
            }
            router.step(groups_changed{groups}, now);
            // Reports are kept for groups that stay, so tell all of them anew.
            for (const auto &[group, yes] : accepting) {
                router.step(makeReport(group.value(), 0, 4), now);
            }
            break;
        }
        case 1: {
            const bool yes = *rc::gen::arbitrary<bool>();
            router.step(makeReport(id, 0, 4, 0, yes), now);
            if (accepting.contains(group_id(id))) {
                accepting[group_id(id)] = yes;
            }
            break;
        }
        case 2:
            router.step(attempt_ended{group_id(id), static_cast<attempt_result>(*rc::gen::inRange(0, 4)), duration(10), duration(20)}, now);
            break;
        default: {
            const group_id refused(static_cast<std::uint64_t>(*rc::gen::inRange(1, 6)));
            const group_id chosen = chosenBy(router, i, now, {refused});
            RC_ASSERT((chosen == group_id() || (accepting.contains(chosen) && accepting.at(chosen) && chosen != refused)));
        }
        }
    }
}
