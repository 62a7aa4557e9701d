#pragma once

#include <chrono>
#include <cstdint>

namespace carawayloft {

/** Monotonic time. Decision code takes it as an argument and never reads a clock. */
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::milliseconds;

/** Computing time of a model engine; fractional, because parts of it are shorter than a millisecond. */
using engine_duration = std::chrono::duration<double, std::milli>;

/** Longest time that is planned ahead: far beyond every timeout, and far below the end of the clock. */
inline constexpr duration maxPlannedTime = std::chrono::hours(24 * 365);

/** The whole milliseconds that @p time takes, at least none and at most maxPlannedTime. */
constexpr duration ceilDuration(engine_duration time)
{
    if (!(time > engine_duration(0))) {
        return duration(0);
    }
    return time < engine_duration(maxPlannedTime) ? std::chrono::ceil<duration>(time) : maxPlannedTime;
}

/** Length of a prompt or an answer in tokens. */
using token_count = std::uint32_t;

/** Wall-clock time, for deadlines that operators set and for retention periods. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace carawayloft
