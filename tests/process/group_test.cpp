#include "process/cluster.h"

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

using namespace carawayloft::test_support;

/** Engines only, that take long enough over an answer for something to happen in the middle of it. */
static cluster_options onlyEngines(unsigned tokenMs = 20, const std::string &replicaSettings = "repair_delay_ms = 1500\n")
{
    cluster_options options;
    options.records = 0;
    options.engineOptions = {"--token-ms", std::to_string(tokenMs), "--cold-ms", "100"};
    options.replicaSettings = replicaSettings;
    return options;
}

static nlohmann::json engineStats(const cluster &cluster, const std::string &engine)
{
    http_question question;
    question.url = cluster.backendUrl(engine) + "/fake/stats";
    return nlohmann::json::parse(ask(question).body, nullptr, false);
}

/** The engine that generates an answer at present, or an empty name. */
static std::string busyEngine(const cluster &cluster)
{
    for (const char *engine : {"engine-1", "engine-3"}) {
        const nlohmann::json stats = engineStats(cluster, engine);
        if (stats.is_object() && stats["running"] > 0) {
            return engine;
        }
    }
    return {};
}

static std::string partnerOf(const std::string &lead)
{
    return lead == "engine-1" ? "engine-2" : "engine-4";
}

/** Loses something in the middle of a stream; the caller must get every token once all the same. */
static void loseInMidStream(const std::function<void(cluster &, const std::string &lead)> &lose)
{
    cluster cluster(onlyEngines());
    cluster.bringUp();
    constexpr unsigned tokens = 200;
    http_question question = cluster.question(1, "a long answer", tokens);
    std::atomic<int> pieces{0};
    question.onBytes = [&](const std::string &) { ++pieces; };
    auto answer = askLater(question);
    ASSERT_TRUE(cluster.await("the stream has begun", [&] { return pieces > 20; }));
    const std::string lead = busyEngine(cluster);
    ASSERT_FALSE(lead.empty());
    lose(cluster, lead);
    const http_answer got = answer.get();
    EXPECT_TRUE(got.whole);
    EXPECT_EQ(streamedText(got.body), expectedText(question.body, tokens));
    EXPECT_TRUE(got.body.ends_with("data: [DONE]\n\n"));
    EXPECT_NE(cluster.process("entry-1").log().find("stream_resumed"), std::string::npos);
}

TEST(Group, AStreamGoesOnElsewhereWhenTheLeadIsKilled)
{
    loseInMidStream([](cluster &cluster, const std::string &lead) { cluster.process("agent-" + lead).kill(); });
}

TEST(Group, AStreamGoesOnElsewhereWhenTheEngineIsKilled)
{
    loseInMidStream([](cluster &cluster, const std::string &lead) { cluster.process(lead).kill(); });
}

TEST(Group, AKilledMemberSilencesItsGroupAndTheStreamGoesOnElsewhere)
{
    loseInMidStream([](cluster &cluster, const std::string &lead) {
        cluster.process("agent-" + partnerOf(lead)).kill();
        EXPECT_TRUE(cluster.await("the group is silenced", [&] { return cluster.process("agent-" + lead).log().find("group_silenced") != std::string::npos; }));
    });
}

TEST(Group, AFrozenMemberSilencesItsGroupAndTheStreamGoesOnElsewhere)
{
    loseInMidStream([](cluster &cluster, const std::string &lead) {
        cluster.process("agent-" + partnerOf(lead)).signal(SIGSTOP);
        EXPECT_TRUE(cluster.await("the group is silenced", [&] { return cluster.process("agent-" + lead).log().find("group_silenced") != std::string::npos; }));
        cluster.process("agent-" + partnerOf(lead)).signal(SIGCONT);
    });
}

TEST(Group, AStreamGoesOnElsewhereWhenItsFabricDomainGoesDarkAtOnce)
{
    loseInMidStream([](cluster &cluster, const std::string &lead) {
        for (const std::string &host : {lead, partnerOf(lead)}) {
            cluster.process("agent-" + host).kill();
            cluster.process(host).kill();
        }
    });
}

TEST(Group, AMemberWhoseBackendServerDiedIsMissing)
{
    loseInMidStream([](cluster &cluster, const std::string &lead) { cluster.process(partnerOf(lead)).kill(); });
}

TEST(Group, AFrozenLeadThatThawsWritesNothingForItsOldGroup)
{
    cluster cluster(onlyEngines());
    cluster.bringUp();
    http_question question = cluster.question(1, "frozen", 200);
    question.headers.emplace_back("Carawayloft-Timeout-Ms: 60000");
    std::atomic<int> pieces{0};
    question.onBytes = [&](const std::string &) { ++pieces; };
    auto answer = askLater(question);
    ASSERT_TRUE(cluster.await("the stream has begun", [&] { return pieces > 20; }));
    const std::string lead = busyEngine(cluster);
    ASSERT_FALSE(lead.empty());
    const std::size_t logged = cluster.process("agent-" + lead).log().size();
    cluster.process("agent-" + lead).signal(SIGSTOP);
    ASSERT_TRUE(cluster.await("control has dissolved the group or replaced its lead", [&] {
        const nlohmann::json status = cluster.status();
        for (const auto &group : status.is_object() ? status["groups"] : nlohmann::json::array()) {
            if (group["hosts"][0] == lead) {
                return false;
            }
        }
        return status.is_object();
    }));
    cluster.process("agent-" + lead).signal(SIGCONT);
    const http_answer got = answer.get();
    EXPECT_EQ(streamedText(got.body), expectedText(question.body, 200));
    const std::string after = cluster.process("agent-" + lead).log().substr(logged);
    EXPECT_NE(after.find("group_silenced"), std::string::npos) << after;
}

