#include "ends/clock.h"

#include <ctime>

namespace carawayloft {

time_point monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace carawayloft
