#pragma once

#include <cstddef>

/** Limits on what is kept of a backend server's answer: a server in trouble may send without end. */
namespace carawayloft {

/** Longest event of a streamed answer. */
constexpr std::size_t maxEventBytes = std::size_t{256} << 10U;

/** Longest answer that is kept until it is whole. */
constexpr std::size_t maxWholeAnswerBytes = std::size_t{4} << 20U;

} // namespace carawayloft
