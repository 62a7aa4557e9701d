#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/gateway/admission_messages.h>
#include <carawayloft/gateway/admission_shares.h>
#include <carawayloft/gateway/retry_schedule.h>

#include <map>
#include <random>

namespace carawayloft {

/**
 * Decides which requests to admit. All gateways share the groups, and none sees soon enough what the others send, so
 * each admits the same fractions of its requests, by the demand at all of them.
 */
class admission_control
{
public:
    using input = admission_control_input;
    using output = admission_control_output;

    /** @p seed should differ between gateways, so that they do not admit their few requests of an account in step. */
    explicit admission_control(std::uint64_t seed);

    /** Answers each request with one decision; other inputs have no output. */
    std::vector<output> step(const input &in, time_point now);

    /** Whether the capacity of the model was assessed no longer than 100 ms ago and after the last grant. */
    bool knowsCapacity(const model_id &model, time_point now) const;

private:
    using account_class = std::pair<request_rank, client_account_id>;

    struct model_state {
        explicit model_state(std::uint64_t seed)
            : schedule(seed)
        {
        }

        bool hasDemand = false;
        double firstAttempts = 0.0; /**< At all gateways by the last grant, per second. */
        double returning = 0.0;
        std::shared_ptr<const admission_demand> demand; /**< The mix of ranks and accounts; its sum may differ from firstAttempts. */
        time_point grantedAt;
        double ownAtGrant = 0.0; /**< First attempts at this gateway when the grant came, per second. */
        double own = 0.0;
        std::uint32_t gateways = 1;
        bool isAssessed = false;
        time_point assessedAt;
        std::optional<double> capacity;
        double usualCapacity = 0.0; /**< Moving average. */
        std::optional<admission_shares> shares; /**< For what is known now; computed when next needed. */
        double scale = 1.0; /**< First attempts over those by the last grant, when the shares were computed. */
        std::map<account_class, double> credits; /**< What is left of the fractions of earlier requests. */
        double returningCredit = 0.0;
        retry_schedule schedule;
    };

    void handle(const demand_granted &in);
    void handle(const own_demand_measured &in);
    void handle(const capacity_assessed &in);
    void handle(const admission_request &in);
    void handle(const unserved_request &in);

    model_state &stateOf(const model_id &model);
    void applyDemand(model_state &state, const model_traffic &traffic, std::vector<class_demand> classes) const;
    void averageCapacity(model_state &state, double capacity) const;
    const admission_shares &sharesOf(model_state &state) const;
    double &creditOf(model_state &state, const admission_request &request);
    static bool consumeCredit(double &credit, double share);
    admission_decision assess(model_state &state, const admission_request &request) const;
    void setRetryTime(admission_decision &decision, model_state &state, const admission_request &request) const;

    std::mt19937_64 m_random;
    time_point m_now;
    std::vector<output> m_out;
    std::map<model_id, model_state> m_models;
};

static_assert(filter<admission_control>);

} // namespace carawayloft
