#include <carawayloft/order/agreed_log.h>

#include <algorithm>

namespace carawayloft {

/** A learner this close to the end of the log becomes a voter. */
static constexpr std::uint64_t promotionLagEntries = 16;

void agreed_log::refreshMembers()
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

bool agreed_log::membershipPending() const
{
    return m_membersIndex > m_commit;
}

bool agreed_log::committedInOwnTerm() const
{
    return termAt(m_commit) == m_promise.term;
}

void agreed_log::changeMembers(std::vector<log_member> members)
{
    append(entry_kind::Membership, {}, std::move(members), proposal_token());
    std::erase_if(m_progress, [this](const auto &each) {
        return std::none_of(m_members.begin(), m_members.end(), [&](const log_member &member) { return member.replica == each.first; });
    });
    broadcast(false);
    advanceCommit();
}

void agreed_log::handle(const log_join &in)
{
    if (m_role != log_role::Leader || membershipPending() || !committedInOwnTerm()) {
        return;
    }
    std::vector<log_member> members = m_members;
    const auto sameNumber = [&](const log_member &each) { return numberOf(each.replica) == numberOf(in.member.replica); };
    const auto known = std::find_if(members.begin(), members.end(), sameNumber);
    if (known == members.end()) {
        members.push_back(in.member);
        members.back().role = member_role::Learner;
    } else if (known->replica != in.member.replica) {
        members.erase(known);
    } else {
        return;
    }
    changeMembers(std::move(members));
}

void agreed_log::promoteLearner()
{
    if (membershipPending() || !committedInOwnTerm()) {
        return;
    }
    std::vector<log_member> members = m_members;
    for (log_member &each : members) {
        const auto progress = m_progress.find(each.replica);
        if (each.role == member_role::Learner && progress != m_progress.end() && !progress->second.probing
            && progress->second.matched.value() + promotionLagEntries >= lastIndex().value()) {
            each.role = member_role::Voter;
            changeMembers(std::move(members));
            return;
        }
    }
}

} // namespace carawayloft
