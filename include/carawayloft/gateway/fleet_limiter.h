#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/gateway/sliding_window_counter.h>

#include <map>
#include <optional>

namespace carawayloft {

/** Bounds that hold for all gateways together. */
struct fleet_limits {
    double retryRatio = 0.1; /**< Sends beyond the first of a request, to one service, within the window. */
    double retrySlack = 20.0; /**< On top. */
    duration retryWindow{10'000};
    double coldRateFactor = 1.0; /**< Factor on what a cold backend server bears. */
    double coldRateSlack = 0.0; /**< Requests on top, within a second. */
};

/**
 * This gateway's part of the bounds of the fleet. Every gateway keeps to an equal part of what does not
 * grow with its requests, so that all of them together stay within the bound without asking each other.
 */
class fleet_limiter
{
public:
    explicit fleet_limiter(const fleet_limits &limits);

    /** @p gateways is how many share the bounds, or have within the last window. */
    void setGateways(std::uint32_t gateways, time_point now);

    /** A request of a caller for the service. */
    void countRequest(const service_id &service, time_point now);

    /** Takes one more send of a request that was sent before; false when the bound is reached. */
    bool takeRetry(const service_id &service, time_point now);

    /**
     * Takes one request to a backend server; false when it bears no more within this second. @p others is
     * what the other gateways send there in a second, as far as known; without it each keeps to its part.
     */
    bool takeColdSend(const backend_id &backend, double coldRequestsPerSecond, bool cold, std::optional<double> others, time_point now);

private:
    struct service_window {
        sliding_window_counter requests;
        sliding_window_counter repeats;
    };

    service_window &windowOf(const service_id &service);

    fleet_limits m_limits;
    std::uint32_t m_gateways = 0; /**< Zero until it was heard. */
    time_point m_slackFrom; /**< From when on this gateway has a part of what does not grow with requests. */
    std::map<service_id, service_window> m_services;
    std::map<backend_id, sliding_window_counter> m_sends;
};

} // namespace carawayloft
