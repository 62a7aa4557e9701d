#pragma once

#include "ends/answer_fault.h"
#include "ends/http_types.h"

#include <carawayloft/core/strong_type.h>
#include <carawayloft/core/units.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace carawayloft {

struct http_call {
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    duration timeout{0}; /**< For the whole call; zero for none. */
    bool freshConnection = false; /**< Never reuse one, which may be dead. */
    std::size_t maxBodyBytes = 0; /**< A longer body of the answer fails the call; zero for no limit. */
};

struct http_started {
    std::uint32_t status = 0;
    std::string contentType;
    http_headers headers;
    bool reusedConnection = false; /**< An earlier call used the connection, so the answer may be a late one to that call. */
};

struct http_received {
    std::string bytes;
};

struct http_finished {
};

struct http_failed {
    error why;
    bool neverSent = false; /**< No byte of the call was sent, so the server cannot have seen it. */
    bool closedByServer = false; /**< The server, or its host, ended the connection in the middle of the call. */
    std::optional<answer_fault> malformed{}; /**< Why what the server sent is no answer; nothing for other failures. */
};

using http_event = std::variant<http_started, http_received, http_finished, http_failed>;
using http_call_id = strong_type<struct http_call_id_tag, std::uint64_t>;

/**
 * HTTP calls by libcurl on its owner's io_context, without a thread of its own. A call is sent at most once: where a kept
 * connection turns out to be closed, the call fails and its owner decides. What is no answer fails the call, closes its
 * connection, and is not reported.
 */
class http_client
{
public:
    using handler = std::function<void(http_event)>;

    static std::unique_ptr<http_client> create(asio::io_context &context);

    ~http_client();

    /** @p handle gets the events in order, on the owner's thread, and never before start() returns. */
    http_call_id start(const http_call &call, handler handle);

    /** Ends a call at once; nothing more is reported of it. */
    void cancel(http_call_id call);

    /** Stops or goes on taking the answer's bytes from the server. */
    void setPaused(http_call_id call, bool paused);

private:
    class impl;

    explicit http_client(std::unique_ptr<impl> implementation);

    std::unique_ptr<impl> m_impl;
};

} // namespace carawayloft
