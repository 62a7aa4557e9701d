#include <carawayloft/control/cluster_formation.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static cluster_formation makeClusterFormation()
{
    return cluster_formation({replica_number(2), replica_number(3)});
}

TEST(ClusterFormation, FormsOnlyAfterEveryPeerReportedAnUnformedLog)
{
    cluster_formation replica = makeClusterFormation();
    EXPECT_EQ(replica.step(formation_tick{}, {}).size(), 2U);
    EXPECT_TRUE(replica.step(peer_formation_state{replica_number(2), false}, {}).empty());
    EXPECT_EQ(replica.step(formation_tick{}, {}).size(), 2U);
    const auto decided = replica.step(peer_formation_state{replica_number(3), false}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<form_log>(decided[0]));
    EXPECT_TRUE(replica.step(formation_tick{}, {}).empty());
}

TEST(ClusterFormation, JoinsWhenAPeerHasFormed)
{
    cluster_formation replica = makeClusterFormation();
    replica.step(peer_formation_state{replica_number(2), false}, {});
    const auto decided = replica.step(peer_formation_state{replica_number(3), true}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<join_log>(decided[0]));
}

TEST(ClusterFormation, AnInitialMemberStillFormsWhenAPeerFormsFirst)
{
    cluster_formation replica = makeClusterFormation();
    replica.step(peer_formation_state{replica_number(2), false}, {});
    EXPECT_TRUE(replica.step(peer_formation_state{replica_number(2), true}, {}).empty());
    const auto decided = replica.step(peer_formation_state{replica_number(3), false}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<form_log>(decided[0]));
}

TEST(ClusterFormation, ASingleReplicaFormsImmediately)
{
    cluster_formation replica({});
    const auto decided = replica.step(formation_tick{}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<form_log>(decided[0]));
}
