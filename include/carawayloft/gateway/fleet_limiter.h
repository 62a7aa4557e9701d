#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/gateway/sliding_window_counter.h>

#include <map>
#include <optional>

namespace carawayloft {

/** Limits on the sum over all gateways. */
struct fleet_limits {
    double retryRatio = 0.1; /**< Retries allowed for each request of a service within the window. */
    double retrySlack = 20.0; /**< Retries allowed in addition, for each service. */
    duration retryWindow{10'000};
    double coldRateFactor = 1.0; /**< Factor on the request rate that a cold backend server sustains. */
    double coldRateSlack = 0.0; /**< Requests per second allowed in addition. */
};

/**
 * Enforces this gateway's share of the fleet limits. Retries that its own requests allow count in full;
 * of the fixed part every gateway uses an equal share, so that all together keep the limit without
 * coordination.
 */
class fleet_limiter
{
public:
    explicit fleet_limiter(const fleet_limits &limits);

    /** Sets how many gateways share the limits, or have shared them within the last window. */
    void setGateways(std::uint32_t gateways, time_point now);

    /** Counts a request of a caller, which adds to the retry budget of the service. */
    void countRequest(const service_id &service, time_point now);

    /** Takes one retry from the budget of the service; false if it is exhausted. */
    bool takeRetry(const service_id &service, time_point now);

    /**
     * Takes one send to a backend server; false if that exceeds its request rate. @p otherGatewaysRate is the rate of
     * all other gateways per second; if it is unknown, this gateway keeps to an equal share.
     */
    bool takeSend(const backend_id &backend, double coldRequestsPerSecond, bool cold, std::optional<double> otherGatewaysRate, time_point now);

private:
    struct service_window {
        sliding_window_counter requests;
        sliding_window_counter retries;
    };

    service_window &windowFor(const service_id &service);

    fleet_limits m_limits;
    std::uint32_t m_gateways = 0; /**< Zero until control has reported the number. */
    time_point m_slackFrom; /**< When this gateway may start to use its share of the retry slack. */
    std::map<service_id, service_window> m_services;
    std::map<backend_id, sliding_window_counter> m_sends;
};

} // namespace carawayloft
