#include <carawayloft/control/cluster_formation.h>

namespace carawayloft {

cluster_formation::cluster_formation(std::set<replica_number> peers)
    : m_peers(std::move(peers))
{
}

std::vector<cluster_formation::output> cluster_formation::step(const input &in, time_point)
{
    if (m_decided) {
        return {};
    }
    if (const auto *peerState = std::get_if<peer_formation_state>(&in)) {
        if (peerState->formed && !m_unformedPeers.contains(peerState->from)) {
            m_decided = true;
            return {join_log{}};
        }
        if (m_peers.contains(peerState->from)) {
            m_unformedPeers.insert(peerState->from);
        }
    }
    if (m_unformedPeers == m_peers) {
        m_decided = true;
        return {form_log{}};
    }
    std::vector<output> probes;
    if (std::holds_alternative<formation_tick>(in)) {
        for (const replica_number &peer : m_peers) {
            probes.emplace_back(probe_peer{peer});
        }
    }
    return probes;
}

} // namespace carawayloft
