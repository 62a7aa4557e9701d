#pragma once

#include <carawayloft/core/result.h>
#include <carawayloft/messages/peer_message.h>

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace carawayloft {

class frame_link;

/** The connection stands and the peer has said who it is. */
struct link_opened {
    hello peer;
};

struct link_received {
    peer_message message;
};

/** Nothing more comes; what was sent last may not have arrived. */
struct link_closed {
    error why;
    bool everOpened = false;
};

using link_event = std::variant<link_opened, link_received, link_closed>;
using link_handler = std::function<void(const std::shared_ptr<frame_link> &, link_event)>;

/** Splits "IP:port"; fails with InvalidSettings. */
result<asio::ip::tcp::endpoint> parseEndpoint(const endpoint &address);

/**
 * One TCP connection that carries frames, with a hello in each direction first. Turns bytes into typed
 * messages for its owner; a frame that fails verification closes it. Runs on its owner's executor.
 */
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    /** Bytes that may wait to be sent before the peer counts as stuck and the link is closed. */
    static constexpr std::size_t maxQueuedBytes = std::size_t{128} << 20U;

    static std::shared_ptr<frame_link> connect(const asio::any_io_executor &executor, const endpoint &to, hello own, link_handler handle);
    static std::shared_ptr<frame_link> accept(asio::ip::tcp::socket socket, hello own, link_handler handle);

    void send(const peer_message &message);
    void close();

    const hello &peer() const
    {
        return m_peer;
    }
    bool isOpen() const
    {
        return m_open;
    }

private:
    frame_link(asio::ip::tcp::socket socket, hello own, link_handler handle);

    void begin();
    void readHeader();
    void readBody(std::size_t length);
    void take(peer_message message);
    bool greet(const hello &peer);
    void writeNext();
    void fail(error why);
    void notify(link_event event);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    hello m_own;
    hello m_peer;
    link_handler m_handle;
    std::array<std::uint8_t, 4> m_header{};
    std::vector<std::uint8_t> m_body;
    std::deque<std::vector<std::uint8_t>> m_queue;
    std::vector<std::uint8_t> m_writing;
    std::size_t m_queuedBytes = 0;
    bool m_open = false;
    bool m_connected = false;
    bool m_closed = false;
    bool m_writingNow = false;
};

} // namespace carawayloft
