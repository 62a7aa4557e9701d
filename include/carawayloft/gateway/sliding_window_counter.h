#pragma once

#include <carawayloft/core/units.h>

#include <deque>

namespace carawayloft {

/** Counts events within the span of time that has just passed. */
class sliding_window_counter
{
public:
    explicit sliding_window_counter(duration window)
        : m_window(window)
    {
    }

    void add(time_point now);

    std::size_t count(time_point now);

    /** Those within a shorter span. */
    std::size_t countSince(time_point since) const;

private:
    duration m_window;
    std::deque<time_point> m_events;
};

} // namespace carawayloft
