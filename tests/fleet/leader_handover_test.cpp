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
        replicas.isCut = true;
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
