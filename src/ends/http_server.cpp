#include "ends/http_server.h"

#include "ends/http_port.h"
#include "ends/listening_endpoint.h"

namespace carawayloft {

/** Answers one request on its connection, which may have ended. */
class http_exchange::impl
{
public:
    impl(std::shared_ptr<http_connection> connection, request_number request)
        : m_connection(std::move(connection))
        , m_request(request)
    {
    }

    ~impl()
    {
        if (m_streaming) {
            m_connection->abort(m_request);
        } else {
            m_connection->respond(m_request, {500, {}, {}}, m_closing);
        }
    }

    void respond(const http_response &response)
    {
        m_connection->respond(m_request, response, m_closing);
    }

    void startStream(const http_response &head)
    {
        m_streaming = true;
        m_connection->startStream(m_request, head, m_closing);
    }

    void setClosing(bool closing)
    {
        m_closing = closing;
    }

    void write(const std::string &bytes, std::function<void()> sent)
    {
        m_connection->write(m_request, bytes, std::move(sent));
    }

    void finish()
    {
        m_connection->finish(m_request);
    }

    void abort()
    {
        m_connection->abort(m_request);
    }

    void onHangUp(std::function<void()> handle)
    {
        m_connection->onHangUp(m_request, std::move(handle));
    }

private:
    std::shared_ptr<http_connection> m_connection;
    request_number m_request;
    bool m_streaming = false;
    bool m_closing = false;
};

class http_server::impl
{
public:
    impl(asio::io_context &context, const http_limits &limits, handler handle, rejection_handler onRejected)
        : m_port(std::make_shared<http_port>(
            context,
            limits,
            [handle = std::move(handle)](http_request request, std::shared_ptr<http_connection> connection, request_number number) {
                handle(std::move(request), std::make_shared<http_exchange>(std::make_unique<http_exchange::impl>(std::move(connection), number)));
            },
            std::move(onRejected)))
    {
    }

    ~impl()
    {
        m_port->shutDown();
    }

    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    http_port &port()
    {
        return *m_port;
    }

private:
    std::shared_ptr<http_port> m_port;
};

http_exchange::http_exchange(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

http_exchange::~http_exchange() = default;

void http_exchange::respond(const http_response &response)
{
    m_impl->respond(response);
}

void http_exchange::startStream(const http_response &head)
{
    m_impl->startStream(head);
}

void http_exchange::setClosing(bool closing)
{
    m_impl->setClosing(closing);
}

void http_exchange::write(const std::string &bytes, std::function<void()> sent)
{
    m_impl->write(bytes, std::move(sent));
}

void http_exchange::finish()
{
    m_impl->finish();
}

void http_exchange::abort()
{
    m_impl->abort();
}

void http_exchange::onHangUp(std::function<void()> handle)
{
    m_impl->onHangUp(std::move(handle));
}

http_server::http_server(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

http_server::~http_server() = default;

void http_server::stopListening()
{
    m_impl->port().stopListening();
}

std::uint16_t http_server::listeningPort() const
{
    return m_impl->port().listeningPort();
}

std::size_t http_server::connections() const
{
    return m_impl->port().connections();
}

std::size_t http_server::heldBytes() const
{
    return m_impl->port().heldBytes();
}

result<std::unique_ptr<http_server>>
http_server::create(asio::io_context &context, const endpoint &at, const http_limits &limits, handler handle, rejection_handler onRejected)
{
    const auto address = parseListeningEndpoint(at);
    if (failed(address)) {
        return errorOf(address);
    }
    try {
        auto server = std::make_unique<impl>(context, limits, std::move(handle), std::move(onRejected));
        server->port().open(valueOf(address));
        return std::unique_ptr<http_server>(new http_server(std::move(server)));
    } catch (const std::exception &failure) {
        return error{error_kind::InvalidSettings, "cannot listen at " + at.value() + ": " + failure.what(), "free the port or set another address"};
    }
}

} // namespace carawayloft
