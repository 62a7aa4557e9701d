#include "ends/http_connection.h"

#include "codec/json_text.h"
#include "ends/clock.h"
#include "ends/handler_guard.h"
#include "ends/http_port.h"
#include "ends/http_response_head.h"

#include <carawayloft/core/http_status.h>
#include <carawayloft/core/overloaded.h>

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <span>
#include <vector>

namespace carawayloft {

/** Time that a caller may leave bytes untaken before the connection is cut. */
static constexpr std::chrono::minutes maxWriteTime{10};

/** Time for a caller to read the last answer of a connection. */
static constexpr duration lingerTime{2'000};

/** Memory of a header of a request beside its bytes. */
static constexpr std::size_t fieldOverhead = 128;

/** Retry-After of a request that did not fit into the budget: by then a body that makes no progress has been rejected in its place. */
static constexpr const char *budgetRetryAfterSeconds = "1";

static std::size_t memoryOf(const http_request &request)
{
    // The body once more, for the call to a server that it is copied into.
    std::size_t bytes = 2 * request.body.size() + request.path.size() + request.query.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size() + fieldOverhead;
    }
    return bytes;
}

static std::string lengthLine(const std::string &body)
{
    return fmt::format("Content-Length: {}\r\n", body.size());
}

static http_response errorResponse(std::uint32_t status, const std::string &reason)
{
    return {status, {{"Content-Type", "application/json"}}, jsonText(nlohmann::json{{"error", reason}})};
}

http_connection::http_connection(std::shared_ptr<http_port> port, byte_holder_id id, asio::ip::tcp::socket socket)
    : m_port(std::move(port))
    , m_id(id)
    , m_socket(std::move(socket))
    , m_reader(m_port->limits())
    , m_since(monotonicNow())
{
    std::error_code ignored;
    m_peer = m_socket.remote_endpoint(ignored);
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void http_connection::start()
{
    reportHeld();
    awaitBytes();
}

bool http_connection::isCurrent(request_number request) const
{
    return m_phase == phase::Serving && request == m_request && !m_answerComplete;
}

void http_connection::reportHeld()
{
    if (m_phase == phase::Closed) {
        return;
    }
    const bool isUnfinished = m_phase == phase::Receiving;
    const std::size_t request = m_delivering ? m_requestHeld : m_reader.heldBytes();
    m_port->report(m_id, {isUnfinished ? request : 0, m_unsentBytes, connectionBytes + m_pipelined.capacity() + (isUnfinished ? 0 : m_requestHeld)});
}

void http_connection::awaitBytes()
{
    const bool isFull = m_phase == phase::Serving && m_pipelined.size() >= maxPipelinedBytes;
    if (m_awaiting || m_inputEnded || isFull || m_phase == phase::Closed) {
        return;
    }
    m_awaiting = true;
    // Waits without a buffer of its own, so that idle connections take little memory.
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const std::error_code &failure) {
        self->m_awaiting = false;
        if (!failure && self->m_phase != phase::Closed) {
            self->receive();
        }
    });
}

/** Once the caller has sent all, a socket is readable for good; then only a reset still tells that the caller has gone. */
void http_connection::awaitReset()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_error, [self = shared_from_this()](const std::error_code &) {
        if (self->m_phase != phase::Closed) {
            self->hangUp();
        }
    });
}

void http_connection::receive()
{
    std::span<char> buffer = m_port->readBuffer();
    if (m_phase == phase::Serving) {
        buffer = buffer.first(std::min(buffer.size(), maxPipelinedBytes - std::min(maxPipelinedBytes, m_pipelined.size())));
    }
    if (buffer.empty()) {
        return;
    }
    std::error_code failure;
    const std::size_t bytes = m_socket.read_some(asio::buffer(buffer.data(), buffer.size()), failure);
    if (failure && failure != asio::error::would_block) {
        handleEnd(failure == asio::error::eof);
        return;
    }
    if (m_phase == phase::Receiving) {
        consume({buffer.data(), bytes});
    } else if (m_phase == phase::Serving) {
        keepPipelined({buffer.data(), bytes});
    }
    reportHeld();
    awaitBytes();
}

void http_connection::consume(std::string_view bytes)
{
    while (!bytes.empty() && m_phase == phase::Receiving) {
        const time_point now = monotonicNow();
        const bool hadBegun = m_reader.hasBegun();
        const bool hadHeaders = m_reader.hasHeaders();
        const std::size_t bodyBytes = m_reader.bodyBytes();
        request_reading reading = m_reader.read(bytes);
        // Empty lines before a request do not restart the idle time.
        if (!hadBegun && m_reader.hasBegun()) {
            m_since = now;
        }
        if (!hadHeaders || m_reader.bodyBytes() > bodyBytes) {
            m_lastBodyByte = now;
        }
        std::visit(overloaded{
                       [](const request_incomplete &) {},
                       [this](request_read &each) {
                           m_keepAlive = each.keepAlive;
                           deliver(std::move(each.request));
                       },
                       [this](const request_unreadable &each) {
                           const bool isTooLarge = each.status == 413;
                           reject(isTooLarge ? http_rejection::BodyTooLarge : http_rejection::Malformed,
                                  each.status,
                                  (isTooLarge ? "" : "parser error: ") + each.reason);
                       },
                   },
                   reading);
    }
    if (m_phase == phase::Serving) {
        keepPipelined(bytes);
    }
}

