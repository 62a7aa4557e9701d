#include <carawayloft/gateway/load_shedder.h>

#include <carawayloft/fleet/group_goodput.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

model_traffic makeDemand(double recent, double returning)
{
    return {largeModel, recent, 1'000.0, 100.0, engine_duration(300), recent, returning};
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
    double capacity = group_goodput(engine, engine.models.front(), makeDemand(1.0, 0.0)).peakRate();
    load_shedder shedder;
};

} // namespace

TEST_F(LoadShedder, AdmitsEverythingWhileTheDemandIsUnknown)
{
    const admission_shares shares = shedder.sharesFor(engine, engine.models.front(), 1.0);
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

TEST_F(LoadShedder, FirstAttemptsGoBeforeReturningRequests)
{
    EXPECT_EQ(sharesFor(2.0 * capacity, capacity, 1.0).returning, 0.0);
    const admission_shares shares = sharesFor(capacity, capacity, 1.5);
    EXPECT_EQ(shares.fresh, 1.0);
    EXPECT_NEAR(shares.returning, 0.5, 1e-9);
}
