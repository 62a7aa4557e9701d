#include <carawayloft/gateway/admission_demand.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace carawayloft {

/** Rates below this are rounding errors; a division by them gives no usable share. */
static constexpr double minRequestsPerSecond = 1e-6;

admission_demand::admission_demand(std::vector<class_demand> classes)
    : m_classes(std::move(classes))
{
    std::erase_if(m_classes, [](const class_demand &each) { return !std::isfinite(each.requestsPerSecond) || each.requestsPerSecond < minRequestsPerSecond; });
    std::sort(m_classes.begin(), m_classes.end(), [](const class_demand &left, const class_demand &right) {
        const bool leftIsSum = left.otherAccounts > 0;
        const bool rightIsSum = right.otherAccounts > 0;
        return std::tie(left.rank, leftIsSum, left.account) < std::tie(right.rank, rightIsSum, right.account);
    });
    for (std::size_t i = 0; i < m_classes.size(); ++i) {
        if (m_ranks.empty() || m_ranks.back().rank != m_classes[i].rank) {
            m_ranks.push_back({m_classes[i].rank, i, i, 0.0});
        }
        m_ranks.back().end = i + 1;
        m_ranks.back().requestsPerSecond += m_classes[i].requestsPerSecond;
        m_total += m_classes[i].requestsPerSecond;
    }
}

} // namespace carawayloft
