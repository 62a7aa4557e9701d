#include "ends/http_server.h"
#include "process/platform_processes.h"

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

/** A plain backend server that announces itself to control, and keeps what it was asked. */
class announcing_server
{
public:
    announcing_server(std::string id, std::string address, std::string control)
        : m_id(std::move(id))
        , m_address(std::move(address))
        , m_control(std::move(control))
    {
        auto server = http_server::create(m_context, endpoint(m_address), {}, [this](http_request request, std::shared_ptr<http_exchange> exchange) {
            answer(std::move(request), std::move(exchange));
        });
        EXPECT_FALSE(failed(server));
        m_server = std::move(valueOf(server));
        m_serving = std::thread([this] {
            const auto guard = asio::make_work_guard(m_context);
            m_context.run();
        });
        m_announcing = std::jthread([this](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                announce();
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            }
        });
    }

    ~announcing_server()
    {
        m_announcing.request_stop();
        m_announcing.join();
        m_context.stop();
        m_serving.join();
    }

    std::vector<http_request> asked() const
    {
        const std::lock_guard lock(m_lock);
        return m_asked;
    }

private:
    void answer(http_request request, std::shared_ptr<http_exchange> exchange)
    {
        http_response response;
        response.headers = {{"X-Carawayloft-Request-Id", request.header("X-Carawayloft-Request-Id")}, {"X-Carawayloft-Response-Seal", "seal"}};
        response.body = "answer of " + m_id;
        const bool slow = request.path.ends_with("slow");
        {
            const std::lock_guard lock(m_lock);
            m_asked.push_back(std::move(request));
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(slow ? 1'000 : 0));
        timer->async_wait([timer, exchange = std::move(exchange), response](const std::error_code &) { exchange->respond(response); });
    }

    void announce()
    {
        http_question question;
        question.method = "PUT";
        question.url = "http://" + m_control + "/-/instances/" + m_id;
        question.headers = {"Content-Type: application/json"};
        question.body = nlohmann::json{{"service", "records"},
                                       {"address", m_address},
                                       {"zone", "mid-a"},
                                       {"version", "v1"},
                                       {"slots", 6},
                                       {"state", "ready"},
                                       {"coldLeftMs", 0},
                                       {"born", 1'700'000'000'000},
                                       {"sequence", ++m_announcements}}
                            .dump();
        question.timeoutMs = 1'000;
        ask(question);
    }

    std::string m_id;
    std::string m_address;
    std::string m_control;
    std::uint64_t m_announcements = 0;
    asio::io_context m_context{1};
    std::unique_ptr<http_server> m_server;
    std::thread m_serving;
    std::jthread m_announcing;
    mutable std::mutex m_lock;
    std::vector<http_request> m_asked;
};

/** One control replica and one gateway as the platform starts them. */
class PlatformPath : public platform_processes
{
protected:
    PlatformPath()
    {
        writeCore("core", 1);
        write("front", common() + "nodeName=front\nserves=front\nip=" + net() + "2\nlisten.front=" + net() + "2:8227\nlisten.ready=" + net() + "2:8220\n");
        startControl("true");
        m_front = start("front", "true");
        m_server = std::make_unique<announcing_server>("i-1", net() + "3:9000", control());
        await("the configuration is taken", [this] { return put(control(), configuration(1)) == 200; });
        await("the gateway is ready", [this] { return get(net() + "2:8220/-/ready").status == 200; });
        await("the server is known", [this] { return call("/records/first").status == 200; });
    }

    std::string control() const
    {
        return coreAddress(1);
    }

    void startControl(const std::string &first)
    {
        m_core = start("core", first);
    }

    http_question question(const std::string &path, const std::string &key = "key-1")
    {
        http_question question;
        question.method = "POST";
        question.url = "http://" + net() + "2:8227" + path;
        question.headers = {"Host: ledger.example", "X-Carawayloft-Request-Id: r" + std::to_string(++m_requests), "Authorization: Token " + key};
        question.body = "sign-off";
        question.timeoutMs = 5'000;
        return question;
    }

    http_answer call(const std::string &path, const std::string &key = "key-1")
    {
        return ask(question(path, key));
    }

    /** Sends these bytes to the gateway; what comes back until it closes the connection. */
    std::string exchange(const std::string &bytes) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(asio::ip::tcp::endpoint(asio::ip::make_address(net() + "2"), 8227));
        asio::write(socket, asio::buffer(bytes));
        std::string answer;
        std::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer;
    }

    std::atomic<int> m_requests = 0;
    std::unique_ptr<child> m_core;
    std::unique_ptr<child> m_front;
    std::unique_ptr<announcing_server> m_server;
};

} // namespace

TEST_F(PlatformPath, ARequestReachesAServerThatAnnouncedItselfAndTheAnswerComesBack)
{
    const http_answer answer = call("/records/sign?x=1");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "answer of i-1");
    EXPECT_EQ(answer.headers.at("x-carawayloft-response-seal"), "seal");
    const http_request asked = m_server->asked().back();
    EXPECT_EQ(asked.method, "POST");
    EXPECT_EQ(asked.path, "/records/sign");
    EXPECT_EQ(asked.query, "x=1");
    EXPECT_EQ(asked.body, "sign-off");
    EXPECT_EQ(asked.header("X-Carawayloft-Tenant"), "firm");
    EXPECT_EQ(asked.header("X-Carawayloft-Expect-Instance"), "i-1");
    EXPECT_EQ(asked.header("Authorization"), "");
    EXPECT_EQ(call("/records/x", "unknown").status, 401);
    EXPECT_EQ(call("/nowhere/x").status, 404);
}

