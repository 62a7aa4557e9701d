#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/placement/placer.h>

#include <map>

namespace carawayloft {

/** Availability of one service since this replica became the leader. */
struct service_availability {
    std::size_t groups = 0;
    std::size_t serving = 0;
    std::size_t stranded = 0; /**< Live hosts outside any group. */
    duration groupDowntime{0}; /**< Time not served, summed over the groups. */
    duration zoneMoveTime{0}; /**< Time in which a zone with hosts of the service was in a state other than Serving. */
    duration zoneMoveServedTime{0}; /**< Part of zoneMoveTime in which at least one group served. */
};

/** Measures group downtime, stranded hosts, and service during zone moves, each for every service. */
class availability_meter
{
public:
    using input = fleet_view;
    using output = std::monostate;

    std::vector<output> step(const input &in, time_point now);

    const std::map<service_id, service_availability> &services() const
    {
        return m_services;
    }

private:
    std::map<service_id, service_availability> m_services;
    time_point m_last;
};

static_assert(filter<availability_meter>);

} // namespace carawayloft
