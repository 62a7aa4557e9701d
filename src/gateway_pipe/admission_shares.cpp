#include <carawayloft/gateway/admission_shares.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace carawayloft {

/** Least admitted share of a rank and of an account, over the admitted share of all first attempts. */
static constexpr double minRankShare = 0.25;
static constexpr double minAccountShare = 0.3;
static_assert(minAccountShare >= minRankShare, "the floor of the accounts keeps that of their rank, so only theirs is applied");

/** Rates below this are rounding errors; a division by them gives no usable share. */
static constexpr double minRate = 1e-6;

/** Number of accounts that an entry stands for. */
static double accountsOf(const class_demand &each)
{
    return std::max(1.0, static_cast<double>(each.otherAccounts));
}

/**
 * The rate per account up to which requests are admitted if the rates, each between its floor and its demand, sum to
 * @p allotment. The floor is the fraction @p floorShare of the demand.
 */
static double fairRate(const std::vector<const class_demand *> &classes, double floorShare, double allotment)
{
    struct slope_change {
        double rate;
        double slope;
    };
    std::vector<slope_change> changes;
    changes.reserve(2 * classes.size());
    double sum = 0.0;
    for (const class_demand *each : classes) {
        const double accounts = accountsOf(*each);
        sum += floorShare * each->requestsPerSecond;
        changes.push_back({floorShare * each->requestsPerSecond / accounts, accounts});
        changes.push_back({each->requestsPerSecond / accounts, -accounts});
    }
    std::sort(changes.begin(), changes.end(), [](const slope_change &left, const slope_change &right) { return left.rate < right.rate; });
    double rate = 0.0;
    double slope = 0.0;
    for (const slope_change &each : changes) {
        const double next = sum + slope * (each.rate - rate);
        if (next >= allotment) {
            return slope > 0.0 ? rate + std::max(0.0, allotment - sum) / slope : rate;
        }
        sum = next;
        rate = each.rate;
        slope += each.slope;
    }
    return std::numeric_limits<double>::infinity();
}

admission_shares::admission_shares(double capacity, const admission_demand &demand)
{
    std::map<request_rank, std::vector<const class_demand *>> ranks;
    double total = 0.0;
    for (const class_demand &each : demand.firstAttempts) {
        if (std::isfinite(each.requestsPerSecond) && each.requestsPerSecond > minRate) {
            ranks[each.rank].push_back(&each);
            total += each.requestsPerSecond;
        }
    }
    m_overall = total > capacity ? capacity / total : 1.0;
    double left = capacity;
    double lowerDemand = total;
    for (const auto &[rank, classes] : ranks) {
        double rankDemand = 0.0;
        for (const class_demand *each : classes) {
            rankDemand += each->requestsPerSecond;
        }
        lowerDemand = std::max(0.0, lowerDemand - rankDemand);
        const double floor = minAccountShare * m_overall;
        const double allotment = std::clamp(left - floor * lowerDemand, floor * rankDemand, rankDemand);
        m_ranks.push_back(divide(rank, classes, allotment));
        left = std::max(0.0, left - allotment);
    }
    m_freeRate = left;
    m_returning = demand.returningPerSecond > left ? left / demand.returningPerSecond : 1.0;
}

admission_shares::rank_shares admission_shares::divide(request_rank rank, const std::vector<const class_demand *> &classes, double allotment) const
{
    const double floor = minAccountShare * m_overall;
    const double fair = fairRate(classes, floor, allotment);
    rank_shares out{rank, {}, 0.0};
    bool hasOthers = false;
    double greatest = floor;
    for (const class_demand *each : classes) {
        const double share = std::clamp(fair * accountsOf(*each) / each->requestsPerSecond, floor, 1.0);
        greatest = std::max(greatest, share);
        if (each->otherAccounts > 0) {
            hasOthers = true;
            out.others = share;
        } else {
            out.accounts.push_back({each->account, share});
        }
    }
    out.others = hasOthers ? out.others : greatest;
    std::sort(out.accounts.begin(), out.accounts.end(), [](const account_share &left, const account_share &right) { return left.account < right.account; });
    return out;
}

double admission_shares::of(request_rank rank, const client_account_id &account) const
{
    const auto ranked = std::find_if(m_ranks.begin(), m_ranks.end(), [&](const rank_shares &each) { return each.rank == rank; });
    if (ranked == m_ranks.end()) {
        return m_overall;
    }
    const auto found = std::lower_bound(
        ranked->accounts.begin(), ranked->accounts.end(), account, [](const account_share &each, const client_account_id &id) { return each.account < id; });
    return found == ranked->accounts.end() || found->account != account ? ranked->others : found->share;
}

} // namespace carawayloft
