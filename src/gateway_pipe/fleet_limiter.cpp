#include <carawayloft/gateway/fleet_limiter.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Part of the shared bounds that is used; the rest covers requests on their way when gateways come and go. */
static constexpr double usedShare = 0.8;

static constexpr duration coldWindow{1'000};

/** Part of the bound on sends to a server that is used. */
static constexpr double usedColdShare = 0.92;

/** Sends to one server are spread over the window, or all gateways would send at once whenever it begins anew. */
static constexpr duration spreadWindow{150};
static constexpr double spareSpread = 1.0;

fleet_limiter::fleet_limiter(const fleet_limits &limits)
    : m_limits(limits)
{
}

void fleet_limiter::setGateways(std::uint32_t gateways, time_point now)
{
    if (m_gateways == 0) {
        // What ran here before may have used its part within the same window.
        m_slackFrom = now + m_limits.retryWindow;
    }
    m_gateways = std::max<std::uint32_t>(gateways, 1);
}

fleet_limiter::service_window &fleet_limiter::windowOf(const service_id &service)
{
    return m_services.try_emplace(service, service_window{sliding_window_counter(m_limits.retryWindow), sliding_window_counter(m_limits.retryWindow)})
        .first->second;
}

void fleet_limiter::countRequest(const service_id &service, time_point now)
{
    windowOf(service).requests.add(now);
}

bool fleet_limiter::takeRetry(const service_id &service, time_point now)
{
    service_window &window = windowOf(service);
    const double earned = m_limits.retryRatio * static_cast<double>(window.requests.count(now));
    const double spare = m_gateways > 0 && now >= m_slackFrom ? m_limits.retrySlack / m_gateways : 0.0;
    if (static_cast<double>(window.repeats.count(now)) + 1.0 > usedShare * (earned + spare)) {
        return false;
    }
    window.repeats.add(now);
    return true;
}

bool fleet_limiter::takeColdSend(const backend_id &backend, double coldRequestsPerSecond, bool cold, std::optional<double> others, time_point now)
{
    if (coldRequestsPerSecond <= 0.0) {
        return true;
    }
    const double bound = cold ? coldRequestsPerSecond : usedColdShare * (coldRequestsPerSecond * m_limits.coldRateFactor + m_limits.coldRateSlack);
    const double part = bound / std::max<std::uint32_t>(m_gateways, 1);
    const double own = std::max(1.0, std::floor(others ? std::max(part, (bound - *others) * usedShare) : part));
    sliding_window_counter &sends = m_sends.try_emplace(backend, sliding_window_counter(coldWindow)).first->second;
    const double spread = std::ceil(own * (std::chrono::duration<double>(spreadWindow) / std::chrono::duration<double>(coldWindow))) + spareSpread;
    if (static_cast<double>(sends.count(now)) + 1.0 > own || static_cast<double>(sends.countSince(now - spreadWindow)) + 1.0 > spread) {
        return false;
    }
    sends.add(now);
    return true;
}

} // namespace carawayloft
