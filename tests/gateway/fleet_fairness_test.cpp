#include "support/overload_scenario.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

// Who is served in overload: ranks, client accounts and prompt sizes, with the bounds of docs/HARD-LOAD.md.

namespace {

constexpr request_span span{settlingTime, duration(30'000)};

request_log runUntilEndOfSpan(const gateway_fleet_options &options)
{
    gateway_fleet fleet(options);
    fleet.run(span.until);
    return fleet.log();
}

caller_outcomes outcomesOfRoute(const request_log &log, std::size_t route)
{
    return log.outcomes(span, [route](const request_record &each) { return each.route == route; });
}

caller_outcomes outcomesOfAccount(const request_log &log, std::size_t account)
{
    return log.outcomes(span, [account](const request_record &each) { return each.account == account; });
}

/** Checks the routes or accounts, given by rank from the highest. */
void checkRanks(const std::vector<caller_outcomes> &byRank, const caller_outcomes &all)
{
    for (std::size_t i = 0; i < byRank.size(); ++i) {
        EXPECT_GE(byRank[i].answeredShare(), 0.25 * all.answeredShare()) << "rank " << i << ": " << describe(byRank[i]);
        if (i > 0) {
            EXPECT_GE(byRank[i - 1].onTimeShare(), byRank[i].onTimeShare() - 0.05) << "rank " << i - 1 << " behind rank " << i;
            EXPECT_GE(byRank[i - 1].answeredShare(), byRank[i].answeredShare() - 0.05) << "rank " << i - 1 << " behind rank " << i;
        }
    }
}

/** Some accounts with an equal part of what the greedy ones leave. */
std::vector<simulated_account> makeAccounts(const std::vector<double> &greedyShares, std::size_t others)
{
    std::vector<simulated_account> accounts;
    double left = 1.0;
    for (const double each : greedyShares) {
        accounts.push_back({"greedy-" + std::to_string(accounts.size()), std::nullopt, each});
        left -= each;
    }
    for (std::size_t i = 0; i < others; ++i) {
        accounts.push_back({"modest-" + std::to_string(i), std::nullopt, left / static_cast<double>(others)});
    }
    return accounts;
}

/** Jain's index of fairness: 1 if all are equal. */
double fairnessIndex(const std::vector<double> &rates)
{
    double sum = 0.0;
    double squares = 0.0;
    for (const double each : rates) {
        sum += each;
        squares += each * each;
    }
    return sum * sum / (static_cast<double>(rates.size()) * squares);
}

} // namespace

class FleetFairness : public ::testing::TestWithParam<double>
{
};

TEST_P(FleetFairness, NoRouteIsBehindOneOfLowerRank)
{
    gateway_fleet_options options = makeOverload(6, GetParam());
    options.load.routes = {{"sign", duration(200), duration(150), duration(5'000), 0, 0.25},
                           {"draft", duration(250), duration(200), duration(5'000), 1, 0.35},
                           {"digest", duration(400), duration(300), duration(5'000), 2, 0.4}};
    const request_log log = runUntilEndOfSpan(options);
    checkRanks({outcomesOfRoute(log, 0), outcomesOfRoute(log, 1), outcomesOfRoute(log, 2)}, log.outcomes(span));
}

/** The priority of an account goes before that of the route. */
TEST_P(FleetFairness, NoAccountIsBehindOneOfLowerRank)
{
    gateway_fleet_options options = makeOverload(6, GetParam());
    options.load.accounts = {{"clinic", 0, 0.3}, {"firm", 1, 0.3}, {"archive", 2, 0.4}};
    const request_log log = runUntilEndOfSpan(options);
    checkRanks({outcomesOfAccount(log, 0), outcomesOfAccount(log, 1), outcomesOfAccount(log, 2)}, log.outcomes(span));
}

TEST_P(FleetFairness, AnAccountBelowItsFairShareIsServedAsUnderNormalLoad)
{
    // What the modest accounts ask for together fits into the capacity at every load, beside the floor of the others.
    const std::vector<double> greedy{0.5, 0.1, 0.1};
    constexpr std::size_t modest = 10;
    gateway_fleet_options options = makeOverload(6, GetParam());
    options.load.accounts = makeAccounts(greedy, modest);
    gateway_fleet_options normal = makeOverload(6, 0.7);
    normal.load.accounts = options.load.accounts;
    const request_log log = runUntilEndOfSpan(options);
    const request_log normalLog = runUntilEndOfSpan(normal);
    for (std::size_t account = greedy.size(); account < greedy.size() + modest; ++account) {
        const caller_outcomes outcomes = outcomesOfAccount(log, account);
        EXPECT_GE(outcomes.servedAtOnceShare(), 0.98 * outcomesOfAccount(normalLog, account).servedAtOnceShare()) << describe(outcomes);
    }
    const double all = log.outcomes(span).answeredShare();
    EXPECT_GE(outcomesOfAccount(log, 0).answeredShare(), 0.3 * all) << "the account that asks for half of everything";
}

TEST_P(FleetFairness, PromptsOfEverySizeAreServed)
{
    const request_log log = runUntilEndOfSpan(makeOverload(6, GetParam()));
    const double all = log.outcomes(span).answeredShare();
    const std::vector<double> bounds{0.0, 200.0, 700.0, 1'500.0, 3'000.0, std::numeric_limits<double>::max()};
    for (std::size_t i = 0; i + 1 < bounds.size(); ++i) {
        const auto isOfSize = [&](const request_record &each) { return each.promptTokens >= bounds[i] && each.promptTokens < bounds[i + 1]; };
        EXPECT_GE(log.outcomes(span, isOfSize).answeredShare(), 0.25 * all) << "prompts from " << bounds[i] << " tokens";
    }
}

INSTANTIATE_TEST_SUITE_P(Loads, FleetFairness, ::testing::Values(1.3, 1.5, 2.0));

TEST(FleetFairShares, SaturatedAccountsOfOneRankGetTheSame)
{
    const std::vector<double> greedy{0.4, 0.3, 0.2};
    gateway_fleet_options options = makeOverload(6, 2.0);
    options.load.accounts = makeAccounts(greedy, 10);
    const request_log log = runUntilEndOfSpan(options);
    std::vector<double> onTime;
    std::vector<double> answered;
    for (std::size_t i = 0; i < greedy.size(); ++i) {
        const caller_outcomes outcomes = outcomesOfAccount(log, i);
        onTime.push_back(static_cast<double>(outcomes.onTime));
        answered.push_back(static_cast<double>(outcomes.servedAtOnce));
    }
    EXPECT_GE(fairnessIndex(onTime), 0.95);
    EXPECT_GE(fairnessIndex(answered), 0.95);
}
