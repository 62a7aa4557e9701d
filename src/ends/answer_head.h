#pragma once

#include "ends/body_framing.h"
#include "ends/http_types.h"

#include <cstdint>

namespace carawayloft {

/** The head of an answer, as it may be believed. */
struct answer_head {
    std::uint32_t status = 0;
    http_headers headers;
    body_framing framing;
};

} // namespace carawayloft
