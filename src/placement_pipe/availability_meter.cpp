#include <carawayloft/placement/availability_meter.h>

namespace carawayloft {

std::vector<availability_meter::output> availability_meter::step(const input &in, time_point now)
{
    const duration passed = m_last == time_point() ? duration(0) : std::chrono::duration_cast<duration>(now - m_last);
    m_last = now;
    for (const auto &[id, record] : in.fleet.services()) {
        service_availability &service = m_services[id];
        service.groups = service.serving = service.stranded = 0;
    }
    for (const auto &[id, group] : in.fleet.groups()) {
        service_availability &service = m_services[group.service];
        const bool serves = in.leases.isServing(group, now);
        ++service.groups;
        service.serving += serves ? 1 : 0;
        service.groupDowntime += serves ? duration(0) : passed;
    }
    std::map<service_id, bool> moving;
    for (const auto &[id, host] : in.fleet.hosts()) {
        const auto zone = in.fleet.zones().find(host.zone);
        moving[host.service] |= zone != in.fleet.zones().end() && zone->second.state != zone_state::Serving;
        const bool stranded = in.fleet.groupOf(id) == nullptr && in.leases.isLive(id, in.fleet, now);
        m_services[host.service].stranded += stranded ? 1 : 0;
    }
    for (const auto &[id, moves] : moving) {
        service_availability &service = m_services[id];
        service.zoneMoveTime += moves ? passed : duration(0);
        service.zoneMoveServedTime += moves && service.serving > 0 ? passed : duration(0);
    }
    return {};
}

} // namespace carawayloft
