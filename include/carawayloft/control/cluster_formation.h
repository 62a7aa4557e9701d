#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/ids.h>

#include <set>
#include <variant>

namespace carawayloft {

// Inputs.

struct formation_tick {
};

/** A peer's reply whether its log was ever formed, that is, whether it has taken part in an election. */
struct peer_formation_state {
    replica_number from;
    bool formed = false;
};

// Outputs.

struct probe_peer {
    replica_number peer;
};

/** This replica is an initial member of a new log. */
struct form_log {
};

/** The log exists already: this replica joins it under a new replica id. */
struct join_log {
};

using formation_input = std::variant<formation_tick, peer_formation_state>;
using formation_output = std::variant<probe_peer, form_log, join_log>;

/**
 * Decides whether a replica with an empty disk forms a new log or joins an existing one. It forms the log
 * only after every peer has reported an unformed log since this process started. If this replica had voted
 * before it lost its disk, some peer would know of that election. In any other case it must not act under
 * its old replica id, since it has lost its record of votes.
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
