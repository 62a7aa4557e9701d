#include <carawayloft/fleet/model_allocation.h>

#include "support/properties.h"
#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

model_traffic askedOf(const model_id &model, double requestsPerSecond)
{
    return {model, requestsPerSecond, 1'000.0, 150.0, engine_duration(300)};
}

fleet_traffic asked(double large, double small)
{
    return {{largeModel, askedOf(largeModel, large)}, {smallModel, askedOf(smallModel, small)}};
}

spare_backend spareWith(int number, const model_id &loaded, std::vector<model_id> staged = {})
{
    return {backend_id("e" + std::to_string(number)), loaded, std::move(staged)};
}

} // namespace

TEST(FleetUtility, GrowsWithEveryGroupOfAModelThatCallersAskFor)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility value(engine, asked(30.0, 30.0));
    double last = value.of({});
    for (std::size_t groups = 1; groups <= 4; ++groups) {
        const double now = value.of({{{largeModel, groups}, {smallModel, groups}}, 0});
        EXPECT_GT(now, last);
        last = now;
    }
}

TEST(FleetUtility, AGroupOfAModelThatNobodyAsksForIsWorthNothing)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility value(engine, asked(30.0, 0.0));
    EXPECT_DOUBLE_EQ(value.of({{{largeModel, 2}}, 0}), value.of({{{largeModel, 2}, {smallModel, 2}}, 0}));
}

TEST(FleetUtility, ASpareIsWorthMoreTheMoreTheLossOfAGroupWouldCost)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility value(engine, asked(5.0, 5.0)); // Four groups of each have time left.
    const auto worthOfSpare = [&](std::size_t groups) {
        const group_counts counts{{largeModel, groups}, {smallModel, groups}};
        return value.of({counts, 1}) - value.of({counts, 0});
    };
    EXPECT_GT(worthOfSpare(1), worthOfSpare(4));
    EXPECT_GT(worthOfSpare(4), 0.0);
}

TEST(FleetUtility, AModelWithoutAGroupCostsMoreThanAnyGroupOfAnotherIsWorth)
{
    const engine_profile engine = makeEngine(4, 3);
    const fleet_utility value(engine, asked(80.0, 20.0));
    EXPECT_GT(value.of({{{largeModel, 1}, {smallModel, 1}}, 0}), value.of({{{largeModel, 5}}, 0}));
}

TEST(DomainPool, TakesMembersThatJoinSoonestAndLeavesThoseThatCanServeMore)
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

TEST(DomainPool, TakesNobodyWhenThereAreTooFew)
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
    const fleet_utility value(engine, asked(40.0, 40.0));
    domain_pool pool;
    for (int i = 0; i < 3; ++i) {
        pool.addSpare(spareWith(i, smallModel));
    }
    pool.addSpare(spareWith(3, largeModel));
    fleet_counts fleet;
    const auto formed = formDomainGroups(value, fleet, pool);
    ASSERT_EQ(formed.size(), 1U);
    EXPECT_EQ(formed.front().model, smallModel);
    EXPECT_EQ(fleet.groups[smallModel], 1U);
}

TEST(FormDomainGroups, KeepsServersAsSparesWhenAGroupWouldDoNoWork)
{
    const engine_profile engine = makeEngine(2, 2);
    const fleet_utility value(engine, asked(0.01, 0.01));
    domain_pool pool;
    for (int i = 0; i < 6; ++i) {
        pool.addSpare(spareWith(i, largeModel, {smallModel}));
    }
    fleet_counts fleet{{{largeModel, 1}, {smallModel, 1}}, 1};
    EXPECT_TRUE(formDomainGroups(value, fleet, pool).empty());
}

TEST(AllocateModels, GivesEveryServerAModelAndEveryModelThatIsAskedForAGroup)
{
    EXPECT_TRUE(rc::check([] {
        const engine_profile engine = makeEngine(*rc::gen::inRange(2U, 6U), *rc::gen::inRange(1U, 4U));
        const fleet_utility value(engine, asked(*rc::gen::inRange(5, 80), *rc::gen::inRange(5, 80)));
        std::map<fabric_domain_id, std::size_t> domains;
        const int count = *rc::gen::inRange(2, 5);
        for (int i = 0; i < count; ++i) {
            domains[fabric_domain_id("d" + std::to_string(i))] = *rc::gen::inRange<std::size_t>(8, 20);
        }
        std::map<model_id, std::size_t> groups;
        for (const auto &[domain, target] : allocateModels(value, domains)) {
            std::size_t sum = 0;
            for (const model_profile &model : engine.models) {
                sum += target.at(model.model);
                groups[model.model] += target.at(model.model) / model.hostsPerGroup;
            }
            RC_ASSERT(sum == domains.at(domain));
        }
        RC_ASSERT(groups[largeModel] > 0U);
        RC_ASSERT(groups[smallModel] > 0U);
    }));
}
