#include "support/crash_simulation.h"

#include <gtest/gtest.h>

#include <iostream>

using namespace carawayloft;
using namespace carawayloft::test_support;

/** Deadly requests that may reach servers later than the contact window after the fifth crash. */
static constexpr std::size_t maxSentLate = 3;

/** Sums over many seeds of one kind of fleet. */
struct simulated_total {
    std::size_t runs = 0;
    std::size_t found = 0;
    std::size_t mostSentLate = 0; /**< Of one run. */
    std::size_t wrong = 0;
    std::size_t naiveWrong = 0;
    std::size_t mostCrashesUntilFound = 0;
};

static simulated_total simulate(const char *name, crash_scenario scenario, std::size_t runs)
{
    simulated_total total;
    for (; total.runs < runs; ++total.runs) {
        scenario.seed = total.runs + 1;
        const crash_outcomes outcomes = crash_simulation(scenario).run();
        total.found += outcomes.found ? 1 : 0;
        total.mostSentLate = std::max(total.mostSentLate, outcomes.sentLate);
        total.wrong += outcomes.wrong;
        total.naiveWrong += outcomes.naiveWrong;
        total.mostCrashesUntilFound = std::max(total.mostCrashesUntilFound, outcomes.crashesUntilFound);
    }
    std::cout << name << ": found in " << total.found << " of " << runs << " runs, after at most " << total.mostCrashesUntilFound
              << " crashes by requests, sent late at most " << total.mostSentLate << "; wrong parts " << total.wrong << ", naive " << total.naiveWrong << '\n';
    return total;
}

TEST(CrashSimulation, ADeadlyPartIsFoundWithinAFewCrashes)
{
    crash_scenario scenario;
    scenario.deadlyPerSecond = 1.2;
    const simulated_total total = simulate("deadly part", scenario, 60);
    EXPECT_EQ(total.found, total.runs);
    EXPECT_LE(total.mostSentLate, maxSentLate);
    EXPECT_LT(total.wrong, total.naiveWrong);
    EXPECT_LE(total.wrong * 10, total.runs);
}

TEST(CrashSimulation, ADeadlyPartIsFoundWhileServersAlsoCrashForOtherReasons)
{
    crash_scenario scenario;
    scenario.deadlyPerSecond = 1.2;
    scenario.crashesPerSecond = 0.5;
    scenario.outagesPerSecond = 0.05;
    const simulated_total total = simulate("deadly part and other crashes", scenario, 60);
    EXPECT_EQ(total.found, total.runs);
    EXPECT_LE(total.mostSentLate, maxSentLate);
    EXPECT_LE(total.wrong * 10, total.runs);
}

TEST(CrashSimulation, CrashesForOtherReasonsQuarantineNothing)
{
    crash_scenario scenario;
    scenario.crashesPerSecond = 1.0;
    scenario.outagesPerSecond = 0.1;
    const simulated_total total = simulate("other crashes", scenario, 60);
    EXPECT_EQ(total.wrong, 0U);
    EXPECT_GT(total.naiveWrong, 0U);
}

TEST(CrashSimulation, HundredsOfGatewaysFindADeadlyPartTogether)
{
    crash_scenario scenario;
    scenario.gateways = 390;
    scenario.servers = 300;
    scenario.requestsPerSecond = 100.0;
    scenario.deadlyPerSecond = 3.0;
    scenario.length = duration(10'000);
    const simulated_total total = simulate("deadly part, 390 gateways", scenario, 5);
    EXPECT_EQ(total.found, total.runs);
    EXPECT_LE(total.mostSentLate, maxSentLate);
}
