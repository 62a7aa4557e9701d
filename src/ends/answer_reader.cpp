#include "ends/answer_reader.h"

#include <carawayloft/core/overloaded.h>

namespace carawayloft {

answer_reader::answer_reader(bool isHeadRequest)
    : m_headReader(isHeadRequest)
{
}

std::optional<answer_fault> answer_reader::addHeadLine(std::string_view line)
{
    m_headBytes += line.size();
    if (m_headBytes > maxHeadBytes) {
        return answer_fault::TooLong;
    }
    return m_headReader.addLine(line);
}

std::variant<std::string, answer_fault> answer_reader::addBody(std::string_view bytes)
{
    if (!std::holds_alternative<body_in_chunks>(m_headReader.head().framing)) {
        m_bodyBytes += bytes.size();
        return std::string(bytes);
    }
    std::string body;
    if (const auto fault = m_chunks.read(bytes, body)) {
        return *fault;
    }
    return body;
}

bool answer_reader::isWhole() const
{
    return hasHead()
           && std::visit(overloaded{
                             [](const no_body &) { return true; },
                             [this](const body_with_length &stated) { return m_bodyBytes == stated.bytes; },
                             [this](const body_in_chunks &) { return m_chunks.isComplete(); },
                             [](const body_until_close &) { return true; },
                         },
                         m_headReader.head().framing);
}

bool answer_reader::hasExcess() const
{
    return m_chunks.hasExcess();
}

} // namespace carawayloft
