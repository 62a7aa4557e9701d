#include "process/crashing_server.h"
#include "process/platform_processes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

using namespace carawayloft::test_support;

namespace {

using steady = std::chrono::steady_clock;

/** Time within which what one gateway learns is in force at all of them. */
constexpr std::chrono::seconds contactWindow{3};

/** One control replica, two gateways, and servers that are part of this test process. */
class PlatformIncidents : public platform_processes
{
protected:
    void startSystem(std::size_t servers, const std::string &poison)
    {
        writeCore("core", 1);
        m_core = start("core", "true");
        for (int host : {2, 3}) {
            const std::string ip = net() + std::to_string(host);
            const std::string name = "front-" + std::to_string(host);
            write(name, common() + "nodeName=" + name + "\nserves=front\nip=" + ip + "\nlisten.front=" + ip + ":8227\nlisten.ready=" + ip + ":8220\n");
            m_fronts.push_back(start(name, "true"));
        }
        for (std::size_t i = 0; i < servers; ++i) {
            m_servers.push_back(
                std::make_unique<crashing_server>(crashing_server::options{"i-" + std::to_string(i), net() + std::to_string(10 + i), coreAddress(1), poison}));
        }
        await("the configuration is taken", [this] { return put(coreAddress(1), routes()) == 200; });
        for (int host : {2, 3}) {
            await("the gateway serves", [&] { return call(host, "aa:40,own:5") == 200; });
        }
    }

    static std::string routes()
    {
        nlohmann::json all = nlohmann::json::parse(configuration(1));
        all["routes"][0]["kind"] = "idempotent";
        all["routes"][0]["attempts"] = 2;
        return all.dump();
    }

    /** Sends a request with a path of its own; the status. */
    int call(int host, const std::string &promptParts)
    {
        const int number = ++m_requests;
        http_question question;
        question.url = "http://" + net() + std::to_string(host) + ":8227/records/" + std::to_string(number);
        question.headers = {"Host: ledger.example",
                            "X-Carawayloft-Request-Id: r" + std::to_string(number),
                            "Authorization: Token key-1",
                            "X-Carawayloft-Prompt-Prefix: " + promptParts};
        question.timeoutMs = 3'000;
        return ask(question).status;
    }