void http_connection::keepPipelined(std::string_view bytes)
{
    m_pipelined.append(bytes);
    m_hasPipelined = m_hasPipelined || (m_keepAlive && !bytes.empty());
}

void http_connection::deliver(http_request request)
{
    m_requestHeld = memoryOf(request);
    m_delivering = true;
    reportHeld();
    m_delivering = false;
    if (m_phase != phase::Receiving) {
        return; // It did not fit into the budget.
    }
    m_phase = phase::Serving;
    m_request = next(m_request);
    m_isHead = request.method == "HEAD";
    m_streaming = false;
    m_answerComplete = false;
    reportHeld();
    m_port->handle(std::move(request), shared_from_this(), m_request);
}

void http_connection::handleEnd(bool closedInOrder)
{
    if (closedInOrder && m_phase == phase::Serving && m_hasPipelined) {
        m_inputEnded = true; // The caller may have closed its sending side alone and still reads the answers.
        awaitReset();
        return;
    }
    if (closedInOrder && !m_sending.empty() && (m_phase == phase::Lingering || m_answerComplete)) {
        m_keepAlive = false; // The caller has no more requests and may still read the answer.
        return;
    }
    if (m_phase == phase::Receiving && (m_reader.hasBegun() || m_request == request_number())) {
        m_port->reportRejection(http_rejection::Incomplete, m_peer, "closed before a whole request came", 0);
    }
    hangUp();
}

void http_connection::hangUp()
{
    const std::function<void()> handle = std::exchange(m_hangUp, nullptr);
    close();
    if (handle) {
        runGuarded("hang-up", handle);
    }
}

void http_connection::close()
{
    if (m_phase == phase::Closed) {
        return;
    }
    m_phase = phase::Closed;
    std::error_code ignored;
    m_socket.close(ignored);
    m_reader.clear();
    m_pipelined = {};
    m_outgoing.clear();
    m_hangUp = nullptr;
    m_port->remove(m_id);
}

void http_connection::respond(request_number request, const http_response &response, bool closing)
{
    if (!isCurrent(request)) {
        return;
    }
    m_hangUp = nullptr;
    m_answerComplete = true;
    m_keepAlive = m_keepAlive && !closing;
    const bool bare = http_status::hasNoBody(response.status);
    result<std::string> head = encodeHead(response, m_keepAlive, bare ? std::string() : lengthLine(response.body));
    if (failed(head)) {
        rejectAnswer(errorOf(head));
        return;
    }
    send(bare || m_isHead ? std::move(valueOf(head)) : valueOf(head) + response.body);
}

void http_connection::startStream(request_number request, const http_response &head, bool closing)
{
    if (!isCurrent(request)) {
        return;
    }
    m_keepAlive = m_keepAlive && !closing;
    result<std::string> encoded = encodeHead(head, m_keepAlive, http_status::hasNoBody(head.status) ? std::string() : "Transfer-Encoding: chunked\r\n");
    if (failed(encoded)) {
        // The one who answers learns that nothing of its answer is taken any more; it may be in the middle of a call here.
        asio::post(m_socket.get_executor(), [handle = std::exchange(m_hangUp, nullptr)] {
            if (handle) {
                handle();
            }
        });
        m_answerComplete = true;
        rejectAnswer(errorOf(encoded));
        return;
    }
    m_streaming = true;
    send(std::move(valueOf(encoded)));
}

void http_connection::write(request_number request, const std::string &bytes, std::function<void()> sent)
{
    if (!isCurrent(request) || !m_streaming) {
        return;
    }
    // A chunk without bytes would end the answer.
    const bool isChunk = !bytes.empty() && !m_isHead;
    send(isChunk ? fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes) : std::string(), std::move(sent));
}

void http_connection::finish(request_number request)
{
    if (!isCurrent(request) || !m_streaming) {
        return;
    }
    m_hangUp = nullptr;
    m_answerComplete = true;
    send(m_isHead ? std::string() : "0\r\n\r\n");
}

void http_connection::abort(request_number request)
{
    if (!isCurrent(request)) {
        return;
    }
    m_hangUp = nullptr;
    m_answerComplete = true;
    m_keepAlive = false;
    send({}); // What was written before goes out, without the last chunk, so that the caller sees that the answer is cut.
}

void http_connection::endFailed(request_number request)
{
    if (m_streaming) {
        abort(request);
    } else {
        respond(request, errorResponse(http_status::internalServerError, "this process failed at the request"), true);
    }
}

