#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>
#include <carawayloft/core/units.h>

#include <optional>
#include <vector>

/** What operators configure about the traffic: routes, services, client accounts and limits. */
namespace carawayloft {

/** What may be done with a request whose outcome is not known. */
enum class retry_policy : std::uint8_t {
    Idempotent, /**< May run more than once. */
    NonIdempotent, /**< Runs at most once. */
    Stream, /**< Answered by events; runs at most once unless the route lets it be resumed. */
};

/** A service that takes part of a route's requests. */
struct route_target {
    service_id service;
    std::uint32_t weight = 1;
};

/** Requests for one host name whose path begins with a prefix. */
struct service_route {
    std::string name;
    std::string host;
    std::string pathPrefix; /**< Begins and ends with a slash. */
    retry_policy kind = retry_policy::NonIdempotent;
    duration timeLimit{0}; /**< Longest time that a request is kept waiting. */
    duration objective{0}; /**< Within this time the answer, or its first event, is on time. */
    duration longestPause{0}; /**< Between events of a stream that is on time; zero for none stated. */
    std::uint32_t priority = 0; /**< Zero is the most urgent. */
    std::uint32_t attempts = 1; /**< Backend servers that may run one request. */
    bool isPublic = false; /**< Needs no access key. */
    bool resumable = false; /**< Another backend server may go on with a stream. */
    std::vector<route_target> targets;

    /** Whether a request may run again after it may have run. */
    bool allowsRetry() const
    {
        return kind == retry_policy::Idempotent || (kind == retry_policy::Stream && resumable);
    }
};

/** A model that an engine can load; a copy of it spans several hosts. */
struct model_profile {
    model_id model;
    std::uint32_t hostsPerGroup = 1;
    double share = 1.0; /**< Of the work of the service. */
    double pace = 1.0; /**< Factor on all computing times of a group. */
    engine_duration loadTime{0}; /**< From the weight store. */
    engine_duration warmLoadTime{0}; /**< From the host's own copy of the weights. */
};

/** Published figures of the model engines of a service. */
struct engine_profile {
    std::uint32_t slots = 1; /**< Requests that a group works on at once. */
    std::uint32_t stepsPerIteration = 1;
    engine_duration step{0}; /**< Of one token for every running request. */
    engine_duration stepPerRequest{0}; /**< On top, for each running request. */
    engine_duration stepPerThousandTokens{0}; /**< On top, for each thousand tokens of context. */
    double prefillTokensPerSecond = 1.0; /**< Prompt tokens. */
    engine_duration prefillPerMillionPairs{0}; /**< On top, for each million pairs of prompt tokens. */
    double loadsPerSecond = 1.0; /**< Loads that may begin at the weight store. */
    std::uint32_t loadsAtOnce = 1; /**< Loads beyond these slow each other down. */
    double meanPromptTokens = 1'000.0; /**< Of a request, on average. */
    double meanAnswerTokens = 100.0;
    std::uint32_t maxStagedModels = 1; /**< Staged on a host. */
    std::vector<model_profile> models;
};

struct service_settings {
    service_id service;
    std::uint32_t maxConnections = 0; /**< Of one backend server, from all callers. */
    double coldRequestsPerSecond = 0.0; /**< That a cold backend server bears; zero for no limit. */
    std::optional<engine_profile> engine; /**< For services of model engines. */
};

/** A client account and the keys that name it. */
struct account_settings {
    client_account_id account;
    std::vector<access_key> keys;
    std::optional<std::uint32_t> priority; /**< Goes before the route's. */
};

/** What callers may send, and how long they may take. */
struct caller_limits {
    std::size_t maxHeaderBytes = std::size_t{16} << 10U;
    std::size_t maxBodyBytes = std::size_t{4} << 20U;
    duration headerTimeout{0};
    duration idleTimeout{0};
};

/** Fields of a configuration as an operator wrote them. */
struct configuration_fields {
    configuration_version version;
    std::vector<service_route> routes;
    std::vector<service_settings> services;
    std::vector<account_settings> accounts;
    bool requiresAccessKey = false; /**< Whether requests need a key at all. */
    caller_limits limits;
};

/** A configuration that passed validation; immutable. */
class service_configuration
{
public:
    /**
     * Fails with InvalidRequest when a route names an unknown service, two routes share host and prefix,
     * the weights of a route add up to zero, a time limit is zero, a prefix has no slash at an end, or
     * two accounts share a key.
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

    /** The service of that name, or nullptr. */
    const service_settings *service(const service_id &service) const;

private:
    explicit service_configuration(configuration_fields fields);

    configuration_fields m_fields;
};

} // namespace carawayloft
