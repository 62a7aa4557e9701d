#pragma once

#include <cstddef>

/** Limits on what is kept of a backend server's answer: a server in trouble may send without end. */
namespace carawayloft {

/** Longest event of a streamed answer. */
constexpr std::size_t maxEventBytes = std::size_t{256} << 10U;

/** Longest answer that is kept until it is whole. */
constexpr std::size_t maxWholeAnswerBytes = std::size_t{4} << 20U;

/**
 * Limit on all answers together that one process keeps until they are whole; a longer one than largeAnswerBytes fails
 * beyond it. For a machine of 160 MB; gateways scale it with the memory in their settings.
 */
constexpr std::size_t maxKeptAnswerBytes = std::size_t{32} << 20U;
constexpr std::size_t largeAnswerBytes = std::size_t{64} << 10U;

/** Bytes of a streamed answer that its caller has not taken, above which nothing more is read from the server. */
constexpr std::size_t maxUntakenBytes = std::size_t{256} << 10U;

} // namespace carawayloft
