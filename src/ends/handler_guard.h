#pragma once

#include <cstdint>
#include <exception>

namespace carawayloft {

/**
 * Logs and counts an exception that ended a handler. @p source names what the handler was called for, such as "timer".
 */
void reportHandlerFailure(const char *source, const char *what);

/** Handlers of the calling task, which has a thread of its own, that an exception has ended. */
std::uint64_t handlerFailures();

/**
 * Calls @p handler. An exception ends only this call: it is reported, and what follows in the caller goes on. Returns whether
 * the handler returned.
 */
template<class Handler>
bool runGuarded(const char *source, Handler &&handler)
{
    try {
        handler();
        return true;
    } catch (const std::exception &failure) {
        reportHandlerFailure(source, failure.what());
    } catch (...) {
        reportHandlerFailure(source, "an exception of unknown type");
    }
    return false;
}

} // namespace carawayloft
