#include <carawayloft/gateway/limit_observations.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static const backend_id backend("b-1");
static const time_point start(std::chrono::hours(1));

TEST(LimitObservations, ALimitHoldsFromTheAnswerThatNamesIt)
{
    limit_observations observations;
    EXPECT_TRUE(observations.record(backend, 6.0, 0.0, start));
    EXPECT_FALSE(observations.record(backend, 6.0, 0.0, start + duration(10)));
    EXPECT_EQ(observations.limitOf(backend, 0.0, start + duration(60'000)), 6.0);
    ASSERT_EQ(observations.report(start + duration(30)).size(), 1U);
    EXPECT_EQ(observations.report(start + duration(30)).front().age, duration(20));
}

TEST(LimitObservations, WhatControlHasPublishedIsNotReportedAgain)
{
    limit_observations observations;
    observations.record(backend, 6.0, 0.0, start);
    observations.limitPublished(backend, 6.0, start);
    EXPECT_TRUE(observations.report(start).empty());
    EXPECT_EQ(observations.limitOf(backend, 6.0, start), 6.0);
    EXPECT_FALSE(observations.record(backend, 6.1, 6.0, start));
    EXPECT_TRUE(observations.report(start).empty());
}

TEST(LimitObservations, AnAnswerWithoutALimitLiftsThePublishedOne)
{
    limit_observations observations;
    EXPECT_TRUE(observations.record(backend, std::nullopt, 6.0, start));
    EXPECT_EQ(observations.limitOf(backend, 6.0, start), 0.0);
    EXPECT_EQ(observations.report(start).front().requestsPerSecond, 0.0);
}

TEST(LimitObservations, YieldsToAnotherLimitThatControlPublishesLater)
{
    limit_observations observations;
    observations.record(backend, 6.0, 0.0, start);
    observations.limitPublished(backend, 3.0, start + duration(100));
    EXPECT_EQ(observations.limitOf(backend, 3.0, start + duration(200)), 6.0); // Control may learn of it yet.
    EXPECT_EQ(observations.limitOf(backend, 3.0, start + duration(2'000)), 3.0);
    EXPECT_TRUE(observations.report(start + duration(2'000)).empty());
}

TEST(LimitObservations, AServerThatTakesNothingIsStillAskedNowAndThen)
{
    limit_observations observations;
    observations.record(backend, 0.0, 0.0, start);
    EXPECT_GT(observations.limitOf(backend, 0.0, start), 0.0);
    EXPECT_LT(observations.limitOf(backend, 0.0, start), 1.0);
}
