#pragma once

#include "daemon/settings.h"

#include <carawayloft/control/log_entry.h>

#include <map>

namespace carawayloft {

/** Addresses of the control replicas that this process knows, by replica number. */
class replica_directory
{
public:
    explicit replica_directory(const std::vector<control_peer> &known);

    /** Adds a replica or updates its addresses; returns whether the replica is new or one of its addresses has changed. */
    bool add(const control_peer &replica);

    /** Null if the replica is unknown. */
    const control_peer *find(replica_number number) const;

    const std::map<replica_number, control_peer> &all() const
    {
        return m_replicas;
    }

private:
    std::map<replica_number, control_peer> m_replicas;
};

} // namespace carawayloft
