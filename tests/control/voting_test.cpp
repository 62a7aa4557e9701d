#include <carawayloft/control/voting.h>

#include "support/properties.h"

using namespace carawayloft;

static log_member memberWith(std::uint32_t number, member_role role, const std::string &zone)
{
    return {makeReplicaId(replica_number(number), initialDiskIncarnation), role, {}, {}, availability_zone_id(zone)};
}

static std::vector<log_member> membersWith(const std::vector<member_role> &roles)
{
    std::vector<log_member> members;
    for (const member_role role : roles) {
        members.push_back(memberWith(static_cast<std::uint32_t>(members.size() + 1), role, ""));
    }
    return members;
}

/** The members whose bits are set. */
static std::set<replica_id> subsetOf(const std::vector<log_member> &members, std::uint32_t bits)
{
    std::set<replica_id> subset;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if ((bits >> i & 1U) != 0) {
            subset.insert(members[i].replica);
        }
    }
    return subset;
}

/** By trial of each quorum before against its complement after. */
static bool doAllQuorumsIntersect(const std::vector<log_member> &before, const std::vector<log_member> &after)
{
    const std::uint32_t all = (1U << before.size()) - 1;
    for (std::uint32_t bits = 0; bits <= all; ++bits) {
        if (isQuorum(before, subsetOf(before, bits)) && isQuorum(after, subsetOf(after, all & ~bits))) {
            return false;
        }
    }
    return true;
}

// Guards against a change of members after which two leaders could be elected, one by each membership.
RC_GTEST_PROP(Voting, MembershipsThatMayFollowEachOtherHaveNoDisjointQuorums, ())
{
    const auto roles = rc::gen::container<std::vector<member_role>>(
        7, rc::gen::element(member_role::Voter, member_role::HalfVoter, member_role::Learner, member_role::Retired));
    const std::vector<log_member> before = membersWith(*roles);
    const std::vector<log_member> after = membersWith(*roles);
    if (quorumsIntersect(before, after)) {
        RC_ASSERT(doAllQuorumsIntersect(before, after));
    }
}

TEST(Voting, AVoteMovesInTwoHalves)
{
    using enum member_role;
    const std::vector<log_member> before = membersWith({Voter, Voter, Voter, Learner});
    const std::vector<log_member> between = membersWith({HalfVoter, Voter, Voter, HalfVoter});
    const std::vector<log_member> after = membersWith({Learner, Voter, Voter, Voter});
    EXPECT_TRUE(quorumsIntersect(before, between));
    EXPECT_TRUE(quorumsIntersect(between, after));
    EXPECT_FALSE(quorumsIntersect(before, after));
}

// A half voter that lost its disk left an odd number of half votes: another voter that was added then had a quorum without the rest.
TEST(Voting, WhileAHalfIsMissingOnlyAHalfIsAddedOrTakenAway)
{
    using enum member_role;
    const std::vector<log_member> before = membersWith({HalfVoter, Voter, Voter, Learner});
    EXPECT_TRUE(quorumsIntersect(before, membersWith({Voter, Voter, Voter, Learner})));
    EXPECT_TRUE(quorumsIntersect(before, membersWith({Learner, Voter, Voter, Learner})));
    EXPECT_FALSE(quorumsIntersect(before, membersWith({Learner, Voter, Voter, HalfVoter})));
    EXPECT_FALSE(quorumsIntersect(before, membersWith({HalfVoter, Voter, Voter, Voter})));
    EXPECT_FALSE(quorumsIntersect(before, membersWith({HalfVoter, Voter, Learner, Learner})));
}

TEST(Voting, AVoteThatMovesInItsZoneLeavesAQuorumToEachOtherZone)
{
    using enum member_role;
    const std::vector<log_member> moving{memberWith(1, HalfVoter, "a"), memberWith(4, HalfVoter, "a"), memberWith(2, Voter, "b"), memberWith(3, Voter, "c")};
    EXPECT_TRUE(survivesZoneLoss(moving));
    EXPECT_TRUE(isQuorum(moving, {moving[2].replica, moving[3].replica}));
    EXPECT_FALSE(isQuorum(moving, {moving[0].replica, moving[2].replica}));
    const std::vector<log_member> added{memberWith(1, Voter, "a"), memberWith(4, Voter, "a"), memberWith(2, Voter, "b"), memberWith(3, Voter, "c")};
    EXPECT_FALSE(survivesZoneLoss(added));
}
