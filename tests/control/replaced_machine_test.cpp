#include "support/log_cluster.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using test_support::log_cluster;

static constexpr std::uint32_t replaced = 0;
static constexpr duration catchUp{4'000};

/** Role of a machine's replica by the leader's log; a machine that is no member counts as retired. */
static member_role roleOf(const log_cluster &cluster, std::uint32_t machine)
{
    const std::optional<std::uint32_t> leader = cluster.leaderIndex();
    if (!leader) {
        ADD_FAILURE() << "no leader";
        return member_role::Retired;
    }
    const std::vector<log_member> &members = cluster.at(*leader).log->members();
    const auto found = std::find_if(members.begin(), members.end(), [&](const log_member &each) { return each.replica == cluster.at(machine).id; });
    return found == members.end() ? member_role::Retired : found->role;
}

/** Adds the successor of the machine that is to be replaced, and lets it take the vote. */
static std::uint32_t addSuccessor(log_cluster &cluster)
{
    const std::uint32_t successor = cluster.addReplica(cluster.at(replaced).zone);
    cluster.runFor(catchUp);
    EXPECT_EQ(roleOf(cluster, successor), member_role::Voter);
    EXPECT_EQ(roleOf(cluster, replaced), member_role::Learner);
    return successor;
}

// A machine that came back with an empty disk was taken for the youngest of its zone, and for the successor of its own successor.
TEST(ReplacedMachine, DoesNotTakeTheVoteOfItsSuccessorWhenItReturnsWithAnEmptyDisk)
{
    log_cluster cluster({"a", "b", "c"});
    ASSERT_TRUE(cluster.leadsWithin(catchUp));
    const std::uint32_t successor = addSuccessor(cluster);
    cluster.wipe(replaced);
    cluster.restart(replaced);
    cluster.runFor(catchUp);
    EXPECT_EQ(roleOf(cluster, successor), member_role::Voter);
    EXPECT_EQ(roleOf(cluster, replaced), member_role::Learner);
}

// The same for a machine that was down until it was no member any more.
TEST(ReplacedMachine, DoesNotTakeTheVoteOfItsSuccessorWhenItReturnsAfterLong)
{
    log_cluster cluster({"a", "b", "c"});
    ASSERT_TRUE(cluster.leadsWithin(catchUp));
    const std::uint32_t successor = addSuccessor(cluster);
    cluster.crash(replaced);
    cluster.runFor(duration(15'000));
    EXPECT_EQ(roleOf(cluster, replaced), member_role::Retired);
    cluster.restart(replaced);
    cluster.runFor(catchUp);
    EXPECT_EQ(roleOf(cluster, successor), member_role::Voter);
    EXPECT_EQ(roleOf(cluster, replaced), member_role::Learner);
}

// Nobody tells which of two machines of a zone will go: the guess may be wrong.
TEST(ReplacedMachine, GetsTheVoteBackWhenItsSuccessorGoes)
{
    log_cluster cluster({"a", "b", "c"});
    ASSERT_TRUE(cluster.leadsWithin(catchUp));
    cluster.removeReplica(addSuccessor(cluster));
    cluster.runFor(catchUp);
    EXPECT_EQ(roleOf(cluster, replaced), member_role::Voter);
}

TEST(ReplacedMachine, LeavesTheVoteWhereItIsWhileBothStay)
{
    log_cluster cluster({"a", "b", "c"});
    ASSERT_TRUE(cluster.leadsWithin(catchUp));
    const std::uint32_t successor = addSuccessor(cluster);
    const log_index before = cluster.at(*cluster.leaderIndex()).log->lastIndex();
    cluster.runFor(duration(60'000));
    EXPECT_EQ(roleOf(cluster, successor), member_role::Voter);
    EXPECT_EQ(cluster.at(*cluster.leaderIndex()).log->lastIndex(), before) << "no membership and no leader changes";
}
