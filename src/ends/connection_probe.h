#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <asio/io_context.hpp>

#include <functional>

namespace carawayloft {

/**
 * Probes whether a connection to @p address is established within @p timeout. A second attempt starts after half of the
 * timeout, in case the first packet was lost. @p onDone is called once, on the thread of @p context.
 */
void probeConnection(asio::io_context &context, const endpoint &address, duration timeout, std::function<void(bool reachable)> onDone);

} // namespace carawayloft
