#pragma once

#include <carawayloft/fleet/fleet_composition.h>
#include <carawayloft/fleet/fleet_traffic.h>
#include <carawayloft/fleet/group_goodput.h>

#include <vector>

namespace carawayloft {

/**
 * Utility function over the composition of a fleet. The unit is the work that is expected to finish in time, in busy
 * group-seconds per second, over the losses of members and of whole fabric domains that the fleet has to bear.
 */
class fleet_utility
{
public:
    /** @p engine must outlive this object. */
    fleet_utility(const engine_profile &engine, const fleet_traffic &traffic);

    /** Work expected in time, plus a bonus for the worst-served model, minus a penalty for models with traffic and no group. */
    double of(const fleet_composition &fleet) const;

    /** Fraction of the traffic of the model that this many groups serve in time while none is lost. */
    double onTimeFraction(const model_id &model, std::size_t groups) const;

    const std::vector<model_profile> &models() const
    {
        return m_engine->models;
    }

private:
    /** Demand for a model, and what numbers of groups make of it. */
    struct model_demand {
        double requestsPerSecond = 0.0;
        double work = 0.0; /**< Busy group-seconds per second. */
        group_goodput goodput;
        double outageWithSpare = 0.0; /**< Fraction of the time that a group is out, if its domain has a spare. */
        double outageWithoutSpare = 0.0;
        mutable std::vector<double> shareWithSpares; /**< Expected on-time share by number of groups. */
        mutable std::vector<double> shareWithoutSpares;
    };

    double expectedWork(const group_counts &groups, double spareShare) const;
    double workAfterGroupLoss(const group_counts &groups, double spareShare) const;
    double workAfterDomainLoss(const fleet_composition &fleet, const group_counts &groups, double spareShare) const;
    double expectedShare(const model_demand &demand, std::size_t groups, double spareShare) const;

    const engine_profile *m_engine;
    std::vector<model_demand> m_demands; /**< In the order of the engine's models. */
    double m_totalWork = 0.0;
};

} // namespace carawayloft
