#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/ids.h>

#include <set>
#include <variant>

namespace carawayloft {

// Inputs.

struct formation_tick {
};

/** A peer said whether its log was ever formed, that is, whether it saw an election. */
struct peer_formation_state {
    replica_number from;
    bool formed = false;
};

// Outputs.

struct probe_peer {
    replica_number peer;
};

/** This replica is one of the first members. */
struct form_log {
};

/** The log exists already: come in as a new replica with an empty disk. */
struct join_log {
};

using formation_input = std::variant<formation_tick, peer_formation_state>;
using formation_output = std::variant<probe_peer, form_log, join_log>;

/**
 * Decides what a replica with an empty disk is. It forms the log only after every peer was heard to be
 * unformed since this process started: had this replica voted before it lost its disk, some peer would
 * have seen that election. In any other case it must not act under its old identity.
 */
class cluster_formation
{
public:
    using input = formation_input;
    using output = formation_output;

    explicit cluster_formation(std::set<replica_number> peers);

    std::vector<output> step(const input &in, time_point now);

private:
    std::set<replica_number> m_peers;
    std::set<replica_number> m_unformedPeers;
    bool m_decided = false;
};

static_assert(filter<cluster_formation>);

} // namespace carawayloft
