#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <map>

namespace carawayloft {

/** A process's copy of the leader's records of backend servers and groups. */
class backend_view
{
public:
    /** The record of a backend server and the time until which it is cold. */
    struct backend {
        backend_record record;
        time_point coldUntil;
    };

    void apply(const publish_fleet &publication, time_point now);

    /** All records as a publication that replaces earlier ones. */
    publish_fleet snapshot(time_point now) const;

    const std::map<backend_id, backend> &backends() const
    {
        return m_backends;
    }
    const std::map<group_epoch, engine_group> &groups() const
    {
        return m_groups;
    }

    /** The backend server, or nullptr. */
    const backend *find(const backend_id &backend) const;

private:
    std::map<backend_id, backend> m_backends;
    std::map<group_epoch, engine_group> m_groups;
};

} // namespace carawayloft