TEST_F(PlatformPath, AConfigurationIsKeptThroughAKillAndNeverGoesBack)
{
    EXPECT_EQ(put(control(), configuration(5)), 200);
    EXPECT_EQ(put(control(), configuration(3)), 200); // Overtaken: acknowledged, changes nothing.
    EXPECT_EQ(put(control(), "{\"version\":9"), 400);
    m_core->kill();
    startControl("false");
    http_answer held;
    await("control answers again", [&] {
        held = get(control() + "/-/config");
        return held.status == 200;
    });
    EXPECT_EQ(nlohmann::json::parse(held.body)["version"], 5);
}

// Such a configuration was acknowledged and removed all routes.
TEST_F(PlatformPath, AnIncompleteConfigurationIsRejectedAndChangesNothing)
{
    for (const char *part : {"routes", "services", "limits"}) {
        nlohmann::json incomplete = nlohmann::json::parse(configuration(9));
        incomplete.erase(part);
        EXPECT_EQ(put(control(), incomplete.dump()), 400) << part;
    }
    EXPECT_EQ(put(control(), "{\"version\":9}"), 400);
    EXPECT_EQ(call("/records/x").status, 200);
}

// An empty query was dropped, and bytes above 0x7f were percent-encoded. A header that is not UTF-8 ended the gateway's handler.
TEST_F(PlatformPath, BytesOfARequestReachTheServerAsTheyWereSent)
{
    const std::string target = "/records/\xc3\xa9\xff?";
    const std::string start = " HTTP/1.1\r\nHost: ledger.example\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\nConnection: close\r\n";
    EXPECT_TRUE(exchange("POST " + target + start + "X-Carawayloft-Request-Id: b1\r\nX-Other: \xff\xe9\r\n\r\n").starts_with("HTTP/1.1 200"));
    const http_request asked = m_server->asked().back();
    EXPECT_EQ(asked.path + asked.queryPart(), target);
    EXPECT_EQ(asked.header("X-Other"), "\xff\xe9");
    EXPECT_TRUE(
        exchange("POST /records/x" + start + "X-Carawayloft-Request-Id: b2\r\nX-Carawayloft-Deadline-Ms: \xff\xe9\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_EQ(call("/records/x").status, 200);
}

TEST_F(PlatformPath, AZoneThatIsOutGetsNothingUntilItIsTakenBack)
{
    http_question out;
    out.method = "POST";
    out.url = "http://" + control() + "/-/evacuations/mid-a";
    EXPECT_EQ(ask(out).status, 200);
    await("the zone is out", [this] { return call("/records/x").status == 503; });
    const std::size_t before = m_server->asked().size();
    EXPECT_EQ(call("/records/x").status, 503);
    EXPECT_EQ(m_server->asked().size(), before);
    out.method = "DELETE";
    EXPECT_EQ(ask(out).status, 200);
    await("the zone is back", [this] { return call("/records/x").status == 200; });
}

TEST_F(PlatformPath, AStoppingGatewayIsNotReadyAndFinishesWhatItHas)
{
    const std::size_t before = m_server->asked().size();
    std::future<http_answer> slow = askLater(question("/records/slow"));
    await("the request has reached the server", [&] { return m_server->asked().size() > before; });
    m_front->signal(SIGTERM);
    await("the balancer is told", [this] { return get(net() + "2:8220/-/ready").status == 503; });
    const http_answer late = call("/records/late"); // Callers that have not heard of it yet are served.
    EXPECT_EQ(late.status, 200);
    EXPECT_EQ(late.headers.at("connection"), "close");
    EXPECT_EQ(slow.get().status, 200);
    EXPECT_EQ(m_front->wait(), 0);
}

TEST_F(PlatformPath, WithoutControlKeyedRequestsStopWithinSecondsAndComeBackWithIt)
{
    m_core->signal(SIGSTOP);
    await("keyed requests are refused", [this] { return call("/records/x").status == 503; });
    EXPECT_EQ(get(net() + "2:8220/-/ready").status, 503);
    m_core->signal(SIGCONT);
    await("keyed requests are served again", [this] { return call("/records/x").status == 200; });
}

TEST_F(PlatformPath, ARequestLateInTheGraceOfAPlannedStopIsRefusedAsNotRun)
{
    std::future<http_answer> slow = askLater(question("/records/first/slow"));
    m_front->signal(SIGTERM);
    slow.get();
    // A kept connection outlives the moment at which the gateway stops taking new ones.
    asio::io_context context;
    asio::ip::tcp::socket kept(context);
    kept.connect(asio::ip::tcp::endpoint(asio::ip::make_address(net() + "2"), 8227));
    std::this_thread::sleep_for(std::chrono::milliseconds(3'200));
    const std::size_t before = m_server->asked().size();
    const std::string late = "POST /records/late/slow HTTP/1.1\r\nHost: ledger.example\r\nX-Carawayloft-Request-Id: late\r\n"
                             "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";
    std::error_code failure;
    asio::write(kept, asio::buffer(late), failure);
    std::string answer;
    asio::read(kept, asio::dynamic_buffer(answer), failure);
    EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_EQ(m_server->asked().size(), before);
    EXPECT_EQ(m_front->wait(), 0);
}

TEST_F(PlatformPath, InAPlannedStopUnderLoadEveryAcceptedRequestIsAnswered)
{
    std::atomic<int> answered = 0;
    std::atomic<int> cut = 0;
    std::vector<std::jthread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, this](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                const http_answer each = call("/records/x");
                answered += each.status == 200 || each.status == 503 ? 1 : 0;
                cut += each.status == 0 && !each.neverConnected ? 1 : 0;
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    m_front->signal(SIGTERM);
    EXPECT_EQ(m_front->wait(), 0);
    callers.clear();
    EXPECT_GT(answered.load(), 100);
    EXPECT_EQ(cut.load(), 0);
}
