#include <carawayloft/fleet/model_allocation.h>

#include "support/properties.h"
#include "support/service_builder.h"
#include "support/simulated_group.h"

#include <gtest/gtest.h>

#include <set>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

/** Share that the best composition must reach for a fleet to count as large enough, and the share that the allocation must reach there. */
constexpr double enoughShare = 0.95;
constexpr double leastShare = 0.8;

using domain_sizes = std::map<fabric_domain_id, std::size_t>;

/** A fleet with its traffic, and what its groups really answer on time. */
class measured_fleet
{
public:
    measured_fleet(engine_profile engine, fleet_traffic traffic, domain_sizes domains)
        : m_engine(std::move(engine))
        , m_traffic(std::move(traffic))
        , m_domains(std::move(domains))
    {
    }

    /** Groups of each model that the allocation plans, without those of @p lost. */
    group_counts allocated(const fabric_domain_id &lost = {}) const
    {
        const fleet_utility utility(m_engine, m_traffic);
        group_counts groups(m_engine.models.size());
        for (const auto &[domain, plan] : planFleet(utility, m_domains)) {
            for (std::size_t i = 0; i < groups.size(); ++i) {
                groups[i] += domain == lost ? 0 : plan.groups[i];
            }
        }
        return groups;
    }

    /** Share of the worst-served model. */
    double worstShare(const group_counts &groups)
    {
        double worst = 1.0;
        for (std::size_t i = 0; i < groups.size(); ++i) {
            worst = std::min(worst, groups[i] == 0 ? 0.0 : share(m_engine.models[i], groups[i]));
        }
        return worst;
    }

    /** Share of the worst-served model after the loss of one group of any model. */
    double worstShareAfterALoss(const group_counts &groups)
    {
        double worst = 1.0;
        for (std::size_t i = 0; i < groups.size(); ++i) {
            group_counts without = groups;
            without[i] -= std::min<std::size_t>(without[i], 1);
            worst = std::min(worst, worstShare(without));
        }
        return worst;
    }

    /** The best such share of all compositions that the domains have room for beside one spare each. */
    double bestShareAfterALoss()
    {
        std::set<std::pair<std::size_t, std::size_t>> compositions{{0, 0}};
        const std::size_t large = m_engine.models[0].hostsPerGroup;
        const std::size_t small = m_engine.models[1].hostsPerGroup;
        for (const auto &[domain, servers] : m_domains) {
            std::set<std::pair<std::size_t, std::size_t>> extended;
            for (const auto &[ofLarge, ofSmall] : compositions) {
                for (std::size_t count = 0; count * large < servers; ++count) {
                    extended.emplace(ofLarge + count, ofSmall + (servers - 1 - count * large) / small);
                }
            }
            compositions = std::move(extended);
        }
        double best = 0.0;
        for (const auto &[ofLarge, ofSmall] : compositions) {
            best = std::max(best, worstShareAfterALoss({ofLarge, ofSmall}));
        }
        return best;
    }

private:
    double share(const model_profile &model, std::size_t groups)
    {
        const auto [found, isNew] = m_shares.try_emplace({model.model, groups}, 0.0);
        if (isNew) {
            model_traffic traffic = m_traffic.at(model.model);
            traffic.requestsPerSecond /= static_cast<double>(groups);
            found->second = bestOnTimeShare(m_engine, model, traffic, enoughShare);
        }
        return found->second;
    }

    engine_profile m_engine;
    fleet_traffic m_traffic;
    domain_sizes m_domains;
    std::map<std::pair<model_id, std::size_t>, double> m_shares;
};

measured_fleet
makeFleet(std::uint32_t largeSize, std::uint32_t smallSize, std::size_t domains, std::size_t serversPerDomain, double largeRate, double smallRate)
{
    engine_profile engine = makeEngine(largeSize, smallSize);
    engine.slots = 46;
    engine.stepsPerIteration = 7;
    engine.prefillTokensPerStep = 2'048;
    engine.stepPerRequest = engine_duration(0.05);
    const fleet_traffic traffic{
        {largeModel, {largeModel, largeRate, 1'600.0, 120.0, engine_duration(330)}}, {smallModel, {smallModel, smallRate, 700.0, 190.0, engine_duration(200)}}};
    domain_sizes sizes;
    for (std::size_t i = 0; i < domains; ++i) {
        sizes[fabric_domain_id("d" + std::to_string(i))] = serversPerDomain;
    }
    return {engine, traffic, sizes};
}

} // namespace

TEST(ModelAllocation, AModelWithLargeGroupsBearsTheLossOfOne)
{
    measured_fleet fleet = makeFleet(16, 4, 4, 37, 40.0, 300.0);
    ASSERT_GE(fleet.bestShareAfterALoss(), enoughShare);
    EXPECT_GE(fleet.worstShareAfterALoss(fleet.allocated()), leastShare);
}

TEST(ModelAllocation, EveryModelBearsTheLossOfAnyFabricDomain)
{
    measured_fleet fleet = makeFleet(16, 4, 4, 37, 40.0, 300.0);
    for (const char *lost : {"d0", "d1", "d2", "d3"}) {
        EXPECT_GE(fleet.worstShare(fleet.allocated(fabric_domain_id(lost))), leastShare) << lost;
    }
}

TEST(ModelAllocation, EveryModelBearsTheLossOfAGroupIfTheFleetIsLargeEnough)
{
    EXPECT_TRUE(rc::check([] {
        const auto largeSize = *rc::gen::inRange(3U, 17U);
        const auto smallSize = *rc::gen::inRange(1U, 5U);
        const auto domains = *rc::gen::inRange<std::size_t>(2, 5);
        const auto servers = *rc::gen::inRange<std::size_t>(largeSize + 2 * smallSize, 3 * largeSize + 2 * smallSize);
        measured_fleet fleet = makeFleet(largeSize, smallSize, domains, servers, *rc::gen::inRange(5, 80), *rc::gen::inRange(5, 400));
        RC_PRE(fleet.bestShareAfterALoss() >= enoughShare);
        const group_counts groups = fleet.allocated();
        RC_LOG() << "groups: " << groups[0] << " large, " << groups[1] << " small\n";
        RC_ASSERT(fleet.worstShareAfterALoss(groups) >= leastShare);
    }));
}

TEST(ModelAllocation, EveryModelBearsTheLossOfAGroupWhereOneServerIsAGroupOfTheOther)
{
    measured_fleet fleet = makeFleet(8, 1, 2, 17, 18.0, 82.0);
    ASSERT_GE(fleet.bestShareAfterALoss(), enoughShare);
    EXPECT_GE(fleet.worstShareAfterALoss(fleet.allocated()), leastShare);
}
