#include "process/platform_processes.h"

#include <csignal>
#include <map>
#include <tuple>

using namespace carawayloft::test_support;

namespace {

/** How a machine goes. */
enum class departure : std::uint8_t {
    Stopped,
    Killed,
};

int signalOf(departure how)
{
    return how == departure::Killed ? SIGKILL : SIGTERM;
}

/** Three control replicas in three zones that bear the loss of one machine; the successor of number n is number n + 3. */
class ReplacedCore : public platform_processes
{
protected:
    static constexpr int initialReplicas = 3;

    ReplacedCore()
    {
        for (int host = 1; host <= initialReplicas; ++host) {
            startReplica(host, "true");
        }
        await("the configuration is taken", [this] { return accepted(1); });
    }

    static std::string nameOf(int host)
    {
        return "core-" + std::to_string(host);
    }

    void startReplica(int host, const std::string &first)
    {
        const std::string zone = "zone=zone-" + std::to_string((host - 1) % initialReplicas);
        writeCore(nameOf(host), host, initialReplicas, zone + "\ntolerate.machines=1\ntolerate.zones=1\n");
        m_replicas[host] = start(nameOf(host), first);
    }

    /** Starts the successor of a replica and waits until the vote is its own. */
    void startSuccessor(int host)
    {
        startReplica(host + initialReplicas, "false");
        await("the successor has the vote", [&] { return metric(host + initialReplicas, "carawayloft_log_own_votes") == 1; });
    }

    void removeReplica(int host, departure how)
    {
        m_replicas.at(host)->signal(signalOf(how));
        m_replicas.at(host)->wait();
        m_replicas.erase(host);
    }

    void loseDisk(int host)
    {
        m_replicas.at(host)->kill();
        wipeDisk(nameOf(host));
        startReplica(host, "false");
    }

    /** All lose power at once; all disks but that of @p host stay. */
    void losePowerAndDisk(int host)
    {
        for (const auto &[each, process] : m_replicas) {
            process->signal(SIGKILL);
        }
        for (const auto &[each, process] : m_replicas) {
            process->kill();
        }
        wipeDisk(nameOf(host));
        for (const auto &[each, process] : m_replicas) {
            startReplica(each, "false");
        }
    }

    bool accepted(int version) const
    {
        for (const auto &[host, process] : m_replicas) {
            if (put(coreAddress(host), configuration(version)) == 200) {
                return true;
            }
        }
        return false;
    }

    bool isReadBack(int version) const
    {
        for (const auto &[host, process] : m_replicas) {
            const http_answer answer = get(coreAddress(host) + "/-/config");
            if (answer.status == 200) {
                EXPECT_EQ(answer.body, configuration(version));
                return true;
            }
        }
        return false;
    }

    int leaderHost() const
    {
        int found = 0;
        await("a leader", [&] {
            for (const auto &[host, process] : m_replicas) {
                found = metric(host, "carawayloft_leads") == 1 ? host : found;
            }
            return found != 0;
        });
        return found;
    }

    int votersAmongThem() const
    {
        int voters = 0;
        for (const auto &[host, process] : m_replicas) {
            voters += metric(host, "carawayloft_log_own_votes") == 1 ? 1 : 0;
        }
        return voters;
    }

    std::map<int, std::unique_ptr<child>> m_replicas;
};

/** How the replaced machine goes, and whether the others lose power with the lost disk. */
class ReplacedCoreInSeries : public ReplacedCore, public ::testing::WithParamInterface<std::tuple<departure, bool>>
{
};

} // namespace

// A replaced replica kept its vote until it had been silent for 3 s: with another disk lost meanwhile, no replica led any more.
TEST_P(ReplacedCoreInSeries, ADiskThatIsLostRightAfterAReplacedMachineWentLeavesALeader)
{
    const auto [how, losePower] = GetParam();
    for (int replaced = 1; replaced <= initialReplicas; ++replaced) {
        const int version = replaced * 2;
        startSuccessor(replaced);
        await("a change is acknowledged", [&] { return accepted(version); });
        removeReplica(replaced, how);
        const int lost = replaced < initialReplicas ? replaced + 1 : initialReplicas + 1;
        losePower ? losePowerAndDisk(lost) : loseDisk(lost);
        await("it is read back", [&] { return isReadBack(version); });
        await("another one is acknowledged", [&] { return accepted(version + 1); });
        await("all but the replaced ones vote", [this] { return votersAmongThem() == initialReplicas; });
    }
}

INSTANTIATE_TEST_SUITE_P(HowTheyGo,
                         ReplacedCoreInSeries,
                         ::testing::Combine(::testing::Values(departure::Stopped, departure::Killed), ::testing::Bool()),
                         [](const auto &each) {
                             const std::string how = std::get<departure>(each.param) == departure::Killed ? "Killed" : "Stopped";
                             return how + (std::get<bool>(each.param) ? "WhileTheOthersLosePower" : "");
                         });

// A replica that was frozen until it was removed went on to take the leader of that time for alive, and never came back.
TEST_F(ReplacedCore, AReplicaThatWasFrozenUntilItWasRetiredComesBack)
{
    startSuccessor(1);
    m_replicas.at(1)->signal(SIGSTOP);
    await("the frozen replica is retired", [this] { return metric(4, "carawayloft_log_learners") == 0; });
    await("a change is acknowledged", [this] { return accepted(2); });
    m_replicas.at(1)->signal(SIGCONT);
    await("it is a learner again", [this] { return metric(4, "carawayloft_log_learners") == 1; });
    await("it has caught up", [this] { return metric(1, "carawayloft_log_index") == metric(4, "carawayloft_log_index"); });
}

// A gateway knew the control replicas of its settings only: once all of them had been replaced, it did not find another leader.
TEST_F(ReplacedCore, AGatewayGoesOnWhenAllReplicasThatItsSettingsNameAreGone)
{
    write("front",
          common(initialReplicas) + "nodeName=front\nserves=front\nip=" + net() + "9\nlisten.front=" + net() + "9:8227\nlisten.ready=" + net() + "9:8220\n");
    const std::unique_ptr<child> gateway = start("front", "false");
    const auto isReady = [this] { return get(net() + "9:8220/-/ready").status == 200; };
    await("the gateway is ready", isReady);
    for (int replaced = 1; replaced <= initialReplicas; ++replaced) {
        startSuccessor(replaced);
    }
    await("a change is acknowledged", [this] { return accepted(2); });
    for (int replaced = 1; replaced <= initialReplicas; ++replaced) {
        m_replicas.at(replaced)->signal(SIGTERM);
    }
    for (int replaced = 1; replaced <= initialReplicas; ++replaced) {
        removeReplica(replaced, departure::Stopped);
    }
    loseDisk(leaderHost());
    await("the change is read back", [this] { return isReadBack(2); });
    const std::size_t written = gateway->log().size();
    await("another change is acknowledged", [this] { return accepted(3); });
    await("the gateway has it", [&] { return gateway->log().find("\"configuration_in_force\"", written) != std::string::npos; });
    EXPECT_TRUE(isReady());
}
