#pragma once

#include <carawayloft/fleet/fleet_traffic.h>
#include <carawayloft/service/service_configuration.h>

namespace carawayloft {

/** Fractions of the requests for a model to admit; the rest is rejected on arrival. */
struct admission_shares {
    double fresh = 1.0; /**< Of first attempts. */
    double returning = 1.0; /**< Of requests that return after a rejection and can only be late. */
};

/**
 * Decides how much of the demand to admit. All gateways share the groups, and none sees soon enough what the others
 * send, so each admits the same fraction of its requests, by the demand at all of them. First attempts go before
 * requests that can only be late.
 */
class load_shedder
{
public:
    /** Sets the demand at all gateways, as control reports it. */
    void setDemand(const std::vector<model_traffic> &demand);

    /** Fractions to admit; @p groups counts the groups that serve the model, slow ones in proportion to their speed. */
    admission_shares sharesFor(const engine_profile &engine, const model_profile &model, double groups) const;

    /** How many groups a head that takes this many requests per second counts for at most; zero stands for no limit. */
    double groupsForRate(const engine_profile &engine, const model_profile &model, double requestsPerSecond) const;

    /** Whether to admit one more request. Admits the fraction evenly over time, since bursts make each other late. */
    bool admit(const engine_profile &engine, const model_profile &model, double groups, bool isReturning);

private:
    fleet_traffic m_demand;
    std::map<model_id, admission_shares> m_credits; /**< What is left of the fractions of earlier requests. */
};

} // namespace carawayloft
