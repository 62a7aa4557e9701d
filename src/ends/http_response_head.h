#pragma once

#include "ends/http_types.h"

#include <carawayloft/core/result.h>

#include <string>

namespace carawayloft {

/**
 * First line and headers; @p framing is the line that says how the body is delimited, or empty. Fails with MalformedAnswer if the
 * status is none of a final answer, a name is no token, a value has control bytes, or a header is one that the encoder sets itself.
 */
result<std::string> encodeHead(const http_response &response, bool keepAlive, const std::string &framing);

} // namespace carawayloft
