#include "ends/connection_probe.h"

#include "ends/frame_link.h"
#include "ends/handler_guard.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>

namespace carawayloft {

namespace {

/** A probe in progress; lives as long as one of its operations. */
class running_probe : public std::enable_shared_from_this<running_probe>
{
public:
    running_probe(asio::io_context &context, const asio::ip::tcp::endpoint &address, duration timeout, std::function<void(bool)> onDone)
        : m_address(address)
        , m_timeout(timeout)
        , m_onDone(std::move(onDone))
        , m_sockets{asio::ip::tcp::socket(context), asio::ip::tcp::socket(context)}
        , m_timer(context)
    {
    }

    void start()
    {
        connect(0);
        m_timer.expires_after(m_timeout / 2);
        m_timer.async_wait([self = shared_from_this()](const std::error_code &cancelled) {
            if (!cancelled) {
                self->retry();
            }
        });
    }

private:
    void retry()
    {
        connect(1);
        m_timer.expires_after(m_timeout / 2);
        m_timer.async_wait([self = shared_from_this()](const std::error_code &cancelled) {
            if (!cancelled) {
                self->finish(false);
            }
        });
    }

    void connect(std::size_t attempt)
    {
        m_sockets[attempt].async_connect(m_address, [self = shared_from_this()](const std::error_code &failure) {
            if (failure != asio::error::operation_aborted) {
                self->finish(!failure);
            }
        });
    }

    void finish(bool reachable)
    {
        if (!m_onDone) {
            return;
        }
        const auto onDone = std::exchange(m_onDone, nullptr);
        std::error_code ignored;
        for (asio::ip::tcp::socket &each : m_sockets) {
            each.close(ignored);
        }
        m_timer.cancel();
        runGuarded("probe", [&] { onDone(reachable); });
    }

    asio::ip::tcp::endpoint m_address;
    duration m_timeout;
    std::function<void(bool)> m_onDone;
    std::array<asio::ip::tcp::socket, 2> m_sockets;
    asio::steady_timer m_timer;
};

} // namespace

void probeConnection(asio::io_context &context, const endpoint &address, duration timeout, std::function<void(bool reachable)> onDone)
{
    const auto parsed = parseEndpoint(address);
    if (failed(parsed)) {
        asio::post(context, [onDone = std::move(onDone)] { onDone(false); });
        return;
    }
    std::make_shared<running_probe>(context, valueOf(parsed), timeout, std::move(onDone))->start();
}

} // namespace carawayloft
