#pragma once

#include <carawayloft/core/service_trait.h>
#include <carawayloft/fleet/fleet_records.h>

/** Messages between the leading control replica and gateways about backend servers, also mirrored to the other replicas. */
namespace carawayloft {

/** A group that was dissolved. */
struct retired_group {
    group_epoch epoch;

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &retired_group::epoch});
    }
};

/** A backend server whose record was removed. */
struct retired_backend {
    backend_id backend;

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &retired_backend::backend});
    }
};

/** Changes of the leader's records of backend servers and groups; the first message on a connection is a snapshot. */
struct publish_fleet {
    bool snapshot = false; /**< Replaces all earlier records. */
    std::vector<backend_record> backends;
    std::vector<retired_backend> retiredBackends;
    std::vector<engine_group> groups;
    std::vector<retired_group> retiredGroups;

    static constexpr auto fields()
    {
        return std::tuple(field{"whole", &publish_fleet::snapshot},
                          field{"backends", &publish_fleet::backends},
                          field{"gone", &publish_fleet::retiredBackends},
                          field{"groups", &publish_fleet::groups},
                          field{"gone_groups", &publish_fleet::retiredGroups});
    }

    bool empty() const
    {
        return !snapshot && backends.empty() && retiredBackends.empty() && groups.empty() && retiredGroups.empty();
    }
};

/** Load that one gateway, or all other gateways together, have in flight at a group. */
struct group_load {
    group_epoch epoch;
    std::uint32_t running = 0; /**< Requests in flight. */
    std::uint32_t prefillTokens = 0; /**< Prompt tokens of requests whose answer has not begun. */
    bool progressing = false; /**< Whether the group sent bytes within the last second. */
    std::uint32_t tokensPerSecond = 0; /**< Prompt tokens sent to the group within the last second. */
    std::uint32_t answered = 0; /**< First attempts within the last second whose first event came, or whose objective passed without one. */
    std::uint32_t late = 0; /**< Answers that missed the objective of the first event or of a pause within the last second. */

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &group_load::epoch},
                          field{"running", &group_load::running},
                          field{"unread_tokens", &group_load::prefillTokens},
                          field{"progressing", &group_load::progressing},
                          field{"tokens_per_second", &group_load::tokensPerSecond},
                          field{"answered", &group_load::answered},
                          field{"late", &group_load::late});
    }
};

/** Demand for a model, whether it is served or not, averaged over the last seconds. */
struct model_traffic {
    model_id model;
    double requestsPerSecond = 0.0; /**< First attempts only. */
    double promptTokens = 0.0; /**< Average per request. */
    double answerTokens = 0.0; /**< Average per request, as callers expect. */
    engine_duration objective{0}; /**< Average objective for the time to the first event. */
    double recentRequestsPerSecond = 0.0; /**< As requestsPerSecond, over a shorter time. */
    double returningPerSecond = 0.0; /**< Requests that return after a rejection, over the shorter time. */
    double promptTokensSquared = 0.0; /**< Average of the square of the prompt's length; zero if unknown. */

    static constexpr auto fields()
    {
        return std::tuple(field{"model", &model_traffic::model},
                          field{"requests_per_second", &model_traffic::requestsPerSecond},
                          field{"prompt_tokens", &model_traffic::promptTokens},
                          field{"answer_tokens", &model_traffic::answerTokens},
                          field{"objective_ms", &model_traffic::objective},
                          field{"recent_requests_per_second", &model_traffic::recentRequestsPerSecond},
                          field{"returning_per_second", &model_traffic::returningPerSecond},
                          field{"prompt_tokens_squared", &model_traffic::promptTokensSquared});
    }
};

/** First attempts for a model by rank and client account, averaged over the last seconds. */
struct class_demand {
    model_id model;
    request_rank rank;
    client_account_id account; /**< Empty for requests without an access key, and for the sum over other accounts. */
    double requestsPerSecond = 0.0;
    std::uint32_t otherAccounts = 0; /**< If not zero, the entry is the sum over this many accounts without an entry. */

    static constexpr auto fields()
    {
        return std::tuple(field{"model", &class_demand::model},
                          field{"rank", &class_demand::rank},
                          field{"account", &class_demand::account},
                          field{"requests_per_second", &class_demand::requestsPerSecond},
                          field{"other_accounts", &class_demand::otherAccounts});
    }
};

/** A request that a backend server had not begun to answer when it closed the connection. */
struct exposed_request {
    std::vector<request_trait> traits; /**< The request as a whole comes first. */

    static constexpr auto fields()
    {
        return std::tuple(field{"traits", &exposed_request::traits});
    }

    friend bool operator==(const exposed_request &, const exposed_request &) = default;
};

/** The requests of one gateway that may be why a backend server crashed, if it did. */
struct crash_exposure {
    backend_id backend;
    service_id service;
    duration age{0}; /**< Time since the server closed the first of their connections. */
    std::vector<exposed_request> requests;

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &crash_exposure::backend},
                          field{"service", &crash_exposure::service},
                          field{"age_ms", &crash_exposure::age},
                          field{"requests", &crash_exposure::requests});
    }
};

