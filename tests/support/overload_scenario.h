#pragma once

#include <carawayloft/fleet/group_goodput.h>

#include "support/gateway_fleet.h"

namespace carawayloft::test_support {

/** Figures at which the on-time rate falls to half under overload if too much is admitted. */
inline engine_profile makeOverloadEngine()
{
    engine_profile engine = makeEngine(1, 1);
    engine.models.resize(1);
    engine.models.front().pace = 0.6;
    engine.slots = 48;
    engine.stepsPerIteration = 5;
    engine.step = engine_duration(6.45);
    engine.stepPerRequest = engine_duration(0.0967);
    engine.stepPerThousandTokens = engine_duration(0.00293);
    engine.prefillTokensPerSecond = 56'100.0;
    engine.prefillTokensPerStep = 2'048;
    engine.prefillPerMillionPairs = engine_duration(0.309);
    engine.meanPromptTokens = 674.0;
    engine.meanAnswerTokens = 150.0;
    return engine;
}

/** Requests per second that the published figures promise for one group. */
inline double publishedCapacity(const engine_profile &engine)
{
    const model_traffic traffic{largeModel, 0.0, engine.meanPromptTokens, engine.meanAnswerTokens, engine_duration(250)};
    return group_goodput(engine, engine.models.front(), traffic).peakRate();
}

/** A fleet of groups of that engine under a constant load, as a multiple of the published capacity. */
inline gateway_fleet_options makeOverload(std::size_t gateways, double load, std::size_t groups = 8)
{
    gateway_fleet_options options{gateways, groups, makeOverloadEngine(), 1.0, {}};
    options.load.rate = constant_rate{load * publishedCapacity(options.engine) * static_cast<double>(groups)};
    options.load.promptTokens = options.engine.meanPromptTokens;
    options.load.answerTokens = options.engine.meanAnswerTokens;
    options.load.maxAnswerTokens = 4.0 * options.engine.meanAnswerTokens; // Longer ones would not end within the time limit.
    return options;
}

/** Time from the first request until a load is taken to be known, and the time over which it is measured then. */
inline constexpr duration settlingTime{4'000};
inline constexpr duration measuredTime{8'000};
inline constexpr request_span measuredSpan{settlingTime, settlingTime + measuredTime};

/** Requests answered on time per second, once the load has been the same for a while. */
inline double steadyOnTimeRate(const gateway_fleet_options &options)
{
    gateway_fleet fleet(options);
    fleet.run(measuredSpan.until);
    return fleet.log().onTimeRate(measuredSpan);
}

/** The highest on-time rate at any constant load; overload is compared with it. */
inline double bestOnTimeRate(std::size_t gateways, std::size_t groups = 8)
{
    double best = 0.0;
    for (const double load : {0.7, 0.85, 1.0}) {
        best = std::max(best, steadyOnTimeRate(makeOverload(gateways, load, groups)));
    }
    return best;
}

/** Part of the best on-time rate that has to be kept under any load. */
inline constexpr double keptRate = 0.95;

inline std::string describe(const caller_outcomes &of)
{
    return std::to_string(of.asked) + " asked, " + std::to_string(of.onTime) + " on time, " + std::to_string(of.late) + " late, " + std::to_string(of.rejected)
           + " rejected, " + std::to_string(of.failed) + " failed, " + std::to_string(of.rejectedFirst) + " rejected at first";
}

} // namespace carawayloft::test_support
