#include "ends/reach_test.h"

#include "ends/frame_link.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>

namespace carawayloft {

namespace {

/** One test under way; lives as long as one of its operations. */
class running_test : public std::enable_shared_from_this<running_test>
{
public:
    running_test(asio::io_context &context, const asio::ip::tcp::endpoint &address, duration patience, std::function<void(bool)> done)
        : m_address(address)
        , m_patience(patience)
        , m_done(std::move(done))
        , m_sockets{asio::ip::tcp::socket(context), asio::ip::tcp::socket(context)}
        , m_timer(context)
    {
    }

    void start()
    {
        connect(0);
        m_timer.expires_after(m_patience / 2);
        m_timer.async_wait([self = shared_from_this()](const std::error_code &cancelled) {
            if (!cancelled) {
                self->secondHalf();
            }
        });
    }

private:
    void secondHalf()
    {
        connect(1);
        m_timer.expires_after(m_patience / 2);
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
        if (!m_done) {
            return;
        }
        const auto done = std::exchange(m_done, nullptr);
        std::error_code ignored;
        for (asio::ip::tcp::socket &each : m_sockets) {
            each.close(ignored);
        }
        m_timer.cancel();
        done(reachable);
    }

    asio::ip::tcp::endpoint m_address;
    duration m_patience;
    std::function<void(bool)> m_done;
    std::array<asio::ip::tcp::socket, 2> m_sockets;
    asio::steady_timer m_timer;
};

} // namespace

void testReach(asio::io_context &context, const endpoint &address, duration patience, std::function<void(bool reachable)> done)
{
    const auto parsed = parseEndpoint(address);
    if (failed(parsed)) {
        asio::post(context, [done = std::move(done)] { done(false); });
        return;
    }
    std::make_shared<running_test>(context, valueOf(parsed), patience, std::move(done))->start();
}

} // namespace carawayloft
