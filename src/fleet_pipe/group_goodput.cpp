#include <carawayloft/fleet/group_goodput.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace carawayloft {

/** Standard deviation of prompt lengths over their mean while it is not known: that of exponentially distributed ones. */
static constexpr double defaultPromptVariation = 1.0;

/** Factor on the variation: lengths have a longer tail than the normal distribution that stands for them here. */
static constexpr double tailFactor = 1.6;

/** Square of the length of an interval over the variance of a value that is uniformly distributed in it. */
static constexpr double uniformVarianceDivisor = 12.0;

/** Request rates that are compared to find the highest goodput. */
static constexpr int rateSteps = 64;

/** Probability that a normally distributed value is below @p deviations from the mean. */
static double normalProbability(double deviations)
{
    return 0.5 * std::erfc(-deviations / std::numbers::sqrt2);
}

static double promptVariation(const model_traffic &traffic)
{
    if (traffic.promptTokens <= 0.0 || traffic.promptTokensSquared <= 0.0) {
        return tailFactor * defaultPromptVariation;
    }
    const double square = traffic.promptTokens * traffic.promptTokens;
    return tailFactor * std::sqrt(std::max(0.0, traffic.promptTokensSquared - square) / square);
}

static double perSecond(engine_duration time)
{
    return time / engine_duration(std::chrono::seconds(1));
}

group_goodput::group_goodput(const engine_profile &engine, const model_profile &model, const model_traffic &traffic)
    : m_slots(engine.slots.value())
    , m_iterationsPerAnswer(1.0 + traffic.answerTokens / engine.stepsPerIteration.value())
    , m_idleIteration(iterationTime(engine, model, {0.0, 0.0}))
    , m_iterationPerRequest(iterationTime(engine, model, {1.0, 0.0}) - m_idleIteration)
    , m_prefill(prefillTime(engine, model, traffic.promptTokens))
    , m_promptVariation(promptVariation(traffic))
    , m_objective(traffic.objective)
{
    const double limit = saturationRate();
    double best = 0.0;
    for (int i = 1; i < rateSteps; ++i) {
        const double rate = limit * i / rateSteps;
        const double share = admittedOnTimeShare(rate);
        if (rate * share > best) {
            best = rate * share;
            m_peakRate = rate;
            m_peakShare = share;
        }
    }
}

/** Rate at which all slots are in use; iterations grow without bound before or at it. */
double group_goodput::saturationRate() const
{
    const double perRequest = perSecond(m_prefill) + m_iterationsPerAnswer * perSecond(m_iterationPerRequest + m_idleIteration / m_slots);
    return 1.0 / perRequest;
}

/**
 * An iteration reads the prompts that arrived during the one before, and its length sets how many requests run, so the
 * growth of one iteration carries over to the next.
 */
group_goodput::steady_state group_goodput::steadyState(double requestsPerSecond) const
{
    const double carriedOver = requestsPerSecond * (perSecond(m_prefill) + m_iterationsPerAnswer * perSecond(m_iterationPerRequest));
    const engine_duration iteration = m_idleIteration / (1.0 - carriedOver);
    const double prefillSquare = m_prefill.count() * m_prefill.count() * (1.0 + m_promptVariation * m_promptVariation);
    const double variance = requestsPerSecond * perSecond(iteration) * prefillSquare / (1.0 - carriedOver * carriedOver);
    return {iteration, engine_duration(std::sqrt(variance)), carriedOver};
}

/** Fraction on time if all requests are admitted. */
double group_goodput::admittedOnTimeShare(double requestsPerSecond) const
{
    const steady_state state = steadyState(requestsPerSecond);
    const double deviation = state.deviation.count();
    // A prompt is more likely to arrive during a long iteration than during a short one.
    const double current = state.iteration.count() + deviation * deviation / state.iteration.count();
    const double next = m_idleIteration.count() + state.carriedOver * current;
    const double firstEvent = current / 2.0 + next + m_prefill.count();
    const double promptDeviation = m_promptVariation * m_prefill.count();
    const double firstEventDeviation = std::sqrt(current * current / uniformVarianceDivisor + deviation * deviation + promptDeviation * promptDeviation);
    const double firstInTime = normalProbability((m_objective.count() - firstEvent) / firstEventDeviation);
    const double pauseInTime = normalProbability((m_objective.count() - state.iteration.count()) / deviation);
    return firstInTime * std::pow(pauseInTime, m_iterationsPerAnswer);
}

double group_goodput::onTimeShare(double requestsPerSecond) const
{
    if (requestsPerSecond <= 0.0) {
        return 1.0;
    }
    return requestsPerSecond <= m_peakRate ? admittedOnTimeShare(requestsPerSecond) : m_peakShare * m_peakRate / requestsPerSecond;
}

} // namespace carawayloft
