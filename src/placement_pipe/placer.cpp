#include <carawayloft/placement/placer.h>

#include <algorithm>

namespace carawayloft {

placer::placer(placer_options options)
    : m_options(options)
{
}

std::vector<placer::output> placer::step(const input &in, time_point now)
{
    std::vector<output> out;
    if (!in.leases.predecessorLeasesExpired(now)) {
        return out;
    }
    m_assignedHosts.clear();
    trackFreeHosts(in, now);
    for (const auto &[id, group] : in.fleet.groups()) {
        reviewGroup(group, in, now, out);
    }
    for (const auto &[id, service] : in.fleet.services()) {
        formGroups(service, in, now, out);
    }
    return out;
}

void placer::trackFreeHosts(const input &in, time_point now)
{
    std::map<host_id, time_point> stillFree;
    for (const auto &[host, record] : in.fleet.hosts()) {
        if (in.fleet.groupOf(host) == nullptr && in.leases.isLive(host, in.fleet, now)) {
            const auto previous = m_freeSince.find(host);
            stillFree.emplace(host, previous == m_freeSince.end() ? now : previous->second);
        }
    }
    m_freeSince = std::move(stillFree);
}

void placer::reviewGroup(const group_record &group, const input &in, time_point now, std::vector<output> &out)
{
    const host_id &lead = group.hosts.front();
    const lease_renewal *report = in.leases.latestReport(group);
    const bool isLeadLost = !in.leases.isLive(lead, in.fleet, now) && in.leases.isLeaseExpired(lead, now);
    if (group.state == group_state::Draining) {
        // A report from before the drain proves nothing: requests may have started since.
        const bool isDrained = report != nullptr && report->running == 0 && report->at >= group.changedAt;
        if (isDrained || isLeadLost) {
            out.emplace_back(placement_decision{dissolve_group{group.group, group.epoch}, isDrained ? "drained" : "lead lost while draining"});
        }
        return;
    }
    for (const host_id &host : group.hosts) {
        const host_record *record = in.fleet.host(host);
        if (record == nullptr || record->leaving || !in.fleet.acceptsWork(record->zone)) {
            const std::string reason
                = record == nullptr || record->leaving ? "host " + host.value() + " is leaving" : "zone " + record->zone.value() + " does not accept work";
            out.emplace_back(placement_decision{drain_group{group.group, group.epoch}, reason});
            return;
        }
    }
    if (isLeadLost) {
        repairGroup(group, lead, in, out);
        return;
    }
    const auto membersMissingSince = in.leases.membersMissingSince(group);
    if (membersMissingSince && now >= *membersMissingSince + m_options.repairDelay) {
        repairGroup(group, report->missing.front(), in, out);
    }
}

void placer::repairGroup(const group_record &group, const host_id &lost, const input &in, std::vector<output> &out)
{
    const host_record *record = in.fleet.host(lost);
    const free_hosts free = freeHosts(group.service, in);
    // Spares come from the fabric domain of another member: the lost host may have been the only member in its own domain.
    const host_record *survivor = group.hosts.size() > 1 ? in.fleet.host(group.hosts.front() == lost ? group.hosts.back() : group.hosts.front()) : record;
    const auto spares = survivor == nullptr ? free.end() : free.find({survivor->zone, survivor->fabricDomain});
    if (group.hosts.size() > 1 && spares != free.end() && !spares->second.empty()) {
        const host_id joining = spares->second.front();
        m_assignedHosts.insert(joining);
        out.emplace_back(placement_decision{
            replace_member{group.group, group.epoch, lost, joining}, "host " + lost.value() + " is lost; a spare of its fabric domain replaces it"});
        return;
    }
    out.emplace_back(placement_decision{dissolve_group{group.group, group.epoch}, "host " + lost.value() + " is lost; its fabric domain has no spare"});
}

placer::free_hosts placer::freeHosts(const service_id &service, const input &in) const
{
    free_hosts free;
    for (const auto &[host, since] : m_freeSince) {
        const host_record *record = in.fleet.host(host);
        if (record->service == service && !record->leaving && in.fleet.acceptsWork(record->zone) && !m_assignedHosts.contains(host)) {
            free[{record->zone, record->fabricDomain}].push_back(host);
        }
    }
    return free;
}

std::uint32_t placer::allowedWeightLoads(const service_record &service, const input &in) const
{
    if (service.kind == service_kind::Plain) {
        return UINT32_MAX;
    }
    std::uint32_t loading = 0;
    for (const auto &[id, group] : in.fleet.groups()) {
        const lease_renewal *report = in.leases.latestReport(group);
        const auto groupService = in.fleet.services().find(group.service);
        const bool isModel = groupService != in.fleet.services().end() && groupService->second.kind == service_kind::Model;
        loading += isModel && (report == nullptr || !report->backendUp) ? 1 : 0;
    }
    return loading >= m_options.weightLoadsAtOnce ? 0 : m_options.weightLoadsAtOnce - loading;
}

void placer::formGroups(const service_record &service, const input &in, time_point now, std::vector<output> &out)
{
    free_hosts free = freeHosts(service.service, in);
    std::map<availability_zone_id, std::size_t> groups;
    for (const auto &[id, group] : in.fleet.groups()) {
        const host_record *lead = in.fleet.host(group.hosts.front());
        if (group.service == service.service && lead != nullptr) {
            ++groups[lead->zone];
        }
    }
    std::uint32_t allowed = allowedWeightLoads(service, in);
    formWithinDomain(service, free, groups, allowed, out);
    formAcrossDomains(service, free, now, allowed, out);
    std::size_t stranded = 0;
    for (const auto &[location, hosts] : free) {
        stranded += hosts.size();
    }
    if (stranded > 0) {
        out.emplace_back(hosts_stranded{service.service, stranded});
    }
}

void placer::formWithinDomain(
    const service_record &service, free_hosts &free, std::map<availability_zone_id, std::size_t> &groups, std::uint32_t &allowed, std::vector<output> &out)
{
    while (allowed > 0) {
        auto best = free.end();
        for (auto each = free.begin(); each != free.end(); ++each) {
            const bool fits = each->second.size() >= service.hostsPerGroup;
            if (fits && (best == free.end() || groups[each->first.zone] < groups[best->first.zone])) {
                best = each;
            }
        }
        if (best == free.end()) {
            return;
        }
        std::vector<host_id> &hosts = best->second;
        const std::vector<host_id> chosen(hosts.begin(), hosts.begin() + service.hostsPerGroup);
        hosts.erase(hosts.begin(), hosts.begin() + service.hostsPerGroup);
        m_assignedHosts.insert(chosen.begin(), chosen.end());
        ++groups[best->first.zone];
        --allowed;
        out.emplace_back(placement_decision{create_group{service.service, chosen},
                                            "zone " + best->first.zone.value() + " has the fewest groups; fabric domain " + best->first.fabricDomain.value()});
    }
}

void placer::formAcrossDomains(const service_record &service, free_hosts &free, time_point now, std::uint32_t &allowed, std::vector<output> &out)
{
    std::map<availability_zone_id, std::vector<host_id>> settledHosts;
    for (auto &[location, hosts] : free) {
        if (hosts.size() >= service.hostsPerGroup) {
            continue;
        }
        for (const host_id &host : hosts) {
            if (now >= m_freeSince.at(host) + m_options.settleTime) {
                settledHosts[location.zone].push_back(host);
            }
        }
    }
    for (auto &[zone, hosts] : settledHosts) {
        while (allowed > 0 && hosts.size() >= service.hostsPerGroup) {
            const std::vector<host_id> chosen(hosts.begin(), hosts.begin() + service.hostsPerGroup);
            hosts.erase(hosts.begin(), hosts.begin() + service.hostsPerGroup);
            m_assignedHosts.insert(chosen.begin(), chosen.end());
            --allowed;
            out.emplace_back(placement_decision{create_group{service.service, chosen}, "no fabric domain of zone " + zone.value() + " has enough hosts"});
        }
    }
    for (auto &[location, hosts] : free) {
        std::erase_if(hosts, [this](const host_id &host) { return m_assignedHosts.contains(host); });
    }
}

} // namespace carawayloft
