#include <carawayloft/placement/lease_registry.h>

#include "support/fleet_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using test_support::fleet_builder;

static fleet_builder makeFleet()
{
    fleet_builder fleet(1);
    fleet.addHost("h1", "a", "f1");
    fleet.addGroup({"h1"});
    return fleet;
}

TEST(LeaseRegistry, GrantsTheEpochToTheLeadOfAnActiveGroup)
{
    fleet_builder fleet = makeFleet();
    EXPECT_EQ(fleet.renew("h1").front().epoch, fleet.fleet().groups().begin()->second.epoch);
    EXPECT_FALSE(fleet.leases().isLeaseExpired(host_id("h1"), fleet.now()));
    EXPECT_TRUE(fleet.leases().isLeaseExpired(host_id("h1"), fleet.now() + grantorLeaseTime(controlLeaseLength)));
}

TEST(LeaseRegistry, GrantsNothingInAZoneThatIsOut)
{
    fleet_builder fleet = makeFleet();
    fleet.apply(put_zone{{availability_zone_id("a"), zone_state::Out}});
    EXPECT_EQ(fleet.renew("h1").front().epoch, group_epoch());
}

TEST(LeaseRegistry, GrantsNothingToALeavingHostOrAnEarlierRun)
{
    fleet_builder fleet = makeFleet();
    fleet.addHost("h1", "a", "f1", true);
    EXPECT_EQ(fleet.renew("h1").front().epoch, group_epoch());
    fleet_builder second = makeFleet();
    lease_registry leases;
    lease_renewal renewal;
    renewal.host = host_id("h1");
    renewal.agentIncarnation = incarnation(99);
    renewal.epoch = second.fleet().groups().begin()->second.epoch;
    EXPECT_EQ(leases.step(renewal_received{renewal, second.fleet(), true}, second.now()).front().epoch, group_epoch());
}

TEST(LeaseRegistry, GrantsNothingWhileItMayNotBeTheOnlyLeader)
{
    fleet_builder fleet = makeFleet();
    lease_registry leases;
    lease_renewal renewal;
    renewal.host = host_id("h1");
    renewal.agentIncarnation = incarnation(1);
    renewal.epoch = fleet.fleet().groups().begin()->second.epoch;
    EXPECT_EQ(leases.step(renewal_received{renewal, fleet.fleet(), false}, fleet.now()).front().epoch, group_epoch());
}

TEST(LeaseRegistry, KnowsAMemberThroughItsLead)
{
    fleet_builder fleet(2);
    fleet.addHost("h1", "a", "f1");
    fleet.addHost("h2", "a", "f1");
    fleet.addGroup({"h1", "h2"});
    fleet.renew("h1");
    EXPECT_TRUE(fleet.leases().isLive(host_id("h2"), fleet.fleet(), fleet.now()));
    fleet.renew("h1", 0, {"h2"});
    EXPECT_FALSE(fleet.leases().isLive(host_id("h2"), fleet.fleet(), fleet.now()));
    EXPECT_FALSE(fleet.leases().isServing(fleet.fleet().groups().begin()->second, fleet.now()));
}