    std::vector<steady::time_point> crashes() const
    {
        std::vector<steady::time_point> all;
        for (const auto &each : m_servers) {
            const auto own = each->crashes();
            all.insert(all.end(), own.begin(), own.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    std::vector<crashing_server::arrival> arrivals() const
    {
        std::vector<crashing_server::arrival> all;
        for (const auto &each : m_servers) {
            const auto own = each->arrivals();
            all.insert(all.end(), own.begin(), own.end());
        }
        return all;
    }

    std::atomic<int> m_requests = 0;
    std::unique_ptr<child> m_core;
    std::vector<std::unique_ptr<child>> m_fronts;
    std::vector<std::unique_ptr<crashing_server>> m_servers;
};

} // namespace

TEST_F(PlatformIncidents, APromptPartThatCrashesServersStopsReachingThem)
{
    startSystem(4, "dead");
    const auto begin = steady::now();
    std::atomic<int> soundServed = 0;
    std::atomic<int> soundAsked = 0;
    std::jthread sound([&](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            ++soundAsked;
            soundServed += call(2 + m_requests % 2, "aa:40,own:5") == 200 ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
        }
    });
    bool counted = false;
    while (steady::now() < begin + std::chrono::seconds(12)) {
        call(2 + m_requests % 2, "aa:40,dead:10,own:5");
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
        if (!counted && steady::now() > begin + 2 * contactWindow) {
            counted = true;
            soundAsked = 0;
            soundServed = 0;
        }
    }
    sound.request_stop();
    sound.join();
    const auto ended = crashes();
    ASSERT_GE(ended.size(), 2U);
    const auto bound = ended[std::min<std::size_t>(ended.size(), 5) - 1] + contactWindow;
    const auto all = arrivals();
    EXPECT_LE(std::count_if(all.begin(), all.end(), [&](const auto &each) { return each.poisonous && each.at > bound; }), 3) << ended.size() << " crashes";
    EXPECT_GE(soundServed * 2, soundAsked.load());
}

TEST_F(PlatformIncidents, AServerThatNamesALimitGetsNoMoreFromAllGatewaysTogether)
{
    constexpr double limit = 2.0;
    constexpr std::chrono::seconds window{4};
    constexpr double allowed = 1.5 * limit * window.count() + 5.0;
    startSystem(2, {});
    for (const auto &each : m_servers) {
        each->setAnswerHeader("Server-Limit: 2.0");
    }
    const auto begin = steady::now();
    std::vector<std::jthread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([this, i](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                call(2 + i % 2, "aa:40,own:5");
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
        });
    }
    std::this_thread::sleep_for(contactWindow + 3 * window);
    const auto end = steady::now();
    for (const auto &each : m_servers) {
        std::vector<steady::time_point> late;
        for (const auto &arrival : each->arrivals()) {
            if (arrival.at > begin + contactWindow && arrival.at < end) {
                late.push_back(arrival.at);
            }
        }
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < late.size(); ++last) {
            while (late[last] >= late[first] + window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        EXPECT_LE(static_cast<double>(most), allowed);
        EXPECT_GE(static_cast<double>(late.size()), limit * window.count()); // It is not starved either.
        each->setAnswerHeader({});
    }
    const auto lifted = steady::now();
    const auto busiestSecond = [&](const crashing_server &server) {
        const auto all = server.arrivals();
        return std::count_if(all.begin(), all.end(), [](const auto &each) { return each.at > steady::now() - std::chrono::seconds(1); });
    };
    await("the servers get more once they name no limit", [&] { return busiestSecond(*m_servers[0]) > 10 && busiestSecond(*m_servers[1]) > 10; });
    EXPECT_LT(steady::now() - lifted, std::chrono::seconds(10));
}

TEST_F(PlatformIncidents, AServerThatSaysItLeavesGetsNothingMoreFromAnyGateway)
{
    constexpr std::chrono::seconds drainTime{2};
    startSystem(2, {});
    m_servers[0]->setAnswerHeader("Server-Leaving: 1");
    const auto begin = steady::now();
    while (steady::now() < begin + drainTime + std::chrono::seconds(2)) {
        call(2 + m_requests % 2, "aa:40,own:5");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const auto all = m_servers[0]->arrivals();
    EXPECT_EQ(std::count_if(all.begin(), all.end(), [&](const auto &each) { return each.at > begin + drainTime; }), 0);
    EXPECT_EQ(call(2, "aa:40,own:5"), 200);
}

TEST_F(PlatformIncidents, AServerThatSaysItLeavesGetsNothingMoreWithoutControl)
{
    constexpr std::chrono::seconds drainTime{2};
    startSystem(2, {});
    m_core->signal(SIGSTOP);
    m_servers[0]->setAnswerHeader("Server-Leaving: 1");
    const auto begin = steady::now();
    while (steady::now() < begin + drainTime) {
        call(2, "aa:40,own:5");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const std::size_t before = m_servers[0]->arrivals().size();
    m_core->signal(SIGCONT);
    await("the gateway serves again", [this] { return call(2, "aa:40,own:5") == 200; });
    for (int i = 0; i < 100; ++i) {
        call(2, "aa:40,own:5");
    }
    EXPECT_EQ(m_servers[0]->arrivals().size(), before);
}

TEST_F(PlatformIncidents, AServerThatAsksForAPauseGetsAtMostTwoRequestsFromAGatewayMeanwhile)
{
    constexpr std::chrono::milliseconds reaction{500};
    constexpr std::chrono::seconds pause{3};
    startSystem(1, {});
    m_servers[0]->setRefusal("Retry-After: 3");
    const auto begin = steady::now();
    while (steady::now() < begin + pause) {
        EXPECT_EQ(call(2, "aa:40,own:5"), 503);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const auto all = m_servers[0]->arrivals();
    const auto first = std::find_if(all.begin(), all.end(), [&](const auto &each) { return each.at > begin; });
    ASSERT_NE(first, all.end());
    EXPECT_LE(std::count_if(first, all.end(), [&](const auto &each) { return each.at > first->at + reaction && each.at < first->at + pause; }), 2);
    m_servers[0]->setRefusal({});
    await("the server gets requests again", [this] { return call(2, "aa:40,own:5") == 200; });
}
