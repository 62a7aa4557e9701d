#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/ids.h>

#include <variant>

namespace carawayloft {

// Inputs.

struct finder_tick {
};

struct control_connected {
};

struct control_disconnected {
};

/** A message that only the leader sends. */
struct leader_message_received {
};

struct leader_redirect {
    endpoint leader; /**< Empty if the replica does not know the leader. */
};

/** Replicas to try in addition to the known ones. */
struct replicas_discovered {
    std::vector<endpoint> replicas;
};

/** All current replicas, as the leader names them. Replaces the earlier list; the other known replicas stay. */
struct replicas_listed {
    std::vector<endpoint> replicas;
};

// Outputs.

/** Connect to this replica and drop the current connection, if any. */
struct connect_to_control {
    endpoint replica;
};

/** Subscribe to the published fleet; the reply also shows whether the leader is alive. */
struct request_publications {
};

/** Finds the leader among the control replicas and detects when it stops responding. */
class leader_finder
{
public:
    using input
        = std::variant<finder_tick, control_connected, control_disconnected, leader_message_received, leader_redirect, replicas_discovered, replicas_listed>;
    using output = std::variant<connect_to_control, request_publications>;

    /** Time without a message from the leader after which another replica is tried, unless the caller needs a shorter one. */
    static constexpr duration defaultLeaderTimeout{3'000};

    explicit leader_finder(std::vector<endpoint> replicas, duration leaderTimeout = defaultLeaderTimeout);

    std::vector<output> step(const input &in, time_point now);

private:
    std::vector<output> connect(const endpoint &replica, time_point now);
    std::vector<output> connectNext(time_point now);
    std::vector<endpoint> replicasToTry() const;

    std::vector<endpoint> m_replicas;
    std::vector<endpoint> m_listed;
    duration m_leaderTimeout;
    std::size_t m_nextReplica = 0;
    bool m_connecting = false;
    bool m_open = false;
    time_point m_nextRequest;
    time_point m_lastLeaderMessage;
    time_point m_nextConnect;
};

static_assert(filter<leader_finder>);

} // namespace carawayloft
