#include <carawayloft/fleet/engine_timing.h>

namespace carawayloft {

/** Context of a request while it runs; the exact one differs little in its effect. */
static constexpr double usualContextTokens = 1'200.0;

static constexpr double tokensPerThousand = 1'000.0;
static constexpr double pairsPerMillion = 1e6;

engine_duration prefillTime(const engine_profile &engine, const model_profile &model, double tokens)
{
    const double pairs = tokens * tokens / 2.0 / pairsPerMillion;
    const engine_duration plain(std::chrono::duration<double>(tokens / engine.prefillTokensPerSecond));
    return model.pace * (plain + engine.prefillPerMillionPairs * pairs);
}

/** Time of one token for each of @p running requests, at a pace of 1. */
static engine_duration stepTime(const engine_profile &engine, double running)
{
    const double context = running * usualContextTokens / tokensPerThousand;
    return engine.step + engine.stepPerRequest * running + engine.stepPerThousandTokens * context;
}

engine_duration iterationTime(const engine_profile &engine, const model_profile &model, const engine_load &work)
{
    const engine_duration reading(std::chrono::duration<double>(work.prefillTokens / engine.prefillTokensPerSecond));
    return model.pace * (stepTime(engine, work.running) * engine.stepsPerIteration + reading);
}

engine_duration requestTime(const engine_profile &engine, const model_profile &model, double promptTokens, double answerTokens)
{
    const engine_duration writing = model.pace * stepTime(engine, engine.slots) * (answerTokens / engine.slots);
    return prefillTime(engine, model, promptTokens) + writing;
}

} // namespace carawayloft