TEST(Group, AGroupWithALostHostIsDissolvedAndFormedAgainWhenTheHostIsBack)
{
    cluster cluster(onlyEngines());
    cluster.bringUp();
    cluster.process("agent-engine-2").kill();
    cluster.process("engine-2").kill();
    // No spare: the group is dissolved, and formed again when the host is back.
    ASSERT_TRUE(cluster.await("the group is gone", [&] {
        const nlohmann::json status = cluster.status();
        return status.is_object() && status["groups"].size() == 1;
    }));
    cluster.startAgent("engine-2");
    cluster.startBackend("engine-2");
    EXPECT_TRUE(cluster.await("the group serves again", [&] {
        const nlohmann::json status = cluster.status();
        return status.is_object() && status["groups"].size() == 2 && status["groups"][0]["serving"] == true && status["groups"][1]["serving"] == true;
    }));
}

TEST(Group, AZoneTakenOutGetsNoNewWorkAndCutsNothingAndComesBack)
{
    cluster cluster(onlyEngines(5));
    cluster.bringUp();
    std::atomic<bool> stop{false};
    std::atomic<unsigned> whole{0};
    std::atomic<unsigned> cut{0};
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 4; ++i) {
        callers.emplace_back([&, i] {
            for (unsigned n = 0; !stop; ++n) {
                const http_question question = cluster.question(1 + i % 2, "caller " + std::to_string(i) + " asks " + std::to_string(n), 30);
                const http_answer answer = ask(question);
                if (answer.status == 200) {
                    ++(answer.whole && streamedText(answer.body) == expectedText(question.body, 30) ? whole : cut);
                }
            }
        });
    }
    ASSERT_TRUE(cluster.await("work flows", [&] { return whole > 40; }));
    EXPECT_EQ(cluster.tool({"zone", "out", "mid-a", "--now"}).first, 0);
    ASSERT_TRUE(cluster.await("the zone is empty", [&] {
        const nlohmann::json status = cluster.status();
        return status.is_object() && status["groups"].size() == 1;
    }));
    const unsigned long generated = engineStats(cluster, "engine-1")["generated"];
    const unsigned before = whole;
    ASSERT_TRUE(cluster.await("work goes on elsewhere", [&] { return whole > before + 40; }));
    EXPECT_EQ(engineStats(cluster, "engine-1")["generated"], generated);
    EXPECT_EQ(cluster.tool({"zone", "back", "mid-a"}).first, 0);
    EXPECT_TRUE(cluster.await("the zone works again", [&] { return engineStats(cluster, "engine-1")["generated"] > generated; }));
    stop = true;
    for (std::thread &each : callers) {
        each.join();
    }
    EXPECT_EQ(cut, 0U);
}

TEST(Group, AZoneOutStopsNewWorkAlsoWhenItsAgentsAreCutFromControl)
{
    cluster_options options = onlyEngines();
    cluster cluster(options);
    cluster.bringUp();
    // With every control replica frozen no agent hears of anything; its lease ends all the same.
    for (unsigned i = 1; i <= 3; ++i) {
        cluster.process("control-" + std::to_string(i)).signal(SIGSTOP);
    }
    EXPECT_TRUE(cluster.await(
        "no new work",
        [&] {
            const http_answer answer = ask(cluster.question(1, "anyone there", 1));
            return answer.status == 503 && answer.headers.at("carawayloft-outcome") == "did-not-run";
        },
        10));
    for (unsigned i = 1; i <= 3; ++i) {
        cluster.process("control-" + std::to_string(i)).signal(SIGCONT);
    }
    EXPECT_TRUE(cluster.await("work again", [&] { return ask(cluster.question(1, "hello again", 1)).status == 200; }));
}

TEST(Group, AConfirmedPlanMovesAZoneThoughTheControlLeaderIsLost)
{
    cluster cluster(onlyEngines(5));
    cluster.bringUp();
    ASSERT_EQ(cluster.tool({"zone", "out", "mid-b"}).first, 0);
    ASSERT_TRUE(cluster.await("only mid-a serves", [&] { return cluster.status()["groups"].size() == 1; }));
    const auto shown = cluster.tool({"intent", "empty mid-a by Sunday noon into mid-b", "--time-zone", "UTC", "--json"});
    ASSERT_EQ(shown.first, 0) << shown.second;
    const std::string plan = nlohmann::json::parse(shown.second)["plan"].dump();
    EXPECT_EQ(cluster.status()["groups"].size(), 1U);
    std::atomic<bool> stop{false};
    std::atomic<unsigned> cut{0};
    std::thread caller([&] {
        for (unsigned n = 0; !stop; ++n) {
            const http_question question = cluster.question(1, "while moving " + std::to_string(n), 20);
            const http_answer answer = ask(question);
            cut += answer.status == 200 && streamedText(answer.body) != expectedText(question.body, 20) ? 1 : 0;
        }
    });
    ASSERT_EQ(cluster.tool({"plan", "confirm", plan}).first, 0);
    const unsigned leader = cluster.leader();
    cluster.process("control-" + std::to_string(leader)).kill();
    cluster.startControl(leader);
    EXPECT_TRUE(cluster.await(
        "the plan is done",
        [&] {
            const auto now = cluster.tool({"plan", "show", plan, "--json"});
            return now.first == 0 && nlohmann::json::parse(now.second)["state"] == "done";
        },
        60));
    stop = true;
    caller.join();
    EXPECT_EQ(cut, 0U);
    const nlohmann::json status = cluster.status();
    ASSERT_EQ(status["groups"].size(), 1U);
    EXPECT_EQ(status["groups"][0]["zone"], "mid-b");
}
