#include "support/fleet_day.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

class FleetDay : public ::testing::TestWithParam<std::uint32_t>
{
protected:
    /** Plays the day, and checks the rules of membership; groups have to be formed all the while. */
    static void play(fleet_day_options options)
    {
        options.seed = GetParam();
        fleet_day day(options);
        day.run();
        EXPECT_EQ(day.violations, 0U);
        EXPECT_EQ(day.directMoves, 0U);
        EXPECT_EQ(day.unreadyOpenings, 0U);
        EXPECT_GT(day.openings, 9U);
    }
};

} // namespace

// Guards against a server that joins another group while the head of its own one serves, on a day of late orders and lost servers.
TEST_P(FleetDay, NoServerIsTakenFromOneGroupIntoAnotherWhileOneReplicaLeads)
{
    play({});
}

// Guards against the same where leaders are killed, stand still or are cut off.
TEST_P(FleetDay, NoServerIsTakenFromOneGroupIntoAnotherWhileLeadersFail)
{
    fleet_day_options options;
    options.leaderFaultInterval = duration(3'000);
    options.lateAnnouncements = 0.1;
    options.lostMirrors = 0.1;
    play(options);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetDay, ::testing::Range(1U, 9U));
