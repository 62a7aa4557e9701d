#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/placement/lease_registry.h>

#include <set>
#include <string>

namespace carawayloft {

struct placer_options {
    duration repairDelay{5'000}; /**< Time that a member may be missing before it is replaced. */
    duration settleTime{3'000}; /**< Time that free hosts wait for others of their fabric domain. */
    std::uint32_t weightLoadsAtOnce = 4; /**< Groups that may load weights at once; the weight store is rate-limited. */
};

/** The state of the fleet as control sees it. */
struct fleet_view {
    const fleet_state &fleet;
    const lease_registry &leases;
};

/** A change of the fleet with the reason for it. */
struct placement_decision {
    fleet_change change;
    std::string reason;
};

/** Hosts that no group can be completed from. */
struct hosts_stranded {
    service_id service;
    std::size_t hosts = 0;
};

/**
 * Compares what is with what the configuration asks for and proposes the next changes: drains and
 * dissolves groups, replaces lost members, forms groups within fabric domains and spread over zones.
 */
class placer
{
public:
    using input = fleet_view;
    using output = std::variant<placement_decision, hosts_stranded>;

    explicit placer(placer_options options);

    std::vector<output> step(const input &in, time_point now);

private:
    struct place {
        availability_zone_id zone;
        fabric_domain_id fabricDomain;

        friend auto operator<=>(const place &, const place &) = default;
    };
    using free_hosts = std::map<place, std::vector<host_id>>;

    void reviewGroup(const group_record &group, const input &in, time_point now, std::vector<output> &out);
    void repair(const group_record &group, const host_id &lost, const input &in, std::vector<output> &out);
    void formGroups(const service_record &service, const input &in, time_point now, std::vector<output> &out);
    void formWithinDomain(
        const service_record &service, free_hosts &free, std::map<availability_zone_id, std::size_t> &groups, std::uint32_t &allowed, std::vector<output> &out);
    void formAcrossDomains(const service_record &service, free_hosts &free, time_point now, std::uint32_t &allowed, std::vector<output> &out);
    free_hosts freeHosts(const service_id &service, const input &in) const;
    void rememberFree(const input &in, time_point now);
    std::uint32_t allowedLoads(const service_record &service, const input &in) const;

    placer_options m_options;
    std::map<host_id, time_point> m_freeSince;
    std::set<host_id> m_taken; /**< Hosts used by the decisions of this step. */
};

static_assert(filter<placer>);

} // namespace carawayloft
