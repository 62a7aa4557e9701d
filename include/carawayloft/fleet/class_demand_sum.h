#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <map>
#include <vector>

namespace carawayloft {

/** Sums demand by model, rank and client account, bounded in size. */
class class_demand_sum
{
public:
    /** Accounts of a model that keep entries of their own; the largest ones do. */
    static constexpr std::size_t maxAccounts = 64;

    /** Adds one entry. Ignores a rate that is negative or not finite, since one such rate would spoil the sum. */
    void add(const class_demand &part);

    /** At most maxAccounts entries for a model, and one for each rank with the sum over the accounts that were left out. */
    std::vector<class_demand> entries() const;

private:
    struct demand_class {
        request_rank rank;
        client_account_id account;
        bool isSumOfOthers = false;

        friend auto operator<=>(const demand_class &, const demand_class &) = default;
    };

    static void addTo(std::map<demand_class, class_demand> &sums, const class_demand &part);

    std::map<model_id, std::map<demand_class, class_demand>> m_sums;
};

} // namespace carawayloft
