#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/result.h>
#include <carawayloft/order/log_message.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace carawayloft {

/** Chosen by the host to recognise its own proposals and reads. Zero is nobody's. */
using log_request_token = strong_type<struct log_request_token_tag, std::uint64_t>;

struct replicated_log_options {
    replica_id self;
    duration heartbeatPeriod{50};
    duration electionTimeout{500}; /**< Lower bound; the upper bound is twice as long. */
    std::uint64_t seed = 1; /**< Of the generator that spreads election timeouts. */
    std::size_t maxEntriesPerMessage = 512;
    std::size_t maxBytesPerMessage = 1U << 20U;
};

// Inputs.

struct log_tick {
};

struct log_message_received {
    replica_id from;
    log_message message;
};

/** Asks the leader to append @p payload. */
struct log_proposal {
    log_request_token token;
    std::vector<std::uint8_t> payload;
};

/** Asks whether this replica is the leader at present, with all that was accepted before applied. */
struct log_read_request {
    log_request_token token;
};

/** A replica, new or back with another disk, asks to be let in. */
struct log_join_request {
    log_member member;
};

/** Hands leadership to the replica that has most of the log. */
struct log_leadership_transfer {
};

/** The host has @p state of everything up to @p index; entries before may go. */
struct log_compact {
    log_index index;
    std::vector<std::uint8_t> state;
};

using replicated_log_input
    = std::variant<log_tick, log_message_received, log_proposal, log_read_request, log_join_request, log_leadership_transfer, log_compact>;

// Outputs. The host completes every persist_* of a batch, synced, before it acts on any other output of it.

struct persist_hard_state {
    hard_state hardState;
};

/** Entries to append; entries on disk from the first one's index on are replaced. */
struct persist_entries {
    std::vector<log_entry> entries;
};

/** A snapshot to store in place of all entries up to its index. */
struct persist_snapshot {
    log_snapshot snapshot;
    std::vector<log_entry> rest; /**< Entries behind the snapshot that stay. */
};

struct send_log_message {
    replica_id to;
    log_message message;
};

/** An entry that no failure can take back; in order, each index once. */
struct entry_committed {
    log_entry entry;
    log_request_token token; /**< Zero unless proposed at this replica. */
};

/** The host replaces its state by the snapshot's. */
struct snapshot_installed {
    log_snapshot snapshot;
};

/** Every change accepted before the read was asked for has been put out as committed. */
struct read_ready {
    log_request_token token;
};

/** Not the leader, or no longer; a proposal may still be committed by another leader. */
struct log_request_failed {
    log_request_token token;
    bool mayCommit = false;
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
 * A replicated log by the Raft algorithm (Ongaro and Ousterhout, 2014), with pre-vote, a leader that
 * steps down on its own clock when it hears from no quorum, reads by a confirmed round of messages,
 * learners, single-replica membership changes and leadership transfer. It has no socket, disk or clock.
 */
class replicated_log
{
public:
    using input = replicated_log_input;
    using output = replicated_log_output;

    /** Fails with InvalidSettings when the timeouts cannot work together. */
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

    /** The leader, or nullptr when it is not known or has missed a few heartbeats: then nobody should be sent there. */
    const log_member *liveLeader(time_point now) const;

    log_term term() const
    {
        return m_hardState.term;
    }
    log_index commitIndex() const
    {
        return m_commit;
    }
    /**
     * Whether no other replica can be the leader at @p now: a quorum has promised to elect nobody yet,
     * counted from when it was asked. Unlike a read it needs no message, and a frozen leader loses it.
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
        std::uint64_t roundHeard = 0;
        time_point heardAt;
        bool probing = true; /**< One message at a time until the logs' common point is found. */
        std::uint64_t snapshotRound = 0; /**< Round of a snapshot under way, or zero. */
    };
    struct waiting_read {
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
    bool quorum(const std::set<replica_id> &replicas) const;
    bool isUpToDate(log_index index, log_term term) const;
    bool heardFromLeaderLately() const;
    void resetElectionTimer();
    void startElection(bool preVote, bool transfer);
    void becomeFollower(log_term term, replica_id leader);
    void becomeLeader();
    void setPromise(log_term term, replica_id votedFor);
    void setRole(log_role role, replica_id leader);
    void failWaiting();

    // Replication.
    void append(entry_kind kind, std::vector<std::uint8_t> payload, std::vector<log_member> members, log_request_token token);
    void broadcast(bool heartbeat);
    void sendAppend(replica_id to, bool heartbeat);
    void sendSnapshot(replica_id to, peer_progress &progress);
    void advanceCommit();
    void commitTo(log_index index);
    void confirmReads();
    void checkQuorum();
    void appendFromLeader(const append_request &message);
    log_index storeEntries(const std::vector<log_entry> &entries);
    log_term termAt(log_index index) const;
    const log_entry &entryAt(log_index index) const;

    // Membership.
    void refreshMembers();
    bool membershipPending() const;
    bool committedInOwnTerm() const;
    bool isSilent(const log_member &member, duration silence) const;
    bool isCaughtUp(const log_member &member) const;
    std::optional<std::vector<log_member>> betterMembers() const;
    void improveMembers();
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
    log_index m_commit;

    log_role m_role = log_role::Follower;
    replica_id m_leader;
    time_point m_lastLeaderContact;
    time_point m_electionDue;
    time_point m_heartbeatDue;
    bool m_preVoting = false;
    bool m_transferElection = false;
    std::set<replica_id> m_votes;

    std::map<replica_id, peer_progress> m_progress;
    std::uint64_t m_round = 0;
    std::map<std::uint64_t, time_point> m_roundSentAt; /**< Of rounds within the last election timeout. */
    std::map<log_index, log_request_token> m_tokens;
    std::deque<waiting_read> m_reads;
    replica_id m_transferTo; /**< Receiver of a leadership transfer under way, or zero. */
    time_point m_transferDue; /**< A transfer not done by then is given up. */
};

static_assert(filter<replicated_log>);

} // namespace carawayloft
