#include <carawayloft/control/leader_finder.h>

#include <gtest/gtest.h>

using namespace carawayloft;

static const endpoint first("127.0.0.1:1");
static const endpoint second("127.0.0.1:2");

static time_point at(int milliseconds)
{
    return time_point(std::chrono::hours(1)) + duration(milliseconds);
}

static endpoint connectedTo(const std::vector<leader_finder::output> &outputs)
{
    return outputs.size() == 1 && std::holds_alternative<connect_to_control>(outputs[0]) ? std::get<connect_to_control>(outputs[0]).replica : endpoint();
}

TEST(LeaderFinder, FollowsARedirectToTheLeader)
{
    leader_finder finder({first, second});
    EXPECT_EQ(connectedTo(finder.step(finder_tick{}, at(0))), first);
    EXPECT_EQ(finder.step(control_connected{}, at(1)).size(), 1U);
    EXPECT_EQ(connectedTo(finder.step(leader_redirect{second}, at(2))), second);
}

TEST(LeaderFinder, TriesTheNextReplicaAfterALostConnection)
{
    leader_finder finder({first, second});
    finder.step(finder_tick{}, at(0));
    finder.step(control_disconnected{}, at(10));
    EXPECT_TRUE(finder.step(finder_tick{}, at(20)).empty());
    EXPECT_EQ(connectedTo(finder.step(finder_tick{}, at(300))), second);
}

TEST(LeaderFinder, TriesTheNextReplicaWhenTheLeaderStopsResponding)
{
    leader_finder finder({first, second});
    finder.step(finder_tick{}, at(0));
    finder.step(control_connected{}, at(1));
    finder.step(leader_message_received{}, at(1'000));
    EXPECT_EQ(finder.step(finder_tick{}, at(1'100)).size(), 1U);
    EXPECT_EQ(connectedTo(finder.step(finder_tick{}, at(4'500))), second);
}

TEST(LeaderFinder, TriesTheReplicasThatTheLeaderListedLast)
{
    const endpoint third("127.0.0.1:3");
    const endpoint fourth("127.0.0.1:4");
    leader_finder finder({first});
    finder.step(replicas_listed{{first, third}}, at(0));
    finder.step(replicas_listed{{first, fourth}}, at(1));
    std::vector<endpoint> tried;
    for (int attempt = 0; attempt < 4; ++attempt) {
        tried.push_back(connectedTo(finder.step(finder_tick{}, at(1'000 * (attempt + 1)))));
        finder.step(control_disconnected{}, at(1'000 * (attempt + 1)));
    }
    EXPECT_EQ(tried, (std::vector<endpoint>{first, fourth, first, fourth}));
}
