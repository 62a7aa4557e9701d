#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <map>

namespace carawayloft {

/** Demand for each model. */
using fleet_traffic = std::map<model_id, model_traffic>;

/** Adds the demand at one more gateway: rates add up, lengths and objectives are averaged by rate. */
void addTraffic(fleet_traffic &sums, const model_traffic &part);

} // namespace carawayloft
