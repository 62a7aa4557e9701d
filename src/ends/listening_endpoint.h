#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>

#include <asio/ip/tcp.hpp>

namespace carawayloft {

/** Splits "IP:port", where port 0 lets the system choose one; fails with InvalidSettings. */
result<asio::ip::tcp::endpoint> parseListeningEndpoint(const endpoint &address);

} // namespace carawayloft
