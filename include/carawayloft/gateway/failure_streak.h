#pragma once

#include <carawayloft/core/units.h>

#include <cstdint>

namespace carawayloft {

/**
 * Broken answers of one server without a whole one between them. After two the server is failing: it gets nothing while another
 * server is sound, except single trials, at intervals that double while they fail.
 */
class failure_streak
{
public:
    /** Records the end of a call. */
    void record(bool failure, time_point now);

    /** Whether the server is failing and no trial is due; @p running are the calls in flight there. */
    bool isFailing(std::uint32_t running, time_point now) const;

private:
    std::uint32_t m_failures = 0;
    time_point m_trialAt;
};

} // namespace carawayloft
