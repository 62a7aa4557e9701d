#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/placement/placer.h>

#include <map>

namespace carawayloft {

/** What the users measure, for one service. */
struct service_availability {
    std::size_t groups = 0;
    std::size_t serving = 0;
    std::size_t stranded = 0; /**< Live hosts that belong to no group. */
    duration groupDowntime{0}; /**< Sum over groups of the time in which each did not serve. */
    duration zoneMoveTime{0}; /**< Time in which a zone with hosts of the service was leaving, out or arriving. */
    duration zoneMoveServedTime{0}; /**< Part of it in which at least one group served. */
};

/** Computes the users' three availability_meter since this replica began to lead. */
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
