#include <carawayloft/order/formation.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static formation makeFormation()
{
    return formation({replica_number(2), replica_number(3)});
}

TEST(Formation, FormsOnlyAfterEveryPeerWasHeardUnformed)
{
    formation replica = makeFormation();
    EXPECT_EQ(replica.step(formation_tick{}, {}).size(), 2U);
    EXPECT_TRUE(replica.step(formation_answer{replica_number(2), false}, {}).empty());
    EXPECT_EQ(replica.step(formation_tick{}, {}).size(), 2U);
    const auto decided = replica.step(formation_answer{replica_number(3), false}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<form_log>(decided[0]));
    EXPECT_TRUE(replica.step(formation_tick{}, {}).empty());
}

TEST(Formation, JoinsWhenAPeerHasSeenAnElection)
{
    formation replica = makeFormation();
    replica.step(formation_answer{replica_number(2), false}, {});
    const auto decided = replica.step(formation_answer{replica_number(3), true}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<join_log>(decided[0]));
}

TEST(Formation, APeerThatFormsMeanwhileDoesNotTurnAFirstMemberAway)
{
    formation replica = makeFormation();
    replica.step(formation_answer{replica_number(2), false}, {});
    EXPECT_TRUE(replica.step(formation_answer{replica_number(2), true}, {}).empty());
    const auto decided = replica.step(formation_answer{replica_number(3), false}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<form_log>(decided[0]));
}

TEST(Formation, ASingleReplicaFormsAtOnce)
{
    formation replica({});
    const auto decided = replica.step(formation_tick{}, {});
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<form_log>(decided[0]));
}
