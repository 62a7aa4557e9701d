#include <carawayloft/gateway/load_shedder.h>

#include <carawayloft/fleet/group_goodput.h>

#include <algorithm>

namespace carawayloft {

/** Admitted rate over the estimated peak rate of the groups, which is on the safe side. */
static constexpr double admittedLoad = 1.1;

/** The same with requests that return, which groups take only while they are far from late. */
static constexpr double admittedLoadWithReturning = 1.5;

void load_shedder::setDemand(const std::vector<model_traffic> &demand)
{
    m_demand.clear();
    for (const model_traffic &each : demand) {
        m_demand[each.model] = each;
    }
}

admission_shares load_shedder::sharesFor(const engine_profile &engine, const model_profile &model, double groups) const
{
    const auto found = m_demand.find(model.model);
    if (found == m_demand.end() || groups <= 0.0) {
        return {};
    }
    const model_traffic &demand = found->second;
    const double peak = groups * group_goodput(engine, model, demand).peakRate();
    const double fresh = std::max(demand.recentRequestsPerSecond, 1.0);
    const double returning = std::max(demand.returningPerSecond, 1.0);
    return {std::min(1.0, admittedLoad * peak / fresh), std::clamp((admittedLoadWithReturning * peak - fresh) / returning, 0.0, 1.0)};
}

double load_shedder::groupsForRate(const engine_profile &engine, const model_profile &model, double requestsPerSecond) const
{
    const auto found = m_demand.find(model.model);
    if (requestsPerSecond <= 0.0 || found == m_demand.end()) {
        return 1.0;
    }
    return std::min(1.0, requestsPerSecond / group_goodput(engine, model, found->second).peakRate());
}

bool load_shedder::admit(const engine_profile &engine, const model_profile &model, double groups, bool isReturning)
{
    const admission_shares shares = sharesFor(engine, model, groups);
    admission_shares &credits = m_credits[model.model];
    double &credit = isReturning ? credits.returning : credits.fresh;
    credit += isReturning ? shares.returning : shares.fresh;
    if (credit < 1.0) {
        return false;
    }
    credit -= 1.0;
    return true;
}

} // namespace carawayloft
