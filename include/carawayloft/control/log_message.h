#pragma once

#include <carawayloft/control/log_entry.h>

#include <variant>

/** Messages between replicas of the log. */
namespace carawayloft {

struct vote_request {
    log_term term;
    log_index lastIndex;
    log_term lastTerm;
    bool preVote = false; /**< Asks whether the vote would be granted, without changing any state. */
    bool transfer = false; /**< The leader requested this election, so receivers do not reject it because of a live leader. */

    static constexpr auto fields()
    {
        return std::tuple(field{"term", &vote_request::term},
                          field{"last_index", &vote_request::lastIndex},
                          field{"last_term", &vote_request::lastTerm},
                          field{"pre_vote", &vote_request::preVote},
                          field{"transfer", &vote_request::transfer});
    }
};

struct vote_reply {
    log_term term;
    bool granted = false;
    bool preVote = false;

    static constexpr auto fields()
    {
        return std::tuple(field{"term", &vote_reply::term}, field{"granted", &vote_reply::granted}, field{"pre_vote", &vote_reply::preVote});
    }
};

struct append_request {
    log_term term;
    log_index previousIndex;
    log_term previousTerm;
    log_index commit;
    std::uint64_t round = 0; /**< Heartbeat round, echoed in the reply to prove that the sender was still the leader when it sent the request. */
    std::vector<log_entry> entries;

    static constexpr auto fields()
    {
        return std::tuple(field{"term", &append_request::term},
                          field{"previous_index", &append_request::previousIndex},
                          field{"previous_term", &append_request::previousTerm},
                          field{"commit", &append_request::commit},
                          field{"round", &append_request::round},
                          field{"entries", &append_request::entries});
    }
};

struct append_reply {
    log_term term;
    bool accepted = false;
    log_index matched; /**< Last index known to match the leader's log; if rejected, a hint where to retry. */
    std::uint64_t round = 0;

    static constexpr auto fields()
    {
        return std::tuple(field{"term", &append_reply::term},
                          field{"accepted", &append_reply::accepted},
                          field{"matched", &append_reply::matched},
                          field{"round", &append_reply::round});
    }
};

struct snapshot_request {
    log_term term;
    std::uint64_t round = 0;
    log_snapshot snapshot;

    static constexpr auto fields()
    {
        return std::tuple(field{"term", &snapshot_request::term}, field{"round", &snapshot_request::round}, field{"snapshot", &snapshot_request::snapshot});
    }
};

/** The leader asks the receiver to start an election immediately (Raft's TimeoutNow). */
struct timeout_now {
    log_term term;

    static constexpr auto fields()
    {
        return std::tuple(field{"term", &timeout_now::term});
    }
};

using log_message = std::variant<vote_request, vote_reply, append_request, append_reply, snapshot_request, timeout_now>;

} // namespace carawayloft
