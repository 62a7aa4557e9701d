#include <carawayloft/placement/availability_meter.h>

#include "support/fleet_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using test_support::fleet_builder;

TEST(AvailabilityMeter, CountDowntimeStrandedHostsAndServiceDuringAMove)
{
    fleet_builder fleet(1);
    fleet.addHost("h1", "a", "f1");
    fleet.addHost("h2", "b", "f1");
    fleet.addGroup({"h1"});
    availability_meter measured;
    fleet.renewAll();
    measured.step(fleet.view(), fleet.now());
    fleet.pass(duration(1'000));
    fleet.renew("h2");
    measured.step(fleet.view(), fleet.now());
    fleet.apply(put_zone{{availability_zone_id("b"), zone_state::Out}});
    fleet.pass(duration(2'000));
    fleet.renew("h2");
    measured.step(fleet.view(), fleet.now());
    const service_availability &service = measured.services().at(fleet_builder::model());
    EXPECT_EQ(service.groups, 1U);
    EXPECT_EQ(service.serving, 0U);
    EXPECT_EQ(service.stranded, 1U);
    EXPECT_EQ(service.groupDowntime, duration(2'000));
    EXPECT_EQ(service.zoneMoveTime, duration(2'000));
    EXPECT_EQ(service.zoneMoveServedTime, duration(0));
}
