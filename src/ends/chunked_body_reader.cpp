#include "ends/chunked_body_reader.h"

#include "ends/http_field.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace carawayloft {

static constexpr std::size_t lineEndBytes = 2;
static constexpr int hexadecimal = 16;

/** Largest size of a chunk that libcurl reads. */
static constexpr std::uint64_t maxChunkBytes = std::numeric_limits<std::int64_t>::max();

/** Whether @p text is empty or begins as chunk extensions do. */
static bool isExtension(std::string_view text)
{
    return text.empty() || (withoutBlanks(text).starts_with(';') && isFieldValue(text));
}

std::optional<answer_fault> chunked_body_reader::read(std::string_view bytes, std::string &body)
{
    while (!bytes.empty()) {
        if (m_phase == phase::Complete) {
            m_hasExcess = true;
            return std::nullopt;
        }
        if (m_phase == phase::Data) {
            takeData(bytes, body);
        } else if (const auto fault = takeLine(bytes)) {
            return fault;
        }
    }
    return std::nullopt;
}

void chunked_body_reader::takeData(std::string_view &bytes, std::string &body)
{
    const auto part = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, bytes.size()));
    body.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    m_left -= part;
    if (m_left == 0) {
        m_phase = phase::DataEnd;
    }
}

std::size_t chunked_body_reader::maxLineBytes() const
{
    switch (m_phase) {
    case phase::DataEnd:
        return lineEndBytes;
    case phase::Trailer:
        return maxTrailerBytes - m_trailerBytes;
    default:
        return maxSizeLineBytes;
    }
}

std::optional<answer_fault> chunked_body_reader::takeLine(std::string_view &bytes)
{
    const std::size_t feed = bytes.find('\n');
    const std::size_t part = feed == std::string_view::npos ? bytes.size() : feed + 1;
    if (m_line.size() + part > maxLineBytes()) {
        return m_phase == phase::Trailer ? answer_fault::TooLong : answer_fault::Chunk;
    }
    m_line.append(bytes.substr(0, part));
    bytes.remove_prefix(part);
    if (feed == std::string_view::npos) {
        return std::nullopt;
    }
    const auto fault = readLine(m_line);
    m_line.clear();
    return fault;
}

std::optional<answer_fault> chunked_body_reader::readLine(std::string_view line)
{
    const std::string_view text = withoutLineEnd(line);
    if (m_phase == phase::Size) {
        return readSize(text);
    }
    if (m_phase == phase::DataEnd) {
        m_phase = phase::Size;
        return text.empty() ? std::nullopt : std::optional(answer_fault::Chunk);
    }
    m_trailerBytes += line.size();
    if (text.empty()) {
        m_phase = phase::Complete;
        return std::nullopt;
    }
    return std::holds_alternative<http_field>(parseField(text)) ? std::nullopt : std::optional(answer_fault::Trailer);
}

std::optional<answer_fault> chunked_body_reader::readSize(std::string_view line)
{
    const char *end = line.data() + line.size();
    const auto parsed = std::from_chars(line.data(), end, m_left, hexadecimal);
    const bool isSize = parsed.ec == std::errc() && m_left <= maxChunkBytes;
    if (!isSize || !isExtension({parsed.ptr, static_cast<std::size_t>(end - parsed.ptr)})) {
        return answer_fault::Chunk;
    }
    m_phase = m_left > 0 ? phase::Data : phase::Trailer;
    return std::nullopt;
}

} // namespace carawayloft
