#include "process/cluster.h"

#include <csignal>
#include <filesystem>
#include <set>

using namespace carawayloft::test_support;

/** Control replicas and one entry, without backend servers. */
static cluster_options onlyControl(const std::string &replicaSettings = {})
{
    cluster_options options;
    options.entries = 1;
    options.engines = options.records = 0;
    options.replicaSettings = replicaSettings;
    return options;
}

static std::string zoneState(const cluster &cluster, const std::string &zone)
{
    const nlohmann::json status = cluster.status();
    for (const auto &each : status.is_object() ? status["zones"] : nlohmann::json::array()) {
        if (each["zone"] == zone) {
            return each["state"];
        }
    }
    return {};
}

static std::string nameOf(unsigned control)
{
    return "control-" + std::to_string(control);
}

TEST(Control, HundredsOfChangesSurviveARestartOfAll)
{
    cluster cluster(onlyControl("entries_to_compact = 50\n"));
    constexpr unsigned changes = 300;
    http_question change;
    change.method = "POST";
    change.timeoutMs = 3'000;
    unsigned accepted = 0;
    ASSERT_TRUE(cluster.await("a leader", [&] { return cluster.leader() != 0; }));
    change.url = cluster.controlUrl(cluster.leader()) + "/v1/commands";
    for (unsigned i = 1; i <= changes; ++i) {
        change.body = nlohmann::json{
            {"type", "put_account"},
            {"command_id", "c" + std::to_string(i)},
            {"author", "tariq"},
            {"account", "a" + std::to_string(i % 7)},
            {"key", "k" + std::to_string(i)},
            {"weight", i}}.dump();
        accepted += ask(change).status == 200 ? 1 : 0;
    }
    ASSERT_EQ(accepted, changes);
    const std::string before = cluster.tool({"accounts", "--json"}).second;
    EXPECT_NE(before.find(std::to_string(changes)), std::string::npos);
    for (unsigned i = 1; i <= 3; ++i) {
        cluster.process(nameOf(i)).kill();
    }
    for (unsigned i = 1; i <= 3; ++i) {
        cluster.startControl(i);
    }
    ASSERT_TRUE(cluster.await("a leader", [&] { return cluster.leader() != 0; }));
    EXPECT_EQ(cluster.tool({"accounts", "--json"}).second, before);
    EXPECT_NE(cluster.process(nameOf(1)).log().find("log_recovered"), std::string::npos);
}

TEST(Control, AnAcceptedChangeSurvivesALostDiskAndThenASecondLostHost)
{
    cluster cluster(onlyControl());
    ASSERT_EQ(cluster.tool({"zone", "arriving", "mid-d"}).first, 0);
    const unsigned leader = cluster.leader();
    const unsigned repaired = leader % 3 + 1;
    const unsigned lostNext = repaired % 3 + 1;
    cluster.process(nameOf(repaired)).kill();
    std::filesystem::remove_all(cluster.dataFolder(repaired));
    cluster.startControl(repaired);
    ASSERT_TRUE(cluster.await("the replica is a voter under a new incarnation", [&] {
        const nlohmann::json status = cluster.status();
        for (const auto &each : status.is_object() ? status["replicas"] : nlohmann::json::array()) {
            const auto id = each["replica"].get<std::uint64_t>();
            if (id >> 32U == repaired && (id & 0xFFFFFFFFU) != 1 && each["role"] == "voter") {
                return true;
            }
        }
        return false;
    }));
    cluster.process(nameOf(lostNext)).kill();
    ASSERT_TRUE(cluster.await("a leader", [&] { return cluster.leader() != 0; }));
    EXPECT_EQ(zoneState(cluster, "mid-d"), "arriving");
    EXPECT_EQ(cluster.tool({"zone", "back", "mid-d"}).first, 0);
    EXPECT_EQ(zoneState(cluster, "mid-d"), "serving");
}

TEST(Control, AFrozenLeaderThatThawsAnswersNothingOldAsCurrent)
{
    cluster cluster(onlyControl());
    ASSERT_EQ(cluster.tool({"zone", "arriving", "mid-d"}).first, 0);
    const unsigned frozen = cluster.leader();
    cluster.process(nameOf(frozen)).signal(SIGSTOP);
    // The question waits in the frozen process's socket and is the first thing it reads when it thaws.
    http_question question;
    question.url = cluster.controlUrl(frozen) + "/v1/zones";
    question.timeoutMs = 60'000;
    auto waiting = askLater(question);
    ASSERT_TRUE(cluster.await("another leader", [&] {
        const unsigned now = cluster.leader();
        return now != 0 && now != frozen;
    }));
    ASSERT_EQ(cluster.tool({"zone", "back", "mid-d"}).first, 0);
    cluster.process(nameOf(frozen)).signal(SIGCONT);
    const http_answer answer = waiting.get();
    EXPECT_TRUE(answer.status != 200 || answer.body.find("arriving") == std::string::npos) << answer.status << ' ' << answer.body;
}

