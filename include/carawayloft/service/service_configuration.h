#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>
#include <carawayloft/core/units.h>
#include <carawayloft/service/engine_profile.h>

#include <optional>
#include <vector>

/** Configuration of the traffic by operators: routes, services, client accounts and limits. */
namespace carawayloft {

/** Whether a request may be retried if it is not known whether it ran. */
enum class retry_policy : std::uint8_t {
    Idempotent, /**< May run more than once. */
    NonIdempotent, /**< Runs at most once. */
    Stream, /**< Answered with a stream of events; runs at most once unless the route is resumable. */
};

/** A service that receives a share of a route's requests in proportion to its weight. */
struct route_target {
    service_id service;
    std::uint32_t weight = 1;
};

/** How to handle requests for one host name whose path begins with a prefix. */
struct service_route {
    std::string name;
    std::string host;
    std::string pathPrefix; /**< Begins and ends with a slash. */
    retry_policy kind = retry_policy::NonIdempotent;
    duration timeLimit{0}; /**< Longest time that a caller waits for the answer. */
    duration objective{0}; /**< Latency objective for the answer, or for the first event of a stream. */
    duration longestPause{0}; /**< Objective for the time between events of a stream; zero for none. */
    std::uint32_t priority = 0; /**< 0 is the highest rank. */
    std::uint32_t attempts = 1; /**< How many backend servers may run one request. */
    bool isPublic = false; /**< Requests need no access key. */
    bool resumable = false; /**< Another backend server may continue a stream. */
    std::vector<route_target> targets;

    /** Whether a request that may have run may be sent again. */
    bool allowsRetry() const
    {
        return kind == retry_policy::Idempotent || (kind == retry_policy::Stream && resumable);
    }
};

struct service_settings {
    service_id service;
    std::uint32_t maxConnections = 0; /**< To one backend server, over all callers. */
    event_rate coldRequestsPerSecond = 0.0; /**< Limit for one cold backend server; zero for no limit. */
    std::optional<engine_profile> engine; /**< Set if the service runs model engines. */
};

/** A client account and the access keys that identify it. */
struct account_settings {
    client_account_id account;
    std::vector<access_key> keys;
    std::optional<std::uint32_t> priority; /**< Overrides the route's. */
};

/** Size and time limits for the requests of callers. */
struct caller_limits {
    std::size_t maxHeaderBytes = std::size_t{16} << 10U;
    std::size_t maxBodyBytes = std::size_t{4} << 20U;
    duration headerTimeout{0};
    duration idleTimeout{0};
};

/** Greatest priority of a route or client account. */
inline constexpr std::uint32_t maxPriority = 1'000;

/** A figure of a service that is outside the range that can be planned with; the nearest one in the range is used. */
struct replaced_figure {
    service_id service;
    std::string field;
    double stated = 0.0;
    double used = 0.0;
};

/** Content of a configuration before validation. */
struct configuration_fields {
    configuration_version version;
    std::vector<service_route> routes;
    std::vector<service_settings> services;
    std::vector<account_settings> accounts;
    bool requiresAccessKey = false; /**< Except on public routes. */
    caller_limits limits;
    std::vector<replaced_figure> replacedFigures{};
};

/** A validated, immutable configuration. */
class service_configuration
{
public:
    /**
     * Fails with InvalidRequest if a route refers to an unknown service, two routes have the same host and path prefix,
     * the weights of a route sum to zero, a time limit is not positive, a path prefix does not begin and end with a slash,
     * a priority is above maxPriority, or two accounts have the same key. Of services or models with one name the first holds.
     */
    static result<service_configuration> create(configuration_fields fields);

    configuration_version version() const
    {
        return m_fields.version;
    }
    const std::vector<service_route> &routes() const
    {
        return m_fields.routes;
    }
    const std::vector<account_settings> &accounts() const
    {
        return m_fields.accounts;
    }
    const std::vector<service_settings> &services() const
    {
        return m_fields.services;
    }
    bool requiresAccessKey() const
    {
        return m_fields.requiresAccessKey;
    }
    const caller_limits &limits() const
    {
        return m_fields.limits;
    }
    const std::vector<replaced_figure> &replacedFigures() const
    {
        return m_fields.replacedFigures;
    }

    /** Settings of the service, or nullptr. */
    const service_settings *service(const service_id &service) const;

private:
    explicit service_configuration(configuration_fields fields);

    configuration_fields m_fields;
};

} // namespace carawayloft
