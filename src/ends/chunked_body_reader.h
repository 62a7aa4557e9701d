#pragma once

#include "ends/answer_fault.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawayloft {

/** Takes a body out of its chunks (RFC 9112, section 7.1). Chunk extensions and trailers are checked and dropped. */
class chunked_body_reader
{
public:
    /** A longer line with the size of a chunk is a fault. */
    static constexpr std::size_t maxSizeLineBytes = std::size_t{4} << 10U;

    /** More bytes of trailers are a fault. */
    static constexpr std::size_t maxTrailerBytes = std::size_t{64} << 10U;

    /** Appends the bytes of the body among @p bytes to @p body. */
    std::optional<answer_fault> read(std::string_view bytes, std::string &body);

    /** Whether the line behind the last chunk and its trailers has come. */
    bool isComplete() const
    {
        return m_phase == phase::Complete;
    }

    /** Whether bytes came behind the end, which belong to no answer. */
    bool hasExcess() const
    {
        return m_hasExcess;
    }

private:
    enum class phase : std::uint8_t {
        Size,
        Data,
        DataEnd, /**< The line end behind the bytes of a chunk. */
        Trailer,
        Complete,
    };

    void takeData(std::string_view &bytes, std::string &body);
    std::optional<answer_fault> takeLine(std::string_view &bytes);
    std::optional<answer_fault> readLine(std::string_view line);
    std::optional<answer_fault> readSize(std::string_view line);
    std::size_t maxLineBytes() const;

    phase m_phase = phase::Size;
    std::uint64_t m_left = 0; /**< Bytes of the chunk that have not come. */
    std::string m_line; /**< The beginning of a line whose end has not come. */
    std::size_t m_trailerBytes = 0;
    bool m_hasExcess = false;
};

} // namespace carawayloft
