#pragma once

#include "ends/http_exchange.h"
#include "ends/http_limits.h"
#include "ends/http_rejection.h"

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>

#include <asio/io_context.hpp>

#include <cstdint>

namespace carawayloft {

/** Serves HTTP on its owner's io_context and turns each whole request into one call. */
class http_server
{
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_exchange>)>;

    /** Told of each request or connection that the server rejects by itself. */
    using rejection_handler = std::function<void(http_rejection)>;

    /** Fails with InvalidSettings when @p at cannot be listened on. */
    static result<std::unique_ptr<http_server>>
    create(asio::io_context &context, const endpoint &at, const http_limits &limits, handler handle, rejection_handler onRejected = {});

    ~http_server();

    /** Accepts no more connections; requests in flight go on. */
    void stopListening();

    /** The port listened on: the one that the system chose if port 0 was asked for. Zero once it has stopped listening. */
    std::uint16_t listeningPort() const;

    std::size_t connections() const;

    /** Bytes that count against http_limits::maxHeldBytes. */
    std::size_t heldBytes() const;

private:
    class impl;

    explicit http_server(std::unique_ptr<impl> implementation);

    std::unique_ptr<impl> m_impl;
};

} // namespace carawayloft
