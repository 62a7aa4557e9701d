#pragma once

#include <carawayloft/fleet/engine_timing.h>
#include <carawayloft/fleet/fleet_messages.h>

namespace carawayloft {

/**
 * Estimates the goodput of one group: the requests per second that it answers with the first event and every pause
 * between events within the objective. Derived from the engine's published figures for requests that arrive at random.
 */
class group_goodput
{
public:
    /** @p traffic gives lengths and objective; its rate is not used. */
    group_goodput(const engine_profile &engine, const model_profile &model, const model_traffic &traffic);

    /** Request rate with the highest goodput, per second. More requests than this make each other late. */
    double peakRate() const
    {
        return m_peakRate;
    }

    /** Fraction of this many requests per second that is answered on time if those beyond the peak rate are rejected. */
    double onTimeShare(double requestsPerSecond) const;

private:
    /** Steady state of the group under a constant request rate. */
    struct steady_state {
        engine_duration iteration{0}; /**< Mean length. */
        engine_duration deviation{0}; /**< Standard deviation of the length. */
        double carriedOver = 0.0; /**< Part of the length of one iteration that is added to the next. */
    };

    steady_state steadyState(double requestsPerSecond) const;
    double saturationRate() const;
    double admittedOnTimeShare(double requestsPerSecond) const;

    double m_slots;
    double m_iterationsPerAnswer;
    engine_duration m_idleIteration; /**< Without any request. */
    engine_duration m_iterationPerRequest; /**< Added for each running request. */
    engine_duration m_prefill; /**< Of a prompt of average length. */
    double m_promptVariation; /**< Standard deviation of the prefill time over its mean. */
    engine_duration m_objective;
    double m_peakRate = 0.0;
    double m_peakShare = 1.0;
};

} // namespace carawayloft
