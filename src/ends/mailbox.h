#pragma once

#include "ends/handler_guard.h"

#include <asio/any_io_executor.hpp>
#include <asio/post.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace carawayloft {

/**
 * Where a task takes its messages, one at a time, on its own executor. send() may be called from any
 * thread; what is sent after the owner has gone is dropped.
 */
template<class Message>
class mailbox
{
public:
    using handler = std::function<void(Message)>;

    mailbox(asio::any_io_executor executor, handler handle)
        : m_executor(std::move(executor))
        , m_handle(std::make_shared<handler>(std::move(handle)))
    {
    }

    /** A way to send that does not keep the owner alive. */
    std::function<void(Message)> sender() const
    {
        return [executor = m_executor, handle = std::weak_ptr<handler>(m_handle)](Message message) {
            asio::post(executor, [handle, message = std::move(message)]() mutable {
                if (const auto owner = handle.lock()) {
                    runGuarded("message", [&] { (*owner)(std::move(message)); });
                }
            });
        };
    }

private:
    asio::any_io_executor m_executor;
    std::shared_ptr<handler> m_handle;
};

} // namespace carawayloft
