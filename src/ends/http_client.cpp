#include "ends/http_client.h"

#include "ends/answer_reader.h"
#include "ends/handler_guard.h"
#include "ends/http_field.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace carawayloft {

namespace {

/** One call under way. */
struct transfer {
    explicit transfer(const http_call &call)
        : body(call.body)
        , reader(call.method == "HEAD")
        , maxBodyBytes(call.maxBodyBytes)
    {
    }

    transfer(const transfer &) = delete;
    transfer &operator=(const transfer &) = delete;

    http_call_id id;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    http_client::handler handle;
    answer_reader reader;
    std::size_t bodyBytes = 0;
    std::size_t maxBodyBytes = 0;
    const char *failure = nullptr; /**< Why this end broke the call off. */
    std::optional<answer_fault> malformed; /**< Why what came is no answer. */
    bool started = false;
    bool paused = false;
    bool issued = false; /**< A connection was there and the request went out on it, or tried to. */
    bool resendRefused = false; /**< libcurl wanted to send the request again, on another connection. */

    ~transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
};

/** A socket of libcurl's that the io_context watches. */
struct watched_socket {
    explicit watched_socket(asio::io_context &context, curl_socket_t socket)
        : descriptor(context, socket)
    {
    }

    ~watched_socket()
    {
        release();
    }

    /** Stops watching. Handlers may still hold this object while libcurl has the socket watched anew. */
    void release()
    {
        if (descriptor.is_open()) {
            descriptor.release();
        }
    }

    asio::posix::stream_descriptor descriptor;
    int interest = 0;
    bool reading = false;
    bool writing = false;
};

} // namespace

class http_client::impl
{
public:
    explicit impl(asio::io_context &context)
        : m_context(context)
        , m_timer(context)
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &impl::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &impl::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
    }

    ~impl()
    {
        m_closing = true;
        for (const auto &[id, each] : m_transfers) {
            curl_multi_remove_handle(m_multi, each->easy);
        }
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
        m_sockets.clear();
    }

    http_call_id start(const http_call &call, handler handle)
    {
        auto one = std::make_shared<transfer>(call);
        one->id = m_next = carawayloft::next(m_next);
        one->easy = curl_easy_init();
        one->handle = std::move(handle);
        m_transfers.emplace(one->id, one);
        if (const std::string *field = findUnsendable(call.headers)) {
            failLater(one, "the header '" + *field + "' cannot be sent");
            return one->id;
        }
        configure(*one, call);
        asio::post(m_context, [this, alive = std::weak_ptr<int>(m_alive), one] {
            if (!alive.expired() && m_transfers.contains(one->id)) {
                curl_multi_add_handle(m_multi, one->easy);
            }
        });
        return one->id;
    }

    void cancel(http_call_id call)
    {
        const auto found = m_transfers.find(call);
        if (found == m_transfers.end()) {
            return;
        }
        const std::shared_ptr<transfer> one = found->second;
        m_transfers.erase(found);
        // libcurl forbids removing a handle from inside its own callbacks.
        asio::post(m_context, [this, alive = std::weak_ptr<int>(m_alive), one] {
            if (!alive.expired()) {
                curl_multi_remove_handle(m_multi, one->easy);
            }
        });
    }

    void setPaused(http_call_id call, bool paused)
    {
        const auto found = m_transfers.find(call);
        if (found == m_transfers.end() || found->second->paused == paused) {
            return;
        }
        found->second->paused = paused;
        if (!paused) {
            asio::post(m_context, [this, alive = std::weak_ptr<int>(m_alive), one = found->second] {
                if (!alive.expired() && m_transfers.contains(one->id) && !one->paused) {
                    curl_easy_pause(one->easy, CURLPAUSE_CONT);
                    collect();
                }
            });
        }
    }

