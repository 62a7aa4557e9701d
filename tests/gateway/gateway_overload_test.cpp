#include "support/gateway_fleet.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

engine_profile makeBusyEngine()
{
    engine_profile engine = makeEngine(1, 1);
    engine.slots = 46;
    engine.stepsPerIteration = 7;
    engine.prefillTokensPerStep = 2'048;
    engine.stepPerRequest = engine_duration(0.05);
    return engine;
}

model_traffic makeLongPrompts(double requestsPerSecond)
{
    return {largeModel, requestsPerSecond, 1'500.0, 130.0, engine_duration(300)};
}

/** On-time share by several gateways, over that of one caller who knows the state of the group exactly. */
double shareOfIdeal(std::size_t gateways, std::size_t groups, double requestsPerSecondPerGroup)
{
    const engine_profile engine = makeBusyEngine();
    const double ideal = bestOnTimeShare(engine, engine.models.front(), makeLongPrompts(requestsPerSecondPerGroup));
    gateway_fleet fleet(gateways, groups, engine, makeLongPrompts(requestsPerSecondPerGroup * static_cast<double>(groups)));
    const caller_outcomes outcomes = fleet.run(duration(200'000));
    std::printf("%zu gateways, %zu groups, %.0f/s: ideal %.3f, on time %.3f, late %zu, rejected %zu of %zu\n",
                gateways,
                groups,
                requestsPerSecondPerGroup,
                ideal,
                outcomes.onTimeShare(),
                outcomes.late,
                outcomes.rejected,
                outcomes.asked);
    return outcomes.onTimeShare() / ideal;
}

} // namespace

TEST(GatewayOverload, GroupsWithinTheirCapacityServeNearlyAllOnTime)
{
    EXPECT_GT(shareOfIdeal(12, 3, 10.0), 0.9);
}

TEST(GatewayOverload, AnOverloadedGroupIsNotSentMoreThanItAnswersOnTime)
{
    EXPECT_GT(shareOfIdeal(12, 1, 40.0), 0.6);
}

TEST(GatewayOverload, OverloadedGroupsAreNotSentMoreThanTheyAnswerOnTime)
{
    EXPECT_GT(shareOfIdeal(12, 3, 20.0), 0.6);
}
