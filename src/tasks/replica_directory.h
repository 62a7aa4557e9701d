#pragma once

#include "daemon/settings.h"

#include <carawayloft/order/log_entry.h>

#include <map>

namespace carawayloft {

/** Where the control replicas are that this process has heard of. */
class replica_directory
{
public:
    explicit replica_directory(const std::vector<control_peer> &known);

    /** Returns whether the replica is new or has moved. */
    bool add(const control_peer &peer);

    /** The replica, or nullptr. */
    const control_peer *find(replica_number number) const;

    const std::map<replica_number, control_peer> &all() const
    {
        return m_peers;
    }

private:
    std::map<replica_number, control_peer> m_peers;
};

} // namespace carawayloft
