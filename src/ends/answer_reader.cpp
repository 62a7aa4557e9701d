#include "ends/answer_reader.h"

namespace carawayloft {

std::optional<answer_fault> answer_reader::addHeadLine(std::string_view line)
{
    m_headBytes += line.size();
    if (m_headBytes > maxHeadBytes) {
        return answer_fault::TooLong;
    }
    return m_headReader.addLine(line);
}

} // namespace carawayloft
