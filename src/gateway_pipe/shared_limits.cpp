#include <carawayloft/gateway/shared_limits.h>

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

shared_limits::shared_limits(const fleet_limits &limits)
    : m_limits(limits)
{
}

void shared_limits::setGateways(std::uint32_t gateways, time_point now)
{
    if (m_gateways == 0) {
        // What ran here before may have used its part within the same window.
        m_sharedSince = now + m_limits.repeatWindow;
    }
    m_gateways = std::max<std::uint32_t>(gateways, 1);
}

shared_limits::service_window &shared_limits::windowOf(const service_id &service)
{
    return m_services.try_emplace(service, service_window{sliding_count(m_limits.repeatWindow), sliding_count(m_limits.repeatWindow)}).first->second;
}

void shared_limits::countRequest(const service_id &service, time_point now)
{
    windowOf(service).requests.add(now);
}

bool shared_limits::takeRepeat(const service_id &service, time_point now)
{
    service_window &window = windowOf(service);
    const double earned = m_limits.repeatsPerRequest * static_cast<double>(window.requests.count(now));
    const double spare = m_gateways > 0 && now >= m_sharedSince ? m_limits.spareRepeats / m_gateways : 0.0;
    if (static_cast<double>(window.repeats.count(now)) + 1.0 > usedShare * (earned + spare)) {
        return false;
    }
    window.repeats.add(now);
    return true;
}

bool shared_limits::takeColdSend(const backend_id &backend, double coldRequestsPerSecond, bool cold, std::optional<double> others, time_point now)
{
    if (coldRequestsPerSecond <= 0.0) {
        return true;
    }
    const double bound = cold ? coldRequestsPerSecond : usedColdShare * (coldRequestsPerSecond * m_limits.coldExcess + m_limits.coldSpare);
    const double part = bound / std::max<std::uint32_t>(m_gateways, 1);
    const double own = std::max(1.0, std::floor(others ? std::max(part, (bound - *others) * usedShare) : part));
    sliding_count &sends = m_sends.try_emplace(backend, sliding_count(coldWindow)).first->second;
    const double spread = std::ceil(own * (std::chrono::duration<double>(spreadWindow) / std::chrono::duration<double>(coldWindow))) + spareSpread;
    if (static_cast<double>(sends.count(now)) + 1.0 > own || static_cast<double>(sends.countSince(now - spreadWindow)) + 1.0 > spread) {
        return false;
    }
    sends.add(now);
    return true;
}

} // namespace carawayloft
