#include "ends/answer_head_reader.h"

#include "ends/http_field.h"

#include <carawayloft/core/http_status.h>

#include <algorithm>
#include <charconv>

namespace carawayloft {

static constexpr std::string_view blanks = " \t";
static constexpr std::size_t statusDigits = 3;

static bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/** Whether a folded line would be a field without the blanks before it. Readers differ in what they take it for. */
static bool resemblesField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = withoutBlanks(line.substr(0, colon));
    return colon != std::string_view::npos && (name.empty() || isToken(name));
}

answer_head_reader::answer_head_reader(bool isHeadRequest)
    : m_isHeadRequest(isHeadRequest)
{
}

std::optional<answer_fault> answer_head_reader::addLine(std::string_view line)
{
    line = withoutLineEnd(line);
    switch (m_phase) {
    case phase::StatusLine:
        return readStatusLine(line);
    case phase::Fields:
        return line.empty() ? endHead() : readField(line);
    case phase::Complete:
        break;
    }
    return answer_fault::Framing;
}

std::optional<answer_fault> answer_head_reader::readStatusLine(std::string_view line)
{
    static constexpr std::string_view http10 = "HTTP/1.0 ";
    static constexpr std::string_view http11 = "HTTP/1.1 ";
    m_isHttp10 = line.starts_with(http10);
    if (!m_isHttp10 && !line.starts_with(http11)) {
        return answer_fault::StatusLine;
    }
    line.remove_prefix(http11.size());
    const std::string_view digits = line.substr(0, statusDigits);
    const std::string_view reason = line.substr(digits.size());
    const bool isNumber = digits.size() == statusDigits && std::all_of(digits.begin(), digits.end(), isDigit);
    // Many servers leave out the blank before an empty reason.
    if (!isNumber || !(reason.empty() || reason.starts_with(' ')) || !isFieldValue(reason)) {
        return answer_fault::StatusLine;
    }
    std::from_chars(digits.data(), digits.data() + digits.size(), m_head.status);
    if (!http_status::isFinal(m_head.status) && !http_status::isInformational(m_head.status)) {
        return answer_fault::StatusLine;
    }
    m_phase = phase::Fields;
    return std::nullopt;
}

std::optional<answer_fault> answer_head_reader::readField(std::string_view line)
{
    if (blanks.find(line.front()) != std::string_view::npos) {
        return readFoldedLine(line);
    }
    const std::variant<http_field, answer_fault> parsed = parseField(line);
    if (const auto *fault = std::get_if<answer_fault>(&parsed)) {
        return *fault;
    }
    const http_field &field = std::get<http_field>(parsed);
    const auto [known, isNew] = m_head.headers.emplace(field.name, field.value);
    if (!isNew) {
        known->second.append(", ").append(field.value); // Several lines with one name are one list (RFC 9110, section 5.3).
    }
    m_lastName = known->first;
    return std::nullopt;
}

/** A line that begins with a blank goes on with the value of the field before it (RFC 9112, section 5.2). */
std::optional<answer_fault> answer_head_reader::readFoldedLine(std::string_view line)
{
    if (m_lastName.empty() || resemblesField(line)) {
        return answer_fault::FieldName;
    }
    if (isFramingField(m_lastName)) {
        return answer_fault::Framing; // libcurl reads these fields by itself and does not join folded lines.
    }
    if (!isFieldValue(line)) {
        return answer_fault::FieldValue;
    }
    m_head.headers[m_lastName].append(" ").append(withoutBlanks(line));
    return std::nullopt;
}

std::optional<answer_fault> answer_head_reader::endHead()
{
    const auto framing = readFraming(m_head.headers, {m_head.status, m_isHttp10, m_isHeadRequest});
    if (const auto *fault = std::get_if<answer_fault>(&framing)) {
        return *fault;
    }
    m_head.framing = std::get<body_framing>(framing);
    if (http_status::isInformational(m_head.status)) {
        m_head = {};
        m_lastName.clear();
        m_phase = phase::StatusLine;
        return std::nullopt;
    }
    m_phase = phase::Complete;
    return std::nullopt;
}

} // namespace carawayloft
