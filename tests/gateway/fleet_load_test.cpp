#include "support/overload_scenario.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

// The fleet as a whole at and beyond its capacity, with the bounds of docs/HARD-LOAD.md.

namespace {

constexpr double normalLoad = 0.7;

/** Average of the rate over the span, where it counts for at most @p limit. */
double attainableRate(const request_rate &rate, const request_span &span, double limit)
{
    const duration step(10);
    double sum = 0.0;
    for (duration at = span.from; at < span.until; at += step) {
        sum += std::min(limit, rateAt(rate, at));
    }
    return sum / static_cast<double>((span.until - span.from) / step);
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

TEST(FleetLoad, AWaveKeepsTheBestOnTimeRate)
{
    const request_span span{duration(8'000), duration(32'000)};
    gateway_fleet_options options = makeOverload(6, 1.0);
    const double capacity = highestRate(options.load.rate);
    options.load.rate = wave_rate{capacity, 0.6 * capacity, duration(8'000)};
    gateway_fleet fleet(options);
    fleet.run(span.until);
    EXPECT_GE(fleet.log().onTimeRate(span), keptRate * attainableRate(options.load.rate, span, bestOnTimeRate(6))) << describe(fleet.log().outcomes(span));
}

TEST(FleetLoad, UnevenSharesOfTheGatewaysKeepTheBestOnTimeRate)
{
    gateway_fleet_options options = makeOverload(6, 1.5);
    options.load.gatewayShares = {10.0, 3.0, 2.0, 1.0, 1.0, 1.0};
    EXPECT_GE(steadyOnTimeRate(options), keptRate * bestOnTimeRate(6));
}

TEST(FleetLoad, CallersThatIgnoreRetryAfterDoNotCauseACollapse)
{
    const double best = bestOnTimeRate(6);
    for (const double ignoring : {0.3, 1.0}) {
        gateway_fleet_options options = makeOverload(6, 1.5);
        options.load.ignoringRetryAfter = ignoring;
        EXPECT_GE(steadyOnTimeRate(options), keptRate * best) << "share that ignores it: " << ignoring;
    }
}

/** Guards against names of times at which the gateways have to reject the caller again. */
TEST(FleetLoad, CallersThatReturnAtTheNamedTimeAreAdmitted)
{
    gateway_fleet_options options = makeOverload(6, normalLoad);
    const double normal = highestRate(options.load.rate);
    options.load.rate = burst_rate{normal, 2.0 / normalLoad * normal, duration(6'000), duration(4'000)};
    gateway_fleet fleet(options);
    const caller_outcomes outcomes = fleet.run(duration(16'000));
    ASSERT_GT(outcomes.returned, 0U);
    // A longer time than a third of what the caller has left is a time at which it does not return.
    EXPECT_GE(static_cast<double>(outcomes.returnedAsNamed), 0.95 * static_cast<double>(outcomes.returned));
    EXPECT_GE(static_cast<double>(outcomes.admittedAsNamed), 0.8 * static_cast<double>(outcomes.returnedAsNamed));
}

TEST(FleetLoad, CallersThatReturnAtTheNamedTimeInLastingOverloadAreAdmitted)
{
    gateway_fleet fleet(makeOverload(6, 1.3));
    fleet.run(measuredSpan.until);
    const caller_outcomes outcomes = fleet.log().outcomes(measuredSpan);
    EXPECT_GE(static_cast<double>(outcomes.admittedAsNamed), 0.8 * static_cast<double>(outcomes.returnedAsNamed)) << describe(outcomes);
}
