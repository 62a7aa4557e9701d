#include <carawayloft/fleet/fleet_utility.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Share of the worst-served model in the value of a fleet. */
static constexpr double worstModelShare = 0.3;

/** Price of a model that is asked for and has no group, as a share of all work: every caller of it is refused. */
static constexpr double unservedModelPrice = 1.0;

/** Part of a group's value that a spare in its fabric domain saves when a member is lost. */
static constexpr double spareShare = 0.5;

/** Load of a group from which on more work is not done on time, and the part that is late at this load. */
static constexpr double fullLoad = 0.4;
static constexpr double lateAtFullLoad = 0.2;

/** How the late part grows towards the full load. */
static constexpr double latenessPower = 3.0;

/** Weight of reading prompts against writing answers: a prompt holds up all streams and first events of its group. */
static constexpr double readingWeight = 1.5;

/** Stands for less than one group, so that a model without any is as badly served as can be. */
static constexpr double smallestGroupCount = 0.01;

fleet_utility::fleet_utility(const engine_profile &engine, const fleet_traffic &traffic)
    : m_engine(&engine)
{
    for (const model_profile &each : engine.models) {
        double &work = m_work[each.model];
        if (const auto asked = traffic.find(each.model); asked != traffic.end()) {
            const engine_duration reading = prefillTime(engine, each, asked->second.promptTokens);
            const engine_duration writing = requestTime(engine, each, 0.0, asked->second.answerTokens);
            work = asked->second.requestsPerSecond * ((readingWeight * reading + writing) / engine_duration(std::chrono::seconds(1)));
            m_total += work;
        }
    }
}

/** Part of the work that groups under this load do on time. */
static double onTimeShare(double load)
{
    if (load <= fullLoad) {
        return 1.0 - lateAtFullLoad * std::pow(load / fullLoad, latenessPower);
    }
    return (1.0 - lateAtFullLoad) * fullLoad / load;
}

double fleet_utility::onTime(const model_id &model, const group_counts &groups) const
{
    const auto held = groups.find(model);
    return onTimeShare(m_work.at(model) / ((held == groups.end() ? 0.0 : static_cast<double>(held->second)) + smallestGroupCount));
}

double fleet_utility::onTime(const group_counts &groups) const
{
    double sum = 0.0;
    double worst = 1.0;
    for (const auto &[model, work] : m_work) {
        const double share = onTime(model, groups);
        sum += work * share;
        worst = std::min(worst, share);
    }
    return sum + worstModelShare * m_total * worst;
}

double fleet_utility::of(const fleet_counts &fleet) const
{
    const double now = onTime(fleet.groups);
    double greatestLoss = 0.0;
    for (const auto &[model, count] : fleet.groups) {
        if (count > 0) {
            group_counts without = fleet.groups;
            --without.at(model);
            greatestLoss = std::max(greatestLoss, now - onTime(without));
        }
    }
    const auto unserved = std::count_if(m_work.begin(), m_work.end(), [&](const auto &each) {
        const auto held = fleet.groups.find(each.first);
        return each.second > 0.0 && (held == fleet.groups.end() || held->second == 0);
    });
    return now + spareShare * greatestLoss * static_cast<double>(fleet.domainsWithSpares) - unservedModelPrice * m_total * static_cast<double>(unserved);
}

} // namespace carawayloft
