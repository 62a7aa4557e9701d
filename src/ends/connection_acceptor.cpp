#include "ends/connection_acceptor.h"

#include "ends/handler_guard.h"

#include <array>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace carawayloft {

/** Interval at which a server that stops listening looks whether connections wait, and for how long it does. */
static constexpr std::chrono::milliseconds closeRetryPeriod{5};
static constexpr std::chrono::milliseconds maxCloseTime{50};

/** Time until the next attempt to accept where the process has no descriptor left. */
static constexpr std::chrono::milliseconds acceptRetryDelay{20};

connection_acceptor::connection_acceptor(asio::io_context &context, accepted_handler onAccepted, failure_handler onFailure)
    : m_context(context)
    , m_onAccepted(std::move(onAccepted))
    , m_onFailure(std::move(onFailure))
    , m_acceptor(context)
    , m_acceptTimer(context)
    , m_closeTimer(context)
{
}

void connection_acceptor::open(const asio::ip::tcp::endpoint &at)
{
    m_acceptor.open(at.protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(at);
    m_acceptor.listen();
    accept();
}

void connection_acceptor::accept()
{
    m_acceptor.async_accept(m_context, [self = shared_from_this()](const std::error_code &failure, asio::ip::tcp::socket socket) {
        if (!self->m_acceptor.is_open()) {
            return;
        }
        if (!failure) {
            runGuarded("connection", [&] { self->m_onAccepted(std::move(socket)); });
            self->accept();
            return;
        }
        self->m_onFailure();
        self->m_acceptTimer.expires_after(acceptRetryDelay);
        self->m_acceptTimer.async_wait([self](const std::error_code &cancelled) {
            if (!cancelled && self->m_acceptor.is_open()) {
                self->accept();
            }
        });
    });
}

std::uint16_t connection_acceptor::listeningPort() const
{
    std::error_code notListening;
    const auto at = m_acceptor.local_endpoint(notListening);
    return notListening ? std::uint16_t{0} : at.port();
}

void connection_acceptor::stopListening()
{
    m_closeBy = std::chrono::steady_clock::now() + maxCloseTime;
    ignoreNewConnections();
    awaitClose();
}

/** Makes the system drop segments that open a connection, so that none is accepted while the port closes. */
void connection_acceptor::ignoreNewConnections()
{
    static constexpr std::uint32_t flagsOffset = 13; // In the TCP header.
    static constexpr std::uint32_t synFlag = 0x02;
    static constexpr std::uint32_t wholeSegment = 0xffffffff;
    std::array<sock_filter, 4> program{{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
                                        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synFlag, 0, 1),
                                        BPF_STMT(BPF_RET | BPF_K, 0),
                                        BPF_STMT(BPF_RET | BPF_K, wholeSegment)}};
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    setsockopt(m_acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

void connection_acceptor::awaitClose()
{
    m_closeTimer.expires_after(closeRetryPeriod);
    m_closeTimer.async_wait([self = shared_from_this()](const std::error_code &cancelled) {
        if (cancelled || !self->m_acceptor.is_open()) {
            return;
        }
        if (self->waitingConnections() == 0 || std::chrono::steady_clock::now() >= self->m_closeBy) {
            self->m_acceptor.close();
        } else {
            self->awaitClose();
        }
    });
}

/** Connections in the accept queue; zero where the system does not tell. */
std::size_t connection_acceptor::waitingConnections()
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    return getsockopt(m_acceptor.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_unacked : 0;
}

void connection_acceptor::shutDown()
{
    m_onAccepted = nullptr;
    m_onFailure = nullptr;
    std::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    m_closeTimer.cancel();
}

} // namespace carawayloft
