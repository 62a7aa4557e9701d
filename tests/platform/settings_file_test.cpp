#include "platform/settings_file.h"

#include <gtest/gtest.h>

using namespace carawayloft;

static std::string makeGatewaySettings()
{
    return "nodeName=front-mid-a-1\nserves=front\nip=10.1.0.40\nzone=mid-a\nlisten.front=10.1.0.40:8227\nlisten.ready=10.1.0.40:8220\n"
           "internalPortRange=7340,7355\nseeds=10.1.0.41:8229,10.2.0.30:8229,10.3.0.20:8229\nbootstrap=true\n"
           "bounds.graceS=8\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=196\nbounds.coldOver=1.5\nbounds.coldSlack=5\n";
}

static std::string makeReplicaSettings(const std::string &ip, const std::string &bootstrap)
{
    return "nodeName=core\nserves=control\nip=" + ip + "\nzone=mid-a\nlisten.control=" + ip
           + ":8229\ninternalPortRange=7340,7355\nseeds=10.1.0.41:8229,10.2.0.30:8229\nbootstrap=" + bootstrap + "\ndataDir=/data/core\n";
}

static std::string withoutField(std::string text, const std::string &name)
{
    const std::size_t begin = text.find(name + "=");
    return text.erase(begin, text.find('\n', begin) + 1 - begin);
}

