#include <carawayloft/gateway/fleet_limiter.h>

#include <algorithm>
#include <cmath>

namespace carawayloft {

/** Share of the common limits in use; the rest covers requests in flight while gateways start and stop. */
static constexpr double sharedLimitShare = 0.8;

static constexpr duration sendWindow{1'000};

/** Share in use of the limit on sends to a warm server, which may turn cold. */
static constexpr double warmRateShare = 0.92;

/** Spreads sends to one server over the window; otherwise all gateways would send at once at the start of each window. */
static constexpr duration burstWindow{150};
static constexpr double burstSlack = 1.0;

fleet_limiter::fleet_limiter(const fleet_limits &limits)
    : m_limits(limits)
{
}

void fleet_limiter::setGateways(std::uint32_t gateways, time_point now)
{
    if (m_gateways == 0) {
        // A previous gateway process may have used this share within the same window.
        m_slackFrom = now + m_limits.retryWindow;
    }
    m_gateways = std::max<std::uint32_t>(gateways, 1);
}

fleet_limiter::service_window &fleet_limiter::windowFor(const service_id &service)
{
    return m_services.try_emplace(service, service_window{sliding_window_counter(m_limits.retryWindow), sliding_window_counter(m_limits.retryWindow)})
        .first->second;
}

void fleet_limiter::countRequest(const service_id &service, time_point now)
{
    windowFor(service).requests.add(now);
}

bool fleet_limiter::takeRetry(const service_id &service, time_point now)
{
    service_window &window = windowFor(service);
    const double earned = m_limits.retryRatio * static_cast<double>(window.requests.count(now));
    const double slack = m_gateways > 0 && now >= m_slackFrom ? m_limits.retrySlack / m_gateways : 0.0;
    if (static_cast<double>(window.retries.count(now)) + 1.0 > sharedLimitShare * (earned + slack)) {
        return false;
    }
    window.retries.add(now);
    return true;
}

bool fleet_limiter::takeSend(const backend_id &backend, double coldRequestsPerSecond, bool cold, std::optional<double> otherGatewaysRate, time_point now)
{
    if (coldRequestsPerSecond <= 0.0) {
        return true;
    }
    const double limit = cold ? coldRequestsPerSecond : warmRateShare * (coldRequestsPerSecond * m_limits.coldRateFactor + m_limits.coldRateSlack);
    const double equalShare = limit / std::max<std::uint32_t>(m_gateways, 1);
    const double ownLimit = std::max(1.0, std::floor(otherGatewaysRate ? std::max(equalShare, (limit - *otherGatewaysRate) * sharedLimitShare) : equalShare));
    sliding_window_counter &sends = m_sends.try_emplace(backend, sliding_window_counter(sendWindow)).first->second;
    const double maxBurst = std::ceil(ownLimit * (std::chrono::duration<double>(burstWindow) / std::chrono::duration<double>(sendWindow))) + burstSlack;
    if (static_cast<double>(sends.count(now)) + 1.0 > ownLimit || static_cast<double>(sends.countSince(now - burstWindow)) + 1.0 > maxBurst) {
        return false;
    }
    sends.add(now);
    return true;
}

} // namespace carawayloft
