#include "ends/http_server.h"

#include "ends/event_log.h"
#include "ends/frame_link.h"

#include <asio/steady_timer.hpp>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <restinio/all.hpp>
#include <sys/socket.h>

#include <unordered_map>
#include <unordered_set>

namespace carawayloft {

/** Longest time for which an answer may stream. */
static constexpr std::chrono::hours maxAnswerTime{24};

/** Time that a caller has for sending a request, and that an idle connection stays open. */
static constexpr std::chrono::seconds maxRequestTime{60};

/** Time that a caller may leave bytes untaken before the connection is cut. */
static constexpr std::chrono::minutes maxWriteTime{10};

/** One more than the request in flight, so that the server keeps reading and sees a caller hang up. */
static constexpr std::size_t pipelinedRequests = 2;

/** Interval at which a server that stops listening looks whether connections wait, and for how long it does. */
static constexpr std::chrono::milliseconds closeRetryPeriod{5};
static constexpr std::chrono::milliseconds maxCloseTime{50};

namespace {

/** Tells exchanges that their connection has closed. */
class connection_watch
{
public:
    // RESTinio calls it by this name.
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT(readability-identifier-naming)
    {
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            m_silent.insert(notice.connection_id());
            return;
        }
        if (m_silent.erase(notice.connection_id()) > 0) {
            logEvent(event_number::HttpConnectionRejected, {{"reason", "closed before a whole request came"}});
        }
        const auto [first, last] = m_waiting.equal_range(notice.connection_id());
        std::vector<std::shared_ptr<std::function<void()>>> calls;
        for (auto each = first; each != last; ++each) {
            if (auto call = each->second.lock()) {
                calls.push_back(std::move(call));
            }
        }
        m_waiting.erase(first, last);
        for (const auto &call : calls) {
            if (*call) {
                (*call)();
            }
        }
    }

    void heard(restinio::connection_id_t connection)
    {
        m_silent.erase(connection);
    }

    void watch(restinio::connection_id_t connection, const std::shared_ptr<std::function<void()>> &call)
    {
        m_waiting.emplace(connection, call);
    }

private:
    std::unordered_set<restinio::connection_id_t> m_silent; /**< Connections that have not brought a whole request yet. */
    std::unordered_multimap<restinio::connection_id_t, std::weak_ptr<std::function<void()>>> m_waiting;
};

/** RESTinio's errors are connections that never brought a whole request, or were lost in an answer. */
class rejection_log
{
public:
    template<class Message>
    void trace(Message &&)
    {
    }
    template<class Message>
    void info(Message &&)
    {
    }
    template<class Message>
    void warn(Message &&)
    {
    }
    template<class Message>
    void error(Message &&message)
    {
        logEvent(event_number::HttpConnectionRejected, {{"reason", std::string(message())}});
    }
};

struct server_traits : restinio::default_single_thread_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = connection_watch;
    using logger_t = rejection_log;
};

using raw_server = restinio::http_server_t<server_traits>;

} // namespace

class http_exchange::impl
{
public:
    impl(restinio::request_handle_t request, const std::shared_ptr<connection_watch> &watch)
        : m_request(std::move(request))
        , m_hangUp(std::make_shared<std::function<void()>>())
    {
        watch->watch(m_request->connection_id(), m_hangUp);
    }

    ~impl()
    {
        if (m_request && !m_stream) {
            respond({500, {}, {}});
        }
    }

    void respond(const http_response &response)
    {
        if (!m_request) {
            return;
        }
        *m_hangUp = nullptr;
        auto out = m_request->create_response(statusLine(response.status));
        addHeaders(out, response, m_closing);
        out.set_body(response.body);
        out.done();
        m_request.reset();
    }

    void startStream(const http_response &head)
    {
        if (!m_request) {
            return;
        }
        m_connection = restinio::impl::access_req_connection(*m_request);
        m_requestId = m_request->request_id();
        m_stream = std::make_unique<stream>(m_request->create_response<restinio::chunked_output_t>(statusLine(head.status)));
        addHeaders(*m_stream, head, m_closing);
        m_stream->flush();
    }

    void setClosing(bool closing)
    {
        m_closing = closing;
    }

    void write(std::string bytes, std::function<void()> sent)
    {
        if (!m_stream) {
            return;
        }
        m_stream->append_chunk(std::move(bytes));
        m_stream->flush([sent = std::move(sent)](const auto &failure) {
            if (!failure && sent) {
                sent();
            }
        });
    }

    void finish()
    {
        if (m_stream) {
            *m_hangUp = nullptr;
            m_stream->done();
            release();
        }
    }

    void abort()
    {
        *m_hangUp = nullptr;
        if (m_stream) {
            // Ends the response without the last chunk, so that the caller sees that it is cut.
            const restinio::response_output_flags_t lastParts{
                restinio::response_parts_attr_t::final_parts, restinio::response_connection_attr_t::connection_close};
            m_connection->write_response_parts(m_requestId, lastParts, restinio::write_group_t{restinio::writable_items_container_t{}});
        }
        release();
    }

    void onHangUp(std::function<void()> handle)
    {
        *m_hangUp = std::move(handle);
    }

private:
    using stream = restinio::response_builder_t<restinio::chunked_output_t>;

