#include <carawayloft/gateway/admission_shares.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

#include <limits>

using namespace carawayloft;
using namespace carawayloft::test_support;

static class_demand makeDemand(std::uint32_t rank, const std::string &account, double requestsPerSecond, std::uint32_t otherAccounts = 0)
{
    return {largeModel, request_rank(rank), client_account_id(account), requestsPerSecond, otherAccounts};
}

static admission_shares makeShares(double capacity, std::vector<class_demand> demand, double returningPerSecond)
{
    return {capacity, std::make_shared<const admission_demand>(std::move(demand)), returningPerSecond};
}

static double shareOf(const admission_shares &shares, std::uint32_t rank, const std::string &account)
{
    return shares.of(request_rank(rank), client_account_id(account));
}

TEST(AdmissionShares, AdmitsEverythingWithinTheCapacity)
{
    const admission_shares shares = makeShares(100.0, {makeDemand(0, "a", 40.0), makeDemand(1, "b", 30.0)}, 30.0);
    EXPECT_EQ(shareOf(shares, 0, "a"), 1.0);
    EXPECT_EQ(shareOf(shares, 1, "b"), 1.0);
    EXPECT_EQ(shares.returning(), 1.0);
}

// Guards against an admitted load beyond the capacity, and against unequal shares of equal accounts.
TEST(AdmissionShares, EvenAccountsOfOneRankGetTheFractionThatTheGroupsAnswerInTime)
{
    for (const double load : {1.3, 1.5, 2.0, 3.0}) {
        const admission_shares shares = makeShares(100.0, {makeDemand(0, "a", load * 50.0), makeDemand(0, "b", load * 50.0)}, 10.0);
        EXPECT_NEAR(shareOf(shares, 0, "a"), 1.0 / load, 1e-9);
        EXPECT_NEAR(shareOf(shares, 0, "b"), 1.0 / load, 1e-9);
        EXPECT_NEAR(shares.returning(), 0.0, 1e-9);
    }
}

TEST(AdmissionShares, ReturningRequestsGetWhatFirstAttemptsLeave)
{
    const admission_shares shares = makeShares(100.0, {makeDemand(0, "a", 80.0)}, 40.0);
    EXPECT_EQ(shareOf(shares, 0, "a"), 1.0);
    EXPECT_NEAR(shares.returning(), 0.5, 1e-9);
}

// Guards against a rank that is admitted behind a lower one, and against one that is not admitted at all.
TEST(AdmissionShares, RanksGoInOrderWithAFloor)
{
    for (const double load : {1.1, 1.5, 3.0, 30.0}) {
        const double each = load * 100.0 / 3.0;
        const admission_shares shares = makeShares(100.0, {makeDemand(2, "a", each), makeDemand(0, "a", each), makeDemand(1, "a", each)}, 0.0);
        EXPECT_GE(shareOf(shares, 0, "a"), shareOf(shares, 1, "a"));
        EXPECT_GE(shareOf(shares, 1, "a"), shareOf(shares, 2, "a"));
        EXPECT_GE(shareOf(shares, 2, "a"), 0.25 / load);
        EXPECT_NEAR((shareOf(shares, 0, "a") + shareOf(shares, 1, "a") + shareOf(shares, 2, "a")) * each, 100.0, 1e-6);
    }
}

// Guards against one account that asks for half of everything: the others lose nothing.
TEST(AdmissionShares, AnAccountBelowItsFairShareLosesNothing)
{
    std::vector<class_demand> demand{makeDemand(0, "greedy", 75.0)};
    for (int i = 0; i < 5; ++i) {
        demand.push_back(makeDemand(0, "a" + std::to_string(i), 15.0));
    }
    const admission_shares shares = makeShares(100.0, demand, 0.0);
    for (int i = 0; i < 5; ++i) {
        EXPECT_NEAR(shareOf(shares, 0, "a" + std::to_string(i)), 1.0, 1e-9);
    }
    EXPECT_NEAR(shareOf(shares, 0, "greedy"), 25.0 / 75.0, 1e-9);
}

// Guards against an account that loses because its counted demand is above its fair rate by chance.
TEST(AdmissionShares, AnAccountThatExceedsItsFairRateByChanceLosesNothing)
{
    std::vector<class_demand> demand{makeDemand(0, "greedy", 60.0), makeDemand(0, "a", 20.0)};
    for (int i = 0; i < 4; ++i) {
        demand.push_back(makeDemand(0, "b" + std::to_string(i), 16.0));
    }
    const admission_shares shares = makeShares(98.0, demand, 0.0); // The fair rate is 17.
    EXPECT_EQ(shareOf(shares, 0, "a"), 1.0);
    EXPECT_EQ(shareOf(shares, 0, "b0"), 1.0);
    EXPECT_NEAR(shareOf(shares, 0, "greedy") * 60.0, 14.0, 1e-9);
}

