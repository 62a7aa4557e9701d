#pragma once

#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <asio/io_context.hpp>

#include <functional>

namespace carawayloft {

/**
 * Tests whether a connection to @p address comes about within @p patience. A second attempt starts after
 * half of that time, for the case that the first packet was lost. @p done is called once, on the
 * context's thread.
 */
void testReach(asio::io_context &context, const endpoint &address, duration patience, std::function<void(bool reachable)> done);

} // namespace carawayloft
