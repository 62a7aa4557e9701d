#include <carawayloft/control/replicated_log.h>
#include <carawayloft/control/voting.h>

#include <algorithm>

namespace carawayloft {

/** The term of an election that a replica starts in @p term. */
static log_term nextElectionTerm(log_term term)
{
    return log_term(term.value() + termSpacing);
}

bool replicated_log::isVoter(replica_id replica) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const log_member &each) { return each.replica == replica && halfVotesOf(each.role) > 0; });
}

bool replicated_log::isUpToDate(log_index index, log_term term) const
{
    return std::pair(term, index) >= std::pair(termAt(lastIndex()), lastIndex());
}

bool replicated_log::hasRecentLeader() const
{
    return m_role == log_role::Leader || m_now < m_lastLeaderContact + m_options.electionTimeout;
}

const log_member *replicated_log::liveLeader(time_point now) const
{
    static constexpr int missedHeartbeats = 3;
    if (m_role != log_role::Leader && now >= m_lastLeaderContact + missedHeartbeats * m_options.heartbeatPeriod) {
        return nullptr;
    }
    const auto found = std::find_if(members().begin(), members().end(), [this](const log_member &each) { return each.replica == m_leader; });
    return found == members().end() ? nullptr : &*found;
}

void replicated_log::resetElectionTimer()
{
    std::uniform_int_distribution<duration::rep> spread(0, m_options.electionTimeout.count());
    m_electionDeadline = m_now + m_options.electionTimeout + duration(spread(m_random));
}

/** A pre-vote changes no term, so one that fails because others do not vote yet may be repeated soon. */
void replicated_log::resetPreVoteTimer()
{
    std::uniform_int_distribution<duration::rep> spread(0, m_options.electionTimeout.count() / 4);
    m_electionDeadline = m_now + 2 * m_options.heartbeatPeriod + duration(spread(m_random));
}

void replicated_log::setHardState(log_term term, replica_id votedFor)
{
    const hard_state hardState{term, votedFor};
    if (hardState == m_hardState) {
        return;
    }
    m_hardState = hardState;
    emit(persist_hard_state{m_hardState});
}

void replicated_log::setRole(log_role role, replica_id leader)
{
    if (m_role == role && m_leader == leader) {
        return;
    }
    m_role = role;
    m_leader = leader;
    emit(role_changed{m_role, m_hardState.term, m_leader});
}

void replicated_log::failPendingRequests()
{
    for (const auto &[index, token] : m_pendingProposals) {
        emit(log_request_failed{token, true});
    }
    for (const pending_read &read : m_pendingReads) {
        emit(log_request_failed{read.token, false});
    }
    m_pendingProposals.clear();
    m_pendingReads.clear();
}

void replicated_log::becomeFollower(log_term term, replica_id leader)
{
    if (m_role == log_role::Leader) {
        resetElectionTimer();
    }
    if (term > m_hardState.term) {
        setHardState(term, replica_id());
    }
    m_transferTo = replica_id();
    m_preVoting = false;
    failPendingRequests();
    setRole(log_role::Follower, leader);
}

void replicated_log::startElection(bool preVote, bool transfer)
{
    preVote ? resetPreVoteTimer() : resetElectionTimer();
    m_preVoting = preVote;
    m_transferElection = transfer;
    m_votes = {m_options.self};
    if (!preVote) {
        setHardState(nextElectionTerm(m_hardState.term), m_options.self);
    }
    setRole(log_role::Candidate, replica_id());
    const log_term term = preVote ? nextElectionTerm(m_hardState.term) : m_hardState.term;
    for (const log_member &each : m_members) {
        if (halfVotesOf(each.role) > 0 && each.replica != m_options.self) {
            emit(send_log_message{each.replica, vote_request{term, lastIndex(), termAt(lastIndex()), preVote, transfer}});
        }
    }
    if (isQuorum(m_members, m_votes)) {
        preVote ? startElection(false, transfer) : becomeLeader();
    }
}

void replicated_log::becomeLeader()
{
    setRole(log_role::Leader, m_options.self);
    m_progress.clear();
    m_transferTo = replica_id();
    m_precedingTerm = termAt(lastIndex());
    append(entry_kind::Empty, {}, {}, log_request_token());
    broadcast(true);
    advanceCommit();
}

/** The youngest one of several; the vote of an older one may move to a successor soon. */
std::optional<replica_id> replicated_log::mostUpToDateVoter() const
{
    std::optional<replica_id> best;
    log_index bestIndex;
    for (const log_member &each : m_members) {
        const auto progress = m_progress.find(each.replica);
        if (halfVotesOf(each.role) > 0 && progress != m_progress.end() && progress->second.matched >= bestIndex) {
            best = each.replica;
            bestIndex = progress->second.matched;
        }
    }
    return best;
}

/** Follows from here on and lets another voter start an election at once. */
void replicated_log::leaveLeadership()
{
    if (const std::optional<replica_id> successor = mostUpToDateVoter()) {
        emit(send_log_message{*successor, timeout_now{m_hardState.term}});
    }
    becomeFollower(m_hardState.term, replica_id());
}

void replicated_log::receive(replica_id from, const vote_request &message)
{
    // While the leader is alive no election may start, so that a replica that was cut off does not depose it when it returns.
    const bool ignored = !message.transfer && hasRecentLeader();
    if (message.preVote) {
        const bool grants = !ignored && message.term > m_hardState.term && isUpToDate(message.lastIndex, message.lastTerm);
        emit(send_log_message{from, vote_reply{grants ? message.term : m_hardState.term, grants, true}});
        return;
    }
    if (ignored) {
        return;
    }
    if (message.term > m_hardState.term) {
        becomeFollower(message.term, replica_id());
    }
    const bool free = m_hardState.votedFor.value() == 0 || m_hardState.votedFor == from;
    const bool grants = message.term == m_hardState.term && free && isUpToDate(message.lastIndex, message.lastTerm);
    if (grants) {
        setHardState(m_hardState.term, from);
        resetElectionTimer();
    }
    emit(send_log_message{from, vote_reply{m_hardState.term, grants, false}});
}

void replicated_log::receive(replica_id from, const vote_reply &message)
{
    if (message.term > m_hardState.term && !message.granted) {
        becomeFollower(message.term, replica_id());
        return;
    }
    const log_term expected = m_preVoting ? nextElectionTerm(m_hardState.term) : m_hardState.term;
    if (m_role != log_role::Candidate || message.preVote != m_preVoting || !message.granted || message.term != expected) {
        return;
    }
    m_votes.insert(from);
    if (isQuorum(m_members, m_votes)) {
        m_preVoting ? startElection(false, m_transferElection) : becomeLeader();
    }
}

void replicated_log::receive(replica_id, const timeout_now &message)
{
    if (message.term == m_hardState.term && m_role != log_role::Leader && isVoter(m_options.self)) {
        startElection(false, true);
    }
}

} // namespace carawayloft
