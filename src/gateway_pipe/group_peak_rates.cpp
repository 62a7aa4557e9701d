#include <carawayloft/gateway/group_peak_rates.h>

#include <carawayloft/fleet/group_goodput.h>

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
    return found == m_traffic.end() ? std::nullopt : std::optional(group_goodput(engine, model, found->second).peakRate());
}

} // namespace carawayloft
