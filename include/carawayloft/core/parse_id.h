#pragma once

#include <carawayloft/core/result.h>
#include <carawayloft/core/utf8.h>

#include <algorithm>
#include <string>

namespace carawayloft {

/**
 * Reads an id that another program sent; @p name says in errors whose it is.
 * Fails with InvalidRequest if it is empty, is not UTF-8 or contains control characters.
 */
template<class Id>
result<Id> parseId(const std::string &name, std::string text)
{
    const auto isControl = [](char each) { return (each >= 0 && each < ' ') || each == '\x7f'; };
    if (text.empty()) {
        return error{error_kind::InvalidRequest, "the id of the " + name + " is empty", "send an id"};
    }
    if (!isUtf8(text) || std::any_of(text.begin(), text.end(), isControl)) {
        return error{error_kind::InvalidRequest,
                     "the id '" + escapeNonUtf8(std::move(text)) + "' of the " + name + " is not text",
                     "send printable UTF-8 or percent-encode it"};
    }
    return Id(std::move(text));
}

} // namespace carawayloft
