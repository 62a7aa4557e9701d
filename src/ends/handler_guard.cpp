#include "ends/handler_guard.h"

#include "ends/clock.h"
#include "ends/event_log.h"
#include "ends/event_quota.h"

namespace carawayloft {

namespace {

struct thread_failures {
    std::uint64_t count = 0;
    event_quota quota;
};

/** Failures on this thread, which is that of one task. */
thread_failures &ownFailures()
{
    thread_local thread_failures own;
    return own;
}

} // namespace

void reportHandlerFailure(const char *source, const char *what)
{
    thread_failures &own = ownFailures();
    ++own.count;
    if (const auto omitted = own.quota.admit(monotonicNow())) {
        logEvent(event_number::HandlerFailed, {{"source", source}, {"reason", what}, {"omitted", *omitted}});
    }
}

std::uint64_t handlerFailures()
{
    return ownFailures().count;
}

} // namespace carawayloft
