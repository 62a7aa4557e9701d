#pragma once

#include <carawayloft/order/claim.h>
#include <carawayloft/order/fleet_state.h>
#include <carawayloft/order/log_message.h>

/** Messages between control and the other processes, and among control replicas. */
namespace carawayloft {

/** Asks the leader for the configuration from @p from on, and for all that follows. */
struct subscribe {
    revision from;

    static constexpr auto fields()
    {
        return std::tuple(field{"from", &subscribe::from});
    }
};

/** The receiver is not the leader; @p leader is where it believes the leader to be, or empty. */
struct not_leader {
    endpoint leader;

    static constexpr auto fields()
    {
        return std::tuple(field{"leader", &not_leader::leader});
    }
};

struct publish_snapshot {
    fleet_snapshot fleet;

    static constexpr auto fields()
    {
        return std::tuple(field{"fleet", &publish_snapshot::fleet});
    }
};

/** One accepted change; follows the change at @p after without a gap. */
struct publish_change {
    revision after;
    revision at;
    fleet_command command;

    static constexpr auto fields()
    {
        return std::tuple(field{"after", &publish_change::after}, field{"at", &publish_change::at}, field{"command", &publish_change::command});
    }
};

/** To the leader: @p at is in force here. From the leader: @p at is current, and has all been sent. */
struct confirm_revision {
    revision at;

    static constexpr auto fields()
    {
        return std::tuple(field{"at", &confirm_revision::at});
    }
};

/** An agent announces the backend server beside it. */
struct announce_host {
    host_record host;

    static constexpr auto fields()
    {
        return std::tuple(field{"host", &announce_host::host});
    }
};

/** Opens a claim; @p call is the caller's own number of the question. */
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
    bool accepted = false; /**< False when the question must be asked again. */
    claim_reply reply;

    static constexpr auto fields()
    {
        return std::tuple(field{"call", &claim_call_reply::call}, field{"accepted", &claim_call_reply::accepted}, field{"reply", &claim_call_reply::reply});
    }
};

/** Traffic of the agreed log @p log. */
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

/** A replica outside the log's membership asks to be let in; one that cannot let it in answers with the leader. */
struct join_request {
    log_member member;

    static constexpr auto fields()
    {
        return std::tuple(field{"member", &join_request::member});
    }
};

} // namespace carawayloft
