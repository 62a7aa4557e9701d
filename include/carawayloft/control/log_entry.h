#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace carawayloft {

enum class member_role : std::uint8_t {
    Voter,
    Learner, /**< Receives the log but does not count towards a quorum. */
    HalfVoter, /**< Has half a vote, while a vote moves to or from it. Replicas that do not know this role count no vote for it. */
    Retired, /**< Receives nothing, since it was silent for long; it keeps its place among the members for when it returns. */
};

/** A replica of the log and its addresses. */
struct log_member {
    replica_id replica;
    member_role role = member_role::Voter;
    endpoint frames;
    endpoint http;
    availability_zone_id zone; /**< Empty if unknown. */

    static constexpr auto fields()
    {
        return std::tuple(field{"replica", &log_member::replica},
                          field{"role", &log_member::role},
                          field{"frames", &log_member::frames},
                          field{"http", &log_member::http},
                          field{"zone", &log_member::zone});
    }

    friend bool operator==(const log_member &, const log_member &) = default;
};

enum class entry_kind : std::uint8_t {
    Command,
    Membership, /**< Replaces the set of members; in effect as soon as it is appended. */
    Empty, /**< No-op that a new leader appends to commit entries of earlier terms. */
};

struct log_entry {
    log_index index;
    log_term term;
    entry_kind kind = entry_kind::Command;
    std::vector<std::uint8_t> payload;
    std::vector<log_member> members;

    static constexpr auto fields()
    {
        return std::tuple(field{"index", &log_entry::index},
                          field{"term", &log_entry::term},
                          field{"kind", &log_entry::kind},
                          field{"payload", &log_entry::payload},
                          field{"members", &log_entry::members});
    }

    friend bool operator==(const log_entry &, const log_entry &) = default;
};

/** The term and vote of a replica, which must survive a restart. */
struct hard_state {
    log_term term;
    replica_id votedFor; /**< Zero if it has not voted in this term. */

    static constexpr auto fields()
    {
        return std::tuple(field{"term", &hard_state::term}, field{"voted_for", &hard_state::votedFor});
    }

    friend bool operator==(const hard_state &, const hard_state &) = default;
};

/** State of the state machine with all entries up to and including @p index applied. */
struct log_snapshot {
    log_index index;
    log_term term;
    std::vector<log_member> members;
    std::vector<std::uint8_t> state;

    static constexpr auto fields()
    {
        return std::tuple(field{"index", &log_snapshot::index},
                          field{"term", &log_snapshot::term},
                          field{"members", &log_snapshot::members},
                          field{"state", &log_snapshot::state});
    }
};

/** The log as read from disk when a replica starts. */
struct recovered_log {
    hard_state hardState;
    log_snapshot snapshot;
    std::vector<log_entry> entries;
};

} // namespace carawayloft
