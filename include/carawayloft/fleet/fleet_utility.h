#pragma once

#include <carawayloft/fleet/fleet_composition.h>
#include <carawayloft/fleet/fleet_traffic.h>
#include <carawayloft/fleet/group_goodput.h>
#include <carawayloft/fleet/plan_capacity.h>

#include <compare>
#include <vector>

namespace carawayloft {

/**
 * Utility function over the composition of a fleet. The unit is the work that is expected to finish in time, in busy
 * group-seconds per second, over the losses of members and of whole fabric domains that the fleet has to bear.
 */
class fleet_utility
{
public:
    /**
     * @p engine must outlive this object.
     *
     * @param capacities What the groups of a model take, over what the published figures promise; 1 for models without an entry.
     */
    fleet_utility(const engine_profile &engine, const fleet_traffic &traffic, const capacity_factors &capacities = {});

    /** Work expected in time, plus a bonus for the worst-served model, minus a penalty for models with traffic and no group. */
    double of(const fleet_composition &fleet) const;

    /** Fraction of the traffic of the model that this many groups serve in time while none is lost. */
    double onTimeFraction(const model_id &model, std::size_t groups) const;

    /** The same if groups answer this part of what the published figures promise. */
    double onTimeFraction(const model_id &model, std::size_t groups, double capacityFactor) const;

    const std::vector<model_profile> &models() const
    {
        return m_engine->models;
    }

private:
    /** Groups of one model. */
    struct model_groups {
        std::size_t withSpare = 0; /**< In domains with a spare. */
        std::size_t withoutSpare = 0;

        friend auto operator<=>(const model_groups &, const model_groups &) = default;
    };
    using fleet_groups = std::vector<model_groups>; /**< In the order of the engine's models. */

    /** Demand for a model, and what numbers of groups make of it. */
    struct model_demand {
        double requestsPerSecond = 0.0;
        double capacityFactor = 1.0;
        double work = 0.0; /**< Busy group-seconds per second. */
        group_goodput goodput;
        double outageWithSpare = 0.0; /**< Fraction of the time that a group is out, if its domain has a spare. */
        double outageWithoutSpare = 0.0;
        mutable std::vector<double> shares; /**< On-time share by number of serving groups. */
        mutable std::map<model_groups, double> expectedShares; /**< Over the outages of the groups. */
    };

    double expectedWork(const fleet_groups &groups) const;
    double workAfterGroupLoss(const fleet_groups &groups) const;
    double workAfterDomainLoss(const fleet_composition &fleet, const fleet_groups &groups) const;
    const model_demand &demandFor(const model_id &model) const;
    static double shareOf(const model_demand &demand, std::size_t groups);
    static double expectedShare(const model_demand &demand, const model_groups &groups);

    const engine_profile *m_engine;
    std::vector<model_demand> m_demands; /**< In the order of the engine's models. */
    double m_totalWork = 0.0;
};

} // namespace carawayloft
