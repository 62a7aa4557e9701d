#pragma once

#include <carawayloft/control/log_message.h>
#include <carawayloft/core/filter.h>
#include <carawayloft/core/result.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace carawayloft {

/** Chosen by the caller to match proposals and reads with their outcome; zero means that nobody waits for one. */
using log_request_token = strong_type<struct log_request_token_tag, std::uint64_t>;

struct replicated_log_options {
    replica_id self;
    duration heartbeatPeriod{50};
    duration electionTimeout{500}; /**< Lower bound; the upper bound is twice as long. */
    std::uint64_t seed = 1; /**< Seed of the random election timeouts. */
    std::size_t maxEntriesPerMessage = 512;
    std::size_t maxBytesPerMessage = 1U << 20U;
    std::size_t maxVoters = 5; /**< Learners become additional voters up to this number; 2n + 1 voters bear the loss of n. */
};

// Inputs.

struct log_tick {
};

struct log_message_received {
    replica_id from;
    log_message message;
};

/** Appends @p payload if this replica is the leader. */
struct log_proposal {
    log_request_token token;
    std::vector<std::uint8_t> payload;
};

/** A linearizable read: succeeds only if this replica is still the leader and has applied all entries committed before the read. */
struct log_read_request {
    log_request_token token;
};

/** A replica that is new, or came back with an empty disk, asks to become a member. */
struct log_join_request {
    log_member member;
};

/** Transfers leadership to the voter whose log is the most up to date. */
struct log_leadership_transfer {
};

/** Replaces the entries up to and including @p index by a snapshot with the serialized @p state. */
struct log_compact {
    log_index index;
    std::vector<std::uint8_t> state;
};

using replicated_log_input
    = std::variant<log_tick, log_message_received, log_proposal, log_read_request, log_join_request, log_leadership_transfer, log_compact>;

// Outputs. The caller writes and syncs every persist_* output of a step before it acts on the other outputs of that step.

struct persist_hard_state {
    hard_state hardState;
};

/** Entries to append; they replace all stored entries from the index of the first one onwards. */
struct persist_entries {
    std::vector<log_entry> entries;
};

/** A snapshot to store in place of all entries up to and including its index. */
struct persist_snapshot {
    log_snapshot snapshot;
    std::vector<log_entry> rest; /**< Entries after the snapshot, which are kept. */
};

struct send_log_message {
    replica_id to;
    log_message message;
};

/** A committed entry; every index is emitted once, in order. */
struct entry_committed {
    log_entry entry;
    log_request_token token; /**< Zero unless the entry was proposed at this replica. */
};

/** The caller must replace its state by that of the snapshot. */
struct snapshot_installed {
    log_snapshot snapshot;
};

/** All entries that were committed when the read was requested have been emitted. */
struct read_ready {
    log_request_token token;
};

/** This replica is not the leader, or lost leadership meanwhile. */
struct log_request_failed {
    log_request_token token;
    bool mayCommit = false; /**< The proposal was appended and another leader may still commit it. */
};

enum class log_role : std::uint8_t {
    Follower,
    Candidate,
    Leader,
};

struct role_changed {
    log_role role = log_role::Follower;
    log_term term;
    replica_id leader; /**< Zero when unknown. */
};

using replicated_log_output = std::variant<persist_hard_state,
                                           persist_entries,
                                           persist_snapshot,
                                           send_log_message,
                                           entry_committed,
                                           snapshot_installed,
                                           read_ready,
                                           log_request_failed,
                                           role_changed>;

/**
 * One replica of a log replicated by the Raft algorithm (Ongaro and Ousterhout, 2014), with pre-vote,
 * a check-quorum leader that steps down when a quorum stops answering, linearizable reads by lease or
 * by a confirmed heartbeat round, learners, leadership transfer, and membership changes of at most one
 * vote each, by which a vote moves from one replica to another in two halves (voting.h).
 * It has no socket, disk or clock.
 */
class replicated_log
{
public:
    using input = replicated_log_input;
    using output = replicated_log_output;

    /** Fails with InvalidSettings if the election timeout is shorter than three heartbeat periods. */
    static result<replicated_log> create(const replicated_log_options &options, recovered_log recovered, time_point now);

    std::vector<output> step(const input &in, time_point now);

    log_role role() const
    {
        return m_role;
    }
    replica_id leader() const
    {
        return m_leader;
    }

    /** The leader, or nullptr when it is unknown or missed several heartbeats, so that clients are not redirected to it. */
    const log_member *liveLeader(time_point now) const;

