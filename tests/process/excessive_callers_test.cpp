#include "process/excessive_callers.h"

#include "process/platform_processes.h"

#include <gtest/gtest.h>

#include <iostream>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

constexpr std::size_t callers = 40;

/** The machine's memory as the tests' settings state it; no process may hold more. */
constexpr std::size_t machineMemoryMb = 64;
constexpr std::size_t machineMemory = machineMemoryMb << 20U;

/** One descriptor for each caller and as many for everything else. */
constexpr std::size_t maxDescriptors = 2 * callers;

/** Longest time that the callers send; reached only where the process does not stop them and is slow besides. */
constexpr std::chrono::seconds sendLimit{20};

/** One control replica and one gateway on machines with little memory, before callers that exceed the limits. */
class PlatformExcessiveCallers : public platform_processes, public ::testing::WithParamInterface<excessive_body>
{
protected:
    PlatformExcessiveCallers()
    {
        const std::string limits = "limits.memoryMb=" + std::to_string(machineMemoryMb) + "\n";
        const std::string ip = net() + "2";
        writeCore("core", 1, 1, limits);
        m_core = start("core", "true");
        write("front", common() + limits + "nodeName=front\nserves=front\nip=" + ip + "\nlisten.front=" + ip + ":8227\nlisten.ready=" + ip + ":8220\n");
        m_front = start("front", "true");
        await("the configuration is taken", [this] { return put(coreAddress(1), configuration(1)) == 200; });
        await("the gateway is ready", [this] { return get(net() + "2:8220/-/ready").status == 200; });
    }

    /** A call of the gateway that needs no backend server: an unknown host is answered by the gateway itself. */
    http_answer askGateway() const
    {
        http_question question;
        question.method = "POST";
        question.url = "http://" + net() + "2:8227/records/x";
        question.headers = {"Host: nobody.example", "Authorization: Token key-1", "X-Carawayloft-Request-Id: r1", "X-Carawayloft-Deadline-Ms: 10000"};
        question.body = std::string(1'000, 'x');
        question.timeoutMs = 10'000;
        return ask(question);
    }

    static void report(const std::string &where, excessive_callers &crowd, const child &process)
    {
        std::cout << where << ": " << (crowd.sentBytes() >> 20U) << " MiB sent, " << (process.peakMemory() >> 20U) << " MiB at the peak, "
                  << process.openDescriptors() << " descriptors, answers";
        for (const auto &[status, count] : crowd.statuses()) {
            std::cout << " " << status << ": " << count;
        }
        std::cout << std::endl;
    }

    std::unique_ptr<child> m_core;
    std::unique_ptr<child> m_front;
};

} // namespace

// A gateway ran out of memory by bodies that did not end.
TEST_P(PlatformExcessiveCallers, LeaveAGatewayAliveWithinItsMemory)
{
    const int ordinary = askGateway().status;
    EXPECT_GT(ordinary, 0);
    excessive_callers crowd(callers,
                            net() + "2:8227",
                            "POST /records/x HTTP/1.1\r\nHost: ledger.example\r\nAuthorization: Token key-1\r\nX-Carawayloft-Request-Id: r2\r\n"
                            "X-Carawayloft-Deadline-Ms: 10000\r\n",
                            GetParam());
    crowd.send(sendLimit);
    EXPECT_TRUE(m_front->isAlive());
    EXPECT_LT(m_front->openDescriptors(), maxDescriptors);
    EXPECT_EQ(askGateway().status, ordinary);
    EXPECT_LT(m_front->peakMemory(), machineMemory);
    report("gateway", crowd, *m_front);
}

// Anyone who reaches a control replica's port may send what callers send to gateways.
TEST_P(PlatformExcessiveCallers, LeaveAControlReplicaAliveWithinItsMemory)
{
    excessive_callers crowd(callers, coreAddress(1), "PUT /-/config HTTP/1.1\r\nHost: control\r\n", GetParam());
    crowd.send(sendLimit);
    EXPECT_TRUE(m_core->isAlive());
    EXPECT_LT(m_core->openDescriptors(), maxDescriptors);
    EXPECT_EQ(put(coreAddress(1), configuration(2)), 200);
    EXPECT_LT(m_core->peakMemory(), machineMemory);
    report("control", crowd, *m_core);
}

INSTANTIATE_TEST_SUITE_P(Bodies,
                         PlatformExcessiveCallers,
                         ::testing::Values(excessive_body::UnfinishedLargeChunks,
                                           excessive_body::UnfinishedSmallChunks,
                                           excessive_body::UnfinishedLength,
                                           excessive_body::EndlessChunks,
                                           excessive_body::HugeLengthAnnounced,
                                           excessive_body::HugeLengthSent,
                                           excessive_body::WholeLength,
                                           excessive_body::PipelinedAndEnded));
