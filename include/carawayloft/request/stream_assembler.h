#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/request_messages.h>

#include <map>
#include <optional>
#include <variant>

namespace carawayloft {

// Inputs.

/** A new attempt has started; frames of earlier attempts are dropped from now on. */
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

/** All bytes of the answer have been output. */
struct answer_complete {
};

/** The attempt failed before the end of the answer; another attempt has to resume at @p resumeAt. */
struct attempt_broken {
    stream_offset resumeAt;
    bool noFrameReceived = false; /**< No frame of the attempt was received before it failed. */
};

using assembler_input = std::variant<attempt_started, answer_head, answer_chunk, answer_end>;
using assembler_output = std::variant<head_ready, bytes_ready, answer_complete, attempt_broken>;

/**
 * Reassembles one answer from the frames of one or more attempts. Outputs each offset once and in order,
 * even if frames are delayed, duplicated or reordered. Holds at most @p maxHeldChunks out-of-order chunks.
 */
class stream_assembler
{
public:
    using input = assembler_input;
    using output = assembler_output;

    static constexpr std::size_t maxHeldChunks = 1'024;

    std::vector<output> step(const input &in, time_point now);

    /** Offset of the next chunk to be output. */
    stream_offset position() const
    {
        return m_position;
    }
    attempt_number attempt() const
    {
        return m_attempt;
    }

private:
    void handle(const attempt_started &in, std::vector<output> &out);
    void handle(const answer_head &in, std::vector<output> &out);
    void handle(const answer_chunk &in, std::vector<output> &out);
    void handle(const answer_end &in, std::vector<output> &out);
    void releaseInOrder(std::vector<output> &out);
    void finishIfComplete(std::vector<output> &out);

    attempt_number m_attempt;
    stream_offset m_position;
    std::optional<head_ready> m_sentHead;
    bool m_headReceived = false; /**< Of the current attempt. */
    bool m_frameReceived = false;
    bool m_complete = false;
    std::map<stream_offset, std::string> m_heldChunks;
    std::optional<stream_offset> m_length;
};

static_assert(filter<stream_assembler>);

} // namespace carawayloft
