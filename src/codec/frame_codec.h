#pragma once

#include <carawayloft/core/result.h>
#include <carawayloft/messages/peer_message.h>

#include <cstdint>
#include <string>
#include <vector>

namespace carawayloft {

/** Bytes of the length that precedes each frame, little-endian. */
inline constexpr std::size_t frameHeaderBytes = 4;

/** A frame longer than this closes the connection. */
inline constexpr std::size_t maxFrameBytes = std::size_t{64} << 20U;

/** The whole frame for @p message, its length included. */
std::vector<std::uint8_t> encodeFrame(const peer_message &message);

/** Length of the body behind a frame's header; fails with MalformedFrame when out of bounds. */
result<std::size_t> decodeFrameLength(const std::uint8_t *header);

/** The message of a frame's body; fails with MalformedFrame when any byte of it fails verification. */
result<peer_message> decodeFrameBody(const std::vector<std::uint8_t> &body);

/** Name of the message's kind, for logs. */
const char *kindOf(const peer_message &message);

} // namespace carawayloft
