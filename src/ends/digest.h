#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carawayloft {

/** SHA-256 in hexadecimal, for bearer keys, which are never stored as they are. */
std::string sha256(std::string_view text);

/** A fast hash, not safe against an adversary. */
std::uint64_t fastDigest(std::string_view bytes);

} // namespace carawayloft
