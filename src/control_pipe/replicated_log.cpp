#include <carawayloft/control/replicated_log.h>

#include <algorithm>

namespace carawayloft {

result<replicated_log> replicated_log::create(const replicated_log_options &options, recovered_log recovered, time_point now)
{
    if (options.heartbeatPeriod * 3 > options.electionTimeout) {
        return error{error_kind::InvalidSettings,
                     "the election timeout is shorter than three heartbeat periods",
                     "raise election_timeout_ms or lower heartbeat_period_ms"};
    }
    return replicated_log(options, std::move(recovered), now);
}

replicated_log::replicated_log(const replicated_log_options &options, recovered_log recovered, time_point now)
    : m_options(options)
    , m_random(options.seed)
    , m_now(now)
    , m_hardState(recovered.hardState)
    , m_snapshot(std::move(recovered.snapshot))
    , m_entries(recovered.entries.begin(), recovered.entries.end())
    , m_commitIndex(m_snapshot.index)
    , m_lastLeaderContact(now) // It may have heard from a leader right before a restart, so it grants no vote for an election timeout.
{
    reloadMembers();
    resetElectionTimer();
}

std::vector<replicated_log::output> replicated_log::step(const input &in, time_point now)
{
    m_now = now;
    m_outputs.clear();
    std::visit([this](const auto &each) { handle(each); }, in);
    return std::move(m_outputs);
}

log_index replicated_log::lastIndex() const
{
    return log_index(m_snapshot.index.value() + m_entries.size());
}

void replicated_log::handle(const log_tick &)
{
    if (m_role == log_role::Leader) {
        checkQuorum();
        if (m_role == log_role::Leader && m_now >= m_nextHeartbeat) {
            proposeNextMembership();
            broadcast(true);
        }
        return;
    }
    if (m_now >= m_electionDeadline && isVoter(m_options.self)) {
        startElection(true, false);
    }
}

void replicated_log::handle(const log_message_received &in)
{
    std::visit([&](const auto &each) { receive(in.from, each); }, in.message);
}

void replicated_log::handle(const log_proposal &in)
{
    if (m_role != log_role::Leader || m_transferTo.value() != 0) {
        emit(log_request_failed{in.token, false});
        return;
    }
    append(entry_kind::Command, in.payload, {}, in.token);
    broadcast(false);
    advanceCommit();
}

void replicated_log::handle(const log_read_request &in)
{
    if (m_role != log_role::Leader || !committedInOwnTerm()) {
        emit(log_request_failed{in.token, false});
        return;
    }
    if (holdsLeaderLease(m_now)) {
        emit(read_ready{in.token});
        return;
    }
    broadcast(true);
    m_pendingReads.push_back({in.token, m_round});
    completeReads();
}

void replicated_log::handle(const log_leadership_transfer &)
{
    const std::optional<replica_id> target = m_role == log_role::Leader ? mostUpToDateVoter() : std::nullopt;
    if (!target) {
        return;
    }
    m_transferTo = *target;
    m_transferDeadline = m_now + m_options.electionTimeout;
    if (m_progress.at(*target).matched == lastIndex()) {
        emit(send_log_message{m_transferTo, timeout_now{m_hardState.term}});
    } else {
        sendAppend(m_transferTo, true);
    }
}

void replicated_log::handle(const log_compact &in)
{
    if (in.index <= m_snapshot.index || in.index > m_commitIndex) {
        return;
    }
    log_snapshot snapshot{in.index, termAt(in.index), m_snapshot.members, in.state};
    for (const log_entry &each : m_entries) {
        if (each.kind == entry_kind::Membership && each.index <= in.index) {
            snapshot.members = each.members;
        }
    }
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(in.index.value() - m_snapshot.index.value()));
    m_snapshot = std::move(snapshot);
    emit(persist_snapshot{m_snapshot, {m_entries.begin(), m_entries.end()}});
}

log_term replicated_log::termAt(log_index index) const
{
    if (index == m_snapshot.index) {
        return m_snapshot.term;
    }
    return index < m_snapshot.index || index > lastIndex() ? log_term() : entryAt(index).term;
}

const log_entry &replicated_log::entryAt(log_index index) const
{
    return m_entries[index.value() - m_snapshot.index.value() - 1];
}

} // namespace carawayloft
