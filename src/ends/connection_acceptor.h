#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace carawayloft {

/** Accepts connections on one port, and closes it so that no connection that the system has accepted is reset. */
class connection_acceptor : public std::enable_shared_from_this<connection_acceptor>
{
public:
    using accepted_handler = std::function<void(asio::ip::tcp::socket)>;

    /** Told where no connection can be accepted, since no descriptor is left; it is tried again soon after. */
    using failure_handler = std::function<void()>;

    connection_acceptor(asio::io_context &context, accepted_handler onAccepted, failure_handler onFailure);

    /** Throws std::system_error if @p at cannot be listened on. */
    void open(const asio::ip::tcp::endpoint &at);

    /** Connections that the system has accepted and that are not served yet would be reset, so they are taken first. */
    void stopListening();

    /** Zero unless it listens. */
    std::uint16_t listeningPort() const;

    /** Closes at once and calls no handler from now on. */
    void shutDown();

private:
    void accept();
    void ignoreNewConnections();
    void awaitClose();
    std::size_t waitingConnections();

    asio::io_context &m_context;
    accepted_handler m_onAccepted;
    failure_handler m_onFailure;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    asio::steady_timer m_closeTimer;
    std::chrono::steady_clock::time_point m_closeBy;
};

} // namespace carawayloft
