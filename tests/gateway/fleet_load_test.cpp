#include "support/overload_scenario.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

// The fleet as a whole at and beyond its capacity, with the bounds of docs/HARD-LOAD.md.

namespace {

/** Part of the best on-time rate that overload must not cost. */
constexpr double keptRate = 0.95;

constexpr double normalLoad = 0.7;

/** The highest on-time rate at any constant load. */
double bestOnTimeRate(std::size_t gateways, std::size_t groups = 8)
{
    double best = 0.0;
    for (const double load : {normalLoad, 0.85, 1.0}) {
        best = std::max(best, steadyOnTimeRate(makeOverload(gateways, load, groups)));
    }
    return best;
}

std::string describe(const caller_outcomes &of)
{
    return std::to_string(of.asked) + " asked, " + std::to_string(of.onTime) + " on time, " + std::to_string(of.late) + " late, " + std::to_string(of.rejected)
           + " rejected, " + std::to_string(of.failed) + " failed, " + std::to_string(of.rejectedFirst) + " rejected at first";
}

} // namespace

class FleetLoadByGateways : public ::testing::TestWithParam<std::size_t>
{
};

TEST_P(FleetLoadByGateways, OverloadKeepsTheBestOnTimeRate)
{
    double best = bestOnTimeRate(GetParam());
    std::map<double, double> rates;
    for (const double load : {1.0, 1.3, 1.5, 2.0, 3.0}) {
        rates[load] = steadyOnTimeRate(makeOverload(GetParam(), load));
        best = std::max(best, rates[load]);
    }
    for (const auto &[load, rate] : rates) {
        EXPECT_GE(rate, keptRate * best) << "at " << load << " times the capacity; share of the best " << rate / best;
    }
}

INSTANTIATE_TEST_SUITE_P(Gateways, FleetLoadByGateways, ::testing::Values(1, 6, 15, 52));

TEST(FleetLoad, ABurstKeepsTheBestOnTimeRate)
{
    const request_span burst{duration(6'000), duration(14'000)};
    gateway_fleet_options options = makeOverload(6, normalLoad);
    const double normal = highestRate(options.load.rate);
    options.load.rate = burst_rate{normal, 2.0 / normalLoad * normal, burst.from, burst.until - burst.from};
    gateway_fleet fleet(options);
    fleet.run(burst.until + duration(2'000));
    EXPECT_GE(fleet.log().onTimeRate(burst), keptRate * bestOnTimeRate(6)) << describe(fleet.log().outcomes(burst));
}