    static restinio::http_status_line_t statusLine(std::uint32_t status)
    {
        static const std::unordered_map<std::uint32_t, const char *> reasons{{200, "OK"},
                                                                             {201, "Created"},
                                                                             {202, "Accepted"},
                                                                             {204, "No Content"},
                                                                             {307, "Temporary Redirect"},
                                                                             {400, "Bad Request"},
                                                                             {401, "Unauthorized"},
                                                                             {404, "Not Found"},
                                                                             {409, "Conflict"},
                                                                             {413, "Payload Too Large"},
                                                                             {422, "Unprocessable Entity"},
                                                                             {429, "Too Many Requests"},
                                                                             {500, "Internal Server Error"},
                                                                             {502, "Bad Gateway"},
                                                                             {503, "Service Unavailable"},
                                                                             {504, "Gateway Timeout"}};
        const auto reason = reasons.find(status);
        return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)), reason == reasons.end() ? "Status" : reason->second};
    }

    template<class Builder>
    static void addHeaders(Builder &out, const http_response &response, bool closing)
    {
        if (closing) {
            out.connection_close();
        }
        for (const auto &[name, value] : response.headers) {
            out.append_header(name, value);
        }
        if (!response.headers.contains("Server")) {
            out.append_header(restinio::http_field::server, "carawayloft");
        }
    }

    void release()
    {
        m_stream.reset();
        m_connection.reset();
        m_request.reset();
    }

    restinio::request_handle_t m_request;
    std::shared_ptr<std::function<void()>> m_hangUp;
    std::unique_ptr<stream> m_stream;
    restinio::impl::connection_handle_t m_connection;
    restinio::request_id_t m_requestId = 0;
    bool m_closing = false;
};

class http_server::impl
{
public:
    impl(asio::io_context &context, const asio::ip::tcp::endpoint &at, const http_limits &limits, handler handle)
        : m_handle(std::move(handle))
        , m_closeTimer(context)
        , m_watch(std::make_shared<connection_watch>())
        , m_server(restinio::external_io_context(context), [&](auto &settings) {
            settings.address(at.address().to_string())
                .port(at.port())
                .buffer_size(limits.maxHeaderBytes)
                .max_pipelined_requests(pipelinedRequests)
                .handle_request_timeout(maxAnswerTime)
                .read_next_http_message_timelimit(maxRequestTime)
                .write_http_response_timelimit(maxWriteTime)
                .socket_options_setter([](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
                .connection_state_listener(m_watch)
                .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) { m_listeningSocket = acceptor.native_handle(); })
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                              .max_url_size(limits.maxHeaderBytes)
                                              .max_field_name_size(limits.maxHeaderBytes)
                                              .max_field_value_size(limits.maxHeaderBytes)
                                              .max_field_count(limits.maxHeaders)
                                              .max_body_size(limits.maxBodyBytes))
                .request_handler([this](restinio::request_handle_t request) { return take(std::move(request)); });
        })
    {
    }

    void open()
    {
        m_server.open_sync();
    }

    /** Connections that the system has accepted and that are not served yet would be reset, so they are taken first. */
    void stopListening()
    {
        m_closeBy = std::chrono::steady_clock::now() + maxCloseTime;
        ignoreNewConnections();
        awaitClose();
    }

private:
    /** Makes the system drop segments that open a connection, so that none is accepted while the port closes. */
    void ignoreNewConnections() const
    {
        static constexpr std::uint32_t flagsOffset = 13; // In the TCP header.
        static constexpr std::uint32_t synFlag = 0x02;
        static constexpr std::uint32_t wholeSegment = 0xffffffff;
        std::array<sock_filter, 4> program{{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
                                            BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synFlag, 0, 1),
                                            BPF_STMT(BPF_RET | BPF_K, 0),
                                            BPF_STMT(BPF_RET | BPF_K, wholeSegment)}};
        const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
        setsockopt(m_listeningSocket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
    }

    void awaitClose()
    {
        m_closeTimer.expires_after(closeRetryPeriod);
        m_closeTimer.async_wait([this](const std::error_code &failure) {
            if (failure) {
                return;
            }
            if (waitingConnections() == 0 || std::chrono::steady_clock::now() >= m_closeBy) {
                m_server.close_sync();
            } else {
                awaitClose();
            }
        });
    }

    /** Connections in the accept queue; zero where the system does not tell. */
    std::size_t waitingConnections() const
    {
        tcp_info info{};
        socklen_t size = sizeof(info);
        return getsockopt(m_listeningSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_unacked : 0;
    }

    restinio::request_handling_status_t take(restinio::request_handle_t raw)
    {
        m_watch->heard(raw->connection_id());
        http_request request;
        const auto &header = raw->header();
        request.method = header.method().c_str();
        request.path = std::string(header.path());
        request.query = std::string(header.query());
        header.for_each_field([&](const auto &each) {
            const auto [known, isNew] = request.headers.emplace(each.name(), each.value());
            known->second += isNew ? std::string() : ", " + each.value();
        });
        request.body = raw->body();
        m_handle(std::move(request), std::make_shared<http_exchange>(std::make_unique<http_exchange::impl>(std::move(raw), m_watch)));
        return restinio::request_accepted();
    }

    handler m_handle;
    int m_listeningSocket = -1;
    asio::steady_timer m_closeTimer;
    std::chrono::steady_clock::time_point m_closeBy;
    std::shared_ptr<connection_watch> m_watch;
    raw_server m_server;
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

void http_exchange::write(std::string bytes, std::function<void()> sent)
{
    m_impl->write(std::move(bytes), std::move(sent));
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
    m_impl->stopListening();
}

result<std::unique_ptr<http_server>> http_server::create(asio::io_context &context, const endpoint &at, const http_limits &limits, handler handle)
{
    const auto address = parseEndpoint(at);
    if (failed(address)) {
        return errorOf(address);
    }
    try {
        auto server = std::make_unique<impl>(context, valueOf(address), limits, std::move(handle));
        server->open();
        return std::unique_ptr<http_server>(new http_server(std::move(server)));
    } catch (const std::exception &failure) {
        return error{error_kind::InvalidSettings, "cannot listen at " + at.value() + ": " + failure.what(), "free the port or set another address"};
    }
}

} // namespace carawayloft
