#pragma once

#include "ends/address_limit.h"
#include "ends/connection_acceptor.h"
#include "ends/event_quota.h"
#include "ends/http_connection.h"
#include "ends/http_limits.h"
#include "ends/http_rejection.h"

#include <carawayloft/core/byte_budget.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace carawayloft {

/** A listening port with its connections and their byte budget. It asks the budget and carries out its answers. */
class http_port : public std::enable_shared_from_this<http_port>
{
public:
    using request_handler = std::function<void(http_request, std::shared_ptr<http_connection>, request_number)>;
    using rejection_handler = std::function<void(http_rejection)>;

    http_port(asio::io_context &context, const http_limits &limits, request_handler handle, rejection_handler onRejected);

    /** Throws std::system_error if @p at cannot be listened on. */
    void open(const asio::ip::tcp::endpoint &at);

    /** Connections that the system has accepted and that are not served yet would be reset, so they are taken first. */
    void stopListening()
    {
        m_acceptor->stopListening();
    }

    /** Zero unless it listens. */
    std::uint16_t listeningPort() const
    {
        return m_acceptor->listeningPort();
    }

    /** Closes everything and calls no handler from now on. */
    void shutDown();

    const http_limits &limits() const
    {
        return m_limits;
    }

    std::size_t connections() const
    {
        return m_connections.size();
    }

    std::size_t heldBytes() const
    {
        return m_budget.used();
    }

    // Called by connections.

    /** For reading into; what is there is used up before the next wait. */
    std::span<char> readBuffer()
    {
        return m_readBuffer;
    }

    void handle(http_request request, std::shared_ptr<http_connection> connection, request_number number);
    void report(byte_holder_id holder, const held_bytes &now);
    void remove(byte_holder_id holder);
    void reportRejection(http_rejection why, const asio::ip::tcp::endpoint &peer, const std::string &reason, std::size_t bodyBytes);

private:
    void add(asio::ip::tcp::socket socket);

    /** Closes the oldest idle connection, of @p address if given; false if there is none. */
    bool closeIdleConnection(const std::optional<asio::ip::address> &address = std::nullopt);

    /** Whether the limits leave room for @p connection, after an idle one was closed if need be. */
    bool makeRoomFor(const http_connection &connection);

    void awaitTimeCheck();

    asio::io_context &m_context;
    http_limits m_limits;
    std::size_t m_maxConnections;
    request_handler m_handle;
    rejection_handler m_onRejected;
    std::shared_ptr<connection_acceptor> m_acceptor; /**< Once it is opened. */
    asio::steady_timer m_checkTimer;
    byte_holder_id m_lastHolder;
    byte_budget m_budget;
    address_limit m_addresses;
    std::map<byte_holder_id, std::shared_ptr<http_connection>> m_connections;
    std::map<http_rejection, event_quota> m_eventQuotas;
    std::array<char, maxPipelinedBytes> m_readBuffer{}; /**< No larger, since bytes behind a request are kept that were read with it. */
    bool m_checking = false;
};

} // namespace carawayloft
