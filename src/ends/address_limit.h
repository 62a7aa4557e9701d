#pragma once

#include <asio/ip/address.hpp>

#include <cstddef>
#include <map>

namespace carawayloft {

/** Counts connections by client address, of which none may have more than a limit. No socket and no clock. */
class address_limit
{
public:
    /** @p maxConnections of one address at once; zero for no limit. */
    explicit address_limit(std::size_t maxConnections);

    /** Whether the address may have one more connection. */
    bool mayAdd(const asio::ip::address &address) const;

    void add(const asio::ip::address &address);

    /** Without effect for an address that has no connections. */
    void remove(const asio::ip::address &address);

    std::size_t connections(const asio::ip::address &address) const;

private:
    std::size_t m_maxConnections;
    std::map<asio::ip::address, std::size_t> m_connections;
};

} // namespace carawayloft
