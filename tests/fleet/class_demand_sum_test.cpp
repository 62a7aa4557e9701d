#include <carawayloft/fleet/class_demand_sum.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

#include <limits>
#include <numeric>

using namespace carawayloft;
using namespace carawayloft::test_support;

static class_demand makeDemand(std::uint32_t rank, const std::string &account, double requestsPerSecond, std::uint32_t otherAccounts = 0)
{
    return {largeModel, request_rank(rank), client_account_id(account), requestsPerSecond, otherAccounts};
}

static double totalOf(const std::vector<class_demand> &entries)
{
    return std::accumulate(entries.begin(), entries.end(), 0.0, [](double sum, const class_demand &each) { return sum + each.requestsPerSecond; });
}

TEST(ClassDemandSum, AddsUpByModelRankAndAccount)
{
    class_demand_sum sum;
    sum.add(makeDemand(0, "a", 1.0));
    sum.add(makeDemand(0, "a", 2.0));
    sum.add(makeDemand(1, "a", 4.0));
    sum.add(makeDemand(0, "b", 8.0));
    class_demand other = makeDemand(0, "a", 16.0);
    other.model = smallModel;
    sum.add(other);
    EXPECT_EQ(sum.entries().size(), 4U);
    EXPECT_DOUBLE_EQ(totalOf(sum.entries()), 31.0);
}

// Guards against grants without bound: with 1,000 accounts 64 keep an entry, and nothing of the demand is lost.
TEST(ClassDemandSum, KeepsTheLargestAccountsAndSumsTheOthers)
{
    class_demand_sum sum;
    for (int i = 0; i < 1'000; ++i) {
        sum.add(makeDemand(static_cast<std::uint32_t>(i % 2), "a" + std::to_string(i), 1.0 + i));
    }
    sum.add(makeDemand(0, "", 7.0, 30));
    const std::vector<class_demand> entries = sum.entries();
    ASSERT_EQ(entries.size(), 66U);
    EXPECT_DOUBLE_EQ(totalOf(entries), 500.0 * 1'001.0 + 7.0);
    for (std::size_t i = 0; i < 64; ++i) {
        EXPECT_EQ(entries[i].otherAccounts, 0U);
        EXPECT_GE(entries[i].requestsPerSecond, 936.0);
    }
    EXPECT_EQ(entries[64].otherAccounts, 468U);
    EXPECT_EQ(entries[65].otherAccounts, 468U);
}

// Guards against requests without a key that are taken for the sum over other accounts.
TEST(ClassDemandSum, RequestsWithoutAnAccountAreNotTheSumOfOthers)
{
    class_demand_sum sum;
    sum.add(makeDemand(0, "", 1.0));
    sum.add(makeDemand(0, "", 2.0, 5));
    EXPECT_EQ(sum.entries().size(), 2U);
}

TEST(ClassDemandSum, IgnoresRatesThatAreNoNumbers)
{
    class_demand_sum sum;
    sum.add(makeDemand(0, "a", std::numeric_limits<double>::quiet_NaN()));
    sum.add(makeDemand(0, "a", std::numeric_limits<double>::infinity()));
    sum.add(makeDemand(0, "a", -1.0));
    EXPECT_TRUE(sum.entries().empty());
}
