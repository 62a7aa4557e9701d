#include <carawayloft/order/cluster_formation.h>

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
    if (const auto *answer = std::get_if<peer_formation_state>(&in)) {
        if (answer->formed && !m_unformedPeers.contains(answer->from)) {
            m_decided = true;
            return {join_log{}};
        }
        if (m_peers.contains(answer->from)) {
            m_unformedPeers.insert(answer->from);
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