TEST(Control, TwoOperatorsWithEqualNumbersGetOneWinnerAndATypedConflict)
{
    cluster cluster(onlyControl());
    ASSERT_EQ(cluster.tool({"zone", "arriving", "mid-d"}).first, 0);
    const std::string seen = cluster.status()["revision"].dump();
    const auto race = [&](const std::string &state, const std::string &author) {
        http_question change;
        change.method = "POST";
        change.url = cluster.controlUrl(cluster.leader()) + "/v1/commands";
        change.body = nlohmann::json{
            {"type", "put_zone"},
            {"command_id", "race-" + author},
            {"author", author},
            {"seen", std::stoul(seen)},
            {"zone", "mid-d"},
            {"state",
             state}}.dump();
        return askLater(change);
    };
    auto priya = race("serving", "priya");
    auto tom = race("leaving", "tom");
    const http_answer first = priya.get();
    const http_answer second = tom.get();
    ASSERT_EQ((first.status == 200) + (second.status == 200), 1);
    const http_answer &loser = first.status == 200 ? second : first;
    EXPECT_EQ(loser.status, 409);
    EXPECT_NE(loser.body.find("revision_conflict"), std::string::npos) << loser.body;
    EXPECT_NE(loser.body.find(first.status == 200 ? "priya" : "tom"), std::string::npos) << loser.body;
}

TEST(Control, AResentCommandGetsTheFirstAnswerAlsoFromAnotherLeaderAndAfterARestart)
{
    cluster cluster(onlyControl());
    const auto first = cluster.tool({"zone", "arriving", "mid-d", "--request-id", "move-1"});
    ASSERT_EQ(first.first, 0);
    ASSERT_EQ(cluster.tool({"zone", "back", "mid-d"}).first, 0);
    const unsigned leader = cluster.leader();
    cluster.process(nameOf(leader)).kill();
    ASSERT_TRUE(cluster.await("another leader", [&] { return cluster.leader() != 0; }));
    EXPECT_EQ(cluster.tool({"zone", "arriving", "mid-d", "--request-id", "move-1"}).second, first.second);
    EXPECT_EQ(zoneState(cluster, "mid-d"), "serving");
    cluster.startControl(leader);
    for (unsigned i = 1; i <= 3; ++i) {
        cluster.process(nameOf(i)).kill();
        cluster.startControl(i);
    }
    ASSERT_TRUE(cluster.await("a leader", [&] { return cluster.leader() != 0; }));
    EXPECT_EQ(cluster.tool({"zone", "arriving", "mid-d", "--request-id", "move-1"}).second, first.second);
    EXPECT_EQ(zoneState(cluster, "mid-d"), "serving");
}

TEST(Control, ADamagedLogStopsTheReplicaWithARemedyAndItRejoinsWithAnEmptyDisk)
{
    cluster cluster(onlyControl());
    for (int i = 0; i < 5; ++i) {
        ASSERT_EQ(cluster.tool({"zone", i % 2 == 0 ? "arriving" : "back", "mid-d"}).first, 0);
    }
    const unsigned damaged = cluster.leader() % 3 + 1;
    cluster.process(nameOf(damaged)).signal(SIGTERM);
    EXPECT_EQ(cluster.process(nameOf(damaged)).wait(), 0);
    const std::string segment = cluster.dataFolder(damaged) + "/segment-0";
    FILE *file = fopen(segment.c_str(), "r+b");
    ASSERT_NE(file, nullptr);
    fseek(file, 40, SEEK_SET);
    fputc(0x5A, file);
    fclose(file);
    cluster.startControl(damaged);
    EXPECT_EQ(cluster.process(nameOf(damaged)).wait(), 4);
    EXPECT_NE(cluster.process(nameOf(damaged)).log().find("remove this replica's data folder"), std::string::npos);
    std::filesystem::remove_all(cluster.dataFolder(damaged));
    cluster.startControl(damaged);
    ASSERT_TRUE(cluster.await("three voters", [&] {
        const nlohmann::json status = cluster.status();
        std::size_t voters = 0;
        for (const auto &each : status.is_object() ? status["replicas"] : nlohmann::json::array()) {
            voters += each["role"] == "voter" ? 1 : 0;
        }
        return voters == 3;
    }));
}

TEST(Control, EveryOperatorsCommandDoesWhatItsPageSays)
{
    cluster_options options;
    options.entries = 1;
    options.engines = 0;
    cluster cluster(options);
    cluster.bringUp();
    ASSERT_EQ(cluster.tool({"zone", "arriving", "mid-d"}).first, 0);
    const std::vector<std::pair<std::string, std::string>> lists{{"status", "checklist-records"},
                                                                 {"zones", "mid-d"},
                                                                 {"groups", "records-1"},
                                                                 {"hosts", "records-1"},
                                                                 {"services", "checklist-records"},
                                                                 {"accounts", "closedesk"}};
    for (const auto &[command, expected] : lists) {
        const auto shown = cluster.tool({command});
        EXPECT_EQ(shown.first, 0) << command;
        EXPECT_NE(shown.second.find(expected), std::string::npos) << command << shown.second;
        EXPECT_EQ(cluster.tool({command, "--help"}).first, 0) << command;
    }
    const auto intent = cluster.tool({"intent", "empty mid-a by Sunday noon", "--time-zone", "UTC"});
    EXPECT_EQ(intent.first, 0);
    EXPECT_NE(intent.second.find("meets the deadline"), std::string::npos) << intent.second;
    EXPECT_NE(intent.second.find("12:00 UTC"), std::string::npos) << intent.second;
    const std::string plan = intent.second.substr(5, intent.second.find(':') - 5);
    EXPECT_NE(cluster.tool({"plan", "list"}).second.find("proposed"), std::string::npos);
    EXPECT_EQ(cluster.tool({"plan", "cancel", plan}).first, 0);
    const auto late = cluster.tool({"plan", "confirm", plan});
    EXPECT_EQ(late.first, 1);
    EXPECT_NE(late.second.find("state the intent again"), std::string::npos) << late.second;
    EXPECT_EQ(cluster.tool({"zone", "out", "nowhere"}).first, 1);
    EXPECT_EQ(cluster.tool({"no-such-command"}).first, 2);
}

