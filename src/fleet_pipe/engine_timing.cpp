#include <carawayloft/fleet/engine_timing.h>

#include <limits>

namespace carawayloft {

/** Assumed context length of a running request; the exact length has little effect on the estimate. */
static constexpr double typicalContextTokens = 1'200.0;

static constexpr double tokensPerThousand = 1'000.0;
static constexpr double pairsPerMillion = 1e6;

engine_duration prefillTime(const engine_profile &engine, const model_profile &model, double tokens)
{
    const double pairs = tokens * tokens / 2.0 / pairsPerMillion;
    const engine_duration linear(std::chrono::duration<double>(tokens / engine.prefillTokensPerSecond.value()));
    return model.pace.value() * (linear + engine.prefillPerMillionPairs.value() * pairs);
}

/** Time of one decode step for @p running requests, at a pace of 1. */
static engine_duration stepTime(const engine_profile &engine, double running)
{
    const double context = running * typicalContextTokens / tokensPerThousand;
    return engine.step.value() + engine.stepPerRequest.value() * running + engine.stepPerThousandTokens.value() * context;
}

engine_duration iterationTime(const engine_profile &engine, const model_profile &model, const engine_load &load)
{
    const engine_duration prefill(std::chrono::duration<double>(load.prefillTokens / engine.prefillTokensPerSecond.value()));
    return model.pace.value() * (stepTime(engine, load.running) * engine.stepsPerIteration.value() + prefill);
}

double prefillTokensPerIteration(const engine_profile &engine)
{
    if (engine.prefillTokensPerStep == 0) {
        return std::numeric_limits<double>::max();
    }
    return static_cast<double>(engine.prefillTokensPerStep) * engine.stepsPerIteration.value();
}

engine_duration requestTime(const engine_profile &engine, const model_profile &model, double promptTokens, double answerTokens)
{
    const engine_duration decode = model.pace.value() * stepTime(engine, engine.slots.value()) * (answerTokens / engine.slots.value());
    return prefillTime(engine, model, promptTokens) + decode;
}

} // namespace carawayloft
