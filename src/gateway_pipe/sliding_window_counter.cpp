#include <carawayloft/gateway/sliding_window_counter.h>

namespace carawayloft {

void sliding_window_counter::add(time_point now)
{
    m_events.push_back(now);
}

std::size_t sliding_window_counter::count(time_point now)
{
    while (!m_events.empty() && now >= m_events.front() + m_window) {
        m_events.pop_front();
    }
    return m_events.size();
}

std::size_t sliding_window_counter::countSince(time_point since) const
{
    std::size_t count = 0;
    for (auto each = m_events.rbegin(); each != m_events.rend() && *each > since; ++each) {
        ++count;
    }
    return count;
}

} // namespace carawayloft
