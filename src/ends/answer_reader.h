#pragma once

#include "ends/answer_fault.h"
#include "ends/answer_head_reader.h"
#include "ends/chunked_body_reader.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace carawayloft {

/**
 * Reads one answer from the lines of its heads and the bytes behind them, and decides whether it is one. No socket: the one who
 * has the connection passes on all that comes, and closes the connection after a fault.
 */
class answer_reader
{
public:
    /** More bytes of heads, informational ones included, are a fault. */
    static constexpr std::size_t maxHeadBytes = std::size_t{64} << 10U;

    /** @p isHeadRequest: the answer is to a HEAD request, and so has no body. */
    explicit answer_reader(bool isHeadRequest);

    /** Takes the next line of a head with its line end. After a fault nothing of the answer may be used. */
    std::optional<answer_fault> addHeadLine(std::string_view line);

    /** Takes bytes behind the head; the bytes of the body among them. */
    std::variant<std::string, answer_fault> addBody(std::string_view bytes);

    bool hasHead() const
    {
        return m_headReader.isComplete();
    }

    /** The head; to be used once it has come. */
    const answer_head &head() const
    {
        return m_headReader.head();
    }

    /** Whether the answer is whole if its connection ends here. */
    bool isWhole() const;

    /** Whether bytes came behind the answer, which belong to none. */
    bool hasExcess() const;

private:
    answer_head_reader m_headReader;
    chunked_body_reader m_chunks;
    std::size_t m_headBytes = 0;
    std::uint64_t m_bodyBytes = 0;
};

} // namespace carawayloft
