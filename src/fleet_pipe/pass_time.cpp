#include <carawayloft/fleet/pass_time.h>

namespace carawayloft {

/** Context of a request while it runs; the exact one differs little in its effect. */
static constexpr double usualContextTokens = 1'200.0;

static constexpr double tokensPerThousand = 1'000.0;
static constexpr double pairsPerMillion = 1e6;

engine_time readTime(const engine_profile &engine, const model_profile &model, double tokens)
{
    const double pairs = tokens * tokens / 2.0 / pairsPerMillion;
    const engine_time plain(std::chrono::duration<double>(tokens / engine.prefillTokensPerSecond));
    return model.pace * (plain + engine.prefillPerMillionPairs * pairs);
}

/** Time of one token for each of @p running requests, at a pace of 1. */
static engine_time stepTime(const engine_profile &engine, double running)
{
    const double context = running * usualContextTokens / tokensPerThousand;
    return engine.step + engine.stepPerRequest * running + engine.stepPerThousandTokens * context;
}

engine_time passTime(const engine_profile &engine, const model_profile &model, const engine_work &work)
{
    const engine_time reading(std::chrono::duration<double>(work.unreadTokens / engine.prefillTokensPerSecond));
    return model.pace * (stepTime(engine, work.running) * engine.stepsPerIteration + reading);
}

engine_time requestTime(const engine_profile &engine, const model_profile &model, double promptTokens, double answerTokens)
{
    const engine_time writing = model.pace * stepTime(engine, engine.slots) * (answerTokens / engine.slots);
    return readTime(engine, model, promptTokens) + writing;
}

} // namespace carawayloft
