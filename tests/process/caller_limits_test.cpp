#include "process/excessive_callers.h"
#include "process/platform_processes.h"
#include "process/silent_server.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

constexpr std::size_t callers = 20;
constexpr std::chrono::seconds sendLimit{20};

/** Memory of the gateway's machine in the settings: room for bodies that together exceed that of the server's machine. */
constexpr std::size_t gatewayMemoryMb = 200;

/** Memory of the server's machine in the settings. */
constexpr std::size_t serverMemoryMb = 32;

constexpr std::size_t connectionsOfAnAddress = 5;

/** One control replica, and one gateway with the limits of this test's settings. */
class PlatformCallerLimits : public platform_processes
{
protected:
    void startWith(const std::string &limits)
    {
        const std::string ip = net() + "2";
        writeCore("core", 1);
        m_core = start("core", "true");
        write("front", common() + limits + "nodeName=front\nserves=front\nip=" + ip + "\nlisten.front=" + ip + ":8227\nlisten.ready=" + ip + ":8220\n");
        m_front = start("front", "true");
        await("the configuration is taken", [this] { return put(coreAddress(1), configuration(1)) == 200; });
        await("the gateway is ready", [this] { return get(net() + "2:8220/-/ready").status == 200; });
    }

    /** A call of the gateway that needs no backend server: an unknown host is answered by the gateway itself. */
    int askGateway() const
    {
        http_question question;
        question.method = "POST";
        question.url = "http://" + net() + "2:8227/records/x";
        question.headers = {"Host: nobody.example", "Authorization: Token key-1", "X-Carawayloft-Request-Id: r1", "X-Carawayloft-Deadline-Ms: 10000"};
        question.body = std::string(1'000, 'x');
        question.timeoutMs = 10'000;
        return ask(question).status;
    }

    static std::string head()
    {
        return "POST /records/x HTTP/1.1\r\nHost: ledger.example\r\nAuthorization: Token key-1\r\nX-Carawayloft-Request-Id: r2\r\n"
               "X-Carawayloft-Deadline-Ms: 10000\r\n";
    }

    std::unique_ptr<child> m_core;
    std::unique_ptr<child> m_front;
};

} // namespace

// A server was sent more bodies at once than its machine has memory, each of them within the limits.
TEST_F(PlatformCallerLimits, BytesOutstandingAtAServerStayWithinItsMemory)
{
    startWith("limits.memoryMb=" + std::to_string(gatewayMemoryMb) + "\nlimits.backendMemoryMb=" + std::to_string(serverMemoryMb) + "\n");
    silent_server server("records", net() + "50:9000", coreAddress(1));
    await("the gateway knows the server", [this] { return metric(2, "carawayloft_backends_known") == 1.0; });
    const int ordinary = askGateway();
    EXPECT_GT(ordinary, 0);
    excessive_callers crowd(callers, net() + "2:8227", head(), excessive_body::WholeLength);
    crowd.send(sendLimit);
    await("no request is in flight", [this] { return metric(2, "carawayloft_requests_in_flight") == 0.0; });
    RecordProperty("held", std::to_string(server.peakHeldBytes()));
    EXPECT_GT(server.peakHeldBytes(), 0U);
    EXPECT_LT(server.peakHeldBytes(), serverMemoryMb << 20U);
    EXPECT_TRUE(m_front->isAlive());
    EXPECT_LT(m_front->peakMemory(), gatewayMemoryMb << 20U);
    EXPECT_EQ(askGateway(), ordinary);
}

// One address took every connection of a gateway.
TEST_F(PlatformCallerLimits, AnAddressWithItsConnectionsInUseLeavesTheOthersTheirs)
{
    startWith("limits.connectionsPerAddress=" + std::to_string(connectionsOfAnAddress) + "\n");
    const int ordinary = askGateway();
    EXPECT_GT(ordinary, 0);
    const std::size_t descriptors = m_front->openDescriptors();
    excessive_callers crowd(callers, net() + "2:8227", head(), excessive_body::UnfinishedLength, net() + "77");
    crowd.send(sendLimit);
    EXPECT_TRUE(m_front->isAlive());
    EXPECT_LE(m_front->openDescriptors(), descriptors + connectionsOfAnAddress + 1); // One more for the connection of an ordinary caller.
    EXPECT_EQ(askGateway(), ordinary);
}
