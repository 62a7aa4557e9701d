#include <carawayloft/fleet/regrouping_balance.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

const time_point start{std::chrono::hours(1)};
constexpr duration interval{50};
const regrouping_direction toLarge{smallModel, largeModel};
const regrouping_direction toSmall{largeModel, smallModel};

/** Regroups whenever that is worth its cost; counts how often. */
class regrouping_loop
{
public:
    explicit regrouping_loop(double cost)
        : m_cost(cost)
    {
    }

    /** @p demand is positive while groups of the large model would bring more than those of the small one. */
    void advance(double demand)
    {
        m_now += interval;
        const regrouping_direction &direction = m_isLarge ? toSmall : toLarge;
        m_balance.record({{direction, m_isLarge ? -demand : demand}}, m_now);
        if (m_balance.isWorth(direction, m_cost, m_now)) {
            m_balance.regrouped(direction, m_now);
            m_isLarge = !m_isLarge;
            ++m_count;
        }
    }

    int count() const
    {
        return m_count;
    }
    duration elapsed() const
    {
        return std::chrono::duration_cast<duration>(m_now - start);
    }

private:
    regrouping_balance m_balance;
    time_point m_now = start;
    double m_cost;
    bool m_isLarge = false;
    int m_count = 0;
};

} // namespace

TEST(RegroupingBalance, IsWorthItsCostOnceAsMuchWasMissed)
{
    for (const double cost : {0.5, 2.0, 8.0}) {
        regrouping_loop loop(cost);
        while (loop.count() == 0 && loop.elapsed() < duration(60'000)) {
            loop.advance(0.5);
        }
        EXPECT_NEAR(static_cast<double>(loop.elapsed().count()), 1'000.0 * cost / 0.5, 200.0);
    }
}

// Guards against groups that are closed and formed in turn by a demand that changes faster than that pays.
TEST(RegroupingBalance, AWaveCausesOneRegroupingAtMost)
{
    for (const double cost : {0.0, 0.1, 1.0, 4.0}) {
        regrouping_loop loop(cost);
        while (loop.elapsed() < duration(130'000)) {
            const double seconds = std::chrono::duration<double>(loop.elapsed()).count();
            loop.advance(0.55 * std::sin(2.0 * std::numbers::pi * seconds / 13.0));
        }
        EXPECT_LE(loop.count(), 1) << "cost " << cost;
    }
}

// Guards against a demand that has changed for good and is taken for a wave.
TEST(RegroupingBalance, ALastingReversalIsFollowed)
{
    regrouping_loop loop(0.5);
    while (loop.elapsed() < duration(5'000)) {
        loop.advance(0.5);
    }
    EXPECT_EQ(loop.count(), 1);
    while (loop.elapsed() < duration(17'000)) {
        loop.advance(-0.5);
    }
    EXPECT_EQ(loop.count(), 2);
}

TEST(RegroupingBalance, APossibilityThatWasGoneStartsAgain)
{
    regrouping_balance balance;
    time_point now = start;
    for (int i = 0; i < 40; ++i) {
        balance.record({{toLarge, 1.0}}, now += interval);
    }
    EXPECT_TRUE(balance.isWorth(toLarge, 1.0, now));
    balance.record({}, now += interval);
    balance.record({{toLarge, 1.0}}, now += interval);
    EXPECT_FALSE(balance.isWorth(toLarge, 1.0, now));
}

// Guards against a pause of the controller that counts as time in which the demand was seen.
TEST(RegroupingBalance, ALongPauseCountsAsAShortOne)
{
    regrouping_balance balance;
    balance.record({{toLarge, 1.0}}, start);
    balance.record({{toLarge, 1.0}}, start + duration(30'000));
    EXPECT_FALSE(balance.isWorth(toLarge, 2.0, start + duration(30'000)));
}
