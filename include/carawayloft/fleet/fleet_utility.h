#pragma once

#include <carawayloft/fleet/engine_timing.h>
#include <carawayloft/fleet/fleet_messages.h>

#include <map>
#include <vector>

namespace carawayloft {

/** What callers ask of each model. */
using fleet_traffic = std::map<model_id, model_traffic>;

/** Groups of each model. */
using group_counts = std::map<model_id, std::size_t>;

/** What a fleet has: its groups, and how many fabric domains could replace a lost member at once. */
struct fleet_counts {
    group_counts groups;
    std::size_t domainsWithSpares = 0;
};

/** Weighs what groups a fleet should have, in seconds of a group's time for work that is done on time in a second. */
class fleet_utility
{
public:
    /** The engine's figures outlive this value. */
    fleet_utility(const engine_profile &engine, const fleet_traffic &traffic);

    /**
     * Work done on time, with a share for the worst-served model, and for spares what they save when a
     * member is lost.
     */
    double of(const fleet_counts &fleet) const;

    /** Part of what callers ask of the model that these groups do on time. */
    double onTime(const model_id &model, const group_counts &groups) const;

    const std::vector<model_profile> &models() const
    {
        return m_engine->models;
    }

private:
    double onTime(const group_counts &groups) const;

    const engine_profile *m_engine;
    std::map<model_id, double> m_work; /**< Of each model, in seconds of a group's time in a second. */
    double m_total = 0.0;
};

} // namespace carawayloft
