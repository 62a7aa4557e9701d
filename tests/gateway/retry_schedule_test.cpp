#include <carawayloft/gateway/retry_schedule.h>

#include <gtest/gtest.h>

#include <set>

using namespace carawayloft;

static const time_point start{std::chrono::hours(1)};
static constexpr duration timeLeft{6'000};

// Guards against rejected callers that return together and overload the groups again.
TEST(RetrySchedule, CallersRejectedTogetherReturnOneByOneAtTheFreeRate)
{
    retry_schedule schedule(1);
    for (int i = 0; i < 10; ++i) {
        const retry_time named = schedule.next(10.0, timeLeft, duration(0), start);
        EXPECT_TRUE(named.hasSlot);
        EXPECT_EQ(named.after, duration(300 + 100 * i));
    }
}

TEST(RetrySchedule, AHighRateIsUsedInFull)
{
    retry_schedule schedule(1);
    duration last{0};
    for (int i = 0; i < 3'000; ++i) {
        last = schedule.next(3'000.0, timeLeft, duration(0), start).after;
    }
    EXPECT_NEAR(static_cast<double>(last.count()), 1'300.0, 2.0);
}

// Guards against times that a caller does not wait for.
TEST(RetrySchedule, NamesAtMostAThirdOfTheTimeThatTheCallerHasLeft)
{
    retry_schedule schedule(1);
    for (int i = 0; i < 100; ++i) {
        for (const std::optional<double> rate : {std::optional<double>(), std::optional(0.0), std::optional(5.0)}) {
            for (const int left : {0, 30, 600, 3'000}) {
                const retry_time named = schedule.next(rate, duration(left), duration(0), start);
                EXPECT_LE(named.after, std::max(duration(left / 3), duration(1)));
                EXPECT_GT(named.after.count(), 0);
            }
        }
    }
}

TEST(RetrySchedule, ACallerWithoutASlotTakesNone)
{
    retry_schedule schedule(1);
    EXPECT_FALSE(schedule.next(0.0, timeLeft, duration(0), start).hasSlot);
    for (int i = 0; i < 18; ++i) {
        EXPECT_TRUE(schedule.next(10.0, timeLeft, duration(0), start).hasSlot) << i;
    }
    EXPECT_FALSE(schedule.next(10.0, timeLeft, duration(0), start).hasSlot);
    EXPECT_TRUE(schedule.next(10.0, timeLeft, duration(0), start + duration(1'000)).hasSlot);
}

TEST(RetrySchedule, CallersWithoutASlotAreSpread)
{
    retry_schedule schedule(1);
    std::set<duration> times;
    for (int i = 0; i < 20; ++i) {
        times.insert(schedule.next(0.0, timeLeft, duration(0), start).after);
    }
    EXPECT_GT(times.size(), 10U);
}

// Guards against a schedule that stays empty for long after one slot at a very low rate.
TEST(RetrySchedule, ALowRateDoesNotBlockLaterSlots)
{
    retry_schedule schedule(1);
    EXPECT_TRUE(schedule.next(1e-9, timeLeft, duration(0), start).hasSlot);
    EXPECT_TRUE(schedule.next(10.0, timeLeft, duration(0), start + timeLeft).hasSlot);
}
