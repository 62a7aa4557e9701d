#include <carawayloft/gateway/crash_witness.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static const service_id service("drafting-models");
static const backend_id backend("b-1");
static const time_point start(std::chrono::hours(1));

static std::vector<request_trait> traitsOf(const std::string &request, const std::string &part)
{
    return {request_trait("request:" + request), request_trait("part:" + part)};
}

TEST(CrashWitness, ReportsEveryExposureSeveralTimesAndThenNoMore)
{
    crash_witness witness;
    witness.recordExposure(backend, service, traitsOf("1", "a"), start);
    witness.recordExposure(backend, service, traitsOf("2", "b"), start + duration(10));
    int reports = 0;
    for (; reports < 100; ++reports) {
        const auto exposures = witness.takeExposures(start + duration(50));
        if (exposures.empty()) {
            break;
        }
        ASSERT_EQ(exposures.size(), 1U);
        EXPECT_EQ(exposures.front().requests.size(), 2U);
        EXPECT_EQ(exposures.front().age, duration(50));
    }
    EXPECT_GT(reports, 2);
    EXPECT_LT(reports, 20);
    witness.reportAgain();
    EXPECT_EQ(witness.takeExposures(start + duration(1'000)).size(), 1U);
}

TEST(CrashWitness, ASuspectThatServersHaveJustSurvivedHereIsNoSuspect)
{
    crash_witness witness;
    witness.setSuspects({{service, request_trait("part:a")}});
    EXPECT_TRUE(witness.isSuspect(service, traitsOf("1", "a"), start));
    EXPECT_FALSE(witness.isSuspect(service, traitsOf("1", "b"), start));
    EXPECT_FALSE(witness.isSuspect(service_id("other"), traitsOf("1", "a"), start));
    witness.recordSurvival(service, traitsOf("2", "a"), start);
    EXPECT_FALSE(witness.isSuspect(service, traitsOf("1", "a"), start));
    ASSERT_EQ(witness.survivals(start + duration(70)).size(), 1U);
    EXPECT_EQ(witness.survivals(start + duration(70)).front().age, duration(70));
    EXPECT_TRUE(witness.isSuspect(service, traitsOf("1", "a"), start + duration(60'000)));
}

TEST(CrashWitness, RemembersALimitedNumberOfExposuresWhateverCallersSend)
{
    crash_witness witness;
    for (int i = 0; i < 1'000; ++i) {
        witness.recordExposure(backend_id("b" + std::to_string(i % 100)), service, traitsOf(std::to_string(i), std::to_string(i)), start);
    }
    std::size_t requests = 0;
    for (const crash_exposure &each : witness.takeExposures(start)) {
        requests += each.requests.size();
    }
    EXPECT_LE(requests, 512U);
}

TEST(CrashWitness, KeepsRecentSurvivalsWhileCallersInventTraits)
{
    crash_witness witness;
    witness.setSuspects({{service, request_trait("part:a")}});
    witness.recordSurvival(service, traitsOf("0", "a"), start);
    for (int i = 0; i < 1'000; ++i) {
        witness.recordSurvival(service, traitsOf(std::to_string(i), "x" + std::to_string(i)), start);
    }
    EXPECT_FALSE(witness.isSuspect(service, traitsOf("1", "a"), start));
}
