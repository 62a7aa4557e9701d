#pragma once

#include <carawayloft/service/service_configuration.h>

namespace carawayloft::test_support {

inline const service_id engineService("drafting-models");
inline const service_id plainService("checklist-records");
inline const model_id largeModel("large");
inline const model_id smallModel("small");
inline const access_key knownKey("key-1");

inline engine_profile makeEngine(std::uint32_t largeSize = 2, std::uint32_t smallSize = 1)
{
    engine_profile engine;
    engine.slots = 8;
    engine.stepsPerIteration = 6;
    engine.step = engine_duration(6.0);
    engine.prefillTokensPerSecond = 50'000.0;
    engine.loadsPerSecond = 3.0;
    engine.loadsAtOnce = 6;
    engine.models = {{largeModel, largeSize, 0.57, 1.0, engine_duration(16'000), engine_duration(1'600)},
                     {smallModel, smallSize, 0.43, 0.6, engine_duration(12'000), engine_duration(1'100)}};
    return engine;
}

inline service_route makeRoute(const std::string &name, const std::string &prefix, retry_policy kind, const service_id &service)
{
    service_route route;
    route.name = name;
    route.host = "ledger.example";
    route.pathPrefix = prefix;
    route.kind = kind;
    route.timeLimit = duration(5'000);
    route.objective = duration(300);
    route.longestPause = duration(200);
    route.attempts = kind == retry_policy::NonIdempotent ? 1 : 2;
    route.resumable = kind == retry_policy::Stream;
    route.targets = {{service, 1}};
    return route;
}

/** Streams at /draft/, sign-offs at /sign/, records at /records/. */
inline configuration_fields makeFields(std::uint64_t version = 1)
{
    configuration_fields fields;
    fields.version = configuration_version(version);
    fields.routes = {makeRoute("draft", "/draft/", retry_policy::Stream, engineService),
                     makeRoute("sign", "/sign/", retry_policy::NonIdempotent, plainService),
                     makeRoute("records", "/records/", retry_policy::Idempotent, plainService)};
    fields.services = {{engineService, 500, 0.0, makeEngine()}, {plainService, 100, 0.0, std::nullopt}};
    fields.accounts = {{client_account_id("firm"), {knownKey}, std::nullopt}};
    fields.requiresAccessKey = true;
    return fields;
}

} // namespace carawayloft::test_support
