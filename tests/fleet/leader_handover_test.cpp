#include "support/properties.h"
#include "support/replica_pair.h"

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

/** The old leader knows two servers of a group of three, and has mirrored them; the third comes after it was cut off. */
class LeaderHandover : public ::testing::Test
{
protected:
    LeaderHandover()
    {
        replicas.add("a");
        replicas.add("b");
        replicas.lead(replica_pair::oldLeader, 3);
        replicas.settle(replica_pair::oldLeader, 5);
        replicas.cutReplica = replica_pair::oldLeader;
        replicas.add("c");
    }

    replica_pair replicas;
};

} // namespace

// Guards against a leader that is cut off from the other replicas and still forms groups, which its successor cannot know.
TEST_F(LeaderHandover, NoServerJoinsAnotherGroupWhileTheHeadOfItsGroupServes)
{
    const backend_record beforeAnyJoin = replicas.announce(backend_id("c"));
    replicas.settle(replica_pair::oldLeader, 5);
    replicas.lead(replica_pair::newLeader, 4);
    replicas.receive(replica_pair::newLeader, beforeAnyJoin); // Sent before the old leader's orders, and late.
    replicas.tick(replica_pair::newLeader, 20);
    EXPECT_EQ(replicas.violations, 0U);
    replicas.settle(replica_pair::newLeader, 20);
    EXPECT_EQ(replicas.violations, 0U);
    EXPECT_EQ(replicas.openHeads(), 1U);
    EXPECT_EQ(replicas.groups(replica_pair::newLeader).size(), 1U);
}

// Guards against groups that a leader forms although no later leader will know of them.
TEST_F(LeaderHandover, ALeaderThatCommitsNothingOrdersNoServerToJoinAGroup)
{
    replicas.settle(replica_pair::oldLeader, 20);
    for (const auto &[id, engine] : replicas.engines) {
        EXPECT_EQ(engine.record.membership.epoch, group_epoch()) << id.value();
    }
    replicas.cutReplica.reset();
    replicas.settle(replica_pair::oldLeader, 20); // The proposal is repeated.
    EXPECT_EQ(replicas.openHeads(), 1U);
}

// Guards against orders of any kind from a leader beside which another one may lead.
TEST_F(LeaderHandover, ALeaderWithoutALeaseOrdersNothing)
{
    replicas.cutReplica.reset();
    replicas.settle(replica_pair::oldLeader, 20);
    ASSERT_EQ(replicas.openHeads(), 1U);
    const std::size_t before = replicas.orders[replica_pair::oldLeader];
    replicas.loseLease(replica_pair::oldLeader);
    replicas.restart(backend_id("c")); // A reason to close, to stage and to form.
    replicas.settle(replica_pair::oldLeader, 20);
    EXPECT_EQ(replicas.orders[replica_pair::oldLeader], before);
    replicas.lead(replica_pair::oldLeader, 3); // The lease is back.
    EXPECT_GT(replicas.orders[replica_pair::oldLeader], before);
}

// Guards against a new leader that takes servers for free because the mirror does not show their group.
TEST_F(LeaderHandover, ANewLeaderKnowsAGroupThatWasCommittedButNeverMirrored)
{
    replicas.cutReplica.reset();
    replicas.mirrors = false;
    const backend_record beforeAnyJoin = replicas.announce(backend_id("c"));
    replicas.settle(replica_pair::oldLeader, 5);
    ASSERT_EQ(replicas.openHeads(), 1U);
    const group_epoch epoch = replicas.groups(replica_pair::oldLeader).front().epoch;
    replicas.cutReplica = replica_pair::oldLeader;
    replicas.lead(replica_pair::newLeader, 4);
    replicas.receive(replica_pair::newLeader, beforeAnyJoin);
    ASSERT_EQ(replicas.groups(replica_pair::newLeader).size(), 1U);
    EXPECT_EQ(replicas.groups(replica_pair::newLeader).front().epoch, epoch);
    replicas.receive(replica_pair::newLeader, replicas.announce(replicas.groups(replica_pair::newLeader).front().head()));
    EXPECT_EQ(replicas.groups(replica_pair::newLeader).front().phase, group_phase::Open) << "callers wait for announcements of other members";
    replicas.settle(replica_pair::newLeader, 5);
    EXPECT_EQ(replicas.violations, 0U);
    ASSERT_EQ(replicas.groups(replica_pair::newLeader).size(), 1U);
    EXPECT_EQ(replicas.groups(replica_pair::newLeader).front().epoch, epoch) << "an open group was given up";
    EXPECT_EQ(replicas.groups(replica_pair::newLeader).front().phase, group_phase::Open);
}

