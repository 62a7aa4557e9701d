#include "process/platform_processes.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <vector>

using namespace carawayloft::test_support;

namespace {

/** Three control replicas of which only the first is a seed: the others are known from the log alone. */
class PlatformCore : public platform_processes
{
protected:
    static constexpr int replicas = 3;

    PlatformCore()
    {
        for (int host = 1; host <= replicas; ++host) {
            writeCore(nameOf(host), host);
            startReplica(host, "true");
        }
        await("the configuration is taken", [this] { return accepted(configuration(1)); });
        await("all are voters", [this] {
            for (int host = 1; host <= replicas; ++host) {
                if (metric(host, "carawayloft_log_voters") != replicas) {
                    return false;
                }
            }
            return true;
        });
    }

    static std::string nameOf(int host)
    {
        return "core-" + std::to_string(host);
    }

    void startReplica(int host, const std::string &first)
    {
        m_processes.at(host - 1) = start(nameOf(host), first);
    }

    /** Whether any replica acknowledges the configuration; those that do not lead name another one. */
    bool accepted(const std::string &text) const
    {
        for (int host = 1; host <= replicas; ++host) {
            if (put(coreAddress(host), text) == 200) {
                return true;
            }
        }
        return false;
    }

    /** Whether a replica reads back this version of the configuration, and none an older one. */
    bool allHold(int version) const
    {
        bool held = false;
        for (int host = 1; host <= replicas; ++host) {
            const http_answer answer = get(coreAddress(host) + "/-/config");
            if (answer.status == 200) {
                EXPECT_EQ(answer.body, configuration(version));
                held = true;
            }
        }
        return held;
    }

    /** Sends a check-in or a departure of a backend server to every replica until one confirms it. */
    bool confirmed(const std::string &method, const std::string &body = {}) const
    {
        for (int host = 1; host <= replicas; ++host) {
            http_question question;
            question.method = method;
            question.url = "http://" + coreAddress(host) + "/-/instances/i-1";
            question.body = body;
            question.timeoutMs = 2'000;
            if (ask(question).status == 200) {
                return true;
            }
        }
        return false;
    }

    /** Sends a request whose path holds any bytes, and an engine's check-in as its body, to a replica; the status, zero without an answer. */
    int askRaw(int host, const std::string &method, const std::string &path, int sequence) const
    {
        const std::string body = nlohmann::json{
            {"service", "models"},
            {"address", net() + "51:9000"},
            {"zone", "z-1"},
            {"domain", "d"},
            {"state", "ready"},
            {"models", nlohmann::json::array()},
            {"staged", nlohmann::json::array()},
            {"sequence", sequence},
            {"born",
             1'700'000'000'000}}.dump();
        const std::string address = coreAddress(host);
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        std::error_code failure;
        const std::size_t colon = address.find(':');
        socket.connect({asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))}, failure);
        asio::write(socket,
                    asio::buffer(method + " " + path + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
                                 + "\r\n\r\n" + body),
                    failure);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), failure);
        static constexpr std::size_t statusBegin = std::string_view("HTTP/1.1 ").size();
        return answer.size() > statusBegin ? std::atoi(answer.c_str() + statusBegin) : 0;
    }

    /** Sends the request to each replica; whether the one that leads rejected it and none ended. */
    bool allReject(const std::string &method, const std::string &path, int sequence) const
    {
        bool rejected = false;
        for (int host = 1; host <= replicas; ++host) {
            rejected = askRaw(host, method, path, sequence) == 400 || rejected;
        }
        return rejected && allAlive();
    }

    bool allAlive() const
    {
        return std::all_of(m_processes.begin(), m_processes.end(), [](const auto &each) { return each->isAlive(); });
    }

    std::string checkIn(const std::string &state, int sequence, std::int64_t startedAt = 1'700'000'000'000) const
    {
        return nlohmann::json{
            {"service", "records"}, {"address", net() + "50:9000"}, {"zone", "z-1"}, {"state", state}, {"sequence", sequence}, {"born", startedAt}}
            .dump();
    }

    void restartAll()
    {
        for (const std::unique_ptr<child> &each : m_processes) {
            each->signal(SIGKILL);
        }
        for (const std::unique_ptr<child> &each : m_processes) {
            each->kill();
        }
        for (int host = 1; host <= replicas; ++host) {
            m_logStart.at(host - 1) = m_processes.at(host - 1)->log().size();
            startReplica(host, "false");
        }
    }

    /** Whether a replica has noted the server in this state since the last restart. */
    bool isNoted(const std::string &state) const
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            if (m_processes[i]->log().find(R"("backend":"i-1","state":")" + state, m_logStart[i]) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    /** Whether any replica has logged a line with all of these parts. */
    bool isLogged(const std::vector<std::string> &parts) const
    {
        return std::any_of(m_processes.begin(), m_processes.end(), [&](const auto &process) {
            std::istringstream lines(process->log());
            for (std::string line; std::getline(lines, line);) {
                if (std::all_of(parts.begin(), parts.end(), [&](const std::string &part) { return line.find(part) != std::string::npos; })) {
                    return true;
                }
            }
            return false;
        });
    }

    int leaderHost() const
    {
        int found = 0;
        await("a leader", [&] {
            for (int host = 1; host <= replicas; ++host) {
                found = metric(host, "carawayloft_leads") == 1 ? host : found;
            }
            return found != 0;
        });
        return found;
    }

    std::array<std::unique_ptr<child>, replicas> m_processes;
    std::array<std::size_t, replicas> m_logStart{}; /**< Bytes in the log of each replica at its last restart. */
};

} // namespace

