#include <carawayloft/control/replicated_log.h>
#include <carawayloft/control/voting.h>

#include <algorithm>

namespace carawayloft {

/** Number of heartbeat rounds without a reply after which a snapshot is sent again. */
static constexpr std::uint64_t snapshotResendRounds = 40;

/** The lease is shorter than the election timeout by one part in this many, to allow for clock drift between replicas. */
static constexpr int leaseMarginDivisor = 10;

void replicated_log::append(entry_kind kind, std::vector<std::uint8_t> payload, std::vector<log_member> members, log_request_token token)
{
    log_entry entry{next(lastIndex()), m_hardState.term, kind, std::move(payload), std::move(members)};
    if (token.value() != 0) {
        m_pendingProposals.emplace(entry.index, token);
    }
    emit(persist_entries{{entry}});
    m_entries.push_back(std::move(entry));
    if (kind == entry_kind::Membership) {
        reloadMembers();
    }
}

void replicated_log::broadcast(bool heartbeat)
{
    if (heartbeat) {
        ++m_round;
        std::erase_if(m_roundSentAt, [this](const auto &each) { return m_now > each.second + m_options.electionTimeout; });
        m_roundSentAt.emplace(m_round, m_now);
        m_nextHeartbeat = m_now + m_options.heartbeatPeriod;
    }
    for (const log_member &each : m_members) {
        if (each.replica != m_options.self && each.role != member_role::Retired) {
            sendAppend(each.replica, heartbeat);
        }
    }
}

void replicated_log::sendAppend(replica_id to, bool heartbeat)
{
    const auto [found, isNew] = m_progress.try_emplace(to);
    peer_progress &progress = found->second;
    if (isNew) {
        progress.next = next(lastIndex());
        progress.knownSince = m_now;
        progress.lastReplyAt = m_now;
    }
    if (progress.next <= m_snapshot.index) {
        sendSnapshot(to, progress);
        return;
    }
    if (progress.probing && !heartbeat) {
        return;
    }
    append_request message;
    message.term = m_hardState.term;
    message.previousIndex = log_index(progress.next.value() - 1);
    message.previousTerm = termAt(message.previousIndex);
    message.commit = m_commitIndex;
    message.round = m_round;
    std::size_t bytes = 0;
    for (log_index at = progress.next; at <= lastIndex() && message.entries.size() < m_options.maxEntriesPerMessage && bytes < m_options.maxBytesPerMessage;
         at = next(at)) {
        message.entries.push_back(entryAt(at));
        bytes += message.entries.back().payload.size();
    }
    if (!heartbeat && message.entries.empty()) {
        return;
    }
    if (!progress.probing) {
        progress.next = log_index(progress.next.value() + message.entries.size());
    }
    emit(send_log_message{to, std::move(message)});
}

void replicated_log::sendSnapshot(replica_id to, peer_progress &progress)
{
    if (progress.snapshotRound != 0 && m_round < progress.snapshotRound + snapshotResendRounds) {
        return;
    }
    progress.snapshotRound = std::max<std::uint64_t>(m_round, 1);
    emit(send_log_message{to, snapshot_request{m_hardState.term, m_round, m_snapshot}});
}

void replicated_log::receive(replica_id from, const append_reply &message)
{
    if (message.term > m_hardState.term) {
        becomeFollower(message.term, replica_id());
        return;
    }
    const auto found = m_progress.find(from);
    if (m_role != log_role::Leader || message.term != m_hardState.term || found == m_progress.end()) {
        return;
    }
    peer_progress &progress = found->second;
    progress.lastReplyAt = m_now;
    progress.acknowledgedRound = std::max(progress.acknowledgedRound, message.round);
    progress.snapshotRound = 0;
    if (!message.accepted) {
        progress.probing = true;
        progress.next = std::max(next(progress.matched), std::min(next(message.matched), next(lastIndex())));
        sendAppend(from, true);
        return;
    }
    progress.matched = std::max(progress.matched, message.matched);
    progress.next = std::max(progress.next, next(progress.matched));
    progress.probing = false;
    completeReads();
    advanceCommit();
    if (from == m_transferTo && progress.matched == lastIndex()) {
        emit(send_log_message{from, timeout_now{m_hardState.term}});
    } else if (progress.next <= lastIndex()) {
        sendAppend(from, false);
    }
}

void replicated_log::advanceCommit()
{
    for (log_index at = lastIndex(); at > m_commitIndex && termAt(at) == m_hardState.term; at = log_index(at.value() - 1)) {
        std::set<replica_id> replicasWithEntry{m_options.self};
        for (const auto &[replica, progress] : m_progress) {
            if (progress.matched >= at) {
                replicasWithEntry.insert(replica);
            }
        }
        if (isQuorum(m_members, replicasWithEntry)) {
            advanceCommitTo(at);
            return;
        }
    }
}

void replicated_log::advanceCommitTo(log_index index)
{
    while (m_commitIndex < index) {
        m_commitIndex = next(m_commitIndex);
        const auto token = m_pendingProposals.find(m_commitIndex);
        emit(entry_committed{entryAt(m_commitIndex), token == m_pendingProposals.end() ? log_request_token() : token->second});
        if (token != m_pendingProposals.end()) {
            m_pendingProposals.erase(token);
        }
    }
    // A leader that is no longer a voter steps down once the change is committed.
    if (m_role == log_role::Leader && !isVoter(m_options.self) && !membershipPending()) {
        leaveLeadership();
    }
}

void replicated_log::completeReads()
{
    while (!m_pendingReads.empty()) {
        std::set<replica_id> responding{m_options.self};
        for (const auto &[replica, progress] : m_progress) {
            if (progress.acknowledgedRound >= m_pendingReads.front().round) {
                responding.insert(replica);
            }
        }
        if (!isQuorum(m_members, responding)) {
            return;
        }
        emit(read_ready{m_pendingReads.front().token});
        m_pendingReads.pop_front();
    }
}

void replicated_log::checkQuorum()
{
    std::set<replica_id> responding{m_options.self};
    for (const auto &[replica, progress] : m_progress) {
        if (m_now < progress.lastReplyAt + m_options.electionTimeout) {
            responding.insert(replica);
        }
    }
    // The order to start an election may still arrive, and is answered regardless of leases: this term must have none again.
    const bool transferFailed = m_transferTo.value() != 0 && m_now >= m_transferDeadline;
    if (transferFailed || !isQuorum(m_members, responding)) {
        becomeFollower(m_hardState.term, replica_id());
    }
}

bool replicated_log::holdsLeaderLease(time_point now) const
{
    if (m_role != log_role::Leader || m_transferTo.value() != 0 || !committedInOwnTerm()) {
        return false;
    }
    const duration leaseDuration = m_options.electionTimeout - m_options.electionTimeout / leaseMarginDivisor;
    std::set<replica_id> leaseSupporters{m_options.self};
    for (const auto &[replica, progress] : m_progress) {
        const auto sent = m_roundSentAt.find(progress.acknowledgedRound);
        if (sent != m_roundSentAt.end() && now < sent->second + leaseDuration) {
            leaseSupporters.insert(replica);
        }
    }
    return isQuorum(m_members, leaseSupporters);
}

void replicated_log::receive(replica_id from, const append_request &message)
{
    if (message.term < m_hardState.term) {
        emit(send_log_message{from, append_reply{m_hardState.term, false, lastIndex(), message.round}});
        return;
    }
    if (message.term > m_hardState.term || m_role != log_role::Follower || m_leader != from) {
        becomeFollower(message.term, from);
    }
    m_lastLeaderContact = m_now;
    resetElectionTimer();
    acceptAppend(message);
}

void replicated_log::acceptAppend(const append_request &message)
{
    const bool beforeSnapshot = message.previousIndex < m_snapshot.index;
    if (!beforeSnapshot && (message.previousIndex > lastIndex() || termAt(message.previousIndex) != message.previousTerm)) {
        const log_index hint = std::min(lastIndex(), log_index(message.previousIndex.value() - 1));
        emit(send_log_message{m_leader, append_reply{m_hardState.term, false, std::max(hint, m_commitIndex), message.round}});
        return;
    }
    const log_index matched = std::max(replaceConflictingEntries(message.entries), message.previousIndex);
    emit(send_log_message{m_leader, append_reply{m_hardState.term, true, std::max(matched, m_snapshot.index), message.round}});
    advanceCommitTo(std::max(m_commitIndex, std::min(message.commit, matched)));
}

log_index replicated_log::replaceConflictingEntries(const std::vector<log_entry> &entries)
{
    std::vector<log_entry> appended;
    for (const log_entry &each : entries) {
        if (each.index <= m_snapshot.index || (appended.empty() && termAt(each.index) == each.term)) {
            continue;
        }
        if (appended.empty() && each.index <= lastIndex()) {
            m_entries.resize(each.index.value() - m_snapshot.index.value() - 1);
        }
        appended.push_back(each);
        m_entries.push_back(each);
    }
    if (!appended.empty()) {
        reloadMembers();
        emit(persist_entries{std::move(appended)});
    }
    return entries.empty() ? log_index() : entries.back().index;
}

void replicated_log::receive(replica_id from, const snapshot_request &message)
{
    if (message.term < m_hardState.term) {
        emit(send_log_message{from, append_reply{m_hardState.term, false, lastIndex(), message.round}});
        return;
    }
    becomeFollower(message.term, from);
    m_lastLeaderContact = m_now;
    resetElectionTimer();
    if (message.snapshot.index > m_commitIndex) {
        const bool keepsRest = message.snapshot.index < lastIndex() && termAt(message.snapshot.index) == message.snapshot.term;
        const auto covered = keepsRest ? static_cast<std::ptrdiff_t>(message.snapshot.index.value() - m_snapshot.index.value())
                                       : static_cast<std::ptrdiff_t>(m_entries.size());
        m_entries.erase(m_entries.begin(), m_entries.begin() + covered);
        m_snapshot = message.snapshot;
        m_commitIndex = m_snapshot.index;
        reloadMembers();
        emit(persist_snapshot{m_snapshot, {m_entries.begin(), m_entries.end()}});
        emit(snapshot_installed{m_snapshot});
    }
    emit(send_log_message{from, append_reply{m_hardState.term, true, m_commitIndex, message.round}});
}

} // namespace carawayloft
