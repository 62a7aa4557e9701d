#include <carawayloft/order/formation.h>

namespace carawayloft {

formation::formation(std::set<replica_number> peers)
    : m_peers(std::move(peers))
{
}

std::vector<formation::output> formation::step(const input &in, time_point)
{
    if (m_decided) {
        return {};
    }
    if (const auto *answer = std::get_if<formation_answer>(&in)) {
        if (answer->formed && !m_unformed.contains(answer->from)) {
            m_decided = true;
            return {join_log{}};
        }
        if (m_peers.contains(answer->from)) {
            m_unformed.insert(answer->from);
        }
    }
    if (m_unformed == m_peers) {
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
