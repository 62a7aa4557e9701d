#include <carawayloft/gateway/pass_time.h>

namespace carawayloft {

/** Context of a request while it runs; the exact one differs little in its effect. */
static constexpr double usualContextTokens = 1'200.0;

static constexpr double tokensPerThousand = 1'000.0;
static constexpr double pairsPerMillion = 1e6;

engine_time readTime(const engine_profile &engine, const model_profile &model, std::uint32_t tokens)
{
    const double pairs = static_cast<double>(tokens) * static_cast<double>(tokens) / 2.0 / pairsPerMillion;
    const engine_time plain(std::chrono::duration<double>(tokens / engine.readTokensPerSecond));
    return model.pace * (plain + engine.readPerMillionPairs * pairs);
}

engine_time passTime(const engine_profile &engine, const model_profile &model, const engine_work &work)
{
    const double context = work.running * usualContextTokens / tokensPerThousand;
    const engine_time step = engine.step + engine.stepPerRequest * work.running + engine.stepPerThousandTokens * context;
    const engine_time reading(std::chrono::duration<double>(work.unreadTokens / engine.readTokensPerSecond));
    return model.pace * (step * engine.stepsPerPass + reading);
}

} // namespace carawayloft
