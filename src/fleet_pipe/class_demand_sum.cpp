#include <carawayloft/fleet/class_demand_sum.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

void class_demand_sum::addTo(std::map<demand_class, class_demand> &sums, const class_demand &part)
{
    const bool isSumOfOthers = part.otherAccounts > 0;
    const demand_class key{part.rank, isSumOfOthers ? client_account_id() : part.account, isSumOfOthers};
    const auto [found, isNew] = sums.try_emplace(key, class_demand{part.model, part.rank, key.account, 0.0, 0});
    found->second.requestsPerSecond += part.requestsPerSecond;
    // Gateways leave out mostly the same accounts, so their numbers are not added up.
    found->second.otherAccounts = std::max(found->second.otherAccounts, part.otherAccounts);
}

void class_demand_sum::add(const class_demand &part)
{
    if (std::isfinite(part.requestsPerSecond) && part.requestsPerSecond > 0.0) {
        addTo(m_sums[part.model], part);
    }
}

std::vector<class_demand> class_demand_sum::entries() const
{
    std::vector<class_demand> out;
    for (const auto &[model, sums] : m_sums) {
        std::vector<class_demand> accounts;
        std::map<demand_class, class_demand> others;
        for (const auto &[key, each] : sums) {
            if (key.isSumOfOthers) {
                addTo(others, each);
            } else {
                accounts.push_back(each);
            }
        }
        const std::size_t kept = std::min(accounts.size(), maxAccounts);
        std::partial_sort(
            accounts.begin(), accounts.begin() + static_cast<std::ptrdiff_t>(kept), accounts.end(), [](const class_demand &left, const class_demand &right) {
                return left.requestsPerSecond > right.requestsPerSecond;
            });
        std::map<request_rank, std::uint32_t> leftOut;
        for (std::size_t i = kept; i < accounts.size(); ++i) {
            class_demand part = accounts[i];
            part.otherAccounts = ++leftOut[part.rank];
            addTo(others, part);
        }
        out.insert(out.end(), accounts.begin(), accounts.begin() + static_cast<std::ptrdiff_t>(kept));
        for (const auto &[key, each] : others) {
            out.push_back(each);
        }
    }
    return out;
}

} // namespace carawayloft
