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
        : monitor(makeEngine(), makeEngine().models.front(), now)
    {
        setOtherLoad(0, 0);
    }

    /** Sets the load of other gateways as reported by control. */
    void setOtherLoad(std::uint32_t running, std::uint32_t tokensPerSecond, std::uint32_t gateways = 0)
    {
        group_load load;
        load.epoch = group_epoch(1);
        load.running = running;
        load.tokensPerSecond = tokensPerSecond;
        monitor.updateOtherGateways(load, gateways, now);
    }

    time_point now{std::chrono::hours(1)};
    group_monitor monitor;
};

} // namespace

TEST_F(GroupMonitor, TheBaseIterationTimeExcludesThePromptItself)
{
    EXPECT_EQ(monitor.forecast(100, now).baseIterationTime, monitor.forecast(5'000, now).baseIterationTime);
    EXPECT_LT(monitor.forecast(100, now).timeToFirstEvent, monitor.forecast(5'000, now).timeToFirstEvent);
}

TEST_F(GroupMonitor, WaitingPromptsLengthenTheNextIteration)
{
    const engine_duration before = monitor.forecast(100, now).baseIterationTime;
    now += duration(5);
    monitor.addCall(backend_call_id(1), 4'000, now);
    monitor.addCall(backend_call_id(2), 4'000, now + duration(1));
    EXPECT_GT(monitor.forecast(100, now + duration(2)).baseIterationTime, before);
}

TEST_F(GroupMonitor, AssumesTheSameLoadFromOtherGatewaysAtANewGroup)
{
    setOtherLoad(0, 0, 3);
    monitor.addCall(backend_call_id(1), 1'000, now);
    EXPECT_EQ(monitor.forecast(100, now).running, 4U);
    now += duration(1'000);
    EXPECT_EQ(monitor.forecast(100, now).running, 1U); // Reports would cover that load by now.
}

TEST_F(GroupMonitor, TheForecastCoversTheBacklogOfOtherGateways)
{
    group_load others;
    others.epoch = group_epoch(1);
    others.running = 20;
    others.prefillTokens = 40'000;
    others.tokensPerSecond = 45'000;
    monitor.updateOtherGateways(others, 3, now);
    EXPECT_GT(monitor.forecast(100, now).timeToFirstEvent, engine_duration(800)); // 50,000 tokens a second are read.
}

TEST_F(GroupMonitor, EveryProbeOfASilentGroupDelaysTheNextOne)
{
    monitor.addCall(backend_call_id(1), 100, now);
    duration first{0};
    while (!monitor.isSuspect(now + first)) {
        first += duration(1);
    }
    monitor.delayNextProbe(now);
    duration second{0};
    while (!monitor.isSuspect(now + duration(200) + second)) {
        second += duration(1);
    }
    EXPECT_GT(duration(200) + second, first);
}
