#include "ends/frame_listener.h"

namespace carawayloft {

frame_listener::frame_listener(asio::io_context &context, hello own, link_handler handle)
    : m_acceptor(context)
    , m_own(std::move(own))
    , m_handle(std::move(handle))
{
}

result<std::unique_ptr<frame_listener>> frame_listener::create(asio::io_context &context, const endpoint &at, hello own, link_handler handle)
{
    const auto address = parseEndpoint(at);
    if (failed(address)) {
        return errorOf(address);
    }
    auto listener = std::unique_ptr<frame_listener>(new frame_listener(context, std::move(own), std::move(handle)));
    std::error_code failure;
    listener->m_acceptor.open(valueOf(address).protocol(), failure);
    if (!failure) {
        listener->m_acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        listener->m_acceptor.bind(valueOf(address), failure);
    }
    if (!failure) {
        listener->m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return error{error_kind::InvalidSettings, "cannot listen at " + at.value() + ": " + failure.message(), "free the port or set another address"};
    }
    listener->acceptNext();
    return listener;
}

void frame_listener::acceptNext()
{
    m_acceptor.async_accept([this](const std::error_code &failure, asio::ip::tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            frame_link::accept(std::move(socket), m_own, m_handle);
        }
        acceptNext();
    });
}

void frame_listener::close()
{
    std::error_code ignored;
    m_acceptor.close(ignored);
}

} // namespace carawayloft
