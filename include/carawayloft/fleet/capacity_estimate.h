#pragma once

#include <carawayloft/core/units.h>

#include <vector>

namespace carawayloft {

/** How one group served callers within the last second, over all gateways. */
struct group_outcome {
    double answered = 0.0; /**< First attempts whose first event came, or whose objective passed without one. */
    double late = 0.0; /**< Answers that missed the objective of the first event or of a pause. */
};

/** How the groups of one model served callers within the last second, over all gateways. */
struct capacity_observation {
    std::vector<group_outcome> groups;
    double demand = 0.0; /**< Requests per second that callers ask for, those that return included. */
    double publishedCapacity = 0.0; /**< Requests per second that the groups answer on time by the published figures. */
};

/**
 * Estimates the fraction of the published capacity that the groups of one model answer on time. While callers ask for more
 * than the capacity, the factor rises until answers get late, slowly at first, and falls back below the largest factor that
 * held; if answers are late at that factor too, it has become smaller. A stalled group is left out, since it makes answers
 * late at any load. With less demand, answers on time tell nothing, and the factor returns to one, which stands for the
 * published figures.
 */
class capacity_estimate
{
public:
    /** Starts from a factor that another process has learned. */
    explicit capacity_estimate(double factor = 1.0);

    void record(const capacity_observation &seen, time_point now);

    /** Learned capacity over the published one. */
    double factor() const
    {
        return m_factor;
    }

    /** Observed fraction of answers on time; one while too few were observed. */
    double onTimeShare() const
    {
        return m_onTimeShare;
    }

private:
    void lower(double lateShare, time_point now);
    void recover(std::chrono::duration<double> step);
    void grow(double lateShare, std::chrono::duration<double> step, time_point now);
    void age(std::chrono::duration<double> step);
    bool hasSettled(time_point now) const;

    double m_factor;
    double m_sustainedFactor; /**< Largest factor at which answers were on time. */
    double m_onTimeShare = 1.0;
    time_point m_recordedAt;
    time_point m_loweredAt;
    time_point m_exceededAt; /**< When more than the capacity was last admitted. */
};

} // namespace carawayloft
