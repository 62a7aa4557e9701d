#pragma once

#include "ends/answer_fault.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawayloft {

/** A field of a head or a trailer; refers to the bytes that it was parsed from. */
struct http_field {
    std::string_view name;
    std::string_view value; /**< Without the blanks around it. */
};

/** Whether @p text is a token (RFC 9110, section 5.6.2), as field names are. */
bool isToken(std::string_view text);

/** Whether @p text has no control byte but tabs (RFC 9110, section 5.5). Bytes above 0x7f are allowed. */
bool isFieldValue(std::string_view text);

/** @p text with each control byte but tabs written as "%" and two hexadecimal digits, so that it is a field value. */
std::string escapeFieldValue(std::string_view text);

/** @p line without the line feed at its end and the return before it. */
std::string_view withoutLineEnd(std::string_view line);

/** @p text without the blanks and tabs around it. */
std::string_view withoutBlanks(std::string_view text);

/** Elements of a list (RFC 9110, section 5.6.1) whose elements hold no quoted commas; without the empty ones. */
std::vector<std::string_view> listElements(std::string_view list);

/** Parses a line without its line end. */
std::variant<http_field, answer_fault> parseField(std::string_view line);

} // namespace carawayloft