TEST(SettingsFile, ReadsGatewaySettingsAndIgnoresUnknownFields)
{
    const auto loaded = platform::readSettings(makeGatewaySettings() + "new.field=7\n");
    ASSERT_FALSE(failed(loaded));
    const settings &parsedSettings = valueOf(loaded);
    EXPECT_EQ(parsedSettings.process, "front-mid-a-1");
    ASSERT_TRUE(parsedSettings.gateway);
    EXPECT_EQ(parsedSettings.gateway->callers, endpoint("10.1.0.40:8227"));
    EXPECT_DOUBLE_EQ(parsedSettings.gateway->limits.retrySlack, 196.0);
    EXPECT_EQ(parsedSettings.gateway->limits.retryWindow, duration(10'000));
    EXPECT_LT(parsedSettings.gateway->stopTimeout, duration(8'000));
    ASSERT_EQ(parsedSettings.control.size(), 3U);
    EXPECT_EQ(parsedSettings.control[1].frames, endpoint("10.2.0.30:7340"));
    EXPECT_EQ(parsedSettings.control[1].http, endpoint("10.2.0.30:8229"));
}

// Callers may share an address, so only a configuration that asks for a limit has one.
TEST(SettingsFile, LimitsConnectionsOfAnAddressOnlyWhereAsked)
{
    EXPECT_EQ(valueOf(platform::readSettings(makeGatewaySettings())).http.maxConnectionsPerAddress, 0U);
    EXPECT_EQ(valueOf(platform::readSettings(makeGatewaySettings() + "limits.connectionsPerAddress=50\n")).http.maxConnectionsPerAddress, 50U);
    for (const char *wrong :
         {"limits.connectionsPerAddress=-1", "limits.connectionsPerAddress=all", "limits.connectionsPerAddress=0.5", "limits.connectionsPerAddress=1e9"}) {
        const auto loaded = platform::readSettings(makeGatewaySettings() + wrong + "\n");
        ASSERT_TRUE(failed(loaded)) << wrong;
        EXPECT_NE(errorOf(loaded).what.find("limits.connectionsPerAddress"), std::string::npos) << errorOf(loaded).what;
    }
}

// A limit that was misread as bytes or was negative would reject every caller, or none.
TEST(SettingsFile, ReadsTheMemoryThatCallersMayTakeAndRefusesSenselessValues)
{
    const auto standard = platform::readSettings(makeGatewaySettings());
    EXPECT_EQ(valueOf(standard).http.memoryBytes, std::size_t{160} << 20U);
    EXPECT_EQ(valueOf(standard).http.maxBodyPause, duration(16'000));
    EXPECT_EQ(valueOf(standard).http.backendMemoryBytes, std::size_t{128} << 20U);
    const auto own = platform::readSettings(makeGatewaySettings() + "limits.memoryMb=400\nlimits.bodyPauseS=2.5\nlimits.backendMemoryMb=256\n");
    EXPECT_EQ(valueOf(own).http.backendMemoryBytes, std::size_t{256} << 20U);
    EXPECT_EQ(valueOf(own).http.memoryBytes, std::size_t{400} << 20U);
    EXPECT_EQ(valueOf(own).http.maxBodyPause, duration(2'500));
    for (const char *wrong : {"limits.memoryMb=0",
                              "limits.memoryMb=-1",
                              "limits.memoryMb=many",
                              "limits.memoryMb=419430400",
                              "limits.backendMemoryMb=0",
                              "limits.backendMemoryMb=419430400",
                              "limits.bodyPauseS=1e9"}) {
        const auto loaded = platform::readSettings(makeGatewaySettings() + wrong + "\n");
        ASSERT_TRUE(failed(loaded)) << wrong;
        EXPECT_NE(errorOf(loaded).what.find("limits."), std::string::npos) << errorOf(loaded).what;
    }
}

TEST(SettingsFile, ErrorNamesMissingField)
{
    for (const char *name : {"nodeName", "serves", "zone", "listen.front", "listen.ready", "internalPortRange", "seeds"}) {
        const auto loaded = platform::readSettings(withoutField(makeGatewaySettings(), name));
        ASSERT_TRUE(failed(loaded)) << name;
        EXPECT_NE(errorOf(loaded).what.find(name), std::string::npos) << errorOf(loaded).what;
        EXPECT_EQ(errorOf(loaded).kind, error_kind::InvalidSettings);
    }
}

TEST(SettingsFile, RejectsInvalidValues)
{
    EXPECT_TRUE(failed(platform::readSettings(withoutField(makeGatewaySettings(), "bounds.graceS") + "bounds.graceS=-1\n")));
    EXPECT_TRUE(failed(platform::readSettings(withoutField(makeGatewaySettings(), "bounds.graceS") + "bounds.graceS=nan\n")));
    EXPECT_TRUE(failed(platform::readSettings(withoutField(makeGatewaySettings(), "seeds") + "seeds=nowhere\n")));
    EXPECT_TRUE(failed(platform::readSettings(withoutField(makeGatewaySettings(), "serves") + "serves=side\n")));
}

TEST(SettingsFile, OnlySeedsWithBootstrapFormCluster)
{
    EXPECT_EQ(std::get<settings>(platform::readSettings(makeReplicaSettings("10.1.0.41", "true"))).replica->bootstrapMode, bootstrap_mode::Form);
    EXPECT_EQ(std::get<settings>(platform::readSettings(makeReplicaSettings("10.9.0.1", "true"))).replica->bootstrapMode, bootstrap_mode::Join);
    EXPECT_EQ(std::get<settings>(platform::readSettings(makeReplicaSettings("10.1.0.41", "false"))).replica->bootstrapMode, bootstrap_mode::Join);
}

// The log took up to five voters whatever the installation was to bear; when three of them were replaced machines, none led.
TEST(SettingsFile, AsManyReplicasVoteAsBearTheLossesThatAreTolerated)
{
    const auto maxVoters = [](const std::string &tolerated) {
        return std::get<settings>(platform::readSettings(makeReplicaSettings("10.1.0.41", "true") + tolerated)).replica->maxVoters;
    };
    EXPECT_EQ(maxVoters("tolerate.machines=1\ntolerate.zones=1\n"), 3U);
    EXPECT_EQ(maxVoters("tolerate.machines=2\ntolerate.zones=1\n"), 5U);
    EXPECT_EQ(maxVoters("tolerate.machines=1\ntolerate.zones=2\n"), 5U);
    EXPECT_EQ(maxVoters(""), 5U);
    EXPECT_EQ(maxVoters("tolerate.machines=1e300\n"), 9U);
    for (const char *wrong : {"tolerate.machines=-1\n", "tolerate.machines=nan\n", "tolerate.zones=many\n"}) {
        EXPECT_TRUE(failed(platform::readSettings(makeReplicaSettings("10.1.0.41", "true") + wrong))) << wrong;
    }
}
