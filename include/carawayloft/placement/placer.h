#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/placement/lease_registry.h>

#include <set>
#include <string>

namespace carawayloft {

struct placer_options {
    duration repairDelay{5'000}; /**< How long a member may be missing before it is replaced. */
    duration settleTime{3'000}; /**< How long a free host waits for enough others in its fabric domain. */
    std::uint32_t weightLoadsAtOnce = 4; /**< Groups that may load weights at once. The weight store is rate-limited. */
};

/** The recorded state of the fleet with the liveness of its hosts. */
struct fleet_view {
    const fleet_state &fleet;
    const lease_registry &leases;
};

/** A change to propose, with its reason for operators. */
struct placement_decision {
    fleet_change change;
    std::string reason;
};

/** Free hosts of a service that this step put into no group. */
struct hosts_stranded {
    service_id service;
    std::size_t hosts = 0;
};

/**
 * Compares the fleet with its configuration and proposes the next changes: drains and dissolves groups, replaces lost
 * members, and forms groups. A group is formed within one fabric domain if possible, and groups are spread over zones.
 */
class placer
{
public:
    using input = fleet_view;
    using output = std::variant<placement_decision, hosts_stranded>;

    explicit placer(placer_options options);

    std::vector<output> step(const input &in, time_point now);

private:
    struct host_location {
        availability_zone_id zone;
        fabric_domain_id fabricDomain;

        friend auto operator<=>(const host_location &, const host_location &) = default;
    };
    using free_hosts = std::map<host_location, std::vector<host_id>>;

    void reviewGroup(const group_record &group, const input &in, time_point now, std::vector<output> &out);
    void repairGroup(const group_record &group, const host_id &lost, const input &in, std::vector<output> &out);
    void formGroups(const service_record &service, const input &in, time_point now, std::vector<output> &out);
    /** Forms groups within one fabric domain each, in the zone with the fewest groups first. */
    void formWithinDomain(
        const service_record &service, free_hosts &free, std::map<availability_zone_id, std::size_t> &groups, std::uint32_t &allowed, std::vector<output> &out);
    /** Forms groups within one zone from hosts that have been free for the settle time. */
    void formAcrossDomains(const service_record &service, free_hosts &free, time_point now, std::uint32_t &allowed, std::vector<output> &out);
    free_hosts freeHosts(const service_id &service, const input &in) const;
    void trackFreeHosts(const input &in, time_point now);
    /** How many more groups of the service may load weights now. */
    std::uint32_t allowedWeightLoads(const service_record &service, const input &in) const;

    placer_options m_options;
    std::map<host_id, time_point> m_freeSince;
    std::set<host_id> m_assignedHosts; /**< Hosts that decisions of this step put into groups. */
};

static_assert(filter<placer>);

} // namespace carawayloft