TEST_F(PlatformCore, ReplicasThatAreNoSeedsFindEachOtherAgainAfterAllWereKilled)
{
    for (const std::unique_ptr<child> &each : m_processes) {
        each->kill();
    }
    for (int host = 1; host <= replicas; ++host) {
        startReplica(host, "false");
    }
    await("a change is accepted again", [this] { return accepted(configuration(2)); });
}

TEST_F(PlatformCore, AReplicaThatStartsAgainCatchesUpWithALeaderThatIsNoSeed)
{
    m_processes.front()->kill();
    await("the others go on", [this] { return accepted(configuration(2)); });
    startReplica(1, "false");
    await("it has the whole log", [this] {
        const double index = metric(1, "carawayloft_log_index");
        return index > 0 && index == metric(2, "carawayloft_log_index") && index == metric(3, "carawayloft_log_index");
    });
    m_processes.back()->kill();
    await("it counts for a majority", [this] { return accepted(configuration(3)); });
}

TEST_F(PlatformCore, AReplacementThatKnowsOnlyASeedFindsALeaderThatIsNone)
{
    m_processes.front()->kill();
    await("the others go on", [this] { return accepted(configuration(2)); });
    startReplica(1, "false");
    await("the seed follows", [this] { return metric(1, "carawayloft_log_index") == metric(2, "carawayloft_log_index"); });
    writeCore(nameOf(4), 4);
    const std::unique_ptr<child> replacement = start(nameOf(4), "false");
    await("the replacement is part of the log", [this] { return metric(4, "carawayloft_log_voters") >= 1; });
}

TEST_F(PlatformCore, AnAcknowledgedChangeSurvivesALostDiskWhileAllOthersLosePower)
{
    write("front", common() + "nodeName=front\nserves=front\nip=" + net() + "9\nlisten.front=" + net() + "9:8227\nlisten.ready=" + net() + "9:8220\n");
    int version = 1;
    for (int lost = 1; lost <= replicas; ++lost) {
        const std::unique_ptr<child> gateway = start("front", "false");
        await("the gateway is ready", [this] { return get(net() + "9:8220/-/ready").status == 200; });
        ++version;
        await("the change is acknowledged", [&] { return accepted(configuration(version)); });
        for (const std::unique_ptr<child> &each : m_processes) {
            each->signal(SIGKILL);
        }
        gateway->kill();
        for (const std::unique_ptr<child> &each : m_processes) {
            each->kill();
        }
        wipeDisk(nameOf(lost));
        for (int host = 1; host <= replicas; ++host) {
            startReplica(host, "false");
        }
        await("it is read back", [&] { return allHold(version); });
        await("the replica with the empty disk is a voter again", [&] {
            return metric(lost, "carawayloft_log_voters") == replicas
                   && metric(lost, "carawayloft_log_index") == metric(lost % replicas + 1, "carawayloft_log_index");
        });
    }
}

