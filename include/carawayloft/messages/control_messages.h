#pragma once

#include <carawayloft/control/claim.h>
#include <carawayloft/control/fleet_state.h>
#include <carawayloft/control/log_message.h>

/** Messages between control replicas and other processes, and among control replicas. */
namespace carawayloft {

/** Subscribes to changes of the configuration after @p from. If @p from is zero or too old, a snapshot comes first. */
struct subscribe {
    revision from;

    static constexpr auto fields()
    {
        return std::tuple(field{"from", &subscribe::from});
    }
};

/** Reply of a control replica that is not the leader; @p leader is the leader's address as far as it knows, or empty. */
struct not_leader {
    endpoint leader;

    static constexpr auto fields()
    {
        return std::tuple(field{"leader", &not_leader::leader});
    }
};

/** The whole configuration, for a subscriber that cannot catch up by single changes. */
struct publish_snapshot {
    fleet_snapshot fleet;

    static constexpr auto fields()
    {
        return std::tuple(field{"fleet", &publish_snapshot::fleet});
    }
};

/** One committed command at revision @p at; the previous one is at @p after, which shows a subscriber whether it missed any. */
struct publish_change {
    revision after;
    revision at;
    fleet_command command;

    static constexpr auto fields()
    {
        return std::tuple(field{"after", &publish_change::after}, field{"at", &publish_change::at}, field{"command", &publish_change::command});
    }
};

/** To the leader: @p at is in force at the sender. From the leader: @p at is the latest revision, and all up to it has been sent. */
struct confirm_revision {
    revision at;

    static constexpr auto fields()
    {
        return std::tuple(field{"at", &confirm_revision::at});
    }
};

/** An agent announces its host and the backend server on it. */
struct announce_host {
    host_record host;

    static constexpr auto fields()
    {
        return std::tuple(field{"host", &announce_host::host});
    }
};

/** Opens a claim; @p call is chosen by the caller, and the reply carries it as well. */
struct open_claim_call {
    std::uint64_t call = 0;
    open_claim claim;

    static constexpr auto fields()
    {
        return std::tuple(field{"call", &open_claim_call::call}, field{"claim", &open_claim_call::claim});
    }
};

struct close_claim_call {
    std::uint64_t call = 0;
    close_claim claim;

    static constexpr auto fields()
    {
        return std::tuple(field{"call", &close_claim_call::call}, field{"claim", &close_claim_call::claim});
    }
};

struct claim_call_reply {
    std::uint64_t call = 0;
    bool accepted = false; /**< False if the call must be repeated, to the current leader. */
    claim_reply reply;

    static constexpr auto fields()
    {
        return std::tuple(field{"call", &claim_call_reply::call}, field{"accepted", &claim_call_reply::accepted}, field{"reply", &claim_call_reply::reply});
    }
};

/** A message of the replicated log @p log from one replica to another. */
struct log_traffic {
    log_id log;
    replica_id from;
    replica_id to;
    log_message message;

    static constexpr auto fields()
    {
        return std::tuple(
            field{"log", &log_traffic::log}, field{"from", &log_traffic::from}, field{"to", &log_traffic::to}, field{"message", &log_traffic::message});
    }
};

/** A replica with an empty disk asks its peers whether the log was ever formed. */
struct formation_probe {
    replica_number from;

    static constexpr auto fields()
    {
        return std::tuple(field{"from", &formation_probe::from});
    }
};

struct formation_reply {
    replica_number from;
    bool formed = false;

    static constexpr auto fields()
    {
        return std::tuple(field{"from", &formation_reply::from}, field{"formed", &formation_reply::formed});
    }
};

/**
 * A replica outside the log's membership asks to join. Only the leader can admit it; any other replica
 * replies with a join_request that names the leader.
 */
struct join_request {
    log_member member;

    static constexpr auto fields()
    {
        return std::tuple(field{"member", &join_request::member});
    }
};

} // namespace carawayloft
