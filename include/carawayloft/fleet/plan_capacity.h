#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <map>

namespace carawayloft {

/** Capacity of the groups of each model over the published one, as the plan of groups uses it. */
using capacity_factors = std::map<model_id, double>;

/**
 * Slow moving averages of the learned factors. A learned factor changes within seconds, faster than groups can be closed
 * and formed, so the plan uses its average.
 */
class plan_capacity
{
public:
    /** Models without an entry in @p learned are forgotten. The first factor of a model is taken as it is: a new leader goes on from the one before. */
    void record(const capacity_factors &learned, time_point now);

    /** Models without an entry have the published capacity. */
    const capacity_factors &factors() const
    {
        return m_factors;
    }

private:
    capacity_factors m_factors;
    time_point m_recordedAt;
};

} // namespace carawayloft
