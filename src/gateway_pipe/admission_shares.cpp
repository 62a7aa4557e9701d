#include <carawayloft/gateway/admission_shares.h>

#include <carawayloft/gateway/class_meter.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace carawayloft {

/** Least admitted share of an account, as a fraction of the admitted share of all first attempts. Every rank must keep at least minRankShare. */
static constexpr double minRankShare = 0.25;
static constexpr double minAccountShare = 0.3;
/** Standard deviations by which the counted demand of an account has to exceed its fair rate: less is chance. */
static constexpr double chanceDeviations = 1.0;

/** Capacity over the usual one below which it is reduced for a short time, and accounts above their usual fair share bear that first. */
static constexpr double reducedCapacityShare = 0.9;

static_assert(minAccountShare >= minRankShare, "the floor of the accounts keeps that of their rank, so only theirs is applied");

/** Number of accounts that an entry stands for. */
static double accountsOf(const class_demand &each)
{
    return std::max(1.0, static_cast<double>(each.otherAccounts));
}

/**
 * The rate per account up to which requests are admitted if the rates, each between its floor and its demand, sum to
 * @p allotment. The floor is the fraction @p floorShare of the demand.
 */
static double fairRate(std::span<const class_demand> classes, double floorShare, double allotment)
{
    struct slope_change {
        double rate;
        double slope;
    };
    std::vector<slope_change> changes;
    changes.reserve(2 * classes.size());
    double sum = 0.0;
    for (const class_demand &each : classes) {
        const double accounts = accountsOf(each);
        sum += floorShare * each.requestsPerSecond;
        changes.push_back({floorShare * each.requestsPerSecond / accounts, accounts});
        changes.push_back({each.requestsPerSecond / accounts, -accounts});
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

admission_shares::admission_shares(double capacity, std::shared_ptr<const admission_demand> demand, double returningPerSecond, double usualCapacity)
    : m_demand(std::move(demand))
    , m_shares(m_demand->classes().size(), 1.0)
{
    double lowerDemand = m_demand->requestsPerSecond();
    m_overall = lowerDemand > capacity ? capacity / lowerDemand : 1.0;
    const double floor = minAccountShare * m_overall;
    const double usualScale = capacity > 0.0 ? std::max(1.0, usualCapacity / capacity) : 1.0;
    double left = capacity;
    m_shareOfOthers.reserve(m_demand->ranks().size());
    for (const admission_demand::rank_classes &rank : m_demand->ranks()) {
        lowerDemand = std::max(0.0, lowerDemand - rank.requestsPerSecond);
        const double allotment = std::clamp(left - floor * lowerDemand, floor * rank.requestsPerSecond, rank.requestsPerSecond);
        divide(rank, allotment, std::min(rank.requestsPerSecond, usualScale * allotment));
        left = std::max(0.0, left - allotment);
    }
    m_returning = returningPerSecond > left ? left / returningPerSecond : 1.0;
}

/** Whether the demand of the class does not exceed @p fairRate beyond chance. */
static bool isWithin(const class_demand &each, double fairRate)
{
    const double perAccount = each.requestsPerSecond / accountsOf(each);
    const double deviation = std::sqrt(perAccount / std::chrono::duration<double>(class_meter::window).count());
    return perAccount - chanceDeviations * deviation <= fairRate;
}

/** Rates per account up to which the accounts of one rank are admitted. */
struct fair_rates {
    double usual = 0.0; /**< At the usual capacity. Accounts within it go before those above. */
    double within = 0.0;
    double above = 0.0;

    double of(const class_demand &each) const
    {
        return isWithin(each, usual) ? within : above;
    }
};

static fair_rates ratesOf(std::span<const class_demand> classes, double floorShare, double allotment, double usualAllotment)
{
    fair_rates rates;
    rates.usual = fairRate(classes, floorShare, std::max(allotment, usualAllotment));
    std::vector<class_demand> within;
    std::vector<class_demand> above;
    double demandWithin = 0.0;
    double floorAbove = 0.0;
    for (const class_demand &each : classes) {
        if (isWithin(each, rates.usual)) {
            within.push_back(each);
            demandWithin += each.requestsPerSecond;
        } else {
            above.push_back(each);
            floorAbove += floorShare * each.requestsPerSecond;
        }
    }
    const bool isReduced = allotment < reducedCapacityShare * usualAllotment;
    const bool fits = demandWithin + floorAbove <= allotment;
    if (!fits && !isReduced) {
        rates.within = rates.above = fairRate(classes, floorShare, allotment);
        return rates;
    }
    const double allotmentWithin = std::min(demandWithin, allotment - floorAbove);
    rates.within = fits ? std::numeric_limits<double>::infinity() : fairRate(within, floorShare, allotmentWithin);
    rates.above = fairRate(above, floorShare, allotment - allotmentWithin);
    return rates;
}

void admission_shares::divide(const admission_demand::rank_classes &rank, double allotment, double usualAllotment)
{
    if (allotment >= rank.requestsPerSecond) {
        m_shareOfOthers.push_back(1.0);
        return;
    }
    const double floor = minAccountShare * m_overall;
    const std::span<const class_demand> classes(m_demand->classes().data() + rank.begin, rank.end - rank.begin);
    const fair_rates rates = ratesOf(classes, floor, allotment, usualAllotment);
    double greatest = floor;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        double &share = m_shares[rank.begin + i];
        share = std::clamp(rates.of(classes[i]) * accountsOf(classes[i]) / classes[i].requestsPerSecond, floor, 1.0);
        greatest = std::max(greatest, share);
    }
    const bool hasSumOfOthers = classes.back().otherAccounts > 0;
    m_shareOfOthers.push_back(hasSumOfOthers ? m_shares[rank.end - 1] : greatest);
}

double admission_shares::of(request_rank rank, const client_account_id &account) const
{
    if (m_demand == nullptr) {
        return 1.0;
    }
    const auto &ranks = m_demand->ranks();
    const auto ranked = std::find_if(ranks.begin(), ranks.end(), [&](const admission_demand::rank_classes &each) { return each.rank == rank; });
    if (ranked == ranks.end()) {
        return m_overall;
    }
    const auto first = m_demand->classes().begin() + static_cast<std::ptrdiff_t>(ranked->begin);
    const auto last = m_demand->classes().begin() + static_cast<std::ptrdiff_t>(ranked->end);
    const auto found = std::lower_bound(
        first, last, account, [](const class_demand &each, const client_account_id &id) { return each.otherAccounts == 0 && each.account < id; });
    if (found == last || found->otherAccounts > 0 || found->account != account) {
        return m_shareOfOthers[static_cast<std::size_t>(ranked - ranks.begin())];
    }
    return m_shares[static_cast<std::size_t>(found - m_demand->classes().begin())];
}

} // namespace carawayloft
