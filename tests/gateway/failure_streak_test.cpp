#include <carawayloft/gateway/failure_streak.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static const time_point start(std::chrono::hours(1));

// Guards against a server that gets nothing more because of one request that fails everywhere.
TEST(FailureStreak, OneFailureIsNotEnough)
{
    failure_streak streak;
    EXPECT_FALSE(streak.isFailing(0, start));
    streak.record(true, start);
    EXPECT_FALSE(streak.isFailing(0, start));
    streak.record(false, start);
    streak.record(true, start);
    EXPECT_FALSE(streak.isFailing(0, start));
}

// Guards against a server that is tried by every caller once its time is over, and one that is tried as often as before.
TEST(FailureStreak, TrialsAreSingleAndGrowRarer)
{
    failure_streak streak;
    streak.record(true, start);
    time_point now = start;
    duration last{0};
    for (int i = 0; i < 8; ++i) {
        streak.record(true, now);
        const time_point failedAt = now;
        while (streak.isFailing(0, now)) {
            now += duration(10);
        }
        EXPECT_TRUE(streak.isFailing(1, now));
        const auto wait = std::chrono::duration_cast<duration>(now - failedAt);
        EXPECT_GE(wait, last);
        last = wait;
    }
    EXPECT_EQ(last, duration(32'000));
}

// Guards against a server that has recovered and still gets nothing.
TEST(FailureStreak, OneSuccessEndsIt)
{
    failure_streak streak;
    for (int i = 0; i < 10; ++i) {
        streak.record(true, start);
    }
    EXPECT_TRUE(streak.isFailing(0, start));
    streak.record(false, start);
    EXPECT_FALSE(streak.isFailing(3, start));
}
