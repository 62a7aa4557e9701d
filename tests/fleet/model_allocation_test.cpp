#include <carawayloft/fleet/model_allocation.h>

#include "support/properties.h"
#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

model_traffic trafficFor(const model_id &model, double requestsPerSecond)
{
    return {model, requestsPerSecond, 1'000.0, 150.0, engine_duration(300)};
}

fleet_traffic traffic(double large, double small)
{
    return {{largeModel, trafficFor(largeModel, large)}, {smallModel, trafficFor(smallModel, small)}};
}

const fabric_domain_id domain("d0");

/** A fleet of one fabric domain, with groups of the large and the small model. */
fleet_composition oneDomain(group_counts groups, bool hasSpare = false)
{
    return {{domain, {std::move(groups), hasSpare}}};
}

spare_backend spareWith(int number, const model_id &loaded, std::vector<model_id> staged = {})
{
    return {backend_id("e" + std::to_string(number)), loaded, std::move(staged)};
}

} // namespace

TEST(FleetUtility, GrowsWithEveryGroupOfAModelWithTraffic)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility utility(engine, traffic(30.0, 30.0));
    double last = utility.of(oneDomain({0, 0}));
    for (std::size_t groups = 1; groups <= 4; ++groups) {
        const double now = utility.of(oneDomain({groups, groups}));
        EXPECT_GT(now, last);
        last = now;
    }
}

TEST(FleetUtility, AGroupOfAModelWithoutTrafficAddsNothing)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility utility(engine, traffic(30.0, 0.0));
    EXPECT_DOUBLE_EQ(utility.of(oneDomain({2, 0})), utility.of(oneDomain({2, 2})));
}

// Guards against a plan that changes although the learned capacity is the published one.
TEST(FleetUtility, IsUnchangedWhereTheCapacityIsThePublishedOne)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility published(engine, traffic(60.0, 30.0));
    const fleet_utility learned(engine, traffic(60.0, 30.0), {{largeModel, 1.0}, {smallModel, 1.0}});
    const std::map<fabric_domain_id, std::size_t> domains{{domain, 22}, {fabric_domain_id("d1"), 17}};
    const fleet_plan plan = planFleet(published, domains);
    const fleet_plan same = planFleet(learned, domains);
    for (const auto &[id, servers] : domains) {
        EXPECT_EQ(plan.at(id).groups, same.at(id).groups);
        EXPECT_EQ(plan.at(id).servers, same.at(id).servers);
    }
    EXPECT_EQ(published.of(oneDomain({2, 3})), learned.of(oneDomain({2, 3})));
}

// Guards against a plan by figures that the groups of one model do not reach.
TEST(FleetUtility, AModelWithLessCapacityIsServedLessByTheSameGroups)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility published(engine, traffic(60.0, 30.0));
    const fleet_utility learned(engine, traffic(60.0, 30.0), {{largeModel, 0.5}});
    EXPECT_DOUBLE_EQ(learned.onTimeFraction(largeModel, 4), published.onTimeFraction(largeModel, 2));
    EXPECT_DOUBLE_EQ(learned.onTimeFraction(smallModel, 4), published.onTimeFraction(smallModel, 4));
}

TEST(FleetUtility, ASpareAddsMoreTheMoreALostGroupCosts)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility utility(engine, traffic(5.0, 5.0)); // Four groups of each model are not saturated.
    const auto spareUtility = [&](std::size_t groups) { return utility.of(oneDomain({groups, groups}, true)) - utility.of(oneDomain({groups, groups})); };
    EXPECT_GT(spareUtility(1), spareUtility(4));
    EXPECT_GT(spareUtility(4), 0.0);
}

TEST(FleetUtility, AModelWithoutAGroupCostsMoreThanFurtherGroupsOfAnotherAdd)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility utility(engine, traffic(80.0, 20.0));
    EXPECT_GT(utility.of(oneDomain({1, 1})), utility.of(oneDomain({5, 0})));
}

TEST(DomainPool, TakesMembersThatJoinSoonestAndKeepsTheMostFlexibleSpares)
{
    domain_pool pool;
    pool.addSpare(spareWith(1, smallModel, {largeModel}));
    pool.addSpare(spareWith(2, largeModel, {largeModel, smallModel}));
    pool.addSpare(spareWith(3, largeModel));
    pool.addSpare(spareWith(4, smallModel));
    const auto taken = pool.takeMembers({largeModel, 2, 1.0, 1.0, engine_duration(1), engine_duration(1)});
    ASSERT_EQ(taken.size(), 2U);
    EXPECT_EQ(taken[0].backend, backend_id("e3"));
    EXPECT_EQ(taken[1].backend, backend_id("e2"));
    EXPECT_EQ(pool.spares().size(), 2U);
}

TEST(DomainPool, TakesNoMembersWhenThereAreTooFew)
{
    domain_pool pool;
    pool.addSpare(spareWith(1, largeModel));
    pool.addSpare(spareWith(2, smallModel));
    EXPECT_TRUE(pool.takeMembers({largeModel, 2, 1.0, 1.0, engine_duration(1), engine_duration(1)}).empty());
    EXPECT_EQ(pool.spares().size(), 2U);
}

