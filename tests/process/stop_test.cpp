#include "process/cluster.h"

#include <atomic>
#include <csignal>

using namespace carawayloft::test_support;

static constexpr unsigned tokens = 150;

static cluster_options slowEngines()
{
    cluster_options options;
    options.records = 0;
    options.engineOptions = {"--token-ms", "15", "--cold-ms", "100", "--cold-limit", "8"};
    return options;
}

namespace {

/** Streams that are under way. */
struct open_streams {
    std::vector<http_question> questions;
    std::vector<std::future<http_answer>> answers;
    std::shared_ptr<std::atomic<int>> pieces = std::make_shared<std::atomic<int>>(0);
};

} // namespace

static open_streams openStreams(const cluster &cluster, unsigned entry, unsigned count)
{
    open_streams streams;
    for (unsigned i = 0; i < count; ++i) {
        http_question question = cluster.question(entry, "stream " + std::to_string(i), tokens);
        question.onBytes = [pieces = streams.pieces](const std::string &) { ++*pieces; };
        streams.questions.push_back(question);
        streams.answers.push_back(askLater(question));
    }
    EXPECT_TRUE(cluster.await("the streams have begun", [&] { return *streams.pieces > static_cast<int>(count) * 5; }));
    return streams;
}

static void expectWhole(open_streams &streams)
{
    for (std::size_t i = 0; i < streams.answers.size(); ++i) {
        const http_answer answer = streams.answers[i].get();
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(streamedText(answer.body), expectedText(streams.questions[i].body, tokens));
    }
}

TEST(PlannedStop, AnEntryFinishesWhatIsInFlightThoughItIsToldTwice)
{
    cluster cluster(slowEngines());
    cluster.bringUp();
    open_streams streams = openStreams(cluster, 1, 4);
    cluster.process("entry-1").signal(SIGTERM);
    http_question ready;
    ready.url = cluster.entryUrl(1) + "/readyz";
    EXPECT_TRUE(cluster.await("the balancer is told", [&] { return ask(ready).status == 503; }));
    const http_answer refused = ask(cluster.question(1, "too late", 1));
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.at("carawayloft-outcome"), "did-not-run");
    cluster.process("entry-1").signal(SIGTERM);
    expectWhole(streams);
    EXPECT_EQ(cluster.process("entry-1").wait(), 0);
}

TEST(PlannedStop, ALeadsAgentFinishesWhatIsInFlight)
{
    cluster cluster(slowEngines());
    cluster.bringUp();
    open_streams streams = openStreams(cluster, 1, 4);
    cluster.process("agent-engine-1").signal(SIGTERM);
    cluster.process("agent-engine-1").signal(SIGTERM);
    expectWhole(streams);
    EXPECT_EQ(cluster.process("agent-engine-1").wait(), 0);
    EXPECT_EQ(cluster.process("entry-1").log().find("stream_resumed"), std::string::npos);
}

TEST(PlannedStop, AMembersAgentWaitsForTheGroupToFinish)
{
    cluster cluster(slowEngines());
    cluster.bringUp();
    open_streams streams = openStreams(cluster, 1, 4);
    cluster.process("agent-engine-2").signal(SIGTERM);
    expectWhole(streams);
    EXPECT_EQ(cluster.process("agent-engine-2").wait(), 0);
    EXPECT_EQ(cluster.process("entry-1").log().find("stream_resumed"), std::string::npos);
}

TEST(PlannedStop, AControlLeaderHandsOverAndNothingIsCut)
{
    cluster cluster(slowEngines());
    cluster.bringUp();
    open_streams streams = openStreams(cluster, 1, 4);
    const unsigned leader = cluster.leader();
    cluster.process("control-" + std::to_string(leader)).signal(SIGTERM);
    EXPECT_EQ(cluster.process("control-" + std::to_string(leader)).wait(), 0);
    ASSERT_TRUE(cluster.await(
        "another leader", [&] { return cluster.leader() != 0; }, 5));
    expectWhole(streams);
}

TEST(PlannedStop, ABackendServerThatLeavesGetsNoNewWork)
{
    cluster cluster(slowEngines());
    cluster.bringUp();
    open_streams streams = openStreams(cluster, 1, 4);
    http_question leaving;
    leaving.method = "POST";
    leaving.url = cluster.backendUrl("engine-1") + "/fake/leaving";
    ASSERT_EQ(ask(leaving).status, 200);
    ASSERT_TRUE(cluster.await("its group is dissolved", [&] { return cluster.status()["groups"].size() == 1; }));
    expectWhole(streams);
    for (unsigned i = 0; i < 5; ++i) {
        EXPECT_EQ(ask(cluster.question(2, "afterwards " + std::to_string(i), 1)).status, 200);
    }
    EXPECT_EQ(cluster.process("entry-1").log().find("stream_resumed"), std::string::npos);
}

TEST(PlannedStop, WhatPassesTheBoundIsReported)
{
    cluster_options options = slowEngines();
    options.entrySettings = "stop_bound_s = 1\n";
    cluster cluster(options);
    cluster.bringUp();
    open_streams streams = openStreams(cluster, 1, 2);
    cluster.process("entry-1").signal(SIGTERM);
    EXPECT_EQ(cluster.process("entry-1").wait(), 0);
    EXPECT_NE(cluster.process("entry-1").log().find("name=stop_overdue"), std::string::npos);
    for (auto &each : streams.answers) {
        EXPECT_FALSE(each.get().whole);
    }
}
