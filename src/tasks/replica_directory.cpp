#include "tasks/replica_directory.h"

namespace carawayloft {

replica_directory::replica_directory(const std::vector<control_peer> &known)
{
    for (const control_peer &each : known) {
        m_replicas.emplace(each.number, each);
    }
}

bool replica_directory::add(const control_peer &replica)
{
    const auto [found, isNew] = m_replicas.try_emplace(replica.number, replica);
    if (!isNew && found->second.frames == replica.frames && found->second.http == replica.http) {
        return false;
    }
    found->second = replica;
    return true;
}

const control_peer *replica_directory::find(replica_number number) const
{
    const auto found = m_replicas.find(number);
    return found == m_replicas.end() ? nullptr : &found->second;
}

} // namespace carawayloft
