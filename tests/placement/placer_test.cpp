#include <carawayloft/placement/placer.h>

#include "support/fleet_builder.h"
#include "support/properties.h"

using namespace carawayloft;
using test_support::fleet_builder;

static placer makePlacer(std::uint32_t loadsAtOnce = 100)
{
    return placer({duration(5'000), duration(3'000), loadsAtOnce});
}

TEST(Placer, FormsGroupsWithinFabricDomainsAndSpreadsThemOverZones)
{
    fleet_builder fleet;
    for (const std::string zone : {"a", "b"}) {
        for (int i = 0; i < 4; ++i) {
            fleet.addHost(zone + std::to_string(i), zone, zone + (i < 2 ? "-f1" : "-f2"));
        }
    }
    fleet.renewAll();
    placer placer = makePlacer(2);
    fleet.place(placer);
    ASSERT_EQ(fleet.fleet().groups().size(), 2U);
    std::set<availability_zone_id> zones;
    for (const auto &[id, group] : fleet.fleet().groups()) {
        const host_record *first = fleet.fleet().host(group.hosts[0]);
        EXPECT_EQ(first->fabricDomain, fleet.fleet().host(group.hosts[1])->fabricDomain);
        zones.insert(first->zone);
    }
    EXPECT_EQ(zones.size(), 2U);
}

TEST(Placer, LoadsWeightsOfNoMoreGroupsAtOnceThanTheStoreBears)
{
    fleet_builder fleet(1);
    for (int i = 0; i < 6; ++i) {
        fleet.addHost("h" + std::to_string(i), "a", "f");
    }
    fleet.renewAll();
    placer placer = makePlacer(2);
    fleet.place(placer);
    EXPECT_EQ(fleet.fleet().groups().size(), 2U);
    for (const auto &[host, record] : fleet.fleet().hosts()) {
        fleet.renew(host.value(), 0, {}, fleet.fleet().groupOf(host) == nullptr);
    }
    fleet.place(placer);
    EXPECT_EQ(fleet.fleet().groups().size(), 2U);
    fleet.renewAll();
    fleet.place(placer);
    EXPECT_EQ(fleet.fleet().groups().size(), 4U);
}

