#include "ends/frame_link.h"

#include "codec/frame_codec.h"
#include "ends/handler_guard.h"
#include "ends/listening_endpoint.h"

#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>

namespace carawayloft {

/** Frames that wait are joined into writes of about this many bytes. */
static constexpr std::size_t writeBatchBytes = std::size_t{64} << 10U;

/**
 * Time that a connection may take to come about. Shorter than the second after which the system repeats a first
 * segment that was lost, as to a host that was still down: a new attempt reaches a host that is back sooner.
 */
static constexpr duration connectTimeout{250};

/** Time after which bytes that the peer's host does not confirm end a connection; a dead host is silent. */
static constexpr int unconfirmedTimeoutMs = 1'500;

result<asio::ip::tcp::endpoint> parseEndpoint(const endpoint &address)
{
    auto parsed = parseListeningEndpoint(address);
    if (!failed(parsed) && valueOf(parsed).port() == 0) {
        return error{error_kind::InvalidSettings, "'" + address.value() + "' is no address", "write it as IP:port, for example 127.0.0.1:7000"};
    }
    return parsed;
}

frame_link::frame_link(asio::ip::tcp::socket socket, hello own, link_handler handle)
    : m_socket(std::move(socket))
    , m_connectTimer(m_socket.get_executor())
    , m_own(std::move(own))
    , m_handle(std::move(handle))
{
}

std::shared_ptr<frame_link> frame_link::connect(const asio::any_io_executor &executor, const endpoint &to, hello own, link_handler handle)
{
    auto link = std::shared_ptr<frame_link>(new frame_link(asio::ip::tcp::socket(executor), std::move(own), std::move(handle)));
    const auto address = parseEndpoint(to);
    if (failed(address)) {
        asio::post(executor, [link, why = errorOf(address)] { link->fail(why); });
        return link;
    }
    link->m_connectTimer.expires_after(connectTimeout);
    link->m_connectTimer.async_wait([weak = std::weak_ptr<frame_link>(link), to](const std::error_code &cancelled) {
        if (const auto pending = weak.lock(); pending && !cancelled && !pending->m_connected) {
            pending->fail({error_kind::ConnectionFailed, "cannot connect to " + to.value() + " in time", "check that the host there runs"});
        }
    });
    link->m_socket.async_connect(valueOf(address), [link, to](const std::error_code &failure) {
        if (failure) {
            link->fail({error_kind::ConnectionFailed, "cannot connect to " + to.value() + ": " + failure.message(), "check that the process there runs"});
        } else {
            link->begin();
        }
    });
    return link;
}

std::shared_ptr<frame_link> frame_link::accept(asio::ip::tcp::socket socket, hello own, link_handler handle)
{
    auto link = std::shared_ptr<frame_link>(new frame_link(std::move(socket), std::move(own), std::move(handle)));
    link->begin();
    return link;
}

void frame_link::begin()
{
    if (m_closed) {
        return;
    }
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> unconfirmedTimeout(unconfirmedTimeoutMs);
    m_socket.set_option(unconfirmedTimeout, ignored);
    m_connectTimer.cancel();
    m_connected = true;
    m_queue.push_front(encodeFrame(m_own));
    m_queuedBytes += m_queue.front().size();
    writeNext();
    readHeader();
}

void frame_link::readHeader()
{
    asio::async_read(m_socket, asio::buffer(m_header), [self = shared_from_this()](const std::error_code &failure, std::size_t) {
        if (failure) {
            self->fail({error_kind::ConnectionFailed, "the peer closed the connection: " + failure.message(), {}});
            return;
        }
        const result<std::size_t> length = decodeFrameLength(self->m_header.data());
        failed(length) ? self->fail(errorOf(length)) : self->readBody(valueOf(length));
    });
}

void frame_link::readBody(std::size_t length)
{
    m_body.resize(length);
    asio::async_read(m_socket, asio::buffer(m_body), [self = shared_from_this()](const std::error_code &failure, std::size_t) {
        if (failure) {
            self->fail({error_kind::ConnectionFailed, "the peer closed the connection: " + failure.message(), {}});
            return;
        }
        result<peer_message> message = decodeFrameBody(self->m_body);
        if (failed(message)) {
            self->fail(errorOf(message));
            return;
        }
        self->take(std::move(valueOf(message)));
        if (!self->m_closed) {
            self->readHeader();
        }
    });
}

void frame_link::take(peer_message message)
{
    if (m_open) {
        notify(link_received{std::move(message)});
        return;
    }
    const hello *peer = std::get_if<hello>(&message);
    if (peer == nullptr) {
        fail({error_kind::MalformedFrame,
              std::string("the first frame is ") + kindOf(message) + ", no hello",
              "connect only processes of this system to its frame ports"});
        return;
    }
    if (greet(*peer)) {
        notify(link_opened{m_peer});
    }
}

bool frame_link::greet(const hello &peer)
{
    if (peer.version < m_own.oldestVersion || m_own.version < peer.oldestVersion) {
        fail({error_kind::VersionMismatch,
              "process " + peer.process + " speaks version " + std::to_string(peer.version) + ", this one " + std::to_string(m_own.version),
              "upgrade the older process; releases one apart can meet"});
        return false;
    }
    m_peer = peer;
    m_open = true;
    return true;
}

void frame_link::send(const peer_message &message)
{
    if (m_closed) {
        return;
    }
    m_queue.push_back(encodeFrame(message));
    m_queuedBytes += m_queue.back().size();
    if (m_queuedBytes > maxQueuedBytes) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->fail({error_kind::ConnectionFailed, "the peer takes no frames", "check that the process there is not stopped"});
        });
        return;
    }
    if (m_connected && !m_writingNow) {
        writeNext();
    }
}

void frame_link::writeNext()
{
    m_writing.clear();
    while (!m_queue.empty() && (m_writing.empty() || m_writing.size() + m_queue.front().size() <= writeBatchBytes)) {
        m_writing.insert(m_writing.end(), m_queue.front().begin(), m_queue.front().end());
        m_queue.pop_front();
    }
    if (m_writing.empty()) {
        return;
    }
    m_writingNow = true;
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](const std::error_code &failure, std::size_t sent) {
        self->m_writingNow = false;
        self->m_queuedBytes -= std::min(sent, self->m_queuedBytes);
        if (failure) {
            self->fail({error_kind::ConnectionFailed, "cannot send: " + failure.message(), {}});
        } else if (!self->m_closed) {
            self->writeNext();
        }
    });
}

void frame_link::close()
{
    m_closed = true;
    std::error_code ignored;
    m_socket.close(ignored);
}

void frame_link::fail(error why)
{
    if (m_closed) {
        return;
    }
    close();
    notify(link_closed{std::move(why), m_open});
}

/** The link goes on if its owner fails at one event. */
void frame_link::notify(link_event event)
{
    runGuarded("link", [&] { m_handle(shared_from_this(), std::move(event)); });
}

} // namespace carawayloft
