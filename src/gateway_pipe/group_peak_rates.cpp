#include <carawayloft/gateway/group_peak_rates.h>

#include <carawayloft/fleet/group_goodput.h>

#include <algorithm>

namespace carawayloft {

void group_peak_rates::setTraffic(const std::vector<model_traffic> &traffic)
{
    m_traffic.clear();
    for (const model_traffic &each : traffic) {
        m_traffic[each.model] = each;
    }
}

std::optional<double> group_peak_rates::peakRate(const engine_profile &engine, const model_profile &model) const
{
    const auto found = m_traffic.find(model.model);
    return found == m_traffic.end() ? std::nullopt : std::optional(capacityFactor(model.model) * group_goodput(engine, model, found->second).peakRate());
}

double group_peak_rates::capacityFactor(const model_id &model) const
{
    const auto found = std::find_if(m_capacities.begin(), m_capacities.end(), [&](const model_capacity &each) { return each.model == model; });
    return found == m_capacities.end() ? 1.0 : found->factor;
}

} // namespace carawayloft
