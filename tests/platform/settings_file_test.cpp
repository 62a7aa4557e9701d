#include "platform/settings_file.h"

#include <gtest/gtest.h>

using namespace carawayloft;

static std::string makeFront()
{
    return "nodeName=front-mid-a-1\nserves=front\nip=10.1.0.40\nzone=mid-a\nlisten.front=10.1.0.40:8227\nlisten.ready=10.1.0.40:8220\n"
           "internalPortRange=7340,7355\nseeds=10.1.0.41:8229,10.2.0.30:8229,10.3.0.20:8229\nbootstrap=true\n"
           "bounds.graceS=8\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=196\nbounds.coldOver=1.5\nbounds.coldSlack=5\n";
}

static std::string makeCore(const std::string &ip, const std::string &bootstrap)
{
    return "nodeName=core\nserves=control\nip=" + ip + "\nzone=mid-a\nlisten.control=" + ip
           + ":8229\ninternalPortRange=7340,7355\nseeds=10.1.0.41:8229,10.2.0.30:8229\nbootstrap=" + bootstrap + "\ndataDir=/data/core\n";
}

static std::string without(std::string text, const std::string &name)
{
    const std::size_t begin = text.find(name + "=");
    return text.erase(begin, text.find('\n', begin) + 1 - begin);
}

TEST(SettingsFile, ReadsAGatewayAndPassesOverWhatItDoesNotKnow)
{
    const auto loaded = platform::readSettings(makeFront() + "new.field=7\n");
    ASSERT_FALSE(failed(loaded));
    const settings &own = valueOf(loaded);
    EXPECT_EQ(own.process, "front-mid-a-1");
    ASSERT_TRUE(own.gateway);
    EXPECT_EQ(own.gateway->callers, endpoint("10.1.0.40:8227"));
    EXPECT_DOUBLE_EQ(own.gateway->limits.retrySlack, 196.0);
    EXPECT_EQ(own.gateway->limits.retryWindow, duration(10'000));
    EXPECT_LT(own.gateway->stopTimeout, duration(8'000));
    ASSERT_EQ(own.control.size(), 3U);
    EXPECT_EQ(own.control[1].frames, endpoint("10.2.0.30:7340"));
    EXPECT_EQ(own.control[1].http, endpoint("10.2.0.30:8229"));
}

TEST(SettingsFile, NamesTheFieldThatIsMissing)
{
    for (const char *name : {"nodeName", "serves", "zone", "listen.front", "listen.ready", "internalPortRange", "seeds"}) {
        const auto loaded = platform::readSettings(without(makeFront(), name));
        ASSERT_TRUE(failed(loaded)) << name;
        EXPECT_NE(errorOf(loaded).what.find(name), std::string::npos) << errorOf(loaded).what;
        EXPECT_EQ(errorOf(loaded).kind, error_kind::InvalidSettings);
    }
}

TEST(SettingsFile, RefusesImpossibleValues)
{
    EXPECT_TRUE(failed(platform::readSettings(without(makeFront(), "bounds.graceS") + "bounds.graceS=-1\n")));
    EXPECT_TRUE(failed(platform::readSettings(without(makeFront(), "seeds") + "seeds=nowhere\n")));
    EXPECT_TRUE(failed(platform::readSettings(without(makeFront(), "serves") + "serves=side\n")));
}

TEST(SettingsFile, OnlySeedsFormTheLogAtTheFirstStart)
{
    EXPECT_EQ(std::get<settings>(platform::readSettings(makeCore("10.1.0.41", "true"))).replica->bootstrapMode, bootstrap_mode::Form);
    EXPECT_EQ(std::get<settings>(platform::readSettings(makeCore("10.9.0.1", "true"))).replica->bootstrapMode, bootstrap_mode::Join);
    EXPECT_EQ(std::get<settings>(platform::readSettings(makeCore("10.1.0.41", "false"))).replica->bootstrapMode, bootstrap_mode::Join);
}
