#pragma once

#include "ends/answer_fault.h"
#include "ends/http_types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace carawayloft {

/** The answer ends with its head. */
struct no_body {
};

/** The body has a stated number of bytes. */
struct body_with_length {
    std::uint64_t bytes = 0;
};

/** The body comes in chunks (RFC 9112, section 7.1). */
struct body_in_chunks {
};

/** The body ends with its connection. */
struct body_until_close {
};

/** How the end of the body of an answer is found (RFC 9112, section 6.3). */
using body_framing = std::variant<no_body, body_with_length, body_in_chunks, body_until_close>;

/** What the framing of an answer depends on beside its fields. */
struct framing_context {
    std::uint32_t status = 0;
    bool isHttp10 = false;
    bool isHeadRequest = false; /**< The answer is to a HEAD request, and so has no body. */
};

/** Whether a field with this name says how long the body is. */
bool isFramingField(const std::string &name);

/** The framing that a head states. Fails with answer_fault::Framing if it states none that can be used, or several. */
std::variant<body_framing, answer_fault> readFraming(const http_headers &headers, const framing_context &context);

} // namespace carawayloft
