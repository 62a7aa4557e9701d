#include <carawayloft/control/leader_finder.h>

#include <algorithm>

namespace carawayloft {

static constexpr duration requestPeriod{1'000};
static constexpr duration reconnectDelay{100};

static void addMissing(std::vector<endpoint> &replicas, const std::vector<endpoint> &more)
{
    for (const endpoint &each : more) {
        if (std::find(replicas.begin(), replicas.end(), each) == replicas.end()) {
            replicas.push_back(each);
        }
    }
}

leader_finder::leader_finder(std::vector<endpoint> replicas, duration leaderTimeout)
    : m_replicas(std::move(replicas))
    , m_leaderTimeout(leaderTimeout)
{
}

std::vector<leader_finder::output> leader_finder::connect(const endpoint &replica, time_point now)
{
    m_connecting = true;
    m_open = false;
    m_lastLeaderMessage = now;
    return {connect_to_control{replica}};
}

std::vector<leader_finder::output> leader_finder::connectNext(time_point now)
{
    const std::vector<endpoint> replicas = replicasToTry();
    return connect(replicas[m_nextReplica++ % replicas.size()], now);
}

std::vector<endpoint> leader_finder::replicasToTry() const
{
    std::vector<endpoint> replicas = m_replicas;
    addMissing(replicas, m_listed);
    return replicas;
}

std::vector<leader_finder::output> leader_finder::step(const input &in, time_point now)
{
    if (const auto *known = std::get_if<replicas_discovered>(&in)) {
        addMissing(m_replicas, known->replicas);
        return {};
    }
    if (const auto *current = std::get_if<replicas_listed>(&in)) {
        m_listed = current->replicas;
        return {};
    }
    if (std::holds_alternative<leader_message_received>(in)) {
        m_lastLeaderMessage = now;
        return {};
    }
    if (std::holds_alternative<control_connected>(in)) {
        m_open = true;
        m_lastLeaderMessage = now;
        m_nextRequest = now + requestPeriod;
        return {request_publications{}};
    }
    if (std::holds_alternative<control_disconnected>(in)) {
        m_connecting = m_open = false;
        m_nextConnect = now + reconnectDelay;
        return {};
    }
    if (const auto *elsewhere = std::get_if<leader_redirect>(&in)) {
        if (!elsewhere->leader.value().empty()) {
            return connect(elsewhere->leader, now);
        }
        m_connecting = m_open = false;
        m_nextConnect = now + reconnectDelay;
        return {};
    }
    if (!m_connecting) {
        return now >= m_nextConnect ? connectNext(now) : std::vector<output>();
    }
    if (now >= m_lastLeaderMessage + m_leaderTimeout) {
        return connectNext(now);
    }
    if (m_open && now >= m_nextRequest) {
        m_nextRequest = now + requestPeriod;
        return {request_publications{}};
    }
    return {};
}

} // namespace carawayloft