TEST(Placer, CrossesFabricDomainsOnlyAfterWaitingForThem)
{
    fleet_builder fleet;
    fleet.addHost("h1", "a", "f1");
    fleet.addHost("h2", "a", "f2");
    fleet.renewAll();
    placer placer = makePlacer();
    EXPECT_TRUE(fleet.place(placer).empty());
    EXPECT_EQ(fleet.stranded(), 2U);
    fleet.pass(duration(3'000));
    fleet.renewAll();
    EXPECT_EQ(fleet.place(placer).size(), 1U);
    EXPECT_EQ(fleet.stranded(), 0U);
}

TEST(Placer, ReplacesALostMemberFromTheSameFabricDomain)
{
    fleet_builder fleet;
    for (const char *host : {"h1", "h2", "h3"}) {
        fleet.addHost(host, "a", "f1");
    }
    fleet.addHost("h4", "a", "f2");
    const group_id group = fleet.addGroup({"h1", "h2"});
    placer placer = makePlacer();
    fleet.renew("h1", 0, {"h2"});
    fleet.renew("h3");
    fleet.renew("h4");
    EXPECT_TRUE(fleet.place(placer).empty());
    for (int i = 0; i < 6; ++i) {
        fleet.pass(duration(1'000));
        fleet.renew("h1", 0, {"h2"});
        fleet.renew("h3");
        fleet.renew("h4");
    }
    const auto decisions = fleet.place(placer);
    ASSERT_FALSE(decisions.empty());
    const auto &replaced = std::get<replace_member>(decisions[0].change);
    EXPECT_EQ(replaced.joining, host_id("h3"));
    EXPECT_FALSE(decisions[0].reason.empty());
    EXPECT_EQ(fleet.fleet().groups().at(group).hosts[1], host_id("h3"));
}

TEST(Placer, KeepsTheGroupOfASilentLeadUntilItsLeaseHasSurelyEnded)
{
    fleet_builder fleet(1);
    fleet.addHost("h1", "a", "f1");
    fleet.addGroup({"h1"});
    placer placer = makePlacer();
    ASSERT_EQ(fleet.renew("h1").front().epoch, fleet.fleet().groups().begin()->second.epoch);
    fleet.pass(duration(2'900));
    EXPECT_TRUE(fleet.place(placer).empty());
    fleet.pass(grantorLeaseTime(controlLeaseLength));
    const auto decisions = fleet.place(placer);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<dissolve_group>(decisions[0].change));
}

TEST(Placer, DrainsAGroupOfAZoneThatIsOutAndDissolvesItWhenItHasFinished)
{
    fleet_builder fleet(1);
    fleet.addHost("h1", "a", "f1");
    fleet.addGroup({"h1"});
    placer placer = makePlacer();
    fleet.renew("h1", 0);
    fleet.apply(put_zone{{availability_zone_id("a"), zone_state::Out}});
    ASSERT_EQ(fleet.place(placer).size(), 1U);
    // The last report is older than the drain, so that it reports nothing running proves nothing.
    EXPECT_TRUE(fleet.place(placer).empty());
    fleet.renew("h1", 1);
    EXPECT_TRUE(fleet.place(placer).empty());
    fleet.renew("h1", 0);
    ASSERT_EQ(fleet.place(placer).size(), 1U);
    EXPECT_TRUE(fleet.fleet().groups().empty());
    fleet.renew("h1");
    EXPECT_TRUE(fleet.place(placer).empty());
}

TEST(Placer, DecidesNothingRightAfterANewLeaderBegan)
{
    fleet_builder fleet(1);
    lease_registry leases;
    leases.step(leadership_acquired{}, fleet.now());
    fleet.addHost("h1", "a", "f1");
    placer placer = makePlacer();
    EXPECT_TRUE(placer.step({fleet.fleet(), leases}, fleet.now() + duration(3'000)).empty());
}

/** The naive version: a full search over ways to take whole groups out of the fabric domains of each zone. */
static std::size_t mostGroups(const std::map<std::string, std::map<std::string, std::size_t>> &hosts, std::size_t size)
{
    std::size_t groups = 0;
    for (const auto &[zone, domains] : hosts) {
        std::size_t total = 0;
        for (const auto &[domain, count] : domains) {
            total += count;
        }
        groups += total / size;
    }
    return groups;
}

RC_GTEST_PROP(PlacerProperty, StrandsNoMoreHostsThanAFullSearchWould, ())
{
    const auto size = static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
    fleet_builder fleet(size);
    std::map<std::string, std::map<std::string, std::size_t>> hosts;
    const int count = *rc::gen::inRange(0, 24);
    for (int i = 0; i < count; ++i) {
        const std::string zone = "z" + std::to_string(*rc::gen::inRange(0, 3));
        const std::string domain = zone + "-f" + std::to_string(*rc::gen::inRange(0, 3));
        fleet.addHost("h" + std::to_string(i), zone, domain);
        ++hosts[zone][domain];
    }
    placer placer = makePlacer();
    for (int round = 0; round < 3; ++round) {
        fleet.renewAll();
        fleet.place(placer);
        fleet.pass(duration(3'000));
    }
    RC_ASSERT(!fleet.refused());
    RC_ASSERT(fleet.fleet().groups().size() == mostGroups(hosts, size));
    RC_ASSERT(fleet.stranded() == static_cast<std::size_t>(count) - fleet.fleet().groups().size() * size);
    // Within a fabric domain as far as that is possible.
    std::size_t within = 0;
    std::size_t possible = 0;
    for (const auto &[id, group] : fleet.fleet().groups()) {
        std::set<fabric_domain_id> domains;
        for (const host_id &host : group.hosts) {
            domains.insert(fleet.fleet().host(host)->fabricDomain);
        }
        within += domains.size() == 1 ? 1 : 0;
    }
    for (const auto &[zone, domains] : hosts) {
        for (const auto &[domain, number] : domains) {
            possible += number / size;
        }
    }
    RC_ASSERT(within >= possible);
}

/** Hosts come, go, fall silent and leave at random; no decision is ever refused by the state machine. */
RC_GTEST_PROP(PlacerProperty, ItsDecisionsAreAlwaysAccepted, ())
{
    fleet_builder fleet(2);
    placer placer = makePlacer();
    for (int step = 0; step < 60; ++step) {
        fleet.pass(duration(*rc::gen::inRange(0, 3'000)));
        const std::string name = "h" + std::to_string(*rc::gen::inRange(0, 8));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            fleet.addHost(name, "z" + std::to_string(*rc::gen::inRange(0, 2)), "f", *rc::gen::inRange(0, 4) == 0);
            break;
        case 1:
            fleet.apply(put_zone{{availability_zone_id("z0"), *rc::gen::arbitrary<bool>() ? zone_state::Out : zone_state::Serving}});
            break;
        case 2: {
            const group_record *group = fleet.fleet().groupOf(host_id(name));
            fleet.renew(
                name,
                0,
                group != nullptr && group->hosts.front() == host_id(name) ? std::vector<std::string>{group->hosts.back().value()} : std::vector<std::string>());
            break;
        }
        default:
            fleet.renewAll();
        }
        fleet.place(placer);
        RC_ASSERT(!fleet.refused());
    }
}
