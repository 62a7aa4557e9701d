#include <carawayloft/gateway/relay_window.h>

#include <carawayloft/core/answer_limits.h>

#include <gtest/gtest.h>

using namespace carawayloft;

TEST(RelayWindow, PausesOnceAndGoesOnOnceTheCallerHasTakenHalf)
{
    relay_window window;
    EXPECT_EQ(window.add(maxUntakenBytes), std::nullopt);
    EXPECT_EQ(window.add(1), true);
    EXPECT_EQ(window.add(1), std::nullopt) << "it is paused already";
    EXPECT_EQ(window.taken(1), std::nullopt);
    EXPECT_EQ(window.taken(maxUntakenBytes / 2 + 1), false);
    EXPECT_EQ(window.taken(1), std::nullopt);
}

TEST(RelayWindow, AnotherCallIsPausedAnewWhileTheCallerIsBehind)
{
    relay_window window;
    window.add(maxUntakenBytes + 1);
    window.restart();
    EXPECT_FALSE(window.isPaused());
    EXPECT_EQ(window.add(1), true);
}
