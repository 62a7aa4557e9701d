#pragma once

#include <carawayloft/fleet/backend_registry.h>
#include <carawayloft/fleet/fleet_messages.h>

#include <map>
#include <set>

namespace carawayloft {

/**
 * Divides the request limits that backend servers named among the gateways. A limit goes in equal parts to as many gateways
 * as can have one request per second each: smaller parts would mostly be there when the gateway has no request. Which
 * gateways these are changes from time to time, since some may have few requests.
 */
class request_shares
{
public:
    /** Divides the limits anew, if gateways or limits have changed or the time for it has come. */
    void update(const backend_registry &registry, const std::set<link_id> &gateways, time_point now);

    /** The shares of one gateway. */
    std::vector<request_share> sharesOf(link_id gateway) const;

private:
    std::map<backend_id, double> m_limits;
    std::set<link_id> m_gateways;
    std::uint64_t m_rotation = 0;
    std::map<link_id, std::vector<request_share>> m_shares;
};

} // namespace carawayloft
