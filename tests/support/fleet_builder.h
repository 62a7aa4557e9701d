#pragma once

#include <carawayloft/backend/lease_terms.h>
#include <carawayloft/placement/placer.h>

namespace carawayloft::test_support {

/** Builds a fleet and what control hears of it, for tests of placement. */
class fleet_builder
{
public:
    static const service_id &model()
    {
        static const service_id name("drafting-models");
        return name;
    }

    explicit fleet_builder(std::uint32_t hostsPerGroup = 2)
        : m_now(std::chrono::hours(1))
    {
        apply(put_service{{model(), service_kind::Model, hostsPerGroup, {}}});
        m_leases.step(leadership_acquired{}, m_now);
        pass(grantorLeaseTime(controlLeaseLength));
    }

    result<revision> apply(fleet_change change)
    {
        m_last = next(m_last);
        return m_fleet.apply({{}, "test", {}, std::move(change)}, m_last);
    }

    void addHost(const std::string &name, const std::string &zone, const std::string &fabric, bool leaving = false)
    {
        host_record host;
        host.host = host_id(name);
        host.zone = availability_zone_id(zone);
        host.fabricDomain = fabric_domain_id(fabric);
        host.service = model();
        host.agentIncarnation = incarnation(1);
        host.leaving = leaving;
        apply(put_host{host});
    }

    group_id addGroup(const std::vector<std::string> &names)
    {
        std::vector<host_id> hosts(names.begin(), names.end());
        return group_id(valueOf(apply(create_group{model(), hosts})).value());
    }

    /** The host's agent renews its lease, as lead of its group if it is one. */
    std::vector<lease_grant> renew(const std::string &name, std::uint32_t running = 0, std::vector<std::string> missing = {}, bool backendUp = true)
    {
        lease_renewal renewal;
        renewal.host = host_id(name);
        renewal.agentIncarnation = incarnation(1);
        renewal.at = m_fleet.at();
        renewal.running = running;
        renewal.backendUp = backendUp;
        for (const std::string &each : missing) {
            renewal.missing.emplace_back(each);
        }
        if (const group_record *group = m_fleet.groupOf(renewal.host); group != nullptr && group->hosts.front() == renewal.host) {
            renewal.group = group->group;
            renewal.epoch = group->epoch;
        }
        return m_leases.step(renewal_received{renewal, m_fleet, true}, m_now);
    }

    void renewAll()
    {
        for (const auto &[host, record] : m_fleet.hosts()) {
            renew(host.value());
        }
    }

    void pass(duration time)
    {
        m_now += time;
    }

    /** What the placer decides now, applied to the fleet if it is accepted there. */
    std::vector<placement_decision> place(placer &placer)
    {
        std::vector<placement_decision> decisions;
        m_stranded = 0;
        for (const placer::output &each : placer.step({m_fleet, m_leases}, m_now)) {
            if (const auto *decision = std::get_if<placement_decision>(&each)) {
                decisions.push_back(*decision);
            } else {
                m_stranded += std::get<hosts_stranded>(each).hosts;
            }
        }
        for (const placement_decision &each : decisions) {
            m_refused = failed(apply(each.change)) || m_refused;
        }
        return decisions;
    }

    fleet_view view() const
    {
        return {m_fleet, m_leases};
    }
    const fleet_state &fleet() const
    {
        return m_fleet;
    }
    const lease_registry &leases() const
    {
        return m_leases;
    }
    time_point now() const
    {
        return m_now;
    }
    std::size_t stranded() const
    {
        return m_stranded;
    }
    /** Whether the state machine refused a decision of the placer. */
    bool refused() const
    {
        return m_refused;
    }

private:
    fleet_state m_fleet;
    lease_registry m_leases;
    time_point m_now;
    revision m_last;
    std::size_t m_stranded = 0;
    bool m_refused = false;
};

} // namespace carawayloft::test_support