TEST_F(PlatformCore, ALeaderWhoseDiskIsFullForSecondsGoesOnWithoutARestart)
{
    const int host = leaderHost();
    const std::unique_ptr<child> &leader = m_processes.at(host - 1);
    leader->limitFileSize(1);
    EXPECT_NE(put(coreAddress(host), configuration(2)), 200);
    await("the others go on", [this] { return accepted(configuration(2)); });
    await("they take another change", [this] { return accepted(configuration(3)); });
    EXPECT_TRUE(allHold(3));
    leader->limitFileSize(RLIM_INFINITY);
    await("it catches up", [this] {
        const double index = metric(1, "carawayloft_log_index");
        return index > 0 && index == metric(2, "carawayloft_log_index") && index == metric(3, "carawayloft_log_index");
    });
    EXPECT_NE(leader->log().find("disk_writable"), std::string::npos);
    EXPECT_EQ(leader->log().find("replica_stopped"), std::string::npos);
}

TEST_F(PlatformCore, AConfirmedDepartureIsNotForgottenWhenAllReplicasAreKilled)
{
    await("the server is known", [this] { return confirmed("PUT", checkIn("ready", 1)); });
    ASSERT_TRUE(confirmed("DELETE"));
    restartAll();
    await("a late check-in arrives", [this] { return confirmed("PUT", checkIn("ready", 2)); });
    await("the server leaves", [this] { return isNoted("draining"); });
    EXPECT_FALSE(isNoted("ready"));
    await("another run of it is heard", [this] { return confirmed("PUT", checkIn("ready", 1, 1'700'000'100'000)); });
    await("that one is ready", [this] { return isNoted("ready"); });
}

TEST_F(PlatformCore, AServerThatWasConfirmedToDrainIsNotReadyAgainWhenAllReplicasAreKilled)
{
    await("the server is known", [this] { return confirmed("PUT", checkIn("ready", 1)); });
    ASSERT_TRUE(confirmed("PUT", checkIn("draining", 3)));
    restartAll();
    await("a late check-in arrives", [this] { return confirmed("PUT", checkIn("ready", 2)); });
    await("the server drains", [this] { return isNoted("draining"); });
    EXPECT_FALSE(isNoted("ready"));
}

// The leader ended when it ordered such a server to load its model, and each leader after it.
TEST_F(PlatformCore, CheckInsAndZonesWhoseIdsAreNoTextEndNoReplica)
{
    await("engines are configured", [this] { return accepted(configurationWithEngines(2)); });
    int sequence = 0;
    for (const std::string id : {"i-7f3a\xff\xfe", "i-\xe2\x82", "i-\xed\xa0\x80", "i-\xc0\xaf", "i-\xf4\x90\x80\x80"}) {
        EXPECT_TRUE(allReject("PUT", "/-/instances/" + id, ++sequence)) << id;
        EXPECT_TRUE(allReject("DELETE", "/-/instances/" + id, ++sequence)) << id;
        EXPECT_TRUE(allReject("POST", "/-/evacuations/" + id, ++sequence)) << id;
        EXPECT_TRUE(allReject("DELETE", "/-/evacuations/" + id, ++sequence)) << id;
    }
    await("a sound server is confirmed", [this] { return confirmed("PUT", checkIn("ready", 1)); });
    await("a change is accepted", [this] { return accepted(configuration(3)); });
    EXPECT_TRUE(allAlive());
}

