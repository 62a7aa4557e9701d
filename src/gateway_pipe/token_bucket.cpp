#include <carawayloft/gateway/token_bucket.h>

#include <algorithm>

namespace carawayloft {

void token_bucket::refill(double perSecond, double capacity, time_point now)
{
    if (m_refilledAt != time_point()) {
        m_tokens += perSecond * std::chrono::duration<double>(now - m_refilledAt).count();
    }
    m_refilledAt = now;
    m_tokens = std::min(m_tokens, capacity);
}

} // namespace carawayloft
