#include <carawayloft/gateway/group_peak_rates.h>

#include <carawayloft/fleet/group_goodput.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

static const model_traffic traffic{largeModel, 50.0, 1'000.0, 100.0, engine_duration(300), 50.0, 0.0, 0.0};

TEST(GroupPeakRates, ThePeakRateIsThatOfTheGoodputUnderTheTraffic)
{
    const engine_profile engine = makeEngine();
    group_peak_rates rates;
    EXPECT_EQ(rates.peakRate(engine, engine.models.front()), std::nullopt);
    rates.setTraffic({traffic});
    EXPECT_EQ(rates.peakRate(engine, engine.models.front()), group_goodput(engine, engine.models.front(), traffic).peakRate());
    EXPECT_EQ(rates.peakRate(engine, engine.models.back()), std::nullopt);
}