// Guards against a log that does not tell to which run of a server an announcement and an order belong.
TEST_F(PlatformCore, TheLogTellsWhichRunOfAServerAnnouncedItselfAndWasOrdered)
{
    await("engines are configured", [this] { return accepted(configurationWithEngines(2)); });
    const std::string run = R"("started_at":"1700000000000")";
    await("an engine is confirmed", [this] { return askRaw(leaderHost(), "PUT", "/-/instances/e-1", 7) == 200; });
    await("its announcement is logged", [&] { return isLogged({R"("name":"backend_noticed")", R"("backend":"e-1")", R"("announcement":"7")", run}); });
    await("an order to it is logged", [&] { return isLogged({R"("name":"engine_ordered")", R"("backend":"e-1")", run}); });
}

// Each was acknowledged, ended every replica that led once an engine checked in, and did so again after each start.
TEST_F(PlatformCore, ConfigurationsWithOddFiguresEndNoReplicaAndASoundOneFollows)
{
    const std::vector<std::pair<nlohmann::json, nlohmann::json>> odd{{nlohmann::json::object(), {{"share", 0.0}}},
                                                                     {{{"slots", 0}}, nlohmann::json::object()},
                                                                     {nlohmann::json::object(), {{"pace", 0.0}}},
                                                                     {{{"usual", {{"prompt", 0}, {"answer", 0}}}}, nlohmann::json::object()},
                                                                     {{{"usual", {{"prompt", 1e300}, {"answer", 1e300}}}}, nlohmann::json::object()},
                                                                     {nlohmann::json::object(), {{"share", 1e308}, {"pace", 1e308}, {"loadS", 1e308}}}};
    int version = 1;
    int sequence = 0;
    for (const auto &[figures, model] : odd) {
        ++version;
        await("it is acknowledged", [&] { return accepted(configurationWithFigures(version, figures, model)); });
        for (int checkIns = 0; checkIns < 2; ++checkIns) {
            ++sequence;
            await("an engine is confirmed", [&] {
                for (int host = 1; host <= replicas; ++host) {
                    if (askRaw(host, "PUT", "/-/instances/e-1", sequence) == 200) {
                        return true;
                    }
                }
                return false;
            });
        }
        ASSERT_TRUE(allAlive()) << figures << model;
    }
    restartAll();
    ++sequence;
    await("a replica that has read them back confirms an engine", [&] { return askRaw(leaderHost(), "PUT", "/-/instances/e-1", sequence) == 200; });
    EXPECT_GE(metric(leaderHost(), "carawayloft_replaced_figures"), 1);
    ++version;
    await("a sound configuration is acknowledged", [&] { return accepted(configurationWithEngines(version)); });
    await("none is replaced", [&] { return metric(leaderHost(), "carawayloft_replaced_figures") == 0; });
    EXPECT_TRUE(allAlive());
}

TEST_F(PlatformCore, AFigureBelowZeroIsRefusedWithItsNameAndChangesNothing)
{
    const http_question question{
        "PUT", "http://" + coreAddress(leaderHost()) + "/-/config", {}, configurationWithFigures(2, nlohmann::json::object(), {{"share", -0.5}}), 4'000, {}};
    const http_answer answer = ask(question);
    EXPECT_EQ(answer.status, 400);
    EXPECT_NE(answer.body.find("share"), std::string::npos) << answer.body;
    EXPECT_TRUE(allHold(1));
}

TEST_F(PlatformCore, ChangesAreAcceptedLongAfterDisksWereFullOneAfterAnother)
{
    int version = 1;
    for (int round = 0; round < 2; ++round) {
        for (const std::unique_ptr<child> &each : m_processes) {
            each->limitFileSize(1);
            for (int change = 0; change < 3; ++change) {
                ++version;
                await("a change is accepted while a disk is full", [&] { return accepted(configuration(version)); });
            }
            each->limitFileSize(RLIM_INFINITY);
        }
    }
    await("all have the whole log", [this] {
        const double index = metric(1, "carawayloft_log_index");
        return index > 0 && index == metric(2, "carawayloft_log_index") && index == metric(3, "carawayloft_log_index");
    });
    for (int change = 0; change < 5; ++change) {
        ++version;
        ASSERT_TRUE(accepted(configuration(version)));
        EXPECT_TRUE(allHold(version));
    }
    for (const std::unique_ptr<child> &each : m_processes) {
        EXPECT_EQ(each->log().find("replica_stopped"), std::string::npos);
    }
}
