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

/** Any message that only a leader sends. */
struct leader_message_received {
};

struct leader_redirect {
    endpoint leader; /**< Empty when not known there. */
};

/** More replicas, beside those that are known. */
struct replicas_discovered {
    std::vector<endpoint> replicas;
};

// Outputs.

/** Leave the present connection, if any, for this one. */
struct connect_to_control {
    endpoint replica;
};

/** Ask for the configuration; also tells whether the leader is still there. */
struct request_publications {
};

/** Finds the leader among the control replicas and notices when it falls silent. */
class leader_finder
{
public:
    using input = std::variant<finder_tick, control_connected, control_disconnected, leader_message_received, leader_redirect, replicas_discovered>;
    using output = std::variant<connect_to_control, request_publications>;

    /** Silence of a leader after which another replica is asked, where nothing shorter is needed. */
    static constexpr duration defaultLeaderTimeout{3'000};

    explicit leader_finder(std::vector<endpoint> replicas, duration leaderTimeout = defaultLeaderTimeout);

    std::vector<output> step(const input &in, time_point now);

private:
    std::vector<output> connect(const endpoint &replica, time_point now);
    std::vector<output> connectNext(time_point now);

    std::vector<endpoint> m_replicas;
    duration m_silenceToLeave;
    std::size_t m_turn = 0;
    bool m_connecting = false;
    bool m_open = false;
    time_point m_askDue;
    time_point m_silentSince;
    time_point m_connectDue;
};

static_assert(filter<leader_finder>);

} // namespace carawayloft