private:
    static constexpr long maxIdleConnections = 128;
    static constexpr long connectTimeoutMs = 1'000;
    /** Servers close idle connections at times of their own; younger ones are likely to live. */
    static constexpr long maxIdleSeconds = 4;
    /** Time after which bytes that the server's host does not confirm end a connection. */
    static constexpr int unconfirmedTimeoutMs = 1'500;

    /** Whether a line of this name and value is read as just that header. */
    static bool isSendable(const std::pair<const std::string, std::string> &header)
    {
        const auto &[name, value] = header;
        return !name.empty() && isFieldValue(name) && name.find(':') == std::string::npos && isFieldValue(value);
    }

    /** Name of a header that cannot be sent, or null. */
    static const std::string *findUnsendable(const http_headers &headers)
    {
        const auto found = std::find_if_not(headers.begin(), headers.end(), isSendable);
        return found == headers.end() ? nullptr : &found->first;
    }

    /** Fails a call that was not sent, once start() has returned. */
    void failLater(const std::shared_ptr<transfer> &one, std::string why)
    {
        asio::post(m_context, [this, alive = std::weak_ptr<int>(m_alive), one, why = std::move(why)] {
            if (!alive.expired() && m_transfers.erase(one->id) > 0) {
                report(*one, http_failed{{error_kind::InvalidRequest, why, "report it: this process must not send such a header"}, true, false, std::nullopt});
            }
        });
    }

    void configure(transfer &one, const http_call &call)
    {
        CURL *easy = one.easy;
        setTarget(easy, call.url);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_NOBODY, call.method == "HEAD" ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maxIdleSeconds);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &impl::onNewSocket);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &impl::onOpenSocket);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &one);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &impl::onRequest);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &one);
        // libcurl passes over what is no chunk size, so the chunks are read here; it still finds their end.
        curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &impl::onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &one);
        if (!one.body.empty() || call.method == "POST" || call.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, one.body.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(one.body.size()));
        }
        // libcurl adds these by itself unless they are taken out.
        for (const char *added : {"Expect", "Accept", "Content-Type"}) {
            if (!call.headers.contains(added)) {
                one.headers = curl_slist_append(one.headers, std::string(added).append(":").c_str());
            }
        }
        for (const auto &[name, value] : call.headers) {
            // libcurl sends a header without a value only when it is written with a semicolon.
            std::string line = name;
            line += value.empty() ? ";" : ": ";
            line += value;
            one.headers = curl_slist_append(one.headers, line.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, one.headers);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &impl::onBytes);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &one);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &one);
    }

    /** libcurl percent-encodes bytes above 0x7f in a URL and drops an empty query; a target of its own goes out as it is. */
    static void setTarget(CURL *easy, const std::string &url)
    {
        const std::size_t scheme = url.find("://");
        const std::size_t target = url.find('/', scheme == std::string::npos ? 0 : scheme + 3);
        curl_easy_setopt(easy, CURLOPT_URL, url.substr(0, target).c_str());
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, target == std::string::npos ? "/" : url.c_str() + target);
    }

    /** Called for each connection before the request goes out on it: for a second one when the first, a kept one, was closed without an answer. */
    static int onRequest(void *user, char *, char *, int, int)
    {
        auto &one = *static_cast<transfer *>(user);
        one.resendRefused = std::exchange(one.issued, true);
        return one.resendRefused ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }

    static curl_socket_t onOpenSocket(void *user, curlsocktype, curl_sockaddr *address)
    {
        auto &one = *static_cast<transfer *>(user);
        if (one.issued) {
            one.resendRefused = true; // Without the time that a connection to a lost host takes.
            return CURL_SOCKET_BAD;
        }
        return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    }

    static int onNewSocket(void *, curl_socket_t socket, curlsocktype)
    {
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unconfirmedTimeoutMs, sizeof(unconfirmedTimeoutMs));
        return CURL_SOCKOPT_OK;
    }

    /** Breaks the call off: libcurl closes the connection of a call whose bytes are not taken. */
    static std::size_t reject(transfer &one, answer_fault fault)
    {
        one.malformed = fault;
        return 0;
    }

    static std::size_t onHeader(const char *bytes, std::size_t size, std::size_t count, void *user)
    {
        auto &one = *static_cast<transfer *>(user);
        const auto fault = one.reader.addHeadLine({bytes, size * count});
        return fault ? reject(one, *fault) : size * count;
    }

    /** Passes an event on. An exception must not pass through libcurl; the call fails in its place. */
    static bool report(transfer &one, http_event event)
    {
        const bool isTaken = runGuarded("answer", [&] { one.handle(std::move(event)); });
        if (!isTaken) {
            one.failure = "the handler of the answer failed";
        }
        return isTaken;
    }

    static bool reportStart(transfer &one)
    {
        if (one.started) {
            return true;
        }
        one.started = true;
        long newConnections = 0;
        curl_easy_getinfo(one.easy, CURLINFO_NUM_CONNECTS, &newConnections);
        const answer_head &head = one.reader.head();
        const auto contentType = head.headers.find("Content-Type");
        return report(
            one, http_started{head.status, contentType == head.headers.end() ? std::string() : contentType->second, head.headers, newConnections == 0});
    }

    static std::size_t onBytes(const char *bytes, std::size_t size, std::size_t count, void *user)
    {
        auto &one = *static_cast<transfer *>(user);
        if (one.paused) {
            return CURL_WRITEFUNC_PAUSE;
        }
        std::variant<std::string, answer_fault> read = one.reader.addBody({bytes, size * count});
        if (const auto *fault = std::get_if<answer_fault>(&read)) {
            return reject(one, *fault);
        }
        if (one.reader.hasExcess()) {
            curl_easy_setopt(one.easy, CURLOPT_FORBID_REUSE, 1L); // What follows would be taken for the next answer.
        }
        auto &body = std::get<std::string>(read);
        one.bodyBytes += body.size();
        if (one.maxBodyBytes > 0 && one.bodyBytes > one.maxBodyBytes) {
            one.failure = "the body of the answer is too long";
            return 0;
        }
        if (!body.empty()) {
            const bool isTaken = reportStart(one) && report(one, http_received{std::move(body)});
            return isTaken ? size * count : 0;
        }
        return size * count;
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *user, void *)
    {
        auto &self = *static_cast<impl *>(user);
        if (what == CURL_POLL_REMOVE) {
            if (const auto found = self.m_sockets.find(socket); found != self.m_sockets.end()) {
                found->second->release();
                self.m_sockets.erase(found);
            }
            return 0;
        }
        if (self.m_closing) {
            return 0;
        }
        auto &watched = self.m_sockets[socket];
        if (!watched) {
            watched = std::make_shared<watched_socket>(self.m_context, socket);
        }
        watched->interest = what;
        self.watch(socket, watched);
        return 0;
    }

    void watch(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched)
    {
        if ((watched->interest & CURL_POLL_IN) != 0 && !watched->reading) {
            watched->reading = true;
            wait(socket, watched, asio::posix::descriptor_base::wait_read, CURL_CSELECT_IN, &watched_socket::reading);
        }
        if ((watched->interest & CURL_POLL_OUT) != 0 && !watched->writing) {
            watched->writing = true;
            wait(socket, watched, asio::posix::descriptor_base::wait_write, CURL_CSELECT_OUT, &watched_socket::writing);
        }
    }

    void wait(curl_socket_t socket,
              const std::shared_ptr<watched_socket> &watched,
              asio::posix::descriptor_base::wait_type type,
              int action,
              bool watched_socket::*flag)
    {
        watched->descriptor.async_wait(type, [this, socket, action, flag, weak = std::weak_ptr<watched_socket>(watched)](const std::error_code &failure) {
            const auto alive = weak.lock();
            if (!alive || failure) {
                return;
            }
            (*alive).*flag = false;
            act(socket, action);
            const auto still = m_sockets.find(socket);
            if (still != m_sockets.end() && still->second == alive) {
                watch(socket, alive);
            }
        });
    }

    static int onTimer(CURLM *, long timeoutMs, void *user)
    {
        auto &self = *static_cast<impl *>(user);
        self.m_timer.cancel();
        if (timeoutMs >= 0 && !self.m_closing) {
            self.m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
            self.m_timer.async_wait([&self](const std::error_code &failure) {
                if (!failure) {
                    self.act(CURL_SOCKET_TIMEOUT, 0);
                }
            });
        }
        return 0;
    }

    void act(curl_socket_t socket, int action)
    {
        int running = 0;
        curl_multi_socket_action(m_multi, socket, action, &running);
        collect();
    }

    void collect()
    {
        int waiting = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &waiting)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *easy, CURLcode code)
    {
        transfer *raw = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &raw);
        curl_multi_remove_handle(m_multi, easy);
        const auto found = m_transfers.find(raw->id);
        if (found == m_transfers.end()) {
            return;
        }
        const std::shared_ptr<transfer> one = found->second;
        m_transfers.erase(found);
        if (code == CURLE_OK && !one->malformed && one->reader.isWhole()) {
            if (reportStart(*one)) {
                report(*one, http_finished{});
                return;
            }
        }
        report(*one, failureOf(*one, code));
    }

    /** Why a call has failed; @p code is CURLE_OK if libcurl took an answer that is cut off for a whole one. */
    static http_failed failureOf(const transfer &one, CURLcode code)
    {
        long sentBytes = 0;
        curl_easy_getinfo(one.easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        const bool neverSent = sentBytes == 0 && !one.started;
        const std::optional<answer_fault> malformed = one.malformed || neverSent ? one.malformed : faultOf(code);
        if (malformed) {
            return {{error_kind::MalformedAnswer, describe(*malformed), "check the server there"}, neverSent, false, malformed};
        }
        const bool isCut = code == CURLE_OK;
        const char *failure = one.failure == nullptr ? curl_easy_strerror(code) : one.failure;
        if (one.resendRefused) {
            failure = "the kept connection was closed";
        }
        if (isCut) {
            failure = one.reader.hasHead() ? "the connection ended inside the answer" : "the connection ended inside the head of the answer";
        }
        const bool closedByServer = isCut || (!neverSent && one.failure == nullptr && (one.resendRefused || isClosedByServer(one.easy, code)));
        return {{error_kind::ConnectionFailed, failure, "check that the server there runs"}, neverSent, closedByServer, std::nullopt};
    }

    /** What libcurl itself found to be no answer; the lines that it rejects are not passed on. */
    static std::optional<answer_fault> faultOf(CURLcode code)
    {
        const bool isRejected = code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY;
        return isRejected ? std::optional(answer_fault::Unreadable) : std::nullopt;
    }

    /** Whether the other end closed or reset the connection, rather than falling silent. */
    static bool isClosedByServer(CURL *easy, CURLcode code)
    {
        if (code == CURLE_GOT_NOTHING || code == CURLE_PARTIAL_FILE) {
            return true;
        }
        long systemError = 0;
        curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &systemError);
        return (code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR) && systemError != ETIMEDOUT;
    }

    asio::io_context &m_context;
    asio::steady_timer m_timer;
    CURLM *m_multi;
    std::map<curl_socket_t, std::shared_ptr<watched_socket>> m_sockets;
    std::map<http_call_id, std::shared_ptr<transfer>> m_transfers;
    http_call_id m_next;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    bool m_closing = false;
};

http_client::http_client(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

http_client::~http_client() = default;

http_call_id http_client::start(const http_call &call, handler handle)
{
    return m_impl->start(call, std::move(handle));
}

void http_client::cancel(http_call_id call)
{
    m_impl->cancel(call);
}

void http_client::setPaused(http_call_id call, bool paused)
{
    m_impl->setPaused(call, paused);
}

std::unique_ptr<http_client> http_client::create(asio::io_context &context)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialised;
    return std::unique_ptr<http_client>(new http_client(std::make_unique<impl>(context)));
}

} // namespace carawayloft
