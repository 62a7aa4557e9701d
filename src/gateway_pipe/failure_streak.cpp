#include <carawayloft/gateway/failure_streak.h>

#include <algorithm>

namespace carawayloft {

/** One failure alone may be that of the request. */
static constexpr std::uint32_t minFailures = 2;

/** Time to the first trial, and how often it doubles at most: to 32 s. */
static constexpr duration firstTrialAfter{1'000};
static constexpr std::uint32_t maxDoublings = 5;

void failure_streak::record(bool failure, time_point now)
{
    if (!failure) {
        m_failures = 0;
        return;
    }
    ++m_failures;
    if (m_failures >= minFailures) {
        m_trialAt = now + firstTrialAfter * (1U << std::min(m_failures - minFailures, maxDoublings));
    }
}

bool failure_streak::isFailing(std::uint32_t running, time_point now) const
{
    return m_failures >= minFailures && (running > 0 || now < m_trialAt);
}

} // namespace carawayloft
