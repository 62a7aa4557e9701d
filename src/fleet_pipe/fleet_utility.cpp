#include <carawayloft/fleet/fleet_utility.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Weight of the worst-served model in the utility of a fleet. */
static constexpr double worstModelWeight = 0.3;

/** Penalty for a model with traffic and no group, as a fraction of the total load: all its requests are refused. */
static constexpr double unservedModelPenalty = 1.0;

/** Fraction of a group's utility that a spare in its fabric domain preserves when a member is lost. */
static constexpr double spareWeight = 0.5;

/** Load of a group beyond which additional work is late, and the late fraction at this load. */
static constexpr double saturationLoad = 0.4;
static constexpr double lateShareAtSaturation = 0.2;

/** Exponent of the growth of the late fraction up to saturation. */
static constexpr double latenessExponent = 3.0;

/** Weight of prefill relative to decode: a prefill delays all streams and first events of its group. */
static constexpr double prefillWeight = 1.5;

/** Keeps the load of a model without groups finite, and its in-time fraction close to zero. */
static constexpr double groupCountOffset = 0.01;

fleet_utility::fleet_utility(const engine_profile &engine, const fleet_traffic &traffic)
    : m_engine(&engine)
{
    for (const model_profile &each : engine.models) {
        double &offered = m_offeredLoad[each.model];
        if (const auto observed = traffic.find(each.model); observed != traffic.end()) {
            const engine_duration prefill = prefillTime(engine, each, observed->second.promptTokens);
            const engine_duration decode = requestTime(engine, each, 0.0, observed->second.answerTokens);
            offered = observed->second.requestsPerSecond * ((prefillWeight * prefill + decode) / engine_duration(std::chrono::seconds(1)));
            m_totalLoad += offered;
        }
    }
}

/** Fraction of the work that groups under this load finish in time. */
static double onTimeShare(double load)
{
    if (load <= saturationLoad) {
        return 1.0 - lateShareAtSaturation * std::pow(load / saturationLoad, latenessExponent);
    }
    return (1.0 - lateShareAtSaturation) * saturationLoad / load;
}

double fleet_utility::onTimeFraction(const model_id &model, const group_counts &groups) const
{
    const auto found = groups.find(model);
    return onTimeShare(m_offeredLoad.at(model) / ((found == groups.end() ? 0.0 : static_cast<double>(found->second)) + groupCountOffset));
}

double fleet_utility::onTimeWork(const group_counts &groups) const
{
    double sum = 0.0;
    double worst = 1.0;
    for (const auto &[model, offered] : m_offeredLoad) {
        const double share = onTimeFraction(model, groups);
        sum += offered * share;
        worst = std::min(worst, share);
    }
    return sum + worstModelWeight * m_totalLoad * worst;
}

double fleet_utility::of(const fleet_counts &fleet) const
{
    const double now = onTimeWork(fleet.groups);
    double greatestLoss = 0.0;
    for (const auto &[model, count] : fleet.groups) {
        if (count > 0) {
            group_counts without = fleet.groups;
            --without.at(model);
            greatestLoss = std::max(greatestLoss, now - onTimeWork(without));
        }
    }
    const auto unserved = std::count_if(m_offeredLoad.begin(), m_offeredLoad.end(), [&](const auto &each) {
        const auto found = fleet.groups.find(each.first);
        return each.second > 0.0 && (found == fleet.groups.end() || found->second == 0);
    });
    return now + spareWeight * greatestLoss * static_cast<double>(fleet.domainsWithSpares) - unservedModelPenalty * m_totalLoad * static_cast<double>(unserved);
}

} // namespace carawayloft
