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
    m_taken.clear();
    rememberFree(in, now);
    for (const auto &[id, group] : in.fleet.groups()) {
        reviewGroup(group, in, now, out);
    }
    for (const auto &[id, service] : in.fleet.services()) {
        formGroups(service, in, now, out);
    }
    return out;
}

void placer::rememberFree(const input &in, time_point now)
{
    std::map<host_id, time_point> fresh;
    for (const auto &[host, record] : in.fleet.hosts()) {
        if (in.fleet.groupOf(host) == nullptr && in.leases.isLive(host, in.fleet, now)) {
            const auto known = m_freeSince.find(host);
            fresh.emplace(host, known == m_freeSince.end() ? now : known->second);
        }
    }
    m_freeSince = std::move(fresh);
}

void placer::reviewGroup(const group_record &group, const input &in, time_point now, std::vector<output> &out)
{
    const host_id &lead = group.hosts.front();
    const lease_renewal *report = in.leases.latestReport(group);
    const bool leadLost = !in.leases.isLive(lead, in.fleet, now) && in.leases.isLeaseExpired(lead, now);
    if (group.state == group_state::Draining) {
        const bool finished = report != nullptr && report->running == 0 && report->at >= group.changedAt;
        if (finished || leadLost) {
            out.emplace_back(placement_decision{dissolve_group{group.group, group.epoch}, finished ? "drained" : "lead lost while draining"});
        }
        return;
    }
    for (const host_id &host : group.hosts) {
        const host_record *record = in.fleet.host(host);
        if (record == nullptr || record->leaving || !in.fleet.acceptsWork(record->zone)) {
            const std::string reason = record == nullptr || record->leaving ? "host " + host.value() + " leaves" : "zone " + record->zone.value() + " is out";
            out.emplace_back(placement_decision{drain_group{group.group, group.epoch}, reason});
            return;
        }
    }
    if (leadLost) {
        repair(group, lead, in, out);
        return;
    }
    const auto missingSince = in.leases.missingSince(group);
    if (missingSince && now >= *missingSince + m_options.repairDelay) {
        repair(group, report->missing.front(), in, out);
    }
}

void placer::repair(const group_record &group, const host_id &lost, const input &in, std::vector<output> &out)
{
    const host_record *record = in.fleet.host(lost);
    const free_hosts free = freeHosts(group.service, in);
    // Another host of the group tells the fabric domain even when the lost one was alone in its own.
    const host_record *anchor = group.hosts.size() > 1 ? in.fleet.host(group.hosts.front() == lost ? group.hosts.back() : group.hosts.front()) : record;
    const auto spare = anchor == nullptr ? free.end() : free.find({anchor->zone, anchor->fabricDomain});
    if (group.hosts.size() > 1 && spare != free.end() && !spare->second.empty()) {
        const host_id joining = spare->second.front();
        m_taken.insert(joining);
        out.emplace_back(
            placement_decision{replace_member{group.group, group.epoch, lost, joining}, "host " + lost.value() + " is lost; spare in the same fabric domain"});
        return;
    }
    out.emplace_back(placement_decision{dissolve_group{group.group, group.epoch}, "host " + lost.value() + " is lost; no spare in the fabric domain"});
}

placer::free_hosts placer::freeHosts(const service_id &service, const input &in) const
{
    free_hosts free;
    for (const auto &[host, since] : m_freeSince) {
        const host_record *record = in.fleet.host(host);
        if (record->service == service && !record->leaving && in.fleet.acceptsWork(record->zone) && !m_taken.contains(host)) {
            free[{record->zone, record->fabricDomain}].push_back(host);
        }
    }
    return free;
}

std::uint32_t placer::allowedLoads(const service_record &service, const input &in) const
{
    if (service.kind == service_kind::Plain) {
        return UINT32_MAX;
    }
    std::uint32_t loading = 0;
    for (const auto &[id, group] : in.fleet.groups()) {
        const lease_renewal *report = in.leases.latestReport(group);
        const auto owner = in.fleet.services().find(group.service);
        const bool isModel = owner != in.fleet.services().end() && owner->second.kind == service_kind::Model;
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
    std::uint32_t allowed = allowedLoads(service, in);
    formWithinDomain(service, free, groups, allowed, out);
    formAcrossDomains(service, free, now, allowed, out);
    std::size_t left = 0;
    for (const auto &[where, hosts] : free) {
        left += hosts.size();
    }
    if (left > 0) {
        out.emplace_back(hosts_stranded{service.service, left});
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
        m_taken.insert(chosen.begin(), chosen.end());
        ++groups[best->first.zone];
        --allowed;
        out.emplace_back(placement_decision{create_group{service.service, chosen},
                                            "zone " + best->first.zone.value() + " has the fewest groups; fabric domain " + best->first.fabricDomain.value()});
    }
}

void placer::formAcrossDomains(const service_record &service, free_hosts &free, time_point now, std::uint32_t &allowed, std::vector<output> &out)
{
    std::map<availability_zone_id, std::vector<host_id>> leftovers;
    for (auto &[where, hosts] : free) {
        if (hosts.size() >= service.hostsPerGroup) {
            continue;
        }
        for (const host_id &host : hosts) {
            if (now >= m_freeSince.at(host) + m_options.settleTime) {
                leftovers[where.zone].push_back(host);
            }
        }
    }
    for (auto &[zone, hosts] : leftovers) {
        while (allowed > 0 && hosts.size() >= service.hostsPerGroup) {
            const std::vector<host_id> chosen(hosts.begin(), hosts.begin() + service.hostsPerGroup);
            hosts.erase(hosts.begin(), hosts.begin() + service.hostsPerGroup);
            m_taken.insert(chosen.begin(), chosen.end());
            --allowed;
            out.emplace_back(placement_decision{create_group{service.service, chosen}, "no fabric domain of zone " + zone.value() + " has enough hosts"});
        }
    }
    for (auto &[where, hosts] : free) {
        std::erase_if(hosts, [this](const host_id &host) { return m_taken.contains(host); });
    }
}

} // namespace carawayloft
