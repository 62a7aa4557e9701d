#pragma once

#include <carawayloft/control/claim.h>
#include <carawayloft/control/log_entry.h>
#include <carawayloft/control/records.h>

#include <optional>
#include <string>

/** Names of enumerations, as operators read and write them. */
namespace carawayloft {

const char *nameOf(zone_state state);
const char *nameOf(group_state state);
const char *nameOf(service_kind kind);
const char *nameOf(plan_state state);
const char *nameOf(step_kind kind);
const char *nameOf(claim_state state);
const char *nameOf(member_role role);

std::optional<zone_state> zoneStateOf(const std::string &name);
std::optional<service_kind> serviceKindOf(const std::string &name);

} // namespace carawayloft
