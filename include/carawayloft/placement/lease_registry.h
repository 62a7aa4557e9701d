#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/lease_messages.h>
#include <carawayloft/order/fleet_state.h>

#include <map>
#include <optional>
#include <variant>

namespace carawayloft {

/** This replica has begun to lead: what its predecessor granted is not known. */
struct leadership_acquired {
};

struct renewal_received {
    lease_renewal renewal;
    const fleet_state &fleet;
    bool mayGrant = false; /**< Whether this replica surely is the only leader now. */
};

/** The leader's knowledge of which hosts are alive and which leases may still be relied on. */
class lease_registry
{
public:
    using input = std::variant<leadership_acquired, renewal_received>;
    using output = lease_grant;

    std::vector<output> step(const input &in, time_point now);

    /** Whether enough time has passed in the lead to tell the dead from the silent. */
    bool predecessorLeasesExpired(time_point now) const;

    /** Whether the host reports itself, or its group's lead reports it. */
    bool isLive(const host_id &host, const fleet_state &fleet, time_point now) const;

    /** Whether no lease that control ever granted to the host can still be relied on. */
    bool isLeaseExpired(const host_id &host, time_point now) const;

    /** The last report of a group's lead in its present epoch, or nullptr. */
    const lease_renewal *latestReport(const group_record &group) const;

    /** Since when the lead has reported members missing; nothing while none is. */
    std::optional<time_point> missingSince(const group_record &group) const;

    /** Whether the group serves: a live lead, no member missing, the backend server up. */
    bool isServing(const group_record &group, time_point now) const;

private:
    struct host_view {
        lease_renewal report;
        time_point heardAt;
        time_point promisedUntil;
        std::optional<time_point> missingSince;
    };

    time_point m_since;
    std::map<host_id, host_view> m_hosts;
};

} // namespace carawayloft
