#pragma once

#include "core/event.h"

#include <carawayloft/core/strong_type.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace carawayloft {

enum class log_format : std::uint8_t {
    KeyValue,
    Json,
};

/** A value of a log line, as text. */
class log_value
{
public:
    log_value(std::string text)
        : m_text(std::move(text))
    {
    }
    log_value(std::string_view text)
        : m_text(text)
    {
    }
    log_value(const char *text)
        : m_text(text)
    {
    }
    log_value(std::integral auto number)
        : m_text(std::to_string(number))
    {
    }
    template<class Tag, class Rep>
    log_value(const strong_type<Tag, Rep> &id)
        : log_value(id.value())
    {
    }

    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

using log_fields = std::initializer_list<std::pair<std::string_view, log_value>>;

/** Sets how and from which severity on this process logs; called once before the first event. */
void configureEventLog(const std::string &process, log_format format, severity threshold);

/** Writes one line for a numbered event to standard output. Safe from any thread. */
void logEvent(event_number event, log_fields fields);

} // namespace carawayloft
