#pragma once

#include <carawayloft/core/ids.h>

#include <optional>
#include <string>

namespace carawayloft {

/**
 * Joins the event streams of several backend servers into one: lets only whole events through, each
 * once, and notices a gap.
 */
class stream_splice
{
public:
    explicit stream_splice(std::optional<stream_event_id> after = {});

    /** Begins with another server, which goes on behind lastEvent(). */
    void startOver();

    /** Takes bytes of a server and returns the whole events among them that the caller does not have yet. */
    std::string take(const std::string &bytes);

    /** Whether an event is missing between two that came. */
    bool hasGap() const
    {
        return m_gap;
    }

    /** Whether bytes of an event that is not whole are held back. */
    bool holdsPart() const
    {
        return !m_partialEvent.empty();
    }

    /** The last event that was let through. */
    std::optional<stream_event_id> lastEvent() const
    {
        return m_last;
    }

private:
    std::string m_partialEvent;
    std::optional<stream_event_id> m_last;
    bool m_gap = false;
};

} // namespace carawayloft
