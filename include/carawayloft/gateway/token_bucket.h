#pragma once

#include <carawayloft/core/units.h>

namespace carawayloft {

/** Allows events at a rate, which may be below one per second, and in bursts up to a capacity. */
class token_bucket
{
public:
    /** @p tokens are there at the start. A fraction that differs between processes spreads their first events over time. */
    explicit token_bucket(double tokens)
        : m_tokens(tokens)
    {
    }

    /** Adds what the rate has earned since the last call; the first call adds nothing. */
    void refill(double perSecond, double capacity, time_point now);

    bool hasToken() const
    {
        return m_tokens >= 1.0;
    }

    void take()
    {
        m_tokens -= 1.0;
    }

private:
    double m_tokens;
    time_point m_refilledAt;
};

} // namespace carawayloft
