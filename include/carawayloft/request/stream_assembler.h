#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/request_messages.h>

#include <map>
#include <optional>
#include <variant>

namespace carawayloft {

// Inputs.

/** A new attempt takes over; frames of earlier ones are dropped from here on. */
struct attempt_started {
    attempt_number attempt;
};

// Outputs.

struct head_ready {
    std::uint32_t status = 0;
    std::string contentType;
};

struct bytes_ready {
    std::string bytes;
};

/** The whole answer has been put out. */
struct answer_complete {
};

/** The attempt broke off; the answer goes on at @p resumeAt, if at all. */
struct attempt_broken {
    stream_offset resumeAt;
    bool noFrameReceived = false; /**< Not a single frame of the attempt came. */
};

using assembler_input = std::variant<attempt_started, answer_head, answer_chunk, answer_end>;
using assembler_output = std::variant<head_ready, bytes_ready, answer_complete, attempt_broken>;

/**
 * Puts the frames of one answer in order across attempts: each offset comes out once, whatever is
 * late, doubled or out of order. Holds at most @p maxHeldChunks chunks that arrived before their turn.
 */
class stream_assembler
{
public:
    using input = assembler_input;
    using output = assembler_output;

    static constexpr std::size_t maxHeldChunks = 1'024;

    std::vector<output> step(const input &in, time_point now);

    /** The offset that comes next. */
    stream_offset position() const
    {
        return m_position;
    }
    attempt_number attempt() const
    {
        return m_attempt;
    }

private:
    void take(const attempt_started &in, std::vector<output> &out);
    void take(const answer_head &in, std::vector<output> &out);
    void take(const answer_chunk &in, std::vector<output> &out);
    void take(const answer_end &in, std::vector<output> &out);
    void release(std::vector<output> &out);
    void finishIfWhole(std::vector<output> &out);

    attempt_number m_attempt;
    stream_offset m_position;
    bool m_headSent = false;
    bool m_attemptSeen = false;
    bool m_complete = false;
    std::map<stream_offset, std::string> m_heldChunks;
    std::optional<stream_offset> m_length;
};

static_assert(filter<stream_assembler>);

} // namespace carawayloft
