#pragma once

#include "ends/handler_guard.h"

#include <asio/io_context.hpp>

namespace carawayloft {

/** Runs the handlers of @p context until it is stopped or has none left. One that throws is reported, and the others go on. */
inline void runHandlers(asio::io_context &context)
{
    while (!runGuarded("event loop", [&] { context.run(); })) {
    }
}

} // namespace carawayloft
