#include <carawayloft/gateway/group_monitor.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

class GroupMonitor : public ::testing::Test
{
protected:
    GroupMonitor()
        : watch(makeEngine(), makeEngine().models.front(), now)
    {
        hearOthers(0, 0);
    }

    /** What other gateways have at the group, as control tells. */
    void hearOthers(std::uint32_t running, std::uint32_t tokensPerSecond, std::uint32_t gateways = 0)
    {
        group_load load;
        load.epoch = group_epoch(1);
        load.running = running;
        load.tokensPerSecond = tokensPerSecond;
        watch.setOthers(load, gateways, now);
    }

    time_point now{std::chrono::hours(1)};
    group_monitor watch;
};

} // namespace

TEST_F(GroupMonitor, APromptDoesNotLengthenThePassThatReadsItForItself)
{
    EXPECT_EQ(watch.forecast(100, now).passWithout, watch.forecast(5'000, now).passWithout);
    EXPECT_LT(watch.forecast(100, now).firstEvent, watch.forecast(5'000, now).firstEvent);
}

TEST_F(GroupMonitor, PromptsThatWaitForTheNextPassLengthenIt)
{
    const engine_duration before = watch.forecast(100, now).passWithout;
    now += duration(5);
    watch.begin(backend_call_id(1), 4'000, now);
    watch.begin(backend_call_id(2), 4'000, now + duration(1));
    EXPECT_GT(watch.forecast(100, now + duration(2)).passWithout, before);
}

TEST_F(GroupMonitor, TakesOtherGatewaysToDoAlikeAtAGroupThatHasJustOpened)
{
    hearOthers(0, 0, 3);
    watch.begin(backend_call_id(1), 1'000, now);
    EXPECT_EQ(watch.forecast(100, now).running, 4U);
    now += duration(1'000);
    EXPECT_EQ(watch.forecast(100, now).running, 1U); // Reports would have told by now.
}

TEST_F(GroupMonitor, EveryTestOfASilentGroupMakesTheNextOneLaterUntilItMovesOn)
{
    watch.begin(backend_call_id(1), 100, now);
    duration first{0};
    while (!watch.isSuspect(now + first)) {
        first += duration(1);
    }
    watch.postponeSuspicion(now);
    duration second{0};
    while (!watch.isSuspect(now + duration(200) + second)) {
        second += duration(1);
    }
    EXPECT_GT(duration(200) + second, first);
}
