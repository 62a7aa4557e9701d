#include <carawayloft/gateway/traffic_meter.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static const model_id model("large");
static const time_point start{std::chrono::hours(1)};

TEST(TrafficMeter, AveragesTheTrafficOfAModel)
{
    traffic_meter meter;
    meter.count(model, 1'000, 100, engine_duration(200), start);
    meter.count(model, 2'000, 300, engine_duration(400), start + duration(100));
    const auto averages = meter.averages(start + duration(200));
    ASSERT_EQ(averages.size(), 1U);
    EXPECT_EQ(averages.front().model, model);
    EXPECT_DOUBLE_EQ(averages.front().promptTokens, 1'500.0);
    EXPECT_DOUBLE_EQ(averages.front().answerTokens, 200.0);
    EXPECT_EQ(averages.front().objective, engine_duration(300));
    EXPECT_GT(averages.front().requestsPerSecond, 0.0);
}

TEST(TrafficMeter, TellsRecentAndReturningRequestsFromAll)
{
    traffic_meter meter;
    meter.count(model, 1'000, 100, engine_duration(200), start);
    meter.count(model, 1'000, 100, engine_duration(200), start + duration(5'000));
    meter.countReturning(model, start + duration(5'000));
    const model_traffic traffic = meter.averages(start + duration(5'400)).front();
    EXPECT_DOUBLE_EQ(traffic.requestsPerSecond, 0.25);
    EXPECT_DOUBLE_EQ(traffic.recentRequestsPerSecond, 2.0); // Over half a second.
    EXPECT_DOUBLE_EQ(traffic.returningPerSecond, 2.0);
    EXPECT_DOUBLE_EQ(meter.averages(start + duration(5'500)).front().recentRequestsPerSecond, 0.0);
}

TEST(TrafficMeter, ForgetsOldRequests)
{
    traffic_meter meter;
    meter.count(model, 1'000, 100, engine_duration(200), start);
    EXPECT_TRUE(meter.averages(start + duration(60'000)).empty());
}
