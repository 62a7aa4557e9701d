#pragma once

#include "ends/answer_fault.h"
#include "ends/answer_head.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayloft {

/**
 * Decides what the head of an answer is, for every reader of answers (RFC 9112, sections 4 to 6; RFC 9110, section 5). Heads of
 * informational answers are read like others and dropped.
 */
class answer_head_reader
{
public:
    /** @p isHeadRequest: the answer is to a HEAD request, and so has no body. */
    explicit answer_head_reader(bool isHeadRequest);

    answer_head_reader(const answer_head_reader &) = delete;
    answer_head_reader &operator=(const answer_head_reader &) = delete;

    /** Takes the next line with its line end. After a fault nothing of the head may be used. */
    std::optional<answer_fault> addLine(std::string_view line);

    /** Whether the empty line behind the head of the answer itself, not of an informational one, has come. */
    bool isComplete() const
    {
        return m_phase == phase::Complete;
    }

    /** The head; to be used once it is complete. */
    const answer_head &head() const
    {
        return m_head;
    }

private:
    enum class phase : std::uint8_t {
        StatusLine,
        Fields,
        Complete,
    };

    std::optional<answer_fault> readStatusLine(std::string_view line);
    std::optional<answer_fault> readField(std::string_view line);
    std::optional<answer_fault> readFoldedLine(std::string_view line);
    std::optional<answer_fault> endHead();

    bool m_isHeadRequest;
    phase m_phase = phase::StatusLine;
    bool m_isHttp10 = false;
    std::string m_lastName; /**< Of the field that a folded line goes on with; empty before the first one. */
    answer_head m_head;
};

} // namespace carawayloft
