#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/core/ids.h>

#include <variant>

namespace carawayloft {

// Inputs.

struct finder_tick {
};

struct control_opened {
};

struct control_closed {
};

/** Any message that only a leader sends. */
struct leader_heard {
};

struct leader_is_elsewhere {
    endpoint leader; /**< Empty when not known there. */
};

/** More replicas, beside those that are known. */
struct replicas_known {
    std::vector<endpoint> replicas;
};

// Outputs.

/** Leave the present connection, if any, for this one. */
struct connect_to_control {
    endpoint replica;
};

/** Ask for the configuration; also tells whether the leader is still there. */
struct ask_control {
};

/** Finds the leader among the control replicas and notices when it falls silent. */
class leader_finder
{
public:
    using input = std::variant<finder_tick, control_opened, control_closed, leader_heard, leader_is_elsewhere, replicas_known>;
    using output = std::variant<connect_to_control, ask_control>;

    /** Silence of a leader after which another replica is asked, where nothing shorter is needed. */
    static constexpr duration usualSilenceToLeave{3'000};

    explicit leader_finder(std::vector<endpoint> replicas, duration silenceToLeave = usualSilenceToLeave);

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
