#include <carawayloft/gateway/relay_window.h>

#include <carawayloft/core/answer_limits.h>

#include <algorithm>

namespace carawayloft {

std::optional<bool> relay_window::change(bool paused)
{
    if (m_paused == paused) {
        return std::nullopt;
    }
    m_paused = paused;
    return paused;
}

std::optional<bool> relay_window::add(std::size_t bytes)
{
    m_untaken += bytes;
    return m_untaken > maxUntakenBytes ? change(true) : std::nullopt;
}

std::optional<bool> relay_window::taken(std::size_t bytes)
{
    m_untaken -= std::min(bytes, m_untaken);
    return m_untaken <= maxUntakenBytes / 2 ? change(false) : std::nullopt;
}

void relay_window::restart()
{
    m_paused = false;
}

} // namespace carawayloft
