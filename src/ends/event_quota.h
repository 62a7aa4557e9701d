#pragma once

#include <carawayloft/core/units.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace carawayloft {

/** Limits how often one kind of event is logged, so that callers cannot fill the disk. */
class event_quota
{
public:
    /** Whether an event at @p now is to be logged; then the number of those left out since the last one that was. */
    std::optional<std::uint64_t> admit(time_point now)
    {
        if (now - m_start >= std::chrono::seconds(1)) {
            m_start = now;
            m_admitted = 0;
        }
        if (m_admitted == maxEventsPerSecond) {
            ++m_omitted;
            return std::nullopt;
        }
        ++m_admitted;
        return std::exchange(m_omitted, 0);
    }

private:
    static constexpr std::uint64_t maxEventsPerSecond = 5;

    time_point m_start;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_omitted = 0;
};

} // namespace carawayloft
