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

    /** Nothing while the traffic for the model is unknown. */
    std::optional<double> peakRate(const engine_profile &engine, const model_profile &model) const;

private:
    fleet_traffic m_traffic;
};

} // namespace carawayloft
