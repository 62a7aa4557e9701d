#pragma once

#include <carawayloft/core/units.h>

#include <deque>

namespace carawayloft {

/** Counts the events within a time window that ends now. */
class sliding_window_counter
{
public:
    explicit sliding_window_counter(duration window)
        : m_window(window)
    {
    }

    void add(time_point now);

    std::size_t count(time_point now);

    /** Counts the events after @p since, which must lie within the window. */
    std::size_t countSince(time_point since) const;

private:
    duration m_window;
    std::deque<time_point> m_events;
};

} // namespace carawayloft
