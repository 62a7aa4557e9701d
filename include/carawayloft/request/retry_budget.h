#pragma once

#include <carawayloft/core/units.h>

namespace carawayloft {

/**
 * Limits retries to a fraction of the successful requests, so that retries stop adding load when most
 * requests fail (Beyer et al., "Site Reliability Engineering", 2016, ch. 21).
 */
class retry_budget
{
public:
    /** Fraction of a retry that each success adds to the budget. */
    static constexpr double retriesPerSuccess = 0.1;

    /** Upper bound of the budget, and its initial value. */
    static constexpr double maxSavedRetries = 20;

    void recordSuccess();

    /** Uses one retry of the budget; returns false if less than one is left. */
    bool tryTake();

private:
    double m_savedRetries = maxSavedRetries;
};

} // namespace carawayloft
