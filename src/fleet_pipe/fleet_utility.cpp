#include <carawayloft/fleet/fleet_utility.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Weight of the worst-served model in the utility of a fleet. */
static constexpr double worstModelWeight = 0.3;

/** Penalty for a model with traffic and no group, as a fraction of all work: all its requests are rejected. */
static constexpr double unservedModelPenalty = 1.0;

/** Rate at which single servers are lost that a fleet has to bear. */
static constexpr double serverLossesPerSecond = 1.0 / 400.0;

/** Time for which a group is out after the loss of a member, if a spare replaces it and if a server must load the model first. */
static constexpr std::chrono::duration<double> repairTimeWithSpare{2.0};
static constexpr std::chrono::duration<double> repairTimeWithoutSpare{8.0};

/** Longest outage that is assumed of a group, as a fraction of the time. */
static constexpr double maxOutage = 0.4;

/** Weights of the work that is left after the loss of the group, and of the whole fabric domain, whose loss hurts most. */
static constexpr double groupLossWeight = 0.2;
static constexpr double domainLossWeight = 0.1;

static double groupOutage(const model_profile &model, std::chrono::duration<double> repairTime)
{
    return std::min(maxOutage, model.hostsPerGroup * serverLossesPerSecond * repairTime.count());
}

fleet_utility::fleet_utility(const engine_profile &engine, const fleet_traffic &traffic, const capacity_factors &capacities)
    : m_engine(&engine)
{
    for (const model_profile &each : engine.models) {
        const auto found = traffic.find(each.model);
        const model_traffic observed = found == traffic.end() ? model_traffic{} : found->second;
        const engine_duration request = requestTime(engine, each, observed.promptTokens, observed.answerTokens);
        const auto capacity = capacities.find(each.model);
        const double factor = capacity == capacities.end() ? 1.0 : capacity->second;
        model_demand demand{observed.requestsPerSecond, factor, 0.0, group_goodput(engine, each, observed), 0.0, 0.0, {}, {}};
        demand.work = demand.requestsPerSecond * (request / engine_duration(std::chrono::seconds(1)));
        demand.outageWithSpare = groupOutage(each, repairTimeWithSpare);
        demand.outageWithoutSpare = groupOutage(each, repairTimeWithoutSpare);
        m_totalWork += demand.work;
        m_demands.push_back(std::move(demand));
    }
}

/** Fraction on time if this many groups serve. */
double fleet_utility::shareOf(const model_demand &demand, std::size_t groups)
{
    if (demand.requestsPerSecond <= 0.0) {
        return 1.0;
    }
    while (demand.shares.size() <= groups) {
        const double capacity = static_cast<double>(demand.shares.size()) * demand.capacityFactor;
        demand.shares.push_back(demand.shares.empty() ? 0.0 : demand.goodput.onTimeShare(demand.requestsPerSecond / capacity));
    }
    return demand.shares[groups];
}

const fleet_utility::model_demand &fleet_utility::demandFor(const model_id &model) const
{
    const auto found = std::find_if(models().begin(), models().end(), [&](const model_profile &each) { return each.model == model; });
    return m_demands.at(static_cast<std::size_t>(found - models().begin()));
}

double fleet_utility::onTimeFraction(const model_id &model, std::size_t groups) const
{
    return shareOf(demandFor(model), groups);
}

double fleet_utility::onTimeFraction(const model_id &model, std::size_t groups, double capacityFactor) const
{
    const model_demand &demand = demandFor(model);
    const double capacity = static_cast<double>(groups) * capacityFactor;
    if (demand.requestsPerSecond <= 0.0 || capacity <= 0.0) {
        return shareOf(demand, groups);
    }
    return demand.goodput.onTimeShare(demand.requestsPerSecond / capacity);
}

/** Probability of each number of serving groups, if each is out for this fraction of the time independently of the others. */
static std::vector<double> servingProbabilities(std::size_t groups, double outage)
{
    std::vector<double> probabilities(groups + 1);
    probabilities[groups] = std::pow(1.0 - outage, static_cast<double>(groups));
    for (std::size_t serving = groups; serving > 0; --serving) {
        const auto out = static_cast<double>(groups - serving + 1);
        probabilities[serving - 1] = probabilities[serving] * outage / (1.0 - outage) * static_cast<double>(serving) / out;
    }
    return probabilities;
}

/** Mean fraction on time over the outages of single groups. */
double fleet_utility::expectedShare(const model_demand &demand, const model_groups &groups)
{
    const auto [found, isNew] = demand.expectedShares.try_emplace(groups, 0.0);
    if (isNew) {
        const std::vector<double> withSpare = servingProbabilities(groups.withSpare, demand.outageWithSpare);
        const std::vector<double> withoutSpare = servingProbabilities(groups.withoutSpare, demand.outageWithoutSpare);
        for (std::size_t i = 0; i < withSpare.size(); ++i) {
            for (std::size_t j = 0; j < withoutSpare.size(); ++j) {
                found->second += withSpare[i] * withoutSpare[j] * shareOf(demand, i + j);
            }
        }
    }
    return found->second;
}

double fleet_utility::expectedWork(const fleet_groups &groups) const
{
    double sum = 0.0;
    double worst = 1.0;
    for (std::size_t i = 0; i < m_demands.size(); ++i) {
        const double share = expectedShare(m_demands[i], groups[i]);
        sum += m_demands[i].work * share;
        worst = std::min(worst, share);
    }
    return sum + worstModelWeight * m_totalWork * worst;
}

/** Work expected after the loss of one group of the model whose loss hurts most. */
double fleet_utility::workAfterGroupLoss(const fleet_groups &groups) const
{
    double least = expectedWork(groups);
    for (std::size_t i = 0; i < groups.size(); ++i) {
        fleet_groups without = groups;
        std::size_t &lost = without[i].withSpare > 0 ? without[i].withSpare : without[i].withoutSpare;
        if (lost > 0) {
            --lost;
            least = std::min(least, expectedWork(without));
        }
    }
    return least;
}

/** Work expected after the loss of the fabric domain whose loss hurts most. */
double fleet_utility::workAfterDomainLoss(const fleet_composition &fleet, const fleet_groups &groups) const
{
    double least = expectedWork(groups);
    for (const auto &[domain, each] : fleet) {
        fleet_groups without = groups;
        for (std::size_t i = 0; i < without.size(); ++i) {
            (each.hasSpare ? without[i].withSpare : without[i].withoutSpare) -= each.groups[i];
        }
        least = std::min(least, expectedWork(without));
    }
    return least;
}

double fleet_utility::of(const fleet_composition &fleet) const
{
    fleet_groups groups(m_demands.size());
    for (const auto &[domain, each] : fleet) {
        for (std::size_t i = 0; i < groups.size(); ++i) {
            (each.hasSpare ? groups[i].withSpare : groups[i].withoutSpare) += each.groups[i];
        }
    }
    double utility = (1.0 - groupLossWeight - domainLossWeight) * expectedWork(groups);
    utility += groupLossWeight * workAfterGroupLoss(groups);
    utility += domainLossWeight * workAfterDomainLoss(fleet, groups);
    for (std::size_t i = 0; i < groups.size(); ++i) {
        const bool isUnserved = m_demands[i].work > 0.0 && groups[i] == model_groups();
        utility -= isUnserved ? unservedModelPenalty * m_totalWork : 0.0;
    }
    return utility;
}

} // namespace carawayloft
