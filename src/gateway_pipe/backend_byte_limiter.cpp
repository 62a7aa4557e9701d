#include <carawayloft/gateway/backend_byte_limiter.h>

#include <algorithm>

namespace carawayloft {

/** Number of gateways that is assumed until control has reported it; as for the limits on rates. */
static constexpr std::uint32_t gatewaysWhileUnknown = 32;

backend_byte_limiter::backend_byte_limiter(const backend_byte_limits &limits)
    : m_limits(limits)
    , m_gateways(gatewaysWhileUnknown)
{
}

void backend_byte_limiter::setGateways(std::uint32_t gateways)
{
    m_gateways = std::max<std::uint32_t>(gateways, 1);
}

std::size_t backend_byte_limiter::share() const
{
    return std::max(m_limits.bound / m_gateways, m_limits.largestRequest + minPoolBytes);
}

std::size_t backend_byte_limiter::poolSize() const
{
    return share() - m_limits.largestRequest;
}

bool backend_byte_limiter::fitsPool(const backend_id &backend, std::size_t bytes) const
{
    const auto found = m_servers.find(backend);
    return (found == m_servers.end() ? 0 : found->second.pool) + bytes <= poolSize();
}

bool backend_byte_limiter::maySend(const backend_id &backend, std::size_t bytes) const
{
    if (fitsPool(backend, bytes)) {
        return true;
    }
    const auto found = m_servers.find(backend);
    return bytes > largeRequestBytes && bytes <= m_limits.largestRequest && (found == m_servers.end() || found->second.reserved == 0);
}

void backend_byte_limiter::recordSend(backend_call_id call, const backend_id &backend, std::size_t bytes)
{
    const bool isReserved = !fitsPool(backend, bytes);
    server_bytes &server = m_servers[backend];
    (isReserved ? server.reserved : server.pool) += bytes;
    m_sent[call] = {backend, bytes, isReserved};
}

void backend_byte_limiter::recordEnd(backend_call_id call)
{
    const auto found = m_sent.find(call);
    if (found == m_sent.end()) {
        return;
    }
    const sent_request &sent = found->second;
    server_bytes &server = m_servers[sent.backend];
    (sent.isReserved ? server.reserved : server.pool) -= sent.bytes;
    if (server.pool + server.reserved == 0) {
        m_servers.erase(sent.backend);
    }
    m_sent.erase(found);
}

std::size_t backend_byte_limiter::outstanding(const backend_id &backend) const
{
    const auto found = m_servers.find(backend);
    return found == m_servers.end() ? 0 : found->second.pool + found->second.reserved;
}

std::size_t backend_byte_limiter::mostOutstanding() const
{
    std::size_t most = 0;
    for (const auto &[backend, bytes] : m_servers) {
        most = std::max(most, bytes.pool + bytes.reserved);
    }
    return most;
}

} // namespace carawayloft