// Guards against a failover that closes open groups of which the new leader has heard nothing but the log.
TEST_F(LeaderHandover, ANewLeaderThatKnowsOnlyTheLogKeepsOpenGroupsOpen)
{
    replicas.cutReplica.reset();
    replicas.settle(replica_pair::oldLeader, 5);
    const group_epoch epoch = replicas.groups(replica_pair::oldLeader).front().epoch;
    replica_pair restarted; // All replicas have started again: the log is all that they have.
    restarted.engines = replicas.engines;
    restarted.restoreLog(replicas.log.snapshot());
    restarted.lead(replica_pair::newLeader, 4);
    restarted.tick(replica_pair::newLeader, 12);
    restarted.settle(replica_pair::newLeader, 20);
    ASSERT_EQ(restarted.groups(replica_pair::newLeader).size(), 1U);
    EXPECT_EQ(restarted.groups(replica_pair::newLeader).front().epoch, epoch);
    EXPECT_EQ(restarted.groups(replica_pair::newLeader).front().phase, group_phase::Open);
    EXPECT_EQ(restarted.openHeads(), 1U);
}

// Guards against a log that grows with every group ever formed.
TEST_F(LeaderHandover, AGroupLeavesTheLogAndItsSnapshotsOnceItIsRetired)
{
    replicas.cutReplica.reset();
    for (int i = 0; i < 5; ++i) {
        replicas.settle(replica_pair::oldLeader, 20);
        ASSERT_EQ(replicas.groups(replica_pair::oldLeader).size(), 1U);
        const group_epoch epoch = replicas.groups(replica_pair::oldLeader).front().epoch;
        ASSERT_EQ(replicas.log.engineGroups().size(), 1U);
        EXPECT_EQ(replicas.log.engineGroups().begin()->first, epoch);
        ASSERT_EQ(replicas.log.snapshot().engineGroups.size(), 1U);
        EXPECT_EQ(replicas.log.snapshot().engineGroups.front().epoch, epoch);
        replicas.restart(backend_id(i % 2 == 0 ? "c" : "a"));
    }
}

// Guards against a group of which all servers are gone for good and that stays in the log for ever.
TEST_F(LeaderHandover, AGroupWhoseServersAreAllGoneLeavesTheLog)
{
    replicas.cutReplica.reset();
    replicas.settle(replica_pair::oldLeader, 20);
    ASSERT_EQ(replicas.log.engineGroups().size(), 1U);
    replicas.engines.clear();
    replicas.stepDown(replica_pair::oldLeader, 4);
    replicas.lead(replica_pair::newLeader, 4);
    replicas.tick(replica_pair::newLeader, 3'000); // Five minutes.
    EXPECT_TRUE(replicas.log.engineGroups().empty());
}

TEST(LeaderHandoverProperty, NoServerJoinsAnotherGroupWhileTheHeadOfItsGroupServes)
{
    EXPECT_TRUE(rc::check([] {
        replica_pair replicas(makeEngine(3, 2));
        for (int i = 0; i < 7; ++i) {
            replicas.add("e" + std::to_string(i));
        }
        std::map<backend_id, backend_record> late;
        std::size_t leader = 0;
        std::uint64_t term = 1;
        replicas.lead(leader, ++term);
        for (int i = 0; i < 150; ++i) {
            const auto pick = *rc::gen::inRange<std::size_t>(0, replicas.engines.size());
            auto &[id, engine] = *std::next(replicas.engines.begin(), static_cast<std::ptrdiff_t>(pick));
            switch (*rc::gen::inRange(0, 12)) {
            case 0:
                replicas.mirrors = !replicas.mirrors;
                break;
            case 1:
                late[id] = replicas.announce(id);
                break;
            case 2:
                if (late.contains(id)) {
                    replicas.receive(leader, late.at(id));
                }
                break;
            case 3:
                replicas.restart(id);
                break;
            case 4:
                engine.takesOrders = !engine.takesOrders;
                break;
            case 5: {
                // The leader goes on while it holds the lease, commits and mirrors nothing, and is followed by the other one.
                replicas.cutReplica = leader;
                replicas.settle(leader, *rc::gen::inRange(0, 3));
                replicas.loseLease(leader);
                replicas.lead(1 - leader, ++term);
                replicas.tick(1 - leader, *rc::gen::inRange(0, 15));
                replicas.cutReplica.reset();
                replicas.stepDown(leader, term);
                leader = 1 - leader;
                break;
            }
            case 6:
                replicas.tick(leader, 5);
                break;
            default:
                replicas.receive(leader, replicas.announce(id));
                replicas.settle(leader, *rc::gen::inRange(0, 3));
                break;
            }
        }
        RC_ASSERT(replicas.violations == 0U);
        replicas.mirrors = true;
        for (auto &[id, engine] : replicas.engines) {
            engine.takesOrders = true;
        }
        replicas.settle(leader, 150); // 30 s, longer than any timeout: nobody stays bound to a group that has ended.
        RC_ASSERT(replicas.violations == 0U);
        RC_ASSERT(replicas.openHeads() >= 2U);
        RC_ASSERT(replicas.openHeads() == replicas.groups(leader).size());
        RC_ASSERT(replicas.log.engineGroups().size() == replicas.groups(leader).size());
    }));
}
