#include <carawayloft/gateway/load_shedder.h>

#include <carawayloft/fleet/group_goodput.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

model_traffic makeDemand(double recent, double returning)
{
    return {largeModel, recent, 1'000.0, 100.0, engine_duration(300), recent, returning, 0.0};
}

class LoadShedder : public ::testing::Test
{
protected:
    admission_shares sharesFor(double recent, double returning, double groups)
    {
        shedder.setDemand({makeDemand(recent, returning)});
        return shedder.sharesFor(engine, engine.models.front(), groups);
    }

    engine_profile engine = makeEngine();
    double capacity = 0.0; /**< Requests per second that one group is sent at most. */
    load_shedder shedder;

    LoadShedder()
    {
        const double demand = 1'000.0; // Far more than one group answers.
        capacity = demand * sharesFor(demand, 0.0, 1.0).fresh;
    }
};

} // namespace

TEST_F(LoadShedder, AdmitsEverythingWhileTheDemandIsUnknown)
{
    const admission_shares shares = load_shedder().sharesFor(engine, engine.models.front(), 1.0);
    EXPECT_EQ(shares.fresh, 1.0);
    EXPECT_EQ(shares.returning, 1.0);
}

TEST_F(LoadShedder, AdmitsEverythingWithinTheCapacity)
{
    const admission_shares shares = sharesFor(0.7 * capacity, 0.3 * capacity, 1.0);
    EXPECT_EQ(shares.fresh, 1.0);
    EXPECT_NEAR(shares.returning, 1.0, 1e-9);
}

TEST_F(LoadShedder, AdmitsTheFractionThatTheGroupsAnswerInTime)
{
    EXPECT_NEAR(sharesFor(4.0 * capacity, 0.0, 2.0).fresh, 0.5, 1e-9);
}

TEST_F(LoadShedder, TheCapacityOfAGroupIsNearThePeakOfItsGoodput)
{
    const double peak = group_goodput(engine, engine.models.front(), makeDemand(1.0, 0.0)).peakRate();
    EXPECT_GE(capacity, peak);
    EXPECT_LT(capacity, 1.2 * peak);
}

TEST_F(LoadShedder, AdmitsItsFractionEvenlyOverTime)
{
    shedder.setDemand({makeDemand(4.0 * capacity, 0.0)});
    for (int period = 0; period < 10; ++period) {
        int admitted = 0;
        for (int request = 0; request < 4; ++request) {
            admitted += shedder.admit(engine, engine.models.front(), 1.0, false) ? 1 : 0;
        }
        EXPECT_LE(admitted, 2);
        EXPECT_GE(period == 0 ? 1 : admitted, 1);
    }
}

TEST_F(LoadShedder, FirstAttemptsGoBeforeReturningRequests)
{
    EXPECT_EQ(sharesFor(2.0 * capacity, capacity, 1.0).returning, 0.0);
    const admission_shares shares = sharesFor(capacity, capacity, 1.0);
    EXPECT_EQ(shares.fresh, 1.0);
    EXPECT_GT(shares.returning, 0.0);
    EXPECT_LT(shares.returning, 1.0);
}
