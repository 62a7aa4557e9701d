#pragma once

#include <string>
#include <string_view>

namespace carawayloft {

/** Whether @p text is well-formed UTF-8, without overlong forms, surrogates or code points beyond U+10FFFF. */
bool isUtf8(std::string_view text);

/** @p text with each byte that is not part of well-formed UTF-8 written as "%" and two hexadecimal digits. */
std::string escapeNonUtf8(std::string text);

} // namespace carawayloft
