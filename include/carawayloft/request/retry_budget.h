#pragma once

#include <carawayloft/core/units.h>

namespace carawayloft {

/**
 * A share of the successful work that may be spent on retries, so that retries fade out when most work
 * fails (Beyer et al., "Site Reliability Engineering", 2016, ch. 21).
 */
class retry_budget
{
public:
    /** Retries that one success earns. */
    static constexpr double retriesPerSuccess = 0.1;

    /** Retries that may be saved up; also what a fresh entry starts with. */
    static constexpr double maxSavedRetries = 20;

    void recordSuccess();

    /** Takes one retry; false when the budget is spent. */
    bool tryTake();

private:
    double m_saved = maxSavedRetries;
};

} // namespace carawayloft
