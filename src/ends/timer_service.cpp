#include "ends/timer_service.h"

#include "ends/clock.h"
#include "ends/handler_guard.h"

namespace carawayloft {

timer_service::timer_service(asio::io_context &context)
    : m_timer(context)
{
}

timer_service::subscription timer_service::every(duration period, handler call)
{
    return add(period, period, std::move(call));
}

timer_service::subscription timer_service::after(duration delay, handler call)
{
    return add(delay, duration(0), std::move(call));
}

timer_service::subscription timer_service::add(duration delay, duration period, handler call)
{
    auto shared = std::make_shared<handler>(std::move(call));
    const auto place = m_due.emplace(std::chrono::steady_clock::now() + delay, entry{shared, period});
    if (place == m_due.begin()) {
        arm();
    }
    return subscription(std::move(shared));
}

void timer_service::arm()
{
    if (m_due.empty()) {
        return;
    }
    m_timer.expires_at(m_due.begin()->first);
    m_timer.async_wait([this](const std::error_code &failure) {
        if (!failure) {
            fire();
        }
    });
}

void timer_service::fire()
{
    const time_point now = std::chrono::steady_clock::now();
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const entry due = m_due.begin()->second;
        m_due.erase(m_due.begin());
        const auto call = due.call.lock();
        if (!call) {
            continue;
        }
        if (due.period.count() > 0) {
            m_due.emplace(now + due.period, due);
        }
        runGuarded("timer", [&] { (*call)(monotonicNow()); });
    }
    arm();
}

} // namespace carawayloft
