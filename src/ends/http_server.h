#pragma once

#include "ends/http_exchange.h"

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>

#include <asio/io_context.hpp>

namespace carawayloft {

/** What an HTTP server takes; larger requests get 413 or a closed connection and reach no handler. */
struct http_limits {
    std::size_t maxHeaderBytes = std::size_t{16} << 10U;
    std::size_t maxHeaders = 100;
    std::size_t maxBodyBytes = std::size_t{4} << 20U;
};

/** Serves HTTP on its owner's io_context and turns each whole request into one call. */
class http_server
{
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    /** Fails with InvalidSettings when @p at cannot be listened on. */
    static result<std::unique_ptr<http_server>> create(asio::io_context &context, const endpoint &at, const http_limits &limits, handler handle);

    ~http_server();

    /** Accepts no more connections; requests in flight go on. */
    void stopListening();

private:
    class impl;

    explicit http_server(std::unique_ptr<impl> implementation);

    std::unique_ptr<impl> m_impl;
};

} // namespace carawayloft
