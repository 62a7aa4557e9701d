#include <carawayloft/gateway/load_shedder.h>

#include <carawayloft/fleet/group_goodput.h>

#include <algorithm>

namespace carawayloft {

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
    const double capacity = groups * group_goodput(engine, model, demand).peakRate();
    const double fresh = std::max(demand.recentRequestsPerSecond, 1.0);
    const double returning = std::max(demand.returningPerSecond, 1.0);
    return {std::min(1.0, capacity / fresh), std::clamp((capacity - fresh) / returning, 0.0, 1.0)};
}

} // namespace carawayloft
