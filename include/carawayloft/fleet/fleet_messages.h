#pragma once

#include <carawayloft/fleet/fleet_records.h>

/** Messages between the leader of control and gateways about backend servers, and to other replicas. */
namespace carawayloft {

/** A group that is no more. */
struct retired_group {
    group_epoch epoch;

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &retired_group::epoch});
    }
};

/** A backend server that is forgotten. */
struct retired_backend {
    backend_id backend;

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &retired_backend::backend});
    }
};

/** Changes of the leader's picture of the backend servers; the first on a connection is snapshot. */
struct publish_fleet {
    bool snapshot = false; /**< Replaces all that was known. */
    std::vector<backend_record> backends;
    std::vector<retired_backend> gone;
    std::vector<engine_group> groups;
    std::vector<retired_group> retiredGroups;

    static constexpr auto fields()
    {
        return std::tuple(field{"whole", &publish_fleet::snapshot},
                          field{"backends", &publish_fleet::backends},
                          field{"gone", &publish_fleet::gone},
                          field{"groups", &publish_fleet::groups},
                          field{"gone_groups", &publish_fleet::retiredGroups});
    }

    bool empty() const
    {
        return !snapshot && backends.empty() && gone.empty() && groups.empty() && retiredGroups.empty();
    }
};

/** What one gateway, or all others together, have in flight at a group. */
struct group_load {
    group_epoch epoch;
    std::uint32_t running = 0; /**< Requests. */
    std::uint32_t prefillTokens = 0; /**< Of prompts whose answer has not begun. */
    bool progressing = false; /**< Bytes have come from the group within the last second. */
    std::uint32_t tokensPerSecond = 0; /**< Prompt tokens sent there within the last second. */

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &group_load::epoch},
                          field{"running", &group_load::running},
                          field{"unread_tokens", &group_load::prefillTokens},
                          field{"progressing", &group_load::progressing},
                          field{"tokens_per_second", &group_load::tokensPerSecond});
    }
};

/** What callers ask of a model, served or not, averaged over the last seconds. */
struct model_traffic {
    model_id model;
    double requestsPerSecond = 0.0;
    double promptTokens = 0.0; /**< Of a request, on average. */
    double answerTokens = 0.0; /**< Of a request, on average, as callers expect. */
    engine_duration objective{0}; /**< For the first event, on average. */

    static constexpr auto fields()
    {
        return std::tuple(field{"model", &model_traffic::model},
                          field{"requests_per_second", &model_traffic::requestsPerSecond},
                          field{"prompt_tokens", &model_traffic::promptTokens},
                          field{"answer_tokens", &model_traffic::answerTokens},
                          field{"objective_ms", &model_traffic::objective});
    }
};

/** A gateway tells the leader what it sees, and asks for the right to go on. */
struct gateway_report {
    std::uint64_t round = 0; /**< Echoed in the grant. */
    revision at; /**< Revision in force at the gateway. */
    std::vector<group_load> loads;
    std::vector<backend_id> unreachable;
    std::vector<model_traffic> modelTraffic;

    static constexpr auto fields()
    {
        return std::tuple(field{"round", &gateway_report::round},
                          field{"revision", &gateway_report::at},
                          field{"loads", &gateway_report::loads},
                          field{"unreachable", &gateway_report::unreachable},
                          field{"asked", &gateway_report::modelTraffic});
    }
};

/** The leader's answer: the gateway may serve for @p length from its report on, if @p at is in force there. */
struct gateway_grant {
    std::uint64_t round = 0;
    revision at;
    duration length{0};
    std::uint32_t gateways = 1; /**< That share the limits of the fleet. */
    std::vector<group_load> others; /**< Of all other gateways together. */
    std::vector<endpoint> replicas; /**< Frame addresses of all control replicas. */

    static constexpr auto fields()
    {
        return std::tuple(field{"round", &gateway_grant::round},
                          field{"revision", &gateway_grant::at},
                          field{"length_ms", &gateway_grant::length},
                          field{"gateways", &gateway_grant::gateways},
                          field{"others", &gateway_grant::others},
                          field{"replicas", &gateway_grant::replicas});
    }
};

} // namespace carawayloft
