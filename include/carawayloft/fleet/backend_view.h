#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <map>

namespace carawayloft {

/** A process's copy of the leader's picture of backend servers and groups. */
class backend_view
{
public:
    /** A backend server and until when it is cold. */
    struct backend {
        backend_record record;
        time_point coldUntil;
    };

    void apply(const publish_fleet &publication, time_point now);

    /** Everything, as a snapshot publication. */
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
