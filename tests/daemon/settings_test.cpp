#include "daemon/settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace carawayloft;

static const std::string valid = R"([process]
name = "entry-1"
zone = "mid-a"
roles = ["entry"]

[control]
peers = [{ number = 1, frames = "127.0.0.1:7001", http = "127.0.0.1:7002" }]

[entry]
http = "127.0.0.1:8080"
)";

static result<settings> load(const std::string &text)
{
    const std::string path = std::filesystem::temp_directory_path() / ("carawayloft-settings-" + std::to_string(getpid()) + ".toml");
    std::ofstream(path) << text;
    result<settings> loaded = loadSettings(path);
    std::filesystem::remove(path);
    return loaded;
}

static std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

TEST(Settings, ReadsAValidFileWithDefaults)
{
    const auto loaded = load(valid);
    ASSERT_FALSE(failed(loaded)) << describe(errorOf(loaded));
    EXPECT_EQ(valueOf(loaded).entry->defaultTimeLimit, duration(120'000));
    EXPECT_FALSE(valueOf(loaded).agent);
    EXPECT_EQ(valueOf(loaded).entry->maxConnectionsPerAddress, 0U);
    const auto limited = load(valid + "max_connections_per_address = 50\n");
    ASSERT_FALSE(failed(limited)) << describe(errorOf(limited));
    EXPECT_EQ(valueOf(limited).entry->maxConnectionsPerAddress, 50U);
}

TEST(Settings, AnErrorNamesFileLineKeyAndRemedy)
{
    struct bad_file {
        std::string text;
        std::string line;
        std::string key;
    };
    const bad_file cases[] = {
        {replaced(valid, "http = \"127.0.0.1:8080\"", "httpp = \"127.0.0.1:8080\""), ":10:", "entry.httpp"},
        {replaced(valid, "http = \"127.0.0.1:8080\"", "http = 8080"), ":10:", "entry.http"},
        {replaced(valid, "http = \"127.0.0.1:8080\"", "http = \"localhost\""), ":10:", "entry.http"},
        {valid + "stop_bound_s = 0\n", ":11:", "entry.stop_bound_s"},
        {valid + "max_connections_per_address = -1\n", ":11:", "entry.max_connections_per_address"},
        {valid + "\n[entrie]\n", ":12:", "entrie"},
        {replaced(valid, "roles = [\"entry\"]", "roles = [\"entri\"]"), ":4:", "process.roles"},
        {replaced(valid, "name = \"entry-1\"\n", ""), ":1:", "process.name"},
        {replaced(valid, "zone = \"mid-a\"", "zone = "), ":3:", ""},
    };
    for (const bad_file &each : cases) {
        const auto loaded = load(each.text);
        ASSERT_TRUE(failed(loaded)) << each.text;
        EXPECT_NE(errorOf(loaded).what.find(each.line), std::string::npos) << describe(errorOf(loaded));
        EXPECT_NE(errorOf(loaded).what.find(each.key), std::string::npos) << describe(errorOf(loaded));
        EXPECT_FALSE(errorOf(loaded).remedy.empty());
    }
}

TEST(Settings, RejectsAReplicaThatIsNotAmongThePeers)
{
    const auto loaded = load(replaced(valid, "\"entry\"]", "\"entry\", \"control\"]") + "\n[replica]\nnumber = 2\ndata = \"x\"\n");
    ASSERT_TRUE(failed(loaded));
    EXPECT_NE(errorOf(loaded).what.find("replica.number"), std::string::npos);
}
