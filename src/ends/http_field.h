#pragma once

#include <string_view>

namespace carawayloft {

/** Whether @p text has no control byte but tabs (RFC 9110, section 5.5). Bytes above 0x7f are allowed. */
bool isFieldValue(std::string_view text);

/** @p line without the line feed at its end and the return before it. */
std::string_view withoutLineEnd(std::string_view line);

} // namespace carawayloft
