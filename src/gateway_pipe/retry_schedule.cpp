#include <carawayloft/gateway/retry_schedule.h>

#include <algorithm>

namespace carawayloft {

/** An earlier return would meet the same overload. */
static constexpr duration minRetryAfter{300};

/** Callers wait for at most this fraction of the time that they have left. */
static constexpr int waitDivisor = 3;

/** Delay where the capacity is not known: about the time that the repair of a group takes. */
static constexpr duration minRepairTime{900};
static constexpr duration maxRepairTime{2'400};

duration retry_schedule::draw(duration least, duration most)
{
    return duration(std::uniform_int_distribution<duration::rep>(std::min(least, most).count(), most.count())(m_random));
}

retry_time retry_schedule::next(std::optional<double> slotsPerSecond, duration timeLeft, duration earliest, time_point now)
{
    const duration longest = std::max(timeLeft / waitDivisor, duration(1));
    if (!slotsPerSecond) {
        return {std::min(draw(minRepairTime, maxRepairTime), longest), false};
    }
    const time_point slot = std::max(m_nextSlot, now + std::max(minRetryAfter, std::min(earliest, longest)));
    const time_point latest = now + longest;
    if (*slotsPerSecond <= 0.0 || slot > latest) {
        // There is no capacity in time. The caller returns late, when the load may have fallen, and not at the same moment as others.
        return {draw(std::max({longest / 2, std::min(earliest, longest), duration(1)}), longest), false};
    }
    const std::chrono::duration<double> gap(1.0 / *slotsPerSecond);
    // The next caller would not wait for more than this gap, and the rate may be higher by then.
    m_nextSlot = slot + std::chrono::duration_cast<time_point::duration>(std::min<std::chrono::duration<double>>(gap, longest));
    return {std::chrono::ceil<duration>(slot - now), true};
}

} // namespace carawayloft
