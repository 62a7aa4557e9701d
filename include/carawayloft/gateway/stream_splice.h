#pragma once

#include <carawayloft/core/answer_limits.h>
#include <carawayloft/core/ids.h>

#include <optional>
#include <string>

namespace carawayloft {

/**
 * Joins the event streams that several backend servers send for one request: passes each event on once,
 * only when it is complete, and detects missing events.
 */
class stream_splice
{
public:
    explicit stream_splice(std::optional<stream_event_id> after = {});

    /** Prepares for the stream of another server, which continues after lastEvent(). */
    void restart();

    /** Appends bytes of a server; returns the events that are now complete and new to the caller. */
    std::string append(const std::string &bytes);

    /** Whether event ids are not consecutive. */
    bool hasGap() const
    {
        return m_gap;
    }

    bool hasPartialEvent() const
    {
        return !m_partialEvent.empty();
    }

    /** Whether the server has sent more than the longest event without ending it. */
    bool hasEndlessEvent() const
    {
        return m_partialEvent.size() > maxEventBytes;
    }

    /** The last event that was passed on. */
    std::optional<stream_event_id> lastEvent() const
    {
        return m_lastEvent;
    }

private:
    std::string m_partialEvent;
    std::optional<stream_event_id> m_lastEvent;
    bool m_gap = false;
};

} // namespace carawayloft
