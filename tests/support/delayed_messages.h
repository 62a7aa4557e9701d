#pragma once

#include <carawayloft/core/units.h>

#include <deque>
#include <utility>

namespace carawayloft::test_support {

/** Messages that arrive in their order, each after the same delay. */
template<class Message>
class delayed_messages
{
public:
    explicit delayed_messages(duration delay)
        : m_delay(delay)
    {
    }

    void send(Message message, time_point now)
    {
        m_pending.emplace_back(now + m_delay, std::move(message));
    }

    /** Passes on the messages that have arrived by @p now; those that this sends in turn arrive later. */
    template<class Receiver>
    void deliver(time_point now, const Receiver &receive)
    {
        while (!m_pending.empty() && m_pending.front().first <= now) {
            const Message message = std::move(m_pending.front().second);
            m_pending.pop_front();
            receive(message);
        }
    }

private:
    duration m_delay;
    std::deque<std::pair<time_point, Message>> m_pending;
};

} // namespace carawayloft::test_support
