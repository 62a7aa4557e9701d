#include <carawayloft/control/membership_policy.h>

#include <carawayloft/control/voting.h>

#include <algorithm>
#include <array>

namespace carawayloft {

/** Time without a reply after which a voter's vote moves to a learner, and after which a learner retires. */
static constexpr duration silentVoterTimeout{3'000};
static constexpr duration silentLearnerTimeout{10'000};

/** Learners that would make the voters even wait this long for another one, before they take the vote of an older replica. */
static constexpr duration pairingTimeout{1'000};

/** Machines that went for good stay among the retired members until this many newer ones have gone. */
static constexpr std::ptrdiff_t maxRetiredMembers = 16;

/** Learners become voters up to minVoters regardless of zones. */
static constexpr std::size_t minVoters = 3;

namespace {

class membership_planner
{
public:
    using change = std::optional<std::vector<log_member>>;

    membership_planner(const membership_observation &observed, const membership_policy_options &options)
        : m_observed(observed)
        , m_options(options)
        , m_voters(membersWith(member_role::Voter))
        , m_readyLearners(findReadyLearners())
    {
    }

    change next() const
    {
        using step = change (membership_planner::*)() const;
        static constexpr std::array steps{&membership_planner::finishAddingPair,
                                          &membership_planner::finishMovingVote,
                                          &membership_planner::replaceSilentVoter,
                                          &membership_planner::retireSilentVoter,
                                          &membership_planner::addVoter,
                                          &membership_planner::addPair,
                                          &membership_planner::balanceZones,
                                          &membership_planner::preferYoungerReplica,
                                          &membership_planner::retireSilentLearner};
        for (const step each : steps) {
            if (change found = (this->*each)()) {
                return found;
            }
        }
        return std::nullopt;
    }

private:
    /** Two half voters beside an odd number of voters have no vote from others. Both get the other half at once, or none. */
    change finishAddingPair() const
    {
        const std::vector<log_member> halves = membersWith(member_role::HalfVoter);
        if (halves.size() != 2 || isEven() || m_voters.size() < minVoters) {
            return std::nullopt;
        }
        if (isReady(halves.front()) && isReady(halves.back())) {
            return withVotes(halves);
        }
        const bool oneSilent = std::any_of(halves.begin(), halves.end(), [this](const log_member &each) { return isSilent(each, m_options.responseTimeout); });
        return oneSilent ? withRole(halves, member_role::Learner) : m_observed.members;
    }

    /** One vote moves at a time: nothing else changes before its halves are together again. */
    change finishMovingVote() const
    {
        const std::vector<log_member> halves = membersWith(member_role::HalfVoter);
        if (halves.empty()) {
            return std::nullopt;
        }
        if (const std::optional<log_member> to = receiverOf(halves)) {
            const log_member &from = to->replica == halves.front().replica ? halves.back() : halves.front();
            return from.replica == to->replica ? raise(m_observed.members, from) : moveHalfVote(from, *to);
        }
        const bool allSilent = std::all_of(halves.begin(), halves.end(), [this](const log_member &each) { return isSilent(each, m_options.responseTimeout); });
        if (!allSilent) {
            return m_observed.members;
        }
        // Another vote may have to move soon, and none can before these halves are one vote again, or none.
        return halves.size() == 1 ? withRole(halves, member_role::Learner) : moveHalfVote(halves.front(), halves.back());
    }

    /** The ready one in the zone with the fewest votes, the youngest one of several; by the same order votes begin to move. */
    std::optional<log_member> receiverOf(const std::vector<log_member> &halves) const
    {
        std::optional<log_member> best;
        for (const log_member &each : halves) {
            if (isReady(each) && (!best || halfVotesIn(each.zone) <= halfVotesIn(best->zone))) {
                best = each;
            }
        }
        return best;
    }

    change replaceSilentVoter() const
    {
        for (const log_member &voter : m_voters) {
            const std::optional<log_member> learner = replacementFor(voter);
            if (learner && isSilent(voter, silentVoterTimeout)) {
                return moveHalfVote(voter, *learner);
            }
        }
        return std::nullopt;
    }

    /** An even number of voters bears no more losses than one voter fewer. */
    change retireSilentVoter() const
    {
        if (m_voters.size() <= minVoters || (!isEven() && m_voters.size() <= m_options.maxVoters)) {
            return std::nullopt;
        }
        const auto silent = std::find_if(m_voters.begin(), m_voters.end(), [this](const log_member &each) { return isSilent(each, silentVoterTimeout); });
        return silent == m_voters.end() ? std::nullopt : change(retire(*silent));
    }

    /** A learner becomes a voter unless its zone would then hold a blocking share of the votes. */
    change addVoter() const
    {
        for (const log_member &learner : m_readyLearners) {
            std::vector<log_member> after = withVotes({learner});
            const bool isBalanced = m_voters.size() < minVoters || survivesZoneLoss(after);
            if (isEven() || (isBalanced && m_voters.size() < m_options.maxVoters)) {
                return after;
            }
        }
        return std::nullopt;
    }

    /** Two learners become voters together where one alone would give its zone a blocking share of the votes on the way. */
    change addPair() const
    {
        if (m_voters.size() + 2 > m_options.maxVoters) {
            return std::nullopt;
        }
        for (auto first = m_readyLearners.begin(); first != m_readyLearners.end(); ++first) {
            for (auto second = std::next(first); second != m_readyLearners.end(); ++second) {
                if (survivesZoneLoss(withVotes({*first, *second}))) {
                    return withRole({*first, *second}, member_role::HalfVoter);
                }
            }
        }
        return std::nullopt;
    }

    /** A vote that had to move to another zone moves on once a learner in a zone with fewer votes is ready. */
    change balanceZones() const
    {
        for (const log_member &voter : votersToRelieve()) {
            for (const log_member &learner : m_readyLearners) {
                if (!learner.zone.value().empty() && halfVotesIn(learner.zone) + halfVotesOf(member_role::Voter) < halfVotesIn(voter.zone)) {
                    return moveHalfVote(voter, learner);
                }
            }
        }
        return std::nullopt;
    }

    /**
     * A successor runs beside the machine that it replaces, in the same zone, and nobody tells which machine will go.
     * So the older one's vote moves as soon as the younger one is ready.
     */
    change preferYoungerReplica() const
    {
        const duration settlingTime = m_voters.size() < m_options.maxVoters ? pairingTimeout : m_options.responseTimeout;
        for (const log_member &voter : votersToRelieve()) {
            for (const log_member &learner : m_readyLearners) {
                if (isSuccessor(learner, voter) && knownFor(learner) >= settlingTime) {
                    return moveHalfVote(voter, learner);
                }
            }
        }
        return std::nullopt;
    }

    change retireSilentLearner() const
    {
        for (const log_member &each : membersWith(member_role::Learner)) {
            if (isSilent(each, silentLearnerTimeout)) {
                return retire(each);
            }
        }
        return std::nullopt;
    }

    std::vector<log_member> membersWith(member_role role) const
    {
        std::vector<log_member> found;
        std::copy_if(
            m_observed.members.begin(), m_observed.members.end(), std::back_inserter(found), [&](const log_member &each) { return each.role == role; });
        return found;
    }

    /** Those in zones with the fewest votes first, and the younger ones of a zone before the older ones. */
    std::vector<log_member> findReadyLearners() const
    {
        std::vector<log_member> ready = membersWith(member_role::Learner);
        std::erase_if(ready, [this](const log_member &each) { return !isReady(each); });
        std::reverse(ready.begin(), ready.end());
        std::stable_sort(
            ready.begin(), ready.end(), [this](const log_member &left, const log_member &right) { return halfVotesIn(left.zone) < halfVotesIn(right.zone); });
        return ready;
    }

    /** Position of the youngest member of the same zone that is younger than @p member, or zero. */
    std::size_t youngestSuccessorOf(const log_member &member) const
    {
        for (std::size_t position = m_observed.members.size(); position > 0; --position) {
            if (isSuccessor(m_observed.members[position - 1], member)) {
                return position;
            }
        }
        return 0;
    }

    /** The order in which voters lose their vote: those that do not reply, then those with the latest successors, then the older ones. */
    std::vector<log_member> votersToRelieve() const
    {
        std::vector<log_member> voters = m_voters;
        std::stable_sort(voters.begin(), voters.end(), [this](const log_member &left, const log_member &right) {
            return youngestSuccessorOf(left) > youngestSuccessorOf(right);
        });
        std::stable_partition(voters.begin(), voters.end(), [this](const log_member &each) { return isSilent(each, m_options.responseTimeout); });
        return voters;
    }

    /** A learner in the zone of @p voter, else any. */
    std::optional<log_member> replacementFor(const log_member &voter) const
    {
        const auto sameZone = std::find_if(m_readyLearners.begin(), m_readyLearners.end(), [&](const log_member &each) { return each.zone == voter.zone; });
        if (sameZone != m_readyLearners.end()) {
            return *sameZone;
        }
        return m_readyLearners.empty() ? std::nullopt : std::optional(m_readyLearners.front());
    }

    bool isSuccessor(const log_member &younger, const log_member &older) const
    {
        const auto position = [this](const log_member &member) { return std::find(m_observed.members.begin(), m_observed.members.end(), member); };
        return younger.zone == older.zone && !younger.zone.value().empty() && position(older) < position(younger);
    }

    bool isSilent(const log_member &member, duration silence) const
    {
        const auto found = m_observed.others.find(member.replica);
        return found != m_observed.others.end() && found->second.silence >= silence;
    }

    bool isReady(const log_member &member) const
    {
        const auto found = m_observed.others.find(member.replica);
        const bool isCaughtUp = found != m_observed.others.end() && found->second.isCaughtUp;
        return member.replica == m_observed.leader || (isCaughtUp && !isSilent(member, m_options.responseTimeout));
    }

    duration knownFor(const log_member &member) const
    {
        const auto found = m_observed.others.find(member.replica);
        return found == m_observed.others.end() ? duration(0) : found->second.knownFor;
    }

    bool isEven() const
    {
        return m_voters.size() % 2 == 0;
    }

    std::size_t halfVotesIn(const availability_zone_id &zone) const
    {
        return carawayloft::halfVotesIn(zone, m_observed.members);
    }

    static std::vector<log_member> raise(std::vector<log_member> members, const log_member &member)
    {
        for (log_member &each : members) {
            if (each.replica == member.replica) {
                each.role = each.role == member_role::Learner ? member_role::HalfVoter : member_role::Voter;
            }
        }
        return members;
    }

    std::vector<log_member> moveHalfVote(const log_member &from, const log_member &to) const
    {
        std::vector<log_member> members = raise(m_observed.members, to);
        for (log_member &each : members) {
            if (each.replica == from.replica) {
                each.role = each.role == member_role::Voter ? member_role::HalfVoter : member_role::Learner;
            }
        }
        return members;
    }

    std::vector<log_member> withRole(const std::vector<log_member> &changed, member_role role) const
    {
        std::vector<log_member> members = m_observed.members;
        for (log_member &each : members) {
            const bool isChanged = std::find(changed.begin(), changed.end(), each) != changed.end();
            each.role = isChanged ? role : each.role;
        }
        return members;
    }

    std::vector<log_member> withVotes(const std::vector<log_member> &members) const
    {
        return withRole(members, member_role::Voter);
    }

    std::vector<log_member> retire(const log_member &member) const
    {
        std::vector<log_member> members = withRole({member}, member_role::Retired);
        const auto isRetired = [](const log_member &each) { return each.role == member_role::Retired; };
        if (std::count_if(members.begin(), members.end(), isRetired) > maxRetiredMembers) {
            members.erase(std::find_if(members.begin(), members.end(), isRetired));
        }
        return members;
    }

    const membership_observation &m_observed;
    const membership_policy_options &m_options;
    std::vector<log_member> m_voters;
    std::vector<log_member> m_readyLearners;
};

} // namespace

std::optional<std::vector<log_member>> nextMembership(const membership_observation &observed, const membership_policy_options &options)
{
    std::optional<std::vector<log_member>> next = membership_planner(observed, options).next();
    return next == observed.members ? std::nullopt : next;
}

} // namespace carawayloft
