#include <carawayloft/request/retry_budget.h>

#include <algorithm>

namespace carawayloft {

void retry_budget::recordSuccess()
{
    m_saved = std::min(maxSavedRetries, m_saved + retriesPerSuccess);
}

bool retry_budget::tryTake()
{
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

} // namespace carawayloft
