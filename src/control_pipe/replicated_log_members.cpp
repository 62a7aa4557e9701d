#include <carawayloft/control/replicated_log.h>

#include <algorithm>

namespace carawayloft {

/** Maximum lag of a learner that may be promoted to a voter. */
static constexpr std::uint64_t promotionLagEntries = 16;

/** Time without a reply after which a voter may be replaced by a learner, and after which a learner is removed. */
static constexpr duration silentVoterTimeout{3'000};
static constexpr duration silentLearnerTimeout{10'000};

/** Learners are promoted up to minVoters regardless of zones; voters beyond maxVoters would only slow down commits. */
static constexpr std::size_t minVoters = 3;
static constexpr std::size_t maxVoters = 5;

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
    append(entry_kind::Membership, {}, std::move(members), log_request_token());
    std::erase_if(m_progress, [this](const auto &each) {
        return std::none_of(m_members.begin(), m_members.end(), [&](const log_member &member) { return member.replica == each.first; });
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
    } else if (known->replica != in.member.replica) {
        // The replica came back with another disk: this removes the old member, and its next request adds the new one.
        members.erase(known);
    } else if (known->zone.value().empty() && !in.member.zone.value().empty()) {
        known->zone = in.member.zone;
    } else {
        return;
    }
    changeMembers(std::move(members));
}

/** Whether a quorum remains after the loss of any one availability zone. */
static bool survivesZoneLoss(const std::vector<log_member> &voters)
{
    return std::all_of(voters.begin(), voters.end(), [&](const log_member &one) {
        const auto inZone = std::count_if(voters.begin(), voters.end(), [&](const log_member &each) { return each.zone == one.zone; });
        return one.zone.value().empty() || static_cast<std::size_t>(inZone) * 2 < voters.size();
    });
}

bool replicated_log::isSilent(const log_member &member, duration silence) const
{
    const auto progress = m_progress.find(member.replica);
    return member.replica != m_options.self && progress != m_progress.end() && m_now >= progress->second.lastReplyAt + silence;
}

bool replicated_log::isCaughtUp(const log_member &member) const
{
    const auto progress = m_progress.find(member.replica);
    return member.role == member_role::Learner && progress != m_progress.end() && !progress->second.probing && !isSilent(member, m_options.electionTimeout)
           && progress->second.matched.value() + promotionLagEntries >= lastIndex().value();
}

/**
 * The next single membership change towards the best fault tolerance, if any. Learners that have caught up become
 * voters unless one zone would then hold a blocking share of the voters; voters that stopped responding are removed
 * in favour of learners.
 */
std::optional<std::vector<log_member>> replicated_log::nextMembership() const
{
    std::vector<log_member> voters;
    std::vector<log_member> ready;
    const log_member *silent = nullptr;
    for (const log_member &each : m_members) {
        if (each.role == member_role::Voter) {
            voters.push_back(each);
            silent = isSilent(each, silentVoterTimeout) ? &each : silent;
        } else if (isCaughtUp(each)) {
            ready.push_back(each);
        }
    }
    std::vector<log_member> members = m_members;
    const auto without = [&](replica_id replica) {
        std::erase_if(members, [&](const log_member &each) { return each.replica == replica; });
        return members;
    };
    // An even number of voters tolerates no more failures than one voter fewer.
    const bool even = voters.size() % 2 == 0;
    if (silent != nullptr && even && voters.size() > minVoters) {
        return without(silent->replica);
    }
    for (const log_member &learner : ready) {
        std::vector<log_member> after = voters;
        after.push_back(learner);
        std::vector<log_member> afterAll = voters;
        afterAll.insert(afterAll.end(), ready.begin(), ready.end());
        const bool balanced = after.size() <= minVoters || survivesZoneLoss(after) || (afterAll.size() == voters.size() + 2 && survivesZoneLoss(afterAll));
        if (silent != nullptr || even || (balanced && voters.size() < maxVoters)) {
            for (log_member &each : members) {
                each.role = each.replica == learner.replica ? member_role::Voter : each.role;
            }
            return members;
        }
    }
    for (const log_member &each : m_members) {
        if (each.role == member_role::Learner && isSilent(each, silentLearnerTimeout)) {
            return without(each.replica);
        }
    }
    return std::nullopt;
}

void replicated_log::proposeNextMembership()
{
    if (membershipPending() || !committedInOwnTerm()) {
        return;
    }
    if (std::optional<std::vector<log_member>> members = nextMembership()) {
        changeMembers(std::move(*members));
    }
}

} // namespace carawayloft
