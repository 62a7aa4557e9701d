#include "ends/http_field.h"

#include <fmt/format.h>

#include <algorithm>

namespace carawayloft {

static constexpr std::string_view blanks = " \t";
static constexpr unsigned char deleteByte = 0x7f;

static bool isTokenByte(unsigned char byte)
{
    static constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    const bool isDigit = byte >= '0' && byte <= '9';
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return isDigit || isLetter || punctuation.find(static_cast<char>(byte)) != std::string_view::npos;
}

static bool isValueByte(unsigned char byte)
{
    return byte == '\t' || (byte >= ' ' && byte != deleteByte);
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenByte);
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isValueByte);
}

std::string escapeFieldValue(std::string_view text)
{
    std::string escaped;
    for (const char each : text) {
        const auto byte = static_cast<unsigned char>(each);
        escaped += isValueByte(byte) ? std::string(1, each) : fmt::format("%{:02X}", byte);
    }
    return escaped;
}

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
    }
    return line;
}

std::string_view withoutBlanks(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

std::vector<std::string_view> listElements(std::string_view list)
{
    std::vector<std::string_view> elements;
    for (std::size_t begin = 0; begin <= list.size();) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        const std::string_view element = withoutBlanks(list.substr(begin, end - begin));
        if (!element.empty()) {
            elements.push_back(element);
        }
        begin = end + 1;
    }
    return elements;
}

std::variant<http_field, answer_fault> parseField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return answer_fault::FieldName;
    }
    const std::string_view value = line.substr(colon + 1);
    if (!isFieldValue(value)) {
        return answer_fault::FieldValue;
    }
    return http_field{line.substr(0, colon), withoutBlanks(value)};
}

} // namespace carawayloft