    log_term term() const
    {
        return m_hardState.term;
    }
    /** Of a leader: the term of the last entry before its own. Every earlier leader that held the lease had this term or a lower one. */
    log_term precedingTerm() const
    {
        return m_precedingTerm;
    }
    log_index commitIndex() const
    {
        return m_commitIndex;
    }
    /**
     * Whether no other replica can be the leader at @p now. Followers reject votes for an election timeout after
     * a heartbeat; the lease counts from when the heartbeat was sent. Checking it needs no message, unlike a
     * confirmed read, and a leader that was suspended loses the lease.
     */
    bool holdsLeaderLease(time_point now) const;

    log_index lastIndex() const;
    log_index snapshotIndex() const
    {
        return m_snapshot.index;
    }
    const std::vector<log_member> &members() const
    {
        return m_members;
    }

private:
    struct peer_progress {
        log_index next;
        log_index matched;
        std::uint64_t acknowledgedRound = 0; /**< Latest heartbeat round that the replica answered. */
        time_point knownSince;
        time_point lastReplyAt;
        bool probing = true; /**< Sends one append at a time until the last matching entry is found. */
        std::uint64_t snapshotRound = 0; /**< Heartbeat round in which the pending snapshot was sent, or zero. */
    };
    struct pending_read {
        log_request_token token;
        std::uint64_t round = 0;
    };

    replicated_log(const replicated_log_options &options, recovered_log recovered, time_point now);

    void handle(const log_tick &);
    void handle(const log_message_received &in);
    void handle(const log_proposal &in);
    void handle(const log_read_request &in);
    void handle(const log_join_request &in);
    void handle(const log_leadership_transfer &in);
    void handle(const log_compact &in);

    void receive(replica_id from, const vote_request &message);
    void receive(replica_id from, const vote_reply &message);
    void receive(replica_id from, const append_request &message);
    void receive(replica_id from, const append_reply &message);
    void receive(replica_id from, const snapshot_request &message);
    void receive(replica_id from, const timeout_now &message);

    // Elections.
    bool isVoter(replica_id replica) const;
    bool isUpToDate(log_index index, log_term term) const;
    bool hasRecentLeader() const;
    void resetElectionTimer();
    void resetPreVoteTimer();
    void startElection(bool preVote, bool transfer);
    void becomeFollower(log_term term, replica_id leader);
    void becomeLeader();
    void setHardState(log_term term, replica_id votedFor);
    void setRole(log_role role, replica_id leader);
    void failPendingRequests();
    std::optional<replica_id> mostUpToDateVoter() const;
    void leaveLeadership();

    // Replication.
    void append(entry_kind kind, std::vector<std::uint8_t> payload, std::vector<log_member> members, log_request_token token);
    void broadcast(bool heartbeat);
    void sendAppend(replica_id to, bool heartbeat);
    void sendSnapshot(replica_id to, peer_progress &progress);
    void advanceCommit();
    void advanceCommitTo(log_index index);
    void completeReads();
    void checkQuorum();
    void acceptAppend(const append_request &message);
    log_index replaceConflictingEntries(const std::vector<log_entry> &entries);
    log_term termAt(log_index index) const;
    const log_entry &entryAt(log_index index) const;

    // Membership.
    void reloadMembers();
    bool membershipPending() const;
    bool committedInOwnTerm() const;
    bool isCaughtUp(const peer_progress &progress) const;
    void proposeNextMembership();
    void changeMembers(std::vector<log_member> members);

    template<class Output>
    void emit(Output output)
    {
        m_outputs.emplace_back(std::move(output));
    }

    replicated_log_options m_options;
    std::mt19937_64 m_random;
    time_point m_now;
    std::vector<output> m_outputs;

    hard_state m_hardState;
    log_snapshot m_snapshot;
    std::deque<log_entry> m_entries;
    std::vector<log_member> m_members;
    log_index m_membersIndex;
    log_index m_commitIndex;

    log_role m_role = log_role::Follower;
    replica_id m_leader;
    time_point m_lastLeaderContact;
    time_point m_electionDeadline;
    time_point m_nextHeartbeat;
    log_term m_precedingTerm;
    bool m_preVoting = false;
    bool m_transferElection = false;
    std::set<replica_id> m_votes;

    std::map<replica_id, peer_progress> m_progress;
    std::uint64_t m_round = 0; /**< Number of the latest heartbeat broadcast. */
    std::map<std::uint64_t, time_point> m_roundSentAt; /**< Send times of heartbeat rounds within the last election timeout. */
    std::map<log_index, log_request_token> m_pendingProposals;
    std::deque<pending_read> m_pendingReads;
    replica_id m_transferTo; /**< Target of the leadership transfer in progress, or zero. */
    time_point m_transferDeadline; /**< A leader whose transfer is not taken up by then becomes a follower. */
};

static_assert(filter<replicated_log>);

} // namespace carawayloft
