#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/request_messages.h>

#include <deque>
#include <string>
#include <variant>

namespace carawayloft {

// Inputs.

struct answer_started {
    std::uint32_t status = 0;
    std::string contentType;
};

struct answer_bytes_received {
    std::string bytes;
};

struct answer_finished {
};

struct answer_failed {
    bool neverStarted = false;
};

struct credit_granted {
    std::uint32_t chunks = 0;
};

// Outputs.

/** A frame for the entry. */
struct relay_frame {
    std::variant<answer_head, answer_chunk, answer_end> frame;
};

/** The backend server should stop sending, or may go on. */
struct pause_backend {
    bool paused = false;
};

struct relay_done {
    bool complete = false;
    bool neverStarted = false;
};

using relay_input = std::variant<answer_started, answer_bytes_received, answer_finished, answer_failed, credit_granted>;
using relay_output = std::variant<relay_frame, pause_backend, relay_done>;

/**
 * Turns a backend server's answer into numbered chunks, as many as there is credit for. In a stream
 * each server-sent event is a chunk, so that offsets mean the same at every group.
 */
class answer_relay
{
public:
    using input = relay_input;
    using output = relay_output;

    /** @p waited is how long the request waited for its turn. */
    answer_relay(const dispatch_request &request, duration waited);

    std::vector<output> step(const input &in, time_point now);

private:
    void handle(const answer_started &in, std::vector<output> &out);
    void handle(const answer_bytes_received &in, std::vector<output> &out);
    void handle(const answer_finished &in, std::vector<output> &out);
    void handle(const answer_failed &in, std::vector<output> &out);
    void handle(const credit_granted &in, std::vector<output> &out);
    void splitEvents();
    void pump(std::vector<output> &out);

    request_id m_request;
    attempt_number m_attempt;
    duration m_waited;
    bool m_stream;
    stream_offset m_offset;
    std::uint32_t m_credit;
    std::string m_partial;
    std::deque<std::string> m_waiting;
    bool m_started = false;
    bool m_sawEnd = false;
    bool m_finished = false;
    bool m_paused = false;
    bool m_done = false;
};

static_assert(filter<answer_relay>);

} // namespace carawayloft
