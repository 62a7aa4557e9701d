#pragma once

#include <chrono>
#include <cstdint>

namespace carawayloft {

/** Monotonic time. Decision code takes it as an argument and never reads a clock. */
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::milliseconds;

/** Computing time of a model engine; fractional, because parts of it are shorter than a millisecond. */
using engine_duration = std::chrono::duration<double, std::milli>;

/** Length of a prompt or an answer in tokens. */
using token_count = std::uint32_t;

/** Wall-clock time, for deadlines that operators set and for retention periods. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace carawayloft