TEST(FormDomainGroups, FormsGroupsOnlyOfServersThatCanServeTheModel)
{
    const engine_profile engine = makeEngine(2, 2);
    const fleet_utility utility(engine, traffic(40.0, 40.0));
    domain_pool pool;
    for (int i = 0; i < 3; ++i) {
        pool.addSpare(spareWith(i, smallModel));
    }
    pool.addSpare(spareWith(3, largeModel));
    fleet_composition fleet = oneDomain({0, 0});
    const auto formed = formDomainGroups(utility, fleet, domain, pool, {2, 2});
    ASSERT_EQ(formed.size(), 1U);
    EXPECT_EQ(formed.front().model, smallModel);
    EXPECT_EQ(fleet.at(domain).groups, (group_counts{0, 1}));
}

TEST(FormDomainGroups, KeepsSparesForAPlannedGroupThatCannotBeFormedYet)
{
    const engine_profile engine = makeEngine(4, 2);
    const fleet_utility utility(engine, traffic(40.0, 40.0));
    domain_pool pool;
    for (int i = 0; i < 3; ++i) {
        pool.addSpare(spareWith(i, largeModel, {smallModel}));
    }
    fleet_composition fleet = oneDomain({0, 1});
    EXPECT_TRUE(formDomainGroups(utility, fleet, domain, pool, {1, 1}).empty());
    EXPECT_EQ(formDomainGroups(utility, fleet, domain, pool, {0, 2}).size(), 1U);
}

TEST(FormDomainGroups, FormsAGroupThatIsShortThoughItTakesTheLastSpare)
{
    engine_profile engine = makeEngine(16, 4);
    engine.slots = 46;
    engine.stepsPerIteration = 7;
    const fleet_utility utility(
        engine,
        {{largeModel, {largeModel, 40.0, 1'600.0, 120.0, engine_duration(330)}}, {smallModel, {smallModel, 300.0, 700.0, 190.0, engine_duration(200)}}});
    fleet_composition fleet = oneDomain({0, 5}, true);
    for (const char *other : {"d1", "d2", "d3"}) {
        fleet[fabric_domain_id(other)] = {{1, 5}, true};
    }
    domain_pool pool;
    for (int i = 0; i < 16; ++i) {
        pool.addSpare(spareWith(i, largeModel));
    }
    EXPECT_EQ(formDomainGroups(utility, fleet, domain, pool, {1, 5}).size(), 1U);
}

TEST(FormDomainGroups, DoesNotKeepSparesForAGroupThatMostServersMustStillLoad)
{
    const engine_profile engine = makeEngine(4, 2);
    const fleet_utility utility(engine, traffic(40.0, 40.0));
    domain_pool pool;
    pool.addSpare(spareWith(0, largeModel, {smallModel}));
    for (int i = 1; i < 4; ++i) {
        pool.addSpare(spareWith(i, smallModel));
    }
    fleet_composition fleet = oneDomain({0, 1});
    EXPECT_EQ(formDomainGroups(utility, fleet, domain, pool, {1, 1}).size(), 2U);
}

TEST(FormDomainGroups, KeepsServersAsSparesWhenAGroupWouldHaveNoTraffic)
{
    const engine_profile engine = makeEngine(2, 2);
    const fleet_utility utility(engine, traffic(0.01, 0.01));
    domain_pool pool;
    for (int i = 0; i < 6; ++i) {
        pool.addSpare(spareWith(i, largeModel, {smallModel}));
    }
    fleet_composition fleet = oneDomain({1, 1}, true);
    EXPECT_TRUE(formDomainGroups(utility, fleet, domain, pool, {2, 2}).empty());
}

TEST(PlanFleet, AssignsEveryServerAModelAndEveryModelWithTrafficAGroup)
{
    EXPECT_TRUE(rc::check([] {
        const engine_profile engine = makeEngine(*rc::gen::inRange(2U, 6U), *rc::gen::inRange(1U, 4U));
        const fleet_utility utility(engine, traffic(*rc::gen::inRange(5, 80), *rc::gen::inRange(5, 80)));
        std::map<fabric_domain_id, std::size_t> domains;
        const int count = *rc::gen::inRange(2, 5);
        for (int i = 0; i < count; ++i) {
            domains[fabric_domain_id("d" + std::to_string(i))] = *rc::gen::inRange<std::size_t>(8, 20);
        }
        group_counts groups(engine.models.size());
        for (const auto &[planned, plan] : planFleet(utility, domains)) {
            std::size_t sum = 0;
            for (std::size_t i = 0; i < engine.models.size(); ++i) {
                RC_ASSERT(plan.servers[i] >= plan.groups[i] * engine.models[i].hostsPerGroup);
                sum += plan.servers[i];
                groups[i] += plan.groups[i];
            }
            RC_ASSERT(sum == domains.at(planned));
        }
        RC_ASSERT(groups[0] > 0U);
        RC_ASSERT(groups[1] > 0U);
    }));
}
