#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <vector>

namespace carawayloft {

/** Rates of requests for one model at all gateways. */
struct admission_demand {
    std::vector<class_demand> firstAttempts; /**< Of this model only. */
    double returningPerSecond = 0.0; /**< Requests that return after a rejection. */
};

/** Fractions of the requests for one model to admit; the rest is rejected on arrival. */
class admission_shares
{
public:
    /** Admits everything. */
    admission_shares() = default;

    /**
     * Divides @p capacity, in requests per second: ranks in order, max-min fairly among the accounts of a rank, with a
     * floor for each account, and returning requests last.
     */
    admission_shares(double capacity, const admission_demand &demand);

    /** Of the first attempts of an account. An account without demand so far is treated like the smallest. */
    double of(request_rank rank, const client_account_id &account) const;

    /** Of returning requests. */
    double returning() const
    {
        return m_returning;
    }

    /** Rate that first attempts leave to returning requests, per second. */
    double freeRate() const
    {
        return m_freeRate;
    }

private:
    struct account_share {
        client_account_id account;
        double share = 1.0;
    };
    struct rank_shares {
        request_rank rank;
        std::vector<account_share> accounts; /**< In order of the account. */
        double others = 1.0; /**< Of accounts without an entry. */
    };

    rank_shares divide(request_rank rank, const std::vector<const class_demand *> &classes, double allotment) const;

    std::vector<rank_shares> m_ranks;
    double m_overall = 1.0; /**< Of all first attempts. */
    double m_returning = 1.0;
    double m_freeRate = 0.0;
};

} // namespace carawayloft
