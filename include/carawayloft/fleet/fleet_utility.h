#pragma once

#include <carawayloft/fleet/engine_timing.h>
#include <carawayloft/fleet/fleet_traffic.h>

#include <map>
#include <vector>

namespace carawayloft {

/** Number of groups of each model. */
using group_counts = std::map<model_id, std::size_t>;

/** The groups of a fleet, and the number of fabric domains that could replace a lost member at once. */
struct fleet_counts {
    group_counts groups;
    std::size_t domainsWithSpares = 0;
};

/**
 * Utility function over the number of groups of each model. The unit is the work that is finished in time, in busy
 * group-seconds per second.
 */
class fleet_utility
{
public:
    /** @p engine must outlive this object. */
    fleet_utility(const engine_profile &engine, const fleet_traffic &traffic);

    /**
     * Work that is finished in time, plus a bonus for the worst-served model and for spares, which limit the loss
     * when a member fails, minus a penalty for models with traffic and no group.
     */
    double of(const fleet_counts &fleet) const;

    /** Fraction of the traffic of the model that these groups serve in time. */
    double onTimeFraction(const model_id &model, const group_counts &groups) const;

    const std::vector<model_profile> &models() const
    {
        return m_engine->models;
    }

private:
    double onTimeWork(const group_counts &groups) const;

    const engine_profile *m_engine;
    std::map<model_id, double> m_offeredLoad; /**< Offered load of each model, in group-seconds per second. */
    double m_totalLoad = 0.0;
};

} // namespace carawayloft