TEST(Control, ALostQuorumRefusesSignOffsAsNotRunUntilItIsBack)
{
    cluster_options options;
    options.entries = 1;
    options.engines = 0;
    cluster cluster(options);
    cluster.bringUp();
    cluster.process(nameOf(1)).kill();
    cluster.process(nameOf(2)).kill();
    const http_answer refused = ask(cluster.signOff(1, "k", "{}", 2'000));
    EXPECT_GE(refused.status, 503);
    EXPECT_EQ(refused.headers.at("carawayloft-outcome"), "did-not-run");
    EXPECT_TRUE(cluster.callsRun().empty());
    cluster.startControl(1);
    EXPECT_TRUE(cluster.await("sign-offs again", [&] { return ask(cluster.signOff(1, "k2", "{}", 2'000)).status == 200; }));
}

TEST(Control, AFullDiskRefusesChangesWithARemedy)
{
    cluster cluster(onlyControl("min_free_mb = 1000000000000\n"));
    ASSERT_TRUE(cluster.await("a leader", [&] { return cluster.leader() != 0; }));
    http_question change;
    change.method = "POST";
    change.url = cluster.controlUrl(cluster.leader()) + "/v1/commands";
    change.body = R"({"type":"put_zone","command_id":"c","author":"tariq","zone":"mid-d","state":"arriving"})";
    const http_answer refused = ask(change);
    EXPECT_EQ(refused.status, 503);
    EXPECT_NE(refused.body.find("disk_full"), std::string::npos) << refused.body;
    EXPECT_NE(refused.body.find("free space"), std::string::npos) << refused.body;
    EXPECT_EQ(zoneState(cluster, "mid-d"), "");
}

TEST(Control, HostileFramesCloseTheConnectionAndNothingElse)
{
    cluster cluster(onlyControl());
    ASSERT_EQ(cluster.tool({"zone", "arriving", "mid-d"}).first, 0);
    // An HTTP request is a frame of an absurd length to the frame port.
    http_question wrongPort;
    wrongPort.url = cluster.controlUrl(1);
    const std::size_t colon = wrongPort.url.rfind(':');
    const unsigned http = static_cast<unsigned>(std::stoul(wrongPort.url.substr(colon + 1)));
    for (unsigned i = 1; i <= 3; ++i) {
        wrongPort.url = "http://127.0.0.1:" + std::to_string(http - 11 + i);
        EXPECT_EQ(ask(wrongPort).status, 0);
        EXPECT_TRUE(cluster.await("the frame is logged", [&] { return cluster.process(nameOf(i)).log().find("frame_rejected") != std::string::npos; }));
    }
    EXPECT_EQ(zoneState(cluster, "mid-d"), "arriving");
}

TEST(Control, AnEntryServesNothingBeforeAQuorumConfirmedItsConfiguration)
{
    cluster cluster(onlyControl());
    ASSERT_EQ(cluster.tool({"accounts", "put", "closedesk", "--key", "test-key"}).first, 0);
    http_question ready;
    ready.url = cluster.entryUrl(1) + "/readyz";
    ASSERT_TRUE(cluster.await("the entry is ready", [&] { return ask(ready).status == 200; }));
    // One replica of three is left: it has the configuration, but it cannot say that it is current.
    cluster.process(nameOf(1)).kill();
    cluster.process(nameOf(2)).kill();
    cluster.process("entry-1").kill();
    cluster.startEntry(1);
    http_question alive = ready;
    alive.url = cluster.entryUrl(1) + "/healthz";
    ASSERT_TRUE(cluster.await("the entry runs", [&] { return ask(alive).status == 200; }));
    ASSERT_TRUE(cluster.await(
        "the entry has asked the replica that is left", [&] { return cluster.process("entry-1").log().find("peer=control-3") != std::string::npos; }));
    EXPECT_EQ(ask(ready).status, 503);
    const http_answer refused = ask(cluster.question(1, "hello", 1));
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.at("carawayloft-outcome"), "did-not-run");
    cluster.startControl(1);
    EXPECT_TRUE(cluster.await("the entry is ready", [&] { return ask(ready).status == 200; }));
}