void http_connection::onHangUp(request_number request, std::function<void()> handle)
{
    if (isCurrent(request)) {
        m_hangUp = std::move(handle);
    }
}

void http_connection::send(std::string bytes, std::function<void()> sent)
{
    m_unsentBytes += bytes.size();
    m_outgoing.push_back({std::move(bytes), std::move(sent)});
    if (m_sending.empty()) {
        sendNext();
    }
    reportHeld();
}

void http_connection::sendNext()
{
    m_sending.swap(m_outgoing);
    m_sendingSince = monotonicNow();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_sending.size());
    for (const outgoing &each : m_sending) {
        buffers.emplace_back(asio::buffer(each.bytes));
    }
    asio::async_write(m_socket, buffers, [self = shared_from_this()](const std::error_code &failure, std::size_t) {
        if (self->m_phase == phase::Closed) {
            return;
        }
        if (failure) {
            self->hangUp();
            return;
        }
        const std::deque<outgoing> sent = std::exchange(self->m_sending, {});
        for (const outgoing &each : sent) {
            self->m_unsentBytes -= each.bytes.size();
        }
        if (!self->m_outgoing.empty()) {
            self->sendNext();
        } else if (self->m_phase == phase::Lingering || (self->m_phase == phase::Serving && self->m_answerComplete)) {
            self->endAnswer();
        }
        self->reportHeld();
        for (const outgoing &each : sent) {
            if (each.sent) {
                runGuarded("answer sent", each.sent);
            }
        }
    });
}

void http_connection::endAnswer()
{
    m_requestHeld = 0;
    if (!m_keepAlive) {
        linger();
        return;
    }
    m_phase = phase::Receiving;
    m_since = monotonicNow();
    const std::string pipelined = std::exchange(m_pipelined, {});
    consume(pipelined);
    if (m_inputEnded && m_phase == phase::Receiving) {
        handleEnd(true); // No whole request is left.
        return;
    }
    awaitBytes();
}

void http_connection::linger()
{
    m_phase = phase::Lingering;
    m_pipelined = {};
    m_since = monotonicNow();
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (m_inputEnded) {
        close();
        return;
    }
    awaitBytes();
}

/** Answers 502 in place of an answer that cannot be written, which promises nothing about the request. */
void http_connection::rejectAnswer(const error &why)
{
    m_port->reportRejection(http_rejection::AnswerUnwritable, m_peer, why.what, 0);
    m_keepAlive = false;
    const http_response response = errorResponse(http_status::badGateway, why.what);
    send(valueOf(encodeHead(response, false, lengthLine(response.body))) + response.body);
}

void http_connection::reject(http_rejection why, std::uint32_t status, const std::string &reason)
{
    m_port->reportRejection(why, m_peer, reason, m_delivering ? m_requestHeld : m_reader.bodyBytes());
    m_reader.clear();
    m_requestHeld = 0;
    m_phase = phase::Lingering;
    m_keepAlive = false;
    m_since = monotonicNow();
    http_response response = errorResponse(status, reason);
    if (why == http_rejection::BudgetExhausted) {
        response.headers.emplace("Retry-After", budgetRetryAfterSeconds);
    }
    send(valueOf(encodeHead(response, false, lengthLine(response.body))) + response.body);
}

void http_connection::rejectUnfinishedBody()
{
    if (m_phase == phase::Receiving) {
        reject(http_rejection::BudgetExhausted, 503, "too many unfinished requests are held; this one did not run");
    }
}

void http_connection::cutUntakenAnswer()
{
    if (std::exchange(m_cut, true)) {
        return;
    }
    m_port->reportRejection(http_rejection::AnswerUntaken, m_peer, "the memory for answers that callers have not read is used up", m_unsentBytes);
    // The one who answers may be in the middle of a call here, so it is told later.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->hangUp(); });
}

void http_connection::checkTime(time_point now)
{
    const http_limits &limits = m_port->limits();
    const duration passed = std::chrono::duration_cast<duration>(now - m_since);
    if (!m_sending.empty() && now - m_sendingSince > maxWriteTime) {
        hangUp();
    } else if (m_phase == phase::Lingering && passed > lingerTime) {
        close();
    } else if (m_phase != phase::Receiving) {
        return;
    } else if (!m_reader.hasBegun()) {
        if (passed > limits.maxIdleTime) {
            close();
        }
    } else if (!m_reader.hasHeaders() && passed > limits.maxHeaderTime) {
        reject(http_rejection::TooSlow, 408, "the headers took too long; the request did not run");
    } else if (m_reader.hasHeaders() && now - m_lastBodyByte > limits.maxBodyPause) {
        reject(http_rejection::TooSlow, 408, "the body stalled; the request did not run");
    } else if (passed > limits.maxRequestTime) {
        reject(http_rejection::TooSlow, 408, "the request took too long; it did not run");
    }
}

} // namespace carawayloft
