#pragma once

#include <carawayloft/control/fleet_state.h>
#include <carawayloft/core/filter.h>
#include <carawayloft/messages/lease_messages.h>

#include <map>
#include <optional>
#include <variant>

namespace carawayloft {

/** This replica became the leader. It does not know which leases its predecessors granted. */
struct leadership_acquired {
};

struct renewal_received {
    lease_renewal renewal;
    const fleet_state &fleet;
    bool mayGrant = false; /**< Whether no other replica can be leading at the same time. */
};

/** Tracks, on the leader, which hosts are live and which of the granted leases can still be in use. */
class lease_registry
{
public:
    using input = std::variant<leadership_acquired, renewal_received>;
    using output = lease_grant;

    std::vector<output> step(const input &in, time_point now);

    /**
     * Whether this replica has led for at least one lease length. Until then its predecessors' leases may still be in
     * use, and live hosts may not have reported to it yet.
     */
    bool predecessorLeasesExpired(time_point now) const;

    /** Whether the host has renewed recently, or the lead of its group has and does not report it missing. */
    bool isLive(const host_id &host, const fleet_state &fleet, time_point now) const;

    /** Whether every lease that this leader or a predecessor granted to the host has expired. */
    bool isLeaseExpired(const host_id &host, time_point now) const;

    /** The latest renewal that the group's lead sent in the group's current epoch, or nullptr. */
    const lease_renewal *latestReport(const group_record &group) const;

    /** When the lead began to report members missing; empty while none is missing. */
    std::optional<time_point> membersMissingSince(const group_record &group) const;

    /** Whether the lead is live, no member is missing, and the backend server is up. */
    bool isServing(const group_record &group, time_point now) const;

private:
    struct host_view {
        lease_renewal report; /**< The latest one. */
        time_point receivedAt;
        time_point leaseExpiresAt; /**< By the grantor's clock, with the allowance for clock drift. */
        std::optional<time_point> membersMissingSince;
    };

    time_point m_leadingSince;
    std::map<host_id, host_view> m_hosts;
};

} // namespace carawayloft
