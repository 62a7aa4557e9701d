#include "ends/address_limit.h"

namespace carawayloft {

address_limit::address_limit(std::size_t maxConnections)
    : m_maxConnections(maxConnections)
{
}

bool address_limit::mayAdd(const asio::ip::address &address) const
{
    return m_maxConnections == 0 || connections(address) < m_maxConnections;
}

void address_limit::add(const asio::ip::address &address)
{
    ++m_connections[address];
}

void address_limit::remove(const asio::ip::address &address)
{
    const auto found = m_connections.find(address);
    if (found != m_connections.end() && --found->second == 0) {
        m_connections.erase(found);
    }
}

std::size_t address_limit::connections(const asio::ip::address &address) const
{
    const auto found = m_connections.find(address);
    return found == m_connections.end() ? 0 : found->second;
}

} // namespace carawayloft
