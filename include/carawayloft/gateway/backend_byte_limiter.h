#pragma once

#include <carawayloft/core/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace carawayloft {

/** What all gateways together may have outstanding at one backend server. */
struct backend_byte_limits {
    /** Half of the smallest host of a backend server (128 MB). The other half is for the process and its copies. */
    std::size_t bound = std::size_t{64} << 20U;

    /** A body of 4 MiB, and headers and target of 16 KiB each: a gateway takes no larger request. */
    std::size_t largestRequest = (std::size_t{4} << 20U) + (std::size_t{32} << 10U);
};

/**
 * Bounds the bytes of requests that this gateway has outstanding at one backend server: those sent, or on their way,
 * whose answer has not ended. Each gateway has an equal share of the bound, so that all together keep it without
 * coordination. A share is never less than one request of the largest size and a pool for small ones; with more gateways
 * than the bound has room for, the sum of the shares exceeds it.
 */
class backend_byte_limiter
{
public:
    explicit backend_byte_limiter(const backend_byte_limits &limits);

    /** Sets how many gateways share the bound. */
    void setGateways(std::uint32_t gateways);

    /** Most bytes that this gateway may have outstanding at one backend server. */
    std::size_t share() const;

    /** Whether @p bytes more at the backend server keep the share. */
    bool maySend(const backend_id &backend, std::size_t bytes) const;

    void recordSend(backend_call_id call, const backend_id &backend, std::size_t bytes);

    /** The answer has ended, or the call was given up; without effect for an unknown call. */
    void recordEnd(backend_call_id call);

    std::size_t outstanding(const backend_id &backend) const;

    /** Bytes outstanding at the backend server that has most. */
    std::size_t mostOutstanding() const;

private:
    /** Requests above this size may take the part of the share that is kept for one large request. */
    static constexpr std::size_t largeRequestBytes = std::size_t{64} << 10U;

    /** Least room for small requests beside one of the largest size: 128 of 2 KB. */
    static constexpr std::size_t minPoolBytes = std::size_t{256} << 10U;

    struct sent_request {
        backend_id backend;
        std::size_t bytes = 0;
        bool isReserved = false; /**< Takes the part that is kept for one large request. */
    };
    struct server_bytes {
        std::size_t pool = 0;
        std::size_t reserved = 0;
    };

    /** The share without the part that is kept for one large request, so that small ones never keep it waiting. */
    std::size_t poolSize() const;
    bool fitsPool(const backend_id &backend, std::size_t bytes) const;

    backend_byte_limits m_limits;
    std::uint32_t m_gateways;
    std::map<backend_call_id, sent_request> m_sent;
    std::map<backend_id, server_bytes> m_servers;
};

} // namespace carawayloft
