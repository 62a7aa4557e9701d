#include <carawayloft/request/retry_budget.h>

#include <algorithm>

namespace carawayloft {

void retry_budget::recordSuccess()
{
    m_savedRetries = std::min(maxSavedRetries, m_savedRetries + retriesPerSuccess);
}

bool retry_budget::tryTake()
{
    if (m_savedRetries < 1) {
        return false;
    }
    m_savedRetries -= 1;
    return true;
}

} // namespace carawayloft