/** A backend server has answered a request with the trait without crashing. */
struct trait_survival {
    service_trait subject;
    duration age{0};

    static constexpr auto fields()
    {
        return std::tuple(field{"subject", &trait_survival::subject}, field{"age_ms", &trait_survival::age});
    }
};

/** The limit in the latest answer of a backend server to one gateway. */
struct request_limit_report {
    backend_id backend;
    double requestsPerSecond = 0.0; /**< From all gateways together; zero for no limit. */
    duration age{0};

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &request_limit_report::backend},
                          field{"requests_per_second", &request_limit_report::requestsPerSecond},
                          field{"age_ms", &request_limit_report::age});
    }
};

/** A backend server that has said in an answer that it leaves. */
struct leaving_backend {
    backend_id backend;
    std::int64_t startedAt = 0; /**< The start of the server that leaves, by the wall clock in milliseconds. */

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &leaving_backend::backend}, field{"started_at", &leaving_backend::startedAt});
    }
};

/** What gateways may send to the groups of a model, as learned from the answers of all of them. */
struct model_capacity {
    model_id model;
    double factor = 1.0; /**< On the capacity that the published figures give. */

    static constexpr auto fields()
    {
        return std::tuple(field{"model", &model_capacity::model}, field{"factor", &model_capacity::factor});
    }
};

/** A gateway's status report to the leader, which also asks to renew its serving lease. */
struct gateway_report {
    std::uint64_t round = 0; /**< Echoed in the grant. */
    revision at; /**< Configuration revision in force at the gateway. */
    std::vector<group_load> loads;
    std::vector<backend_id> unreachable;
    std::vector<model_traffic> modelTraffic;
    std::vector<crash_exposure> exposures;
    std::vector<trait_survival> survivals; /**< Of the suspects in the last grant. */
    std::vector<request_limit_report> requestLimits; /**< Those that differ from what control has published. */
    std::vector<leaving_backend> leaving; /**< Backend servers that control still publishes as ready. */
    std::vector<backend_id> answering; /**< Backend servers outside groups that have answered lately. */
    std::vector<class_demand> classDemand;
    std::vector<model_capacity> capacities; /**< As last granted, from which a new leader goes on. */

    static constexpr auto fields()
    {
        return std::tuple(field{"round", &gateway_report::round},
                          field{"revision", &gateway_report::at},
                          field{"loads", &gateway_report::loads},
                          field{"unreachable", &gateway_report::unreachable},
                          field{"asked", &gateway_report::modelTraffic},
                          field{"exposures", &gateway_report::exposures},
                          field{"survivals", &gateway_report::survivals},
                          field{"request_limits", &gateway_report::requestLimits},
                          field{"leaving", &gateway_report::leaving},
                          field{"answering", &gateway_report::answering},
                          field{"class_demand", &gateway_report::classDemand},
                          field{"capacities", &gateway_report::capacities});
    }
};

/** A gateway's share of the limit that a backend server named. */
struct request_share {
    backend_id backend;
    double requestsPerSecond = 0.0;

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &request_share::backend}, field{"requests_per_second", &request_share::requestsPerSecond});
    }
};

/** The leader's answer: a serving lease for @p length, counted from the report, valid if revision @p at is in force at the gateway. */
struct gateway_grant {
    std::uint64_t round = 0;
    revision at;
    duration length{0};
    std::uint32_t gateways = 1; /**< Number of gateways that share the limits of the fleet. */
    std::vector<group_load> others; /**< Sum over all other gateways. */
    std::vector<endpoint> replicas; /**< Frame addresses of all control replicas. */
    std::vector<model_traffic> modelTraffic; /**< Demand at all gateways, this one included. */
    std::vector<service_trait> suspects{}; /**< Traits that several crashes have in common. */
    std::vector<request_share> requestShares{}; /**< Of published request limits; of those that are missing, this gateway has no share. */
    std::vector<class_demand> classDemand{}; /**< Demand at all gateways, this one included. */
    std::vector<model_capacity> capacities{}; /**< Of the models of all services. */
    std::uint32_t turn = 0; /**< Place of this gateway among the turns at servers that cannot serve all gateways at once. */
    std::uint32_t turns = 0; /**< Number of places; zero from a control that gives none. */
    std::uint64_t turnClockMs = 0; /**< Time at control by which the turns change. */

    static constexpr auto fields()
    {
        return std::tuple(field{"round", &gateway_grant::round},
                          field{"revision", &gateway_grant::at},
                          field{"length_ms", &gateway_grant::length},
                          field{"gateways", &gateway_grant::gateways},
                          field{"others", &gateway_grant::others},
                          field{"replicas", &gateway_grant::replicas},
                          field{"asked", &gateway_grant::modelTraffic},
                          field{"suspects", &gateway_grant::suspects},
                          field{"request_shares", &gateway_grant::requestShares},
                          field{"class_demand", &gateway_grant::classDemand},
                          field{"capacities", &gateway_grant::capacities},
                          field{"turn", &gateway_grant::turn},
                          field{"turns", &gateway_grant::turns},
                          field{"turn_clock_ms", &gateway_grant::turnClockMs});
    }
};

} // namespace carawayloft
