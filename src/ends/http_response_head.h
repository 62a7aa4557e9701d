#pragma once

#include "ends/http_types.h"

#include <cstdint>
#include <string>

namespace carawayloft {

/** First line and headers; @p framing is the line that says how the body is delimited, or empty. */
std::string encodeHead(const http_response &response, bool keepAlive, const std::string &framing);

/** Whether answers with the status never have a body. */
bool hasNoBody(std::uint32_t status);

} // namespace carawayloft
