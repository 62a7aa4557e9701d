#include "process/cluster.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <set>
#include <thread>

using namespace carawayloft::test_support;

static std::size_t runsOf(const std::vector<std::string> &calls, const std::string &body)
{
    return static_cast<std::size_t>(std::count(calls.begin(), calls.end(), body));
}

static std::string outcomeOf(const http_answer &answer)
{
    const auto found = answer.headers.find("carawayloft-outcome");
    return found == answer.headers.end() ? std::string() : found->second;
}

/** A record service that takes its time, so that a process can be lost in the middle of a call. */
static cluster_options slowRecords(unsigned milliseconds)
{
    cluster_options options;
    options.engines = 0;
    options.recordOptions = {"--delay-ms", std::to_string(milliseconds)};
    return options;
}

TEST(AtMostOnce, AnEntryKilledAfterDispatchLeavesTheOutcomeUnknownAndNothingRunsTwice)
{
    cluster cluster(slowRecords(1'500));
    cluster.bringUp();
    const std::string body = "{\"step\":1}";
    auto first = askLater(cluster.signOff(1, "k1", body, 1'000));
    ASSERT_TRUE(cluster.await("the call runs", [&] { return runsOf(cluster.callsRun(), body) == 1; }));
    cluster.process("entry-1").kill();
    EXPECT_EQ(first.get().status, 0);
    const http_answer resend = ask(cluster.signOff(2, "k1", body, 8'000));
    EXPECT_EQ(resend.status, 504);
    EXPECT_EQ(outcomeOf(resend), "unknown");
    EXPECT_EQ(runsOf(cluster.callsRun(), body), 1U);

    const auto listed = cluster.tool({"claims", "list"});
    EXPECT_NE(listed.second.find("k1"), std::string::npos) << listed.second;
    EXPECT_EQ(cluster.tool({"claims", "settle", "closedesk", "k1", "--outcome", "ran", "--body", "{\"settled\":true}", "--author", "priya"}).first, 0);
    const http_answer settled = ask(cluster.signOff(2, "k1", body));
    EXPECT_EQ(settled.status, 200);
    EXPECT_EQ(settled.body, "{\"settled\":true}");
    EXPECT_NE(cluster.tool({"claims", "show", "closedesk", "k1"}).second.find("priya"), std::string::npos);
    EXPECT_EQ(runsOf(cluster.callsRun(), body), 1U);
}

TEST(AtMostOnce, AnAgentKilledInTheCallLeavesTheOutcomeUnknown)
{
    cluster cluster(slowRecords(1'500));
    cluster.bringUp();
    const std::string body = "{\"step\":2}";
    auto first = askLater(cluster.signOff(1, "k2", body, 6'000));
    ASSERT_TRUE(cluster.await("the call runs", [&] { return runsOf(cluster.callsRun(), body) == 1; }));
    for (unsigned i = 1; i <= 3; ++i) {
        cluster.process("agent-records-" + std::to_string(i)).kill();
    }
    const http_answer answer = first.get();
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(outcomeOf(answer), "unknown");
    const http_answer resend = ask(cluster.signOff(2, "k2", body, 3'000));
    EXPECT_EQ(resend.status, 504);
    EXPECT_EQ(outcomeOf(resend), "unknown");
    EXPECT_EQ(runsOf(cluster.callsRun(), body), 1U);
}

TEST(AtMostOnce, AFrozenAgentThatThawsStartsNothingThatWasGivenUp)
{
    cluster_options options = slowRecords(1);
    options.records = 1;
    cluster cluster(options);
    cluster.bringUp();
    cluster.process("agent-records-1").signal(SIGSTOP);
    const std::string body = "{\"step\":3}";
    const http_answer answer = ask(cluster.signOff(1, "k3", body, 800));
    EXPECT_EQ(answer.status, 504);
    // Sent to a process that may still read it: what is said must allow for that.
    const std::string said = outcomeOf(answer);
    cluster.process("agent-records-1").signal(SIGCONT);
    ASSERT_TRUE(cluster.await("the group serves again", [&] { return ask(cluster.signOff(2, "k3-after", "{\"step\":4}", 2'000)).status == 200; }));
    if (said == "did-not-run") {
        EXPECT_EQ(runsOf(cluster.callsRun(), body), 0U);
    }
    EXPECT_LE(runsOf(cluster.callsRun(), body), 1U);
}

TEST(AtMostOnce, AnEntryFrozenAfterDispatchThatThawsRunsNothingASecondTime)
{
    cluster cluster(slowRecords(500));
    cluster.bringUp();
    const std::string body = "{\"step\":6}";
    auto first = askLater(cluster.signOff(1, "k6", body, 1'500));
    ASSERT_TRUE(cluster.await("the call runs", [&] { return runsOf(cluster.callsRun(), body) == 1; }));
    cluster.process("entry-1").signal(SIGSTOP);
    const http_answer resend = ask(cluster.signOff(2, "k6", body, 8'000));
    EXPECT_EQ(resend.status, 504);
    EXPECT_EQ(outcomeOf(resend), "unknown");
    cluster.process("entry-1").signal(SIGCONT);
    first.get();
    const http_answer later = ask(cluster.signOff(2, "k6", body, 8'000));
    EXPECT_TRUE(later.status == 200 || outcomeOf(later) == "unknown") << later.status;
    EXPECT_EQ(runsOf(cluster.callsRun(), body), 1U);
}

TEST(AtMostOnce, ACallerWhoHangsUpDoesNotStopASignOff)
{
    cluster cluster(slowRecords(800));
    cluster.bringUp();
    http_question impatient = cluster.signOff(1, "k5", "{\"step\":5}");
    impatient.timeoutMs = 300;
    EXPECT_EQ(ask(impatient).status, 0);
    const http_answer resend = ask(cluster.signOff(2, "k5", "{\"step\":5}"));
    EXPECT_EQ(resend.status, 200);
    EXPECT_EQ(runsOf(cluster.callsRun(), "{\"step\":5}"), 1U);
}

/**
 * Several callers file sign-offs over two entries and send each again until they hear what became of
 * it, while leaders of control and agents are killed and frozen. The services' own logs are the judge.
 */
TEST(AtMostOnce, ThousandsOfSignOffsRunAtMostOnceWhileProcessesAreLost)
{
    cluster_options options;
    options.engines = 0;
    cluster cluster(options);
    cluster.bringUp();
    constexpr unsigned callers = 8;
    constexpr unsigned signOffsEach = 250;
    std::atomic<unsigned> done{0};
    std::vector<std::vector<std::pair<std::string, http_answer>>> heard(callers);
    std::vector<std::thread> threads;
    for (unsigned caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (unsigned i = 0; i < signOffsEach; ++i) {
                const std::string body = "{\"caller\":" + std::to_string(caller) + ",\"step\":" + std::to_string(i) + "}";
                const std::string key = "c" + std::to_string(caller) + "-" + std::to_string(i);
                const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
                for (unsigned attempt = 0; std::chrono::steady_clock::now() < end; ++attempt) {
                    const http_answer answer = ask(cluster.signOff(1 + (caller + attempt) % 2, key, body, 5'000));
                    heard[caller].emplace_back(body, answer);
                    if (answer.status == 200 || outcomeOf(answer) == "unknown") {
                        break;
                    }
                }
                ++done;
            }
        });
    }
    const auto losesAt = [&](unsigned share, const std::function<void()> &lose) {
        cluster.await(
            "the sign-offs go on", [&] { return done >= callers * signOffsEach * share / 10; }, 120);
        lose();
    };
    losesAt(1, [&] { cluster.process("agent-records-1").kill(); });
    losesAt(2, [&] {
        cluster.startAgent("records-1");
        const unsigned leader = cluster.leader();
        if (leader != 0) {
            cluster.process("control-" + std::to_string(leader)).kill();
            cluster.startControl(leader);
        }
    });
    losesAt(4, [&] { cluster.process("agent-records-2").signal(SIGSTOP); });
    losesAt(5, [&] { cluster.process("agent-records-2").signal(SIGCONT); });
    losesAt(6, [&] {
        const unsigned leader = cluster.leader();
        if (leader != 0) {
            cluster.process("control-" + std::to_string(leader)).signal(SIGSTOP);
            cluster.await("another leader", [&] { return cluster.leader() != 0 && cluster.leader() != leader; });
            cluster.process("control-" + std::to_string(leader)).signal(SIGCONT);
        }
    });
    for (std::thread &each : threads) {
        each.join();
    }
    std::map<std::string, std::size_t> runs;
    for (const std::string &each : cluster.callsRun()) {
        ++runs[each];
    }
    std::size_t answered = 0;
    std::size_t unknown = 0;
    for (const auto &caller : heard) {
        std::map<std::string, std::string> last;
        for (const auto &[body, answer] : caller) {
            EXPECT_LE(runs[body], 1U) << body;
            if (answer.status == 200) {
                EXPECT_EQ(runs[body], 1U) << body;
                ++answered;
            }
            last[body] = answer.status == 200 ? "answered" : outcomeOf(answer);
        }
        for (const auto &[body, outcome] : last) {
            unknown += outcome == "unknown" ? 1 : 0;
            if (outcome == "did-not-run") {
                EXPECT_EQ(runs[body], 0U) << body;
            }
        }
    }
    EXPECT_EQ(answered + unknown, callers * signOffsEach);
    RecordProperty("answered", static_cast<int>(answered));
    RecordProperty("unknown", static_cast<int>(unknown));
    std::cout << "answered " << answered << ", unknown " << unknown << '\n';
}
