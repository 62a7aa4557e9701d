#include <carawayloft/gateway/request_rank.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace carawayloft {

static constexpr std::uint32_t interruptedUrgency = 0;
static constexpr std::uint32_t returningUrgency = 9;

/** Urgency of the middle rank, that of the highest and lowest rank at most this far from it, and of neighbours at most this far from each other. */
static constexpr double middleUrgency = 5.0;
static constexpr double maxUrgencyOffset = 3.0;
static constexpr double maxUrgencyStep = 2.0;

request_rank rankOf(const service_route &route, const account_settings *account)
{
    return request_rank(account != nullptr && account->priority ? *account->priority : route.priority);
}

urgency_scale::urgency_scale(const service_configuration &configuration)
{
    const auto &accounts = configuration.accounts();
    std::set<request_rank> ranks;
    for (const service_route &route : configuration.routes()) {
        if (route.isPublic || !configuration.requiresAccessKey()) {
            ranks.insert(rankOf(route, nullptr));
            continue;
        }
        for (const account_settings &account : accounts) {
            ranks.insert(rankOf(route, &account));
        }
    }
    m_ranks.assign(ranks.begin(), ranks.end());
}

std::optional<std::uint32_t> urgency_scale::urgencyOf(const dispatch_precedence &precedence) const
{
    if (m_ranks.size() < 2) {
        return std::nullopt;
    }
    if (precedence.progress != request_progress::FirstAttempt) {
        return precedence.progress == request_progress::Interrupted ? interruptedUrgency : returningUrgency;
    }
    const auto position = std::lower_bound(m_ranks.begin(), m_ranks.end(), precedence.rank) - m_ranks.begin();
    const double middle = static_cast<double>(m_ranks.size() - 1) / 2.0;
    const double step = std::min(maxUrgencyStep, maxUrgencyOffset / middle);
    const double offset = std::clamp((static_cast<double>(position) - middle) * step, -maxUrgencyOffset, maxUrgencyOffset);
    return static_cast<std::uint32_t>(std::lround(middleUrgency + offset));
}

} // namespace carawayloft
