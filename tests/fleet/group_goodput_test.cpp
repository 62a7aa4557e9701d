#include <carawayloft/fleet/group_goodput.h>

#include "support/service_builder.h"
#include "support/simulated_group.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

engine_profile makeBusyEngine()
{
    engine_profile engine = makeEngine();
    engine.slots = 46;
    engine.stepsPerIteration = 7;
    engine.prefillTokensPerStep = 2'048;
    engine.stepPerRequest = engine_duration(0.05);
    return engine;
}

model_traffic makeTraffic(double requestsPerSecond, double promptTokens, engine_duration objective)
{
    return {largeModel, requestsPerSecond, promptTokens, 150.0, objective};
}

} // namespace

TEST(GroupGoodput, AgreesWithASimulatedGroupUpToThePeak)
{
    const engine_profile engine = makeBusyEngine();
    const double tolerance = 0.1;
    for (const double promptTokens : {300.0, 700.0, 1'600.0}) {
        for (const engine_duration objective : {engine_duration(200), engine_duration(400)}) {
            const group_goodput goodput(engine, engine.models.front(), makeTraffic(1.0, promptTokens, objective));
            for (const double load : {0.3, 0.6, 0.9}) {
                const double rate = load * goodput.peakRate();
                const double simulated = simulatedOnTimeShare(engine, engine.models.front(), makeTraffic(rate, promptTokens, objective), {10.0, 1.0});
                EXPECT_NEAR(goodput.onTimeShare(rate), simulated, tolerance) << promptTokens << " tokens, " << objective.count() << " ms, load " << load;
            }
        }
    }
}

TEST(GroupGoodput, RequestsBeyondThePeakRateAddNothing)
{
    const engine_profile engine = makeBusyEngine();
    const group_goodput goodput(engine, engine.models.front(), makeTraffic(1.0, 1'000.0, engine_duration(300)));
    const double atPeak = goodput.peakRate() * goodput.onTimeShare(goodput.peakRate());
    EXPECT_NEAR(2.0 * goodput.peakRate() * goodput.onTimeShare(2.0 * goodput.peakRate()), atPeak, 1e-9);
    EXPECT_LT(0.5 * goodput.peakRate() * goodput.onTimeShare(0.5 * goodput.peakRate()), atPeak);
}

TEST(GroupGoodput, ASmallerObjectiveOrALongerPromptLowersThePeakRate)
{
    const engine_profile engine = makeBusyEngine();
    const auto peakRate = [&](double promptTokens, double objective) {
        return group_goodput(engine, engine.models.front(), makeTraffic(1.0, promptTokens, engine_duration(objective))).peakRate();
    };
    EXPECT_LT(peakRate(1'000.0, 150.0), peakRate(1'000.0, 300.0));
    EXPECT_LT(peakRate(2'000.0, 300.0), peakRate(1'000.0, 300.0));
}

TEST(GroupGoodput, PromptsOfEqualLengthRaiseThePeakRate)
{
    const engine_profile engine = makeBusyEngine();
    model_traffic traffic = makeTraffic(1.0, 1'600.0, engine_duration(300));
    const double varied = group_goodput(engine, engine.models.front(), traffic).peakRate();
    traffic.promptTokensSquared = traffic.promptTokens * traffic.promptTokens;
    EXPECT_GT(group_goodput(engine, engine.models.front(), traffic).peakRate(), varied);
}
