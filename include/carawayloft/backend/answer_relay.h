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
    bool neverStarted = false; /**< The request did not reach the backend server. */
};

struct credit_granted {
    std::uint32_t chunks = 0;
};

// Outputs.

/** Sends a frame to the entry. */
struct relay_frame {
    std::variant<answer_head, answer_chunk, answer_end> frame;
};

/** Pauses or resumes reading from the backend server. */
struct pause_backend {
    bool paused = false;
};

/** The backend server sends an event without end: stop reading from it. */
struct abandon_backend {
};

struct relay_done {
    bool complete = false;
    bool neverStarted = false;
};

using relay_input = std::variant<answer_started, answer_bytes_received, answer_finished, answer_failed, credit_granted>;
using relay_output = std::variant<relay_frame, pause_backend, abandon_backend, relay_done>;

/**
 * Splits a backend server's answer into numbered chunks and sends them as far as the entry has granted
 * credit. Each server-sent event of a stream is one chunk, so that a stream offset denotes the same
 * event in the answer of every group.
 */
class answer_relay
{
public:
    using input = relay_input;
    using output = relay_output;

    /** @p waited is the time that the request spent in the admission queue. */
    answer_relay(const dispatch_request &request, duration waited);

    std::vector<output> step(const input &in, time_point now);

private:
    void handle(const answer_started &in, std::vector<output> &out);
    void handle(const answer_bytes_received &in, std::vector<output> &out);
    void handle(const answer_finished &in, std::vector<output> &out);
    void handle(const answer_failed &in, std::vector<output> &out);
    void handle(const credit_granted &in, std::vector<output> &out);
    void splitEvents();
    void sendChunks(std::vector<output> &out);

    request_id m_request;
    attempt_number m_attempt;
    duration m_waited;
    bool m_stream;
    stream_offset m_offset;
    std::uint32_t m_credit;
    std::string m_partialEvent;
    std::deque<std::string> m_unsentChunks;
    bool m_started = false;
    bool m_sawLastEvent = false;
    bool m_finished = false;
    bool m_paused = false;
    bool m_done = false;
};

static_assert(filter<answer_relay>);

} // namespace carawayloft
