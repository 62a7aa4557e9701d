#include <carawayloft/fleet/fleet_utility.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace carawayloft {

/** Weight of the worst-served model in the utility of a fleet. */
static constexpr double worstModelWeight = 0.3;

/** Penalty for a model with traffic and no group, as a fraction of all work: all its requests are rejected. */
static constexpr double unservedModelPenalty = 1.0;

/** Rate at which single servers are lost that a fleet has to bear. */
static constexpr double serverLossesPerSecond = 1.0 / 400.0;

/** Time for which a group is out after the loss of a member, if a spare replaces it and if a server must load the model first. */
static constexpr std::chrono::duration<double> repairTimeWithSpare{2.0};
static constexpr std::chrono::duration<double> repairTimeWithoutSpare{12.0};

/** Longest outage that is assumed of a group, as a fraction of the time. */
static constexpr double maxOutage = 0.4;

/** Weights of the work that is left after the loss of the group, and of the whole fabric domain, whose loss hurts most. */
static constexpr double groupLossWeight = 0.2;
static constexpr double domainLossWeight = 0.1;

static double groupOutage(const model_profile &model, std::chrono::duration<double> repairTime)
{
    return std::min(maxOutage, model.hostsPerGroup * serverLossesPerSecond * repairTime.count());
}

fleet_utility::fleet_utility(const engine_profile &engine, const fleet_traffic &traffic)
    : m_engine(&engine)
{
    for (const model_profile &each : engine.models) {
        const auto found = traffic.find(each.model);
        const model_traffic observed = found == traffic.end() ? model_traffic{} : found->second;
        const engine_duration request = requestTime(engine, each, observed.promptTokens, observed.answerTokens);
        model_demand demand{observed.requestsPerSecond, 0.0, group_goodput(engine, each, observed), 0.0, 0.0, {}, {}};
        demand.work = demand.requestsPerSecond * (request / engine_duration(std::chrono::seconds(1)));
        demand.outageWithSpare = groupOutage(each, repairTimeWithSpare);
        demand.outageWithoutSpare = groupOutage(each, repairTimeWithoutSpare);
        m_totalWork += demand.work;
        m_demands.push_back(std::move(demand));
    }
}

/** Fraction on time of a demand that @p groups share. */
static double shareOfGroups(const group_goodput &goodput, double requestsPerSecond, std::size_t groups)
{
    if (requestsPerSecond <= 0.0) {
        return 1.0;
    }
    return groups == 0 ? 0.0 : goodput.onTimeShare(requestsPerSecond / static_cast<double>(groups));
}

/** Mean on-time share while each of the groups is out for this fraction of the time, independently of the others. */
static double meanShare(const group_goodput &goodput, double requestsPerSecond, std::size_t groups, double outage)
{
    double sum = 0.0;
    double probability = std::pow(1.0 - outage, static_cast<double>(groups)); // That none is out.
    for (std::size_t out = 0; out <= groups; ++out) {
        sum += probability * shareOfGroups(goodput, requestsPerSecond, groups - out);
        probability *= outage / (1.0 - outage) * static_cast<double>(groups - out) / static_cast<double>(out + 1);
    }
    return sum;
}

double fleet_utility::onTimeFraction(const model_id &model, std::size_t groups) const
{
    const auto found = std::find_if(models().begin(), models().end(), [&](const model_profile &each) { return each.model == model; });
    const model_demand &demand = m_demands.at(static_cast<std::size_t>(found - models().begin()));
    return shareOfGroups(demand.goodput, demand.requestsPerSecond, groups);
}

/** Mean on-time share over the outages of single groups, of which @p spareShare have a spare in their domain. */
double fleet_utility::expectedShare(const model_demand &demand, std::size_t groups, double spareShare) const
{
    while (demand.shareWithSpares.size() <= groups) {
        const std::size_t count = demand.shareWithSpares.size();
        demand.shareWithSpares.push_back(meanShare(demand.goodput, demand.requestsPerSecond, count, demand.outageWithSpare));
        demand.shareWithoutSpares.push_back(meanShare(demand.goodput, demand.requestsPerSecond, count, demand.outageWithoutSpare));
    }
    return spareShare * demand.shareWithSpares[groups] + (1.0 - spareShare) * demand.shareWithoutSpares[groups];
}

double fleet_utility::expectedWork(const group_counts &groups, double spareShare) const
{
    double sum = 0.0;
    double worst = 1.0;
    for (std::size_t i = 0; i < m_demands.size(); ++i) {
        const double share = expectedShare(m_demands[i], groups[i], spareShare);
        sum += m_demands[i].work * share;
        worst = std::min(worst, share);
    }
    return sum + worstModelWeight * m_totalWork * worst;
}

/** Work expected after the loss of one group of the model whose loss hurts most. */
double fleet_utility::workAfterGroupLoss(const group_counts &groups, double spareShare) const
{
    double least = expectedWork(groups, spareShare);
    for (std::size_t i = 0; i < groups.size(); ++i) {
        if (groups[i] > 0) {
            group_counts without = groups;
            --without[i];
            least = std::min(least, expectedWork(without, spareShare));
        }
    }
    return least;
}

/** Work expected after the loss of the fabric domain whose loss hurts most. */
double fleet_utility::workAfterDomainLoss(const fleet_composition &fleet, const group_counts &groups, double spareShare) const
{
    double least = expectedWork(groups, spareShare);
    for (const auto &[domain, each] : fleet) {
        group_counts without = groups;
        std::transform(without.begin(), without.end(), each.groups.begin(), without.begin(), std::minus<>());
        least = std::min(least, expectedWork(without, spareShare));
    }
    return least;
}

double fleet_utility::of(const fleet_composition &fleet) const
{
    group_counts groups(m_demands.size());
    std::size_t spares = 0;
    for (const auto &[domain, each] : fleet) {
        spares += each.hasSpare ? 1 : 0;
        std::transform(groups.begin(), groups.end(), each.groups.begin(), groups.begin(), std::plus<>());
    }
    const double spareShare = fleet.empty() ? 0.0 : static_cast<double>(spares) / static_cast<double>(fleet.size());
    double utility = (1.0 - groupLossWeight - domainLossWeight) * expectedWork(groups, spareShare);
    utility += groupLossWeight * workAfterGroupLoss(groups, spareShare);
    utility += domainLossWeight * workAfterDomainLoss(fleet, groups, spareShare);
    for (std::size_t i = 0; i < groups.size(); ++i) {
        utility -= m_demands[i].work > 0.0 && groups[i] == 0 ? unservedModelPenalty * m_totalWork : 0.0;
    }
    return utility;
}

} // namespace carawayloft
