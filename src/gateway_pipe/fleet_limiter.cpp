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

/** Largest burst to a server with a limit of its own, as the time in which its share earns it. */
static constexpr std::chrono::duration<double> namedBurstTime{1.0};

/** Number of gateways that is assumed until control has reported it. */
static constexpr std::uint32_t gatewaysWhileUnknown = 32;

/** Time for which the largest reported number of gateways counts: a new control leader hears of them one after another. */
static constexpr duration gatewayCountTime{2'000};

/**
 * Share of the limits of cold servers while the gateways before this one, or those with other turns, may have used theirs within
 * the window. With it the total stays below 1.5 times the limit.
 */
static constexpr double settlingShare = 1.0 / 3.0;

fleet_limiter::fleet_limiter(const fleet_limits &limits, std::uint64_t seed)
    : m_limits(limits)
    , m_drawnPlace(static_cast<std::uint32_t>(std::mt19937_64(seed)()))
    , m_random(seed)
{
}

void fleet_limiter::setGateways(std::uint32_t gateways, time_point now)
{
    if (m_gateways == 0) {
        // A previous gateway process may have used this share within the same window.
        m_slackFrom = now + m_limits.retryWindow;
    }
    while (!m_reportedGateways.empty() && now >= m_reportedGateways.front().first + gatewayCountTime) {
        m_reportedGateways.pop_front();
    }
    m_reportedGateways.emplace_back(now, std::max<std::uint32_t>(gateways, 1));
    m_gateways = 0;
    for (const auto &[at, count] : m_reportedGateways) {
        m_gateways = std::max(m_gateways, count);
    }
    if (!m_placeGiven) {
        m_turns.assign({m_drawnPlace % m_gateways, m_gateways, std::chrono::duration_cast<duration>(now.time_since_epoch())}, now);
    }
}

void fleet_limiter::assignTurn(const turn_assignment &assignment, time_point now)
{
    m_placeGiven = true;
    m_turns.assign(assignment, now);
}

void fleet_limiter::setStartedAt(time_point startedAt)
{
    m_startedAt = startedAt;
}

bool fleet_limiter::isStarting(time_point now) const
{
    return m_startedAt && now < *m_startedAt + sendWindow;
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

bool fleet_limiter::mayRetry(const service_id &service, time_point now)
{
    service_window &window = windowFor(service);
    const double earned = m_limits.retryRatio * static_cast<double>(window.requests.count(now));
    const double slack = m_gateways > 0 && now >= m_slackFrom ? m_limits.retrySlack / m_gateways : 0.0;
    return static_cast<double>(window.retries.count(now)) + 1.0 <= sharedLimitShare * (earned + slack);
}

void fleet_limiter::recordRetry(const service_id &service, time_point now)
{
    windowFor(service).retries.add(now);
}

fleet_limiter::backend_sends &fleet_limiter::sendsTo(const backend_id &backend)
{
    const auto found = m_sends.find(backend);
    if (found != m_sends.end()) {
        return found->second;
    }
    std::uniform_real_distribution<double> fraction(0.0, 1.0);
    return m_sends.emplace(backend, backend_sends{sliding_window_counter(sendWindow), token_bucket(fraction(m_random)), false}).first->second;
}

double fleet_limiter::equalShare(double limit) const
{
    return limit / (m_gateways == 0 ? gatewaysWhileUnknown : m_gateways);
}

/** Whether this gateway has its turn at a server that cannot take one request a second from each, and has not used it. */
bool fleet_limiter::keepsTurn(const backend_id &backend, backend_sends &sends, double limit, double bound, time_point now) const
{
    // Within a second, as many gateways may have a turn as have one at a time and enter in that second.
    const double atOnce = std::min(limit, bound - server_turns::entriesPerSecond);
    const double active = std::floor(isStarting(now) || !m_turns.isSettled(now) ? atOnce * settlingShare : atOnce);
    return m_turns.hasTurn(backend, static_cast<std::uint32_t>(std::max(active, 1.0)), now) && sends.recent.count(now) == 0;
}

bool fleet_limiter::keepsColdLimit(const backend_id &backend, backend_sends &sends, const send_limits &limits, time_point now) const
{
    const double bearable = limits.coldRequestsPerSecond;
    if (bearable <= 0.0) {
        return true;
    }
    if (m_gateways == 0) {
        return false; // Without the number of gateways no share is small enough.
    }
    const double bound = bearable * m_limits.coldRateFactor + m_limits.coldRateSlack;
    const double limit = limits.cold ? bearable : warmRateShare * bound;
    const double equal = equalShare(limit);
    const double share = limits.otherGatewaysRate ? std::max(equal, (limit - *limits.otherGatewaysRate) * sharedLimitShare) : equal;
    if (share < 1.0) {
        return keepsTurn(backend, sends, limit, bound, now);
    }
    const double ownLimit = std::floor(isStarting(now) ? share * settlingShare : share);
    const double maxBurst = std::ceil(ownLimit * (std::chrono::duration<double>(burstWindow) / std::chrono::duration<double>(sendWindow))) + burstSlack;
    return static_cast<double>(sends.recent.count(now)) + 1.0 <= ownLimit && static_cast<double>(sends.recent.countSince(now - burstWindow)) + 1.0 <= maxBurst;
}

bool fleet_limiter::keepsNamedLimit(backend_sends &sends, const send_limits &limits, time_point now) const
{
    sends.usesNamed = limits.namedShare.has_value();
    const double share = limits.namedShare.value_or(0.0); // The time without a limit earns nothing.
    sends.named.refill(share, std::max(1.0, share * namedBurstTime.count()), now);
    return !sends.usesNamed || (share > 0.0 && sends.named.hasToken());
}

bool fleet_limiter::maySend(const backend_id &backend, const send_limits &limits, time_point now)
{
    backend_sends &sends = sendsTo(backend);
    const bool keepsCold = keepsColdLimit(backend, sends, limits, now);
    return keepsNamedLimit(sends, limits, now) && keepsCold;
}

void fleet_limiter::recordSend(const backend_id &backend, time_point now)
{
    backend_sends &sends = sendsTo(backend);
    sends.recent.count(now); // Drops what has left the window.
    sends.recent.add(now);
    if (sends.usesNamed) {
        sends.named.take();
    }
}

void fleet_limiter::forget(const backend_id &backend)
{
    m_sends.erase(backend);
}

} // namespace carawayloft
