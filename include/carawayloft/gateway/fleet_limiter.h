#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/gateway/server_turns.h>
#include <carawayloft/gateway/sliding_window_counter.h>
#include <carawayloft/gateway/token_bucket.h>

#include <deque>
#include <map>
#include <optional>
#include <random>

namespace carawayloft {

/** Limits on the sum over all gateways. */
struct fleet_limits {
    double retryRatio = 0.1; /**< Retries allowed for each request of a service within the window. */
    double retrySlack = 20.0; /**< Retries allowed in addition, for each service. */
    duration retryWindow{10'000};
    double coldRateFactor = 1.0; /**< Factor on the request rate that a cold backend server sustains. */
    double coldRateSlack = 0.0; /**< Requests per second allowed in addition. */
};

/** Limits on the requests to one backend server, over all gateways. */
struct send_limits {
    double coldRequestsPerSecond = 0.0; /**< That a cold server sustains; zero for no limit. */
    bool cold = false; /**< Otherwise the server is warm and may turn cold. */
    std::optional<double> otherGatewaysRate; /**< Requests per second; if unknown, this gateway keeps to an equal share. */
    std::optional<double> namedShare; /**< This gateway's share, in requests per second, of a limit that the server named. */
};

/**
 * Enforces this gateway's share of the fleet limits. Retries that its own requests allow count in full;
 * of the fixed part every gateway uses an equal share, so that all together keep the limit without
 * coordination.
 */
class fleet_limiter
{
public:
    /** @p seed should differ between gateways, so that they do not all use small shares at the same moments. */
    explicit fleet_limiter(const fleet_limits &limits, std::uint64_t seed = 1);

    /** Tells when the process started; the one before it may have used its share until then. */
    void setStartedAt(time_point startedAt);

    /** Sets how many gateways share the limits, or have shared them within the last window. A smaller number counts after 2 s. */
    void setGateways(std::uint32_t gateways, time_point now);

    /**
     * Sets the place among the turns at servers that take fewer requests a second than there are gateways. Until control gives
     * one, it is drawn at random.
     */
    void assignTurn(const turn_assignment &assignment, time_point now);

    /** Counts a request of a caller, which adds to the retry budget of the service. */
    void countRequest(const service_id &service, time_point now);

    /** This gateway's part of a limit in requests per second that all gateways share equally. */
    double equalShare(double limit) const;

    /** Whether the budget of the service has a retry left. */
    bool mayRetry(const service_id &service, time_point now);

    /** Takes one retry from the budget of the service. */
    void recordRetry(const service_id &service, time_point now);

    /** Whether one more request to the backend server keeps all limits. */
    bool maySend(const backend_id &backend, const send_limits &limits, time_point now);

    void recordSend(const backend_id &backend, time_point now);

    /** Drops the state of a server that is gone. */
    void forget(const backend_id &backend);

private:
    struct service_window {
        sliding_window_counter requests;
        sliding_window_counter retries;
    };

    /** Requests to one backend server. */
    struct backend_sends {
        sliding_window_counter recent;
        token_bucket named; /**< For the share of the limit that the server named. */
        bool usesNamed = false;
    };

    service_window &windowFor(const service_id &service);
    backend_sends &sendsTo(const backend_id &backend);
    bool keepsColdLimit(const backend_id &backend, backend_sends &sends, const send_limits &limits, time_point now) const;
    bool keepsTurn(const backend_id &backend, backend_sends &sends, double limit, double bound, time_point now) const;
    bool isStarting(time_point now) const;
    bool keepsNamedLimit(backend_sends &sends, const send_limits &limits, time_point now) const;

    fleet_limits m_limits;
    std::uint32_t m_gateways = 0; /**< Zero until control has reported the number. */
    std::deque<std::pair<time_point, std::uint32_t>> m_reportedGateways; /**< Numbers that still count. */
    server_turns m_turns;
    std::uint32_t m_drawnPlace; /**< Used modulo the number of gateways until control gives a place. */
    bool m_placeGiven = false;
    std::optional<time_point> m_startedAt;
    time_point m_slackFrom; /**< When this gateway may start to use its share of the retry slack. */
    std::map<service_id, service_window> m_services;
    std::map<backend_id, backend_sends> m_sends;
    std::mt19937_64 m_random;
};

} // namespace carawayloft
