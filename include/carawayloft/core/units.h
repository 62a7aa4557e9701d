#pragma once

#include <chrono>
#include <cstdint>

namespace carawayloft {

/** Monotonic time; decisions take it as an argument and never read a clock. */
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::milliseconds;

/** Computing times of model engines, which are shorter than a millisecond. */
using engine_duration = std::chrono::duration<double, std::milli>;

/** Length of prompts and answers. */
using token_count = std::uint32_t;

/** Wall-clock time, for deadlines that operators state and for retention. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace carawayloft
