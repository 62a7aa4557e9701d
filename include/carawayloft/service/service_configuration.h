#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>
#include <carawayloft/core/units.h>

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

/** A model that the engines can load. Each copy of it spans the hosts of one group. */
struct model_profile {
    model_id model;
    std::uint32_t hostsPerGroup = 1;
    double share = 1.0; /**< Fraction of the service's work. */
    double pace = 1.0; /**< Multiplies all computing times of a group. */
    engine_duration loadTime{0}; /**< To load the weights from the weight store. */
    engine_duration warmLoadTime{0}; /**< To load the weights from the copy staged on the host. */
};

/** Performance figures of the model engines of a service, as their operators publish them. */
struct engine_profile {
    std::uint32_t slots = 1; /**< Requests that a group runs at once. */
    std::uint32_t stepsPerIteration = 1;
    engine_duration step{0}; /**< To generate one token for every running request. */
    engine_duration stepPerRequest{0}; /**< Added to step for each running request. */
    engine_duration stepPerThousandTokens{0}; /**< Added to step for each thousand tokens of context. */
    double prefillTokensPerSecond = 1.0;
    std::uint32_t prefillTokensPerStep = 0; /**< Most prompt tokens read in one step; zero for no limit. */
    engine_duration prefillPerMillionPairs{0}; /**< Added to the prefill time for each million pairs of prompt tokens. */
    double loadsPerSecond = 1.0; /**< Rate at which loads from the weight store may begin. */
    std::uint32_t loadsAtOnce = 1; /**< Loads beyond this number slow each other down. */
    double meanPromptTokens = 1'000.0; /**< Per request. */
    double meanAnswerTokens = 100.0; /**< Per request. */
    std::uint32_t maxStagedModels = 1; /**< How many models a host can keep staged. */
    std::vector<model_profile> models;
};

struct service_settings {
    service_id service;
    std::uint32_t maxConnections = 0; /**< To one backend server, over all callers. */
    double coldRequestsPerSecond = 0.0; /**< Limit for one cold backend server; zero for no limit. */
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

/** Content of a configuration before validation. */
struct configuration_fields {
    configuration_version version;
    std::vector<service_route> routes;
    std::vector<service_settings> services;
    std::vector<account_settings> accounts;
    bool requiresAccessKey = false; /**< Except on public routes. */
    caller_limits limits;
};

/** A validated, immutable configuration. */
class service_configuration
{
public:
    /**
     * Fails with InvalidRequest if a route refers to an unknown service, two routes have the same host and path prefix,
     * the weights of a route sum to zero, a time limit is not positive, a path prefix does not begin and end with a slash,
     * a priority is above maxPriority, or two accounts have the same key.
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

    /** Settings of the service, or nullptr. */
    const service_settings *service(const service_id &service) const;

private:
    explicit service_configuration(configuration_fields fields);

    configuration_fields m_fields;
};

} // namespace carawayloft
