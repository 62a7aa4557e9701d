#pragma once

#include <carawayloft/gateway/admission_demand.h>

#include <memory>
#include <vector>

namespace carawayloft {

/** Fractions of the requests for one model to admit; the rest is rejected on arrival. */
class admission_shares
{
public:
    /** Admits everything. */
    admission_shares() = default;

    /**
     * Divides @p capacity, in requests per second: ranks in order, max-min fairly among the accounts of a rank, with a
     * floor for each account, and last the @p returningPerSecond requests that return after a rejection.
     *
     * @param usualCapacity Average of the capacity. An account that is below its fair share at that one loses nothing while
     * the capacity is lower for a short time, as far as the others keep their floor.
     */
    admission_shares(double capacity, std::shared_ptr<const admission_demand> demand, double returningPerSecond, double usualCapacity = 0.0);

    /** Of the first attempts of an account. An account without demand so far is treated like the smallest. */
    double of(request_rank rank, const client_account_id &account) const;

    /** Of returning requests. */
    double returning() const
    {
        return m_returning;
    }

private:
    void divide(const admission_demand::rank_classes &rank, double allotment, double usualAllotment);

    std::shared_ptr<const admission_demand> m_demand;
    std::vector<double> m_shares; /**< By position of the class in the demand. */
    std::vector<double> m_shareOfOthers; /**< By position of the rank: of accounts without an entry. */
    double m_overall = 1.0; /**< Of all first attempts. */
    double m_returning = 1.0;
};

} // namespace carawayloft
