#pragma once

#include <carawayloft/core/units.h>

#include <cstddef>

namespace carawayloft {

/** Memory charged for a connection without a request. */
constexpr std::size_t connectionBytes = std::size_t{4} << 10U;

/** Bytes behind a request that is being served that are read, so that a caller's hang-up is noticed in time. */
constexpr std::size_t maxPipelinedBytes = std::size_t{16} << 10U;

/** What an HTTP server takes from one caller and from all together. What exceeds it is rejected and reaches no handler. */
struct http_limits {
    std::size_t maxHeaderBytes = std::size_t{16} << 10U; /**< Of the names and values of a request's headers, and of its target. */
    std::size_t maxHeaders = 100;
    std::size_t maxBodyBytes = std::size_t{4} << 20U;
    std::size_t maxHeldBytes = std::size_t{80} << 20U; /**< Of requests and untaken answers of all connections. */
    std::size_t maxConnectionsPerAddress = 0; /**< Of one client address at once; zero for no limit, since callers may share an address. */
    duration maxHeaderTime{5'000}; /**< From a request's first byte to the end of its headers: the 3 s that callers have, and a margin. */
    duration maxBodyPause{16'000}; /**< Between bytes of a body: the 15 s that callers may be idle, and a margin. */
    duration maxRequestTime{60'000}; /**< For a whole request. */
    duration maxIdleTime{60'000}; /**< Between requests. */
};

/** Limits for a port that serves readiness or metrics and so takes no bodies worth mentioning. */
constexpr http_limits statusPortLimits()
{
    http_limits limits;
    limits.maxBodyBytes = std::size_t{64} << 10U;
    limits.maxHeldBytes = std::size_t{4} << 20U;
    return limits;
}

} // namespace carawayloft
