#include "tasks/replica_directory.h"

namespace carawayloft {

replica_directory::replica_directory(const std::vector<control_peer> &known)
{
    for (const control_peer &each : known) {
        m_peers.emplace(each.number, each);
    }
}

bool replica_directory::add(const control_peer &peer)
{
    const auto [found, isNew] = m_peers.try_emplace(peer.number, peer);
    if (!isNew && found->second.frames == peer.frames && found->second.http == peer.http) {
        return false;
    }
    found->second = peer;
    return true;
}

const control_peer *replica_directory::find(replica_number number) const
{
    const auto found = m_peers.find(number);
    return found == m_peers.end() ? nullptr : &found->second;
}

} // namespace carawayloft
