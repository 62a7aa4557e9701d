#include "ends/http_port.h"

#include "ends/clock.h"
#include "ends/event_log.h"
#include "ends/handler_guard.h"

#include <carawayloft/core/overloaded.h>

#include <algorithm>
#include <sys/resource.h>

#include <vector>

namespace carawayloft {

/** Interval at which the time limits of connections are checked. */
static constexpr std::chrono::milliseconds checkPeriod{250};

/** Part of the process's descriptors that one port may take. Ports are not limited together. */
static constexpr std::size_t descriptorShareNumerator = 3;
static constexpr std::size_t descriptorShareDenominator = 4;

/** Part of a port's memory that connections without a request may use; beyond it the oldest idle one is closed. */
static constexpr std::size_t connectionMemoryDivisor = 4;

static std::size_t maxConnectionsOfAPort(const http_limits &limits)
{
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    const std::size_t byDescriptors = descriptors.rlim_cur / descriptorShareDenominator * descriptorShareNumerator;
    const std::size_t byMemory = std::max<std::size_t>(1, limits.maxHeldBytes / connectionMemoryDivisor / connectionBytes);
    return std::min(byDescriptors, byMemory);
}

static event_number eventOf(http_rejection why)
{
    switch (why) {
    case http_rejection::BodyTooLarge:
        return event_number::HttpBodyTooLarge;
    case http_rejection::TooSlow:
        return event_number::HttpRequestTooSlow;
    case http_rejection::BudgetExhausted:
        return event_number::ByteBudgetExhausted;
    case http_rejection::AnswerUntaken:
        return event_number::UntakenAnswerCut;
    case http_rejection::AnswerUnwritable:
        return event_number::UnwritableAnswer;
    case http_rejection::TooManyConnections:
        return event_number::HttpConnectionLimitReached;
    case http_rejection::Malformed:
    case http_rejection::Incomplete:
        break;
    }
    return event_number::HttpConnectionRejected;
}

http_port::http_port(asio::io_context &context, const http_limits &limits, request_handler handle, rejection_handler onRejected)
    : m_context(context)
    , m_limits(limits)
    , m_maxConnections(maxConnectionsOfAPort(limits))
    , m_handle(std::move(handle))
    , m_onRejected(std::move(onRejected))
    , m_checkTimer(context)
    , m_budget(limits.maxHeldBytes)
    , m_addresses(limits.maxConnectionsPerAddress)
{
}

void http_port::open(const asio::ip::tcp::endpoint &at)
{
    const std::weak_ptr<http_port> weak = weak_from_this();
    m_acceptor = std::make_shared<connection_acceptor>(
        m_context,
        [weak](asio::ip::tcp::socket socket) {
            if (const auto self = weak.lock()) {
                self->add(std::move(socket));
            }
        },
        [weak] {
            if (const auto self = weak.lock()) {
                self->closeIdleConnection();
            }
        });
    m_acceptor->open(at);
}

void http_port::add(asio::ip::tcp::socket socket)
{
    m_lastHolder = next(m_lastHolder);
    const auto connection = std::make_shared<http_connection>(shared_from_this(), m_lastHolder, std::move(socket));
    if (!makeRoomFor(*connection)) {
        return; // Closes the new one: every other is in the middle of a request.
    }
    m_connections.emplace(m_lastHolder, connection);
    m_addresses.add(connection->peer().address());
    connection->start();
    awaitTimeCheck();
}

bool http_port::makeRoomFor(const http_connection &connection)
{
    const asio::ip::address address = connection.peer().address();
    if (!m_addresses.mayAdd(address) && !closeIdleConnection(address)) {
        reportRejection(http_rejection::TooManyConnections, connection.peer(), "the client address has as many connections as it may", 0);
        return false;
    }
    return m_connections.size() < m_maxConnections || closeIdleConnection();
}

bool http_port::closeIdleConnection(const std::optional<asio::ip::address> &address)
{
    for (const auto &[id, connection] : m_connections) {
        if (connection->isIdle() && (!address || connection->peer().address() == *address)) {
            const std::shared_ptr<http_connection> oldest = connection;
            oldest->close();
            return true;
        }
    }
    return false;
}

void http_port::awaitTimeCheck()
{
    if (m_checking || m_connections.empty()) {
        return;
    }
    m_checking = true;
    m_checkTimer.expires_after(checkPeriod);
    m_checkTimer.async_wait([self = shared_from_this()](const std::error_code &cancelled) {
        self->m_checking = false;
        if (cancelled) {
            return;
        }
        const time_point now = monotonicNow();
        const auto connections = self->m_connections; // A connection that ends leaves the map.
        for (const auto &[id, connection] : connections) {
            runGuarded("time limit of a connection", [&] { connection->checkTime(now); });
        }
        self->awaitTimeCheck();
    });
}

void http_port::handle(http_request request, std::shared_ptr<http_connection> connection, request_number number)
{
    if (!m_handle) {
        return;
    }
    if (!runGuarded("HTTP request", [&] { m_handle(std::move(request), connection, number); })) {
        connection->endFailed(number);
    }
}

void http_port::report(byte_holder_id holder, const held_bytes &now)
{
    for (const byte_budget_output &each : m_budget.update(holder, now)) {
        std::visit(overloaded{
                       [this](const reject_unfinished_body &out) {
                           if (const auto found = m_connections.find(out.holder); found != m_connections.end()) {
                               found->second->rejectUnfinishedBody();
                           }
                       },
                       [this](const cut_untaken_answer &out) {
                           if (const auto found = m_connections.find(out.holder); found != m_connections.end()) {
                               found->second->cutUntakenAnswer();
                           }
                       },
                   },
                   each);
    }
}

void http_port::remove(byte_holder_id holder)
{
    m_budget.update(holder, {});
    if (const auto found = m_connections.find(holder); found != m_connections.end()) {
        m_addresses.remove(found->second->peer().address());
        m_connections.erase(found);
    }
}

void http_port::reportRejection(http_rejection why, const asio::ip::tcp::endpoint &peer, const std::string &reason, std::size_t bodyBytes)
{
    if (m_onRejected) {
        m_onRejected(why);
    }
    if (const auto omitted = m_eventQuotas[why].admit(monotonicNow())) {
        logEvent(eventOf(why),
                 {{"reason", reason},
                  {"peer", peer.address().to_string() + ":" + std::to_string(peer.port())},
                  {"body_bytes", bodyBytes},
                  {"held_bytes", m_budget.used()},
                  {"connections", m_connections.size()},
                  {"omitted", *omitted}});
    }
}

void http_port::shutDown()
{
    m_handle = nullptr;
    m_onRejected = nullptr;
    if (m_acceptor) {
        m_acceptor->shutDown();
    }
    m_checkTimer.cancel();
    const auto connections = std::exchange(m_connections, {});
    for (const auto &[id, connection] : connections) {
        connection->close();
    }
}

} // namespace carawayloft
