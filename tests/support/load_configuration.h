#pragma once

#include "support/caller_load.h"
#include "support/service_builder.h"

namespace carawayloft::test_support {

inline access_key keyOf(const simulated_account &account)
{
    return access_key("key-" + account.name);
}

inline std::string pathOf(const simulated_route &route)
{
    return "/" + route.name + "/";
}

/** The configuration that a load needs, with one service that runs these engines. */
inline configuration_fields makeConfiguration(const caller_load &load, const engine_profile &engine)
{
    configuration_fields fields;
    fields.version = configuration_version(1);
    fields.requiresAccessKey = load.needsAccessKey;
    fields.services = {{engineService, 500, 0.0, engine}};
    for (const simulated_route &each : load.routes) {
        service_route route = makeRoute(each.name, pathOf(each), retry_policy::Stream, engineService);
        route.timeLimit = each.timeLimit;
        route.objective = each.objective;
        route.longestPause = each.longestPause;
        route.priority = each.priority;
        fields.routes.push_back(route);
    }
    for (const simulated_account &each : load.accounts) {
        fields.accounts.push_back({client_account_id(each.name), {keyOf(each)}, each.priority});
    }
    return fields;
}

} // namespace carawayloft::test_support