// Guards against accounts below their fair share that lose while the capacity is reduced until a backlog is read.
TEST(AdmissionShares, AnAccountBelowItsUsualFairShareLosesNothingWhileTheCapacityIsReduced)
{
    std::vector<class_demand> demand{makeDemand(0, "greedy", 150.0), makeDemand(0, "other", 150.0)};
    for (int i = 0; i < 5; ++i) {
        demand.push_back(makeDemand(0, "a" + std::to_string(i), 100.0));
    }
    const auto together = std::make_shared<const admission_demand>(demand);
    const admission_shares usual(750.0, together, 0.0, 750.0);
    const admission_shares reduced(600.0, together, 0.0, 750.0);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(shareOf(usual, 0, "a" + std::to_string(i)), 1.0);
        EXPECT_EQ(shareOf(reduced, 0, "a" + std::to_string(i)), 1.0);
    }
    EXPECT_NEAR(shareOf(reduced, 0, "greedy"), 50.0 / 150.0, 1e-9);
    EXPECT_NEAR(shareOf(reduced, 0, "other"), 50.0 / 150.0, 1e-9);
}

// Guards against shares that admit more than the capacity because accounts within their fair share go first.
TEST(AdmissionShares, TheAdmittedSumStaysWithinTheCapacity)
{
    for (const double capacity : {5.0, 20.0, 60.0, 150.0}) {
        for (const double usual : {0.0, 60.0, 300.0}) {
            std::vector<class_demand> demand;
            for (int i = 0; i < 12; ++i) {
                demand.push_back(makeDemand(0, "a" + std::to_string(i), 0.5 * (i + 1) * (i + 1)));
            }
            const admission_shares shares(capacity, std::make_shared<const admission_demand>(demand), 0.0, usual);
            double admitted = 0.0;
            for (const class_demand &each : demand) {
                admitted += each.requestsPerSecond * shareOf(shares, 0, each.account.value());
            }
            EXPECT_NEAR(admitted, capacity, 1e-6) << capacity << " of " << usual;
        }
    }
}

// Guards against starvation of an account that asks for far more than its part.
TEST(AdmissionShares, NoAccountFallsBelowTheFloor)
{
    std::vector<class_demand> demand{makeDemand(0, "greedy", 1'000.0)};
    for (int i = 0; i < 20; ++i) {
        demand.push_back(makeDemand(0, "a" + std::to_string(i), 10.0));
    }
    const admission_shares shares = makeShares(100.0, demand, 0.0);
    const double overall = 100.0 / 1'200.0;
    EXPECT_NEAR(shareOf(shares, 0, "greedy"), 0.3 * overall, 1e-9);
    double admitted = 1'000.0 * shareOf(shares, 0, "greedy");
    for (int i = 0; i < 20; ++i) {
        admitted += 10.0 * shareOf(shares, 0, "a" + std::to_string(i));
    }
    EXPECT_NEAR(admitted, 100.0, 1e-6);
}

// Guards against an entry for many small accounts that is held to the part of one.
TEST(AdmissionShares, TheSumOverOtherAccountsCountsAsManyAccounts)
{
    const admission_shares shares = makeShares(100.0, {makeDemand(0, "a", 100.0), makeDemand(0, "", 100.0, 9)}, 0.0);
    // Half of everything is admitted. An equal part would be 10 for each account, but the floor of the first one is 0.3 * 0.5 * 100.
    EXPECT_NEAR(shareOf(shares, 0, "a"), 0.15, 1e-9);
    EXPECT_NEAR(shareOf(shares, 0, "unlisted"), 0.85, 1e-9);
}

TEST(AdmissionShares, AnAccountWithoutDemandSoFarIsTreatedLikeTheSmallest)
{
    const admission_shares shares = makeShares(100.0, {makeDemand(0, "a", 190.0), makeDemand(0, "b", 10.0)}, 0.0);
    EXPECT_EQ(shareOf(shares, 0, "new"), 1.0);
    EXPECT_NEAR(shareOf(shares, 7, "a"), 0.5, 1e-9);
}

TEST(AdmissionShares, StaysWithinBoundsForImpossibleRates)
{
    const double infinite = std::numeric_limits<double>::infinity();
    for (const double capacity : {0.0, 1e-9, 100.0, 1e12}) {
        const admission_shares shares
            = makeShares(capacity, {makeDemand(0, "a", infinite), makeDemand(0, "b", -5.0), makeDemand(1, "a", 1e-300), makeDemand(1, "c", 1e9)}, 0.0);
        for (const char *account : {"a", "b", "c", "d"}) {
            for (const std::uint32_t rank : {0U, 1U, 2U}) {
                EXPECT_GE(shareOf(shares, rank, account), 0.0);
                EXPECT_LE(shareOf(shares, rank, account), 1.0);
            }
        }
        EXPECT_GE(shares.returning(), 0.0);
        EXPECT_LE(shares.returning(), 1.0);
    }
}
