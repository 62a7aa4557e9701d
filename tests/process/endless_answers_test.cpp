#include "ends/frame_link.h"
#include "process/endless_server.h"
#include "process/platform_processes.h"

#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include <thread>
#include <vector>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

/** The memory of the smallest host that the processes run on. */
constexpr std::size_t hostMemory = std::size_t{160} << 20U;

constexpr std::size_t callers = 60;
constexpr std::chrono::seconds faultyTime{3};

/** One control replica and one gateway beside a server whose answers have no end. */
class PlatformEndlessAnswers : public platform_processes, public ::testing::WithParamInterface<endless_answer>
{
protected:
    PlatformEndlessAnswers()
    {
        writeCore("core", 1);
        m_core = start("core", "true");
        const std::string ip = net() + "2";
        write("front", common() + "nodeName=front\nserves=front\nip=" + ip + "\nlisten.front=" + ip + ":8227\nlisten.ready=" + ip + ":8220\n");
        m_front = start("front", "true");
    }

    /** The route's requests may be repeated, and its answers may be streams. */
    static std::string routes(int version)
    {
        nlohmann::json all = nlohmann::json::parse(configuration(version));
        all["routes"][0]["kind"] = GetParam() == endless_answer::Events ? "streaming" : "idempotent";
        return all.dump();
    }

    void startServer(const std::string &service)
    {
        m_server = std::make_unique<endless_server>(endless_server::options{service, net() + "50:9000", coreAddress(1), GetParam()});
    }

    /** Sends a request and reads nothing of the answer. */
    asio::ip::tcp::socket askWithoutReading(std::size_t number)
    {
        asio::ip::tcp::socket socket(m_context);
        socket.connect(valueOf(parseEndpoint(endpoint(net() + "2:8227"))));
        asio::write(socket,
                    asio::buffer("GET /records/x HTTP/1.1\r\nHost: ledger.example\r\nAuthorization: Token key-1\r\nX-Carawayloft-Request-Id: r"
                                 + std::to_string(number) + "\r\nX-Carawayloft-Deadline-Ms: 10000\r\n\r\n"));
        return socket;
    }

    asio::io_context m_context;
    std::unique_ptr<child> m_core;
    std::unique_ptr<child> m_front;
    std::unique_ptr<endless_server> m_server;
};

} // namespace

TEST_P(PlatformEndlessAnswers, OfRequestsAreNotKeptByAGateway)
{
    await("the configuration is taken", [this] { return put(coreAddress(1), routes(1)) == 200; });
    startServer("records");
    await("the gateway is ready", [this] { return get(net() + "2:8220/-/ready").status == 200; });
    std::vector<asio::ip::tcp::socket> sockets;
    std::size_t number = 0;
    await("the server is asked", [&] {
        sockets.push_back(askWithoutReading(++number));
        return m_server->sentBytes() > 0;
    });
    for (std::size_t i = 0; i < callers; ++i) {
        sockets.push_back(askWithoutReading(++number));
    }
    std::this_thread::sleep_for(faultyTime);
    RecordProperty("sent", std::to_string(m_server->sentBytes()));
    RecordProperty("peak", std::to_string(m_front->peakMemory()));
    EXPECT_LT(m_front->peakMemory(), hostMemory);
    EXPECT_EQ(get(net() + "2:8220/-/ready").status, 200);
}

TEST_P(PlatformEndlessAnswers, ToOrdersAreNotKeptByControl)
{
    await("the configuration is taken", [this] { return put(coreAddress(1), configurationWithEngines(1)) == 200; });
    startServer("models");
    await("the server is sent an order", [this] { return m_server->sentBytes() > 0; });
    std::this_thread::sleep_for(faultyTime);
    EXPECT_LT(m_core->peakMemory(), hostMemory);
    EXPECT_EQ(put(coreAddress(1), configuration(2)), 200);
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         PlatformEndlessAnswers,
                         ::testing::Values(endless_answer::HeaderLines,
                                           endless_answer::OneHeaderLine,
                                           endless_answer::NoLineEnd,
                                           endless_answer::ChunkedBody,
                                           endless_answer::LongBody,
                                           endless_answer::UnframedBody,
                                           endless_answer::Events));
