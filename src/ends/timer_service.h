#pragma once

#include <carawayloft/core/units.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace carawayloft {

/**
 * The one timer of a task, which its parts subscribe to. Calls come on the task's own thread; the
 * process sleeps in the kernel between them.
 */
class timer_service
{
public:
    using handler = std::function<void(time_point now)>;

    /** Ends its subscription when it goes out of scope. */
    class subscription
    {
    public:
        subscription() = default;
        explicit subscription(std::shared_ptr<handler> call)
            : m_call(std::move(call))
        {
        }

    private:
        std::shared_ptr<handler> m_call;
    };

    explicit timer_service(asio::io_context &context);

    /** Calls @p call every @p period until the subscription ends. */
    [[nodiscard]] subscription every(duration period, handler call);

    /** Calls @p call once, after @p delay, unless the subscription ends before. */
    [[nodiscard]] subscription after(duration delay, handler call);

private:
    struct entry {
        std::weak_ptr<handler> call;
        duration period{0}; /**< Zero for once. */
    };

    subscription add(duration delay, duration period, handler call);
    void arm();
    void fire();

    asio::steady_timer m_timer;
    std::multimap<time_point, entry> m_due;
};

} // namespace carawayloft
