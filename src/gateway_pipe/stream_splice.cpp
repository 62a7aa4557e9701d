#include <carawayloft/gateway/stream_splice.h>

#include <charconv>
#include <string_view>

namespace carawayloft {

static constexpr std::string_view idField = "id:";

stream_splice::stream_splice(std::optional<stream_event_id> after)
    : m_last(after)
{
}

void stream_splice::startOver()
{
    m_partialEvent.clear();
}

/** Length of the first whole event, its blank line included; zero when there is none. */
static std::size_t firstEvent(std::string_view bytes)
{
    for (std::size_t line = bytes.find('\n'); line != std::string_view::npos; line = bytes.find('\n', line + 1)) {
        const std::string_view rest = bytes.substr(line + 1);
        if (rest.starts_with("\n")) {
            return line + 2;
        }
        if (rest.starts_with("\r\n")) {
            return line + 3;
        }
    }
    return 0;
}

static std::optional<stream_event_id> idOf(std::string_view event)
{
    std::size_t at = event.starts_with(idField) ? 0 : event.find("\nid:");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    at = event.find(':', at) + 1;
    at = event.find_first_not_of(' ', at);
    std::uint64_t value = 0;
    if (at == std::string_view::npos || std::from_chars(event.data() + at, event.data() + event.size(), value).ec != std::errc()) {
        return std::nullopt;
    }
    return stream_event_id(value);
}

std::string stream_splice::take(const std::string &bytes)
{
    m_partialEvent += bytes;
    std::string out;
    std::size_t done = 0;
    while (const std::size_t length = firstEvent(std::string_view(m_partialEvent).substr(done))) {
        const std::string_view event = std::string_view(m_partialEvent).substr(done, length);
        done += length;
        const std::optional<stream_event_id> id = idOf(event);
        if (id && m_last && *id <= *m_last) {
            continue;
        }
        if (id && m_last && *id != next(*m_last)) {
            m_gap = true;
            break;
        }
        m_last = id ? id : m_last;
        out += event;
    }
    m_partialEvent.erase(0, done);
    return out;
}

} // namespace carawayloft
