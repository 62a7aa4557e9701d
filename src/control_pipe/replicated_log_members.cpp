#include <carawayloft/control/membership_policy.h>
#include <carawayloft/control/replicated_log.h>
#include <carawayloft/control/voting.h>

#include <algorithm>

namespace carawayloft {

/** Maximum lag of a replica that counts as caught up. */
static constexpr std::uint64_t maxLagEntries = 16;

void replicated_log::reloadMembers()
{
    m_members = m_snapshot.members;
    m_membersIndex = m_snapshot.index;
    for (const log_entry &each : m_entries) {
        if (each.kind == entry_kind::Membership) {
            m_members = each.members;
            m_membersIndex = each.index;
        }
    }
}

bool replicated_log::membershipPending() const
{
    return m_membersIndex > m_commitIndex;
}

bool replicated_log::committedInOwnTerm() const
{
    return termAt(m_commitIndex) == m_hardState.term;
}

void replicated_log::changeMembers(std::vector<log_member> members)
{
    if (!quorumsIntersect(m_members, members)) {
        return; // It is asked for again once a vote that moves has arrived.
    }
    append(entry_kind::Membership, {}, std::move(members), log_request_token());
    std::erase_if(m_progress, [this](const auto &each) {
        return std::none_of(
            m_members.begin(), m_members.end(), [&](const log_member &member) { return member.replica == each.first && member.role != member_role::Retired; });
    });
    broadcast(false);
    advanceCommit();
}

void replicated_log::handle(const log_join_request &in)
{
    if (m_role != log_role::Leader || membershipPending() || !committedInOwnTerm()) {
        return;
    }
    std::vector<log_member> members = m_members;
    const auto sameNumber = [&](const log_member &each) { return replicaNumberOf(each.replica) == replicaNumberOf(in.member.replica); };
    const auto known = std::find_if(members.begin(), members.end(), sameNumber);
    if (known == members.end()) {
        members.push_back(in.member);
        members.back().role = member_role::Learner;
    } else if (known->replica != in.member.replica || known->role == member_role::Retired) {
        // It was away for long or came back with another disk. It keeps its place, which tells its age, but has no vote.
        *known = in.member;
        known->role = member_role::Learner;
    } else if (known->zone.value().empty() && !in.member.zone.value().empty()) {
        known->zone = in.member.zone;
    } else {
        return;
    }
    changeMembers(std::move(members));
}

bool replicated_log::isCaughtUp(const peer_progress &progress) const
{
    return !progress.probing && progress.matched.value() + maxLagEntries >= lastIndex().value();
}

void replicated_log::proposeNextMembership()
{
    if (membershipPending() || !committedInOwnTerm() || m_transferTo.value() != 0) {
        return;
    }
    membership_observation observed{m_options.self, m_members, {}};
    for (const auto &[replica, progress] : m_progress) {
        const auto since = [this](time_point then) { return std::chrono::duration_cast<duration>(m_now - then); };
        observed.others.emplace(replica, member_observation{since(progress.lastReplyAt), since(progress.knownSince), isCaughtUp(progress)});
    }
    if (std::optional<std::vector<log_member>> members = nextMembership(observed, {m_options.electionTimeout, m_options.maxVoters})) {
        changeMembers(std::move(*members));
    }
}

} // namespace carawayloft
