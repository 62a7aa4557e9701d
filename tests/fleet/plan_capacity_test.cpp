#include <carawayloft/fleet/plan_capacity.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numbers>

using namespace carawayloft;
using namespace carawayloft::test_support;

static const time_point start{std::chrono::hours(1)};
static constexpr duration interval{250};

// Guards against a plan that differs from that by the published figures although nothing was learned.
TEST(PlanCapacity, PublishedFiguresStayExact)
{
    plan_capacity capacity;
    for (int i = 0; i < 1'000; ++i) {
        capacity.record({{largeModel, 1.0}}, start + i * interval);
    }
    EXPECT_EQ(capacity.factors().at(largeModel), 1.0);
}

// Guards against groups that are closed and formed in turn because the learned factor rises and falls within seconds.
TEST(PlanCapacity, AWaveOfTheFactorMovesItLittle)
{
    plan_capacity capacity;
    double least = 2.0;
    double greatest = 0.0;
    for (int i = 0; i < 800; ++i) {
        const double seconds = 0.25 * i;
        capacity.record({{largeModel, 0.8 + 0.3 * std::sin(2.0 * std::numbers::pi * seconds / 13.0)}}, start + i * interval);
        if (seconds > 100.0) {
            least = std::min(least, capacity.factors().at(largeModel));
            greatest = std::max(greatest, capacity.factors().at(largeModel));
        }
    }
    EXPECT_LT(greatest - least, 0.06);
    EXPECT_NEAR(0.5 * (least + greatest), 0.8, 0.02);
}

TEST(PlanCapacity, ALastingFactorIsReached)
{
    plan_capacity capacity;
    capacity.record({{largeModel, 1.0}}, start);
    for (int i = 0; i < 360; ++i) {
        capacity.record({{largeModel, 0.6}}, start + i * interval);
    }
    EXPECT_NEAR(capacity.factors().at(largeModel), 0.6, 0.03);
}

// Guards against a change of leader that plans by the published figures again.
TEST(PlanCapacity, TheFirstFactorIsTakenAsItIs)
{
    plan_capacity capacity;
    capacity.record({}, start);
    capacity.record({{largeModel, 0.7}}, start + interval);
    EXPECT_DOUBLE_EQ(capacity.factors().at(largeModel), 0.7);
}

TEST(PlanCapacity, AModelThatIsGoneIsForgotten)
{
    plan_capacity capacity;
    capacity.record({{largeModel, 0.7}, {smallModel, 0.9}}, start);
    capacity.record({{smallModel, 0.9}}, start + interval);
    EXPECT_EQ(capacity.factors().count(largeModel), 0U);
}
