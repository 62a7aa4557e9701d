#pragma once

#include <carawayloft/fleet/fleet_traffic.h>
#include <carawayloft/service/service_configuration.h>

#include <optional>

namespace carawayloft {

/** Requests per second that one group of a model answers on time at most, under the traffic at all gateways. */
class group_peak_rates
{
public:
    /** Sets the traffic at all gateways, as control reports it. */
    void setTraffic(const std::vector<model_traffic> &traffic);

    /** Sets what has been learned of the groups, which holds until the next grant. */
    void setCapacities(const std::vector<model_capacity> &capacities)
    {
        m_capacities = capacities;
    }
    const std::vector<model_capacity> &capacities() const
    {
        return m_capacities;
    }

    /** Nothing while the traffic for the model is unknown. */
    std::optional<double> peakRate(const engine_profile &engine, const model_profile &model) const;

private:
    double capacityFactor(const model_id &model) const;

    fleet_traffic m_traffic;
    std::vector<model_capacity> m_capacities;
};

} // namespace carawayloft
