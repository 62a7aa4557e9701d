#include "ends/http_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

using namespace carawayloft;

namespace {

/** A server whose requests stay unanswered until the test answers them, and raw connections to it. */
class HttpServer : public ::testing::Test
{
protected:
    void serve(const http_limits &limits)
    {
        auto created = http_server::create(
            m_context,
            endpoint("127.0.0.1:0"),
            limits,
            [this](http_request request, std::shared_ptr<http_exchange> exchange) {
                m_requests.push_back(std::move(request));
                m_exchanges.push_back(std::move(exchange));
            },
            [this](http_rejection why) { m_rejections.push_back(why); });
        ASSERT_FALSE(failed(created));
        m_server = std::move(valueOf(created));
    }

    ~HttpServer() override
    {
        m_exchanges.clear();
        m_server.reset();
        m_context.poll();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(m_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server->listeningPort()});
        return socket;
    }

    static void send(asio::ip::tcp::socket &socket, const std::string &text)
    {
        asio::write(socket, asio::buffer(text));
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            m_context.run_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    /** What comes until @p text has come or the connection ends. */
    std::string readUntil(asio::ip::tcp::socket &socket, const std::string &text)
    {
        std::string all;
        socket.non_blocking(true);
        runUntil([&] {
            std::array<char, 4'096> part{};
            std::error_code failure;
            const std::size_t bytes = socket.read_some(asio::buffer(part), failure);
            all.append(part.data(), bytes);
            return (failure && failure != asio::error::would_block) || all.find(text) != std::string::npos;
        });
        return all;
    }

    asio::io_context m_context{1};
    std::vector<http_request> m_requests;
    std::vector<std::shared_ptr<http_exchange>> m_exchanges;
    std::vector<http_rejection> m_rejections;
    std::unique_ptr<http_server> m_server;
};

} // namespace

static std::string postHead(std::size_t length)
{
    return "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

TEST_F(HttpServer, ServesRequestsOnOneConnectionOneAfterTheOther)
{
    serve({});
    auto socket = connect();
    send(socket, postHead(3) + "abc" + "GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 1; }));
    EXPECT_EQ(m_requests[0].body, "abc");
    m_exchanges[0]->respond({200, {{"X-A", "b"}}, "first"});
    EXPECT_EQ(readUntil(socket, "first"), "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\nX-A: b\r\nServer: carawayloft\r\n\r\nfirst");
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 2; }));
    m_exchanges[1]->startStream({200, {}, {}});
    m_exchanges[1]->write("event", [] {});
    m_exchanges[1]->finish();
    EXPECT_EQ(readUntil(socket, "nothing"),
              "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nServer: carawayloft\r\n\r\n5\r\nevent\r\n0\r\n\r\n");
}

// Second line of defence: what cannot be written is an error of this process, never bytes that a caller takes for something else.
TEST_F(HttpServer, AnswersThatHttpDoesNotAllowAreReplacedByBadGateway)
{
    serve({});
    const std::vector<http_response> responses{{0, {}, "x"},
                                               {99, {}, "x"},
                                               {100, {}, "x"},
                                               {101, {}, "x"},
                                               {199, {}, "x"},
                                               {600, {}, "x"},
                                               {1'000, {}, "x"},
                                               {200, {{"", "1"}}, "x"},
                                               {200, {{"X Blank", "1"}}, "x"},
                                               {200, {{"X-Colon:", "1"}}, "x"},
                                               {200, {{"X-Line\r\nX-Other", "1"}}, "x"},
                                               {200, {{"X-Value", "a\r\nX-Other: 1"}}, "x"},
                                               {200, {{"X-Value", "a\nb"}}, "x"},
                                               {200, {{"X-Value", std::string("a\0b", 3)}}, "x"},
                                               {200, {{"X-Value", "\x7f"}}, "x"},
                                               {200, {{"Content-Length", "9"}}, "x"},
                                               {200, {{"transfer-encoding", "chunked"}}, "x"},
                                               {200, {{"Connection", "upgrade"}}, "x"}};
    for (const http_response &response : responses) {
        for (const bool streams : {false, true}) {
            m_exchanges.clear();
            m_rejections.clear();
            auto socket = connect();
            send(socket, "GET /x HTTP/1.1\r\n\r\n");
            ASSERT_TRUE(runUntil([&] { return m_exchanges.size() == 1; }));
            bool isGone = false;
            m_exchanges[0]->onHangUp([&] { isGone = true; });
            if (streams) {
                m_exchanges[0]->startStream(response);
                m_exchanges[0]->write("event", [] {});
                m_exchanges[0]->finish();
            } else {
                m_exchanges[0]->respond(response);
            }
            const std::string answer = readUntil(socket, "nothing");
            EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: ")) << answer;
            EXPECT_EQ(answer.find("X-Other"), std::string::npos);
            EXPECT_EQ(answer.find("event"), std::string::npos);
            EXPECT_EQ(m_rejections, std::vector{http_rejection::AnswerUnwritable});
            EXPECT_EQ(isGone, streams) << "only of a stream more would come";
        }
    }
}

// A caller that pipelines requests without reading answers filled the memory with both.
TEST_F(HttpServer, KeepsFewBytesOfPipelinedRequests)
{
    serve({});
    auto socket = connect();
    send(socket, "GET /1 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 1; }));
    socket.non_blocking(true);
    const std::string more(std::size_t{1} << 20U, 'x');
    std::error_code ignored;
    for (int i = 0; i < 20; ++i) {
        socket.write_some(asio::buffer(more), ignored);
        m_context.run_for(std::chrono::milliseconds(2));
    }
    EXPECT_EQ(m_requests.size(), 1U);
    EXPECT_LT(m_server->heldBytes(), 64U << 10U);
}

// Stalled bodies held their memory for as long as the caller liked.
TEST_F(HttpServer, RejectsABodyThatStallsAndHeadersThatDoNotEnd)
{
    http_limits limits;
    limits.maxBodyPause = duration{50};
    limits.maxHeaderTime = duration{50};
    serve(limits);
    auto body = connect();
    auto headers = connect();
    send(body, postHead(100'000) + std::string(99'999, 'x'));
    send(headers, "GET / HTTP/1.1\r\nX: y");
    EXPECT_TRUE(readUntil(body, "\r\n\r\n").starts_with("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"));
    EXPECT_TRUE(readUntil(headers, "\r\n\r\n").starts_with("HTTP/1.1 408 "));
    EXPECT_EQ(m_rejections, (std::vector{http_rejection::TooSlow, http_rejection::TooSlow}));
    EXPECT_TRUE(m_requests.empty());
}

// A caller that still sends got a reset in place of the answer that its body is too long.
TEST_F(HttpServer, AnswersABodyOverTheLimitThoughItIsStillSent)
{
    http_limits limits;
    limits.maxBodyBytes = 1'000;
    serve(limits);
    auto socket = connect();
    send(socket, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + std::string(60'000, 'x'));
    EXPECT_TRUE(readUntil(socket, "\r\n\r\n").starts_with("HTTP/1.1 413 Payload Too Large\r\n"));
    EXPECT_EQ(m_rejections, std::vector{http_rejection::BodyTooLarge});
}

// Unfinished bodies that filled the budget shut ordinary callers out.
TEST_F(HttpServer, RejectsLargeUnfinishedBodiesForOrdinaryRequests)
{
    http_limits limits;
    limits.maxHeldBytes = std::size_t{1} << 20U;
    serve(limits);
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 8; ++i) {
        sockets.push_back(connect());
        send(sockets.back(), postHead(300'001) + std::string(300'000, 'x'));
        ASSERT_TRUE(runUntil([&] { return m_server->heldBytes() > 300'000; }));
    }
    ASSERT_TRUE(runUntil([&] { return m_rejections.size() >= 4; }));
    const std::string answer = readUntil(sockets[0], "\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
    EXPECT_NE(answer.find("Retry-After: 1\r\n"), std::string::npos);
    auto ordinary = connect();
    send(ordinary, postHead(100'000) + std::string(100'000, 'y'));
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 1; }));
    EXPECT_LE(m_server->heldBytes(), limits.maxHeldBytes);
    m_exchanges[0]->respond({200, {}, "done"});
    EXPECT_TRUE(readUntil(ordinary, "done").starts_with("HTTP/1.1 200 OK\r\n"));
}

// Callers that read no answers filled the memory with them.
TEST_F(HttpServer, CutsAnswersThatAreNotTakenOnceTheyFillTheBudget)
{
    http_limits limits;
    limits.maxHeldBytes = std::size_t{64} << 20U;
    serve(limits);
    std::vector<asio::ip::tcp::socket> sockets;
    std::size_t gone = 0;
    for (std::size_t i = 0; i < 8; ++i) {
        sockets.push_back(connect());
        send(sockets.back(), "GET / HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(runUntil([&] { return m_requests.size() == i + 1; }));
        m_exchanges[i]->onHangUp([&] { ++gone; });
        m_exchanges[i]->startStream({200, {}, {}});
        m_exchanges[i]->write(std::string(std::size_t{20} << 20U, 'x'), {});
    }
    ASSERT_TRUE(runUntil([&] { return gone > 0; }));
    m_context.poll(); // The last one cut is closed a step later.
    EXPECT_LE(m_server->heldBytes(), limits.maxHeldBytes);
    EXPECT_EQ(m_rejections, std::vector<http_rejection>(gone, http_rejection::AnswerUntaken));
    EXPECT_LT(gone, 8U);
}

// The one who answers was not told that its caller has gone, or was told of a connection that was kept.
TEST_F(HttpServer, TellsOfACallerWhoHangsUpBeforeItsAnswer)
{
    serve({});
    auto socket = connect();
    send(socket, "GET / HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 1; }));
    bool gone = false;
    m_exchanges[0]->onHangUp([&] {
        m_exchanges.clear();
        gone = true;
    });
    socket.close();
    EXPECT_TRUE(runUntil([&] { return gone; }));
    EXPECT_EQ(m_server->connections(), 0U);
    EXPECT_EQ(m_server->heldBytes(), 0U);
}

// One client held every connection of a port, each with a request that was being served.
TEST_F(HttpServer, AnAddressHasNoMoreConnectionsThanTheLimit)
{
    http_limits limits;
    limits.maxConnectionsPerAddress = 2;
    serve(limits);
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t i = 0; i < 2; ++i) {
        sockets.push_back(connect());
        send(sockets.back(), "GET / HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(runUntil([&] { return m_requests.size() == i + 1; }));
    }
    auto refused = connect();
    ASSERT_TRUE(runUntil([&] { return m_rejections.size() == 1; }));
    EXPECT_EQ(m_rejections.front(), http_rejection::TooManyConnections);
    EXPECT_EQ(readUntil(refused, "nothing"), "");
    EXPECT_EQ(m_server->connections(), 2U);

    m_exchanges[0]->respond({200, {}, "done"});
    EXPECT_TRUE(readUntil(sockets[0], "done").starts_with("HTTP/1.1 200 OK\r\n"));
    auto next = connect();
    send(next, "GET /next HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(runUntil([&] { return m_requests.size() == 3; })) << "the idle connection gives way";
    EXPECT_EQ(m_server->connections(), 2U);
}

// An address whose connections had ended was still counted.
TEST_F(HttpServer, ConnectionsThatEndedDoNotCountForTheirAddress)
{
    http_limits limits;
    limits.maxConnectionsPerAddress = 1;
    serve(limits);
    for (std::size_t i = 0; i < 5; ++i) {
        auto socket = connect();
        send(socket, "GET / HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(runUntil([&] { return m_requests.size() == i + 1; }));
        socket.close();
        ASSERT_TRUE(runUntil([&] { return m_server->connections() == 0; }));
    }
    EXPECT_TRUE(m_rejections.empty());
}

// A caller that sent several requests and then closed its sending side lost those that had not been handed over.
TEST_F(HttpServer, AnswersAllPipelinedRequestsOfACallerThatHasClosedItsSendingSide)
{
    serve({});
    auto socket = connect();
    send(socket, "GET /1 HTTP/1.1\r\n\r\n" + postHead(3) + "abcGET /3 HTTP/1.1\r\n\r\n");
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    for (std::size_t i = 0; i < 3; ++i) {
        ASSERT_TRUE(runUntil([&] { return m_requests.size() == i + 1; })) << i;
        m_context.run_for(std::chrono::milliseconds(20)); // The end of what the caller sends is noticed meanwhile.
        m_exchanges[i]->respond({200, {}, "answer " + std::to_string(i)});
    }
    const std::string answers = readUntil(socket, "nothing");
    EXPECT_NE(answers.find("answer 0"), std::string::npos);
    EXPECT_NE(answers.find("answer 1"), std::string::npos);
    EXPECT_NE(answers.find("answer 2"), std::string::npos);
    EXPECT_EQ(m_requests[1].body, "abc");
    EXPECT_TRUE(runUntil([&] { return m_server->connections() == 0; }));
    EXPECT_TRUE(m_rejections.empty());
}

// More requests than are read ahead stay in the socket, and the end of what the caller sends behind them.
TEST_F(HttpServer, AnswersMorePipelinedRequestsThanAreReadAheadAndKeepsFewBytes)
{
    static constexpr std::size_t requests = 60;
    serve({});
    auto socket = connect();
    std::string all;
    for (std::size_t i = 0; i < requests; ++i) {
        all += postHead(3'000) + std::string(3'000, 'x');
    }
    asio::async_write(socket, asio::buffer(all), [&](const std::error_code &, std::size_t) { socket.shutdown(asio::ip::tcp::socket::shutdown_send); });
    for (std::size_t i = 0; i < requests; ++i) {
        ASSERT_TRUE(runUntil([&] { return m_requests.size() == i + 1; })) << i;
        m_context.run_for(std::chrono::milliseconds(1));
        EXPECT_LT(m_server->heldBytes(), 64U << 10U);
        m_exchanges[i]->respond({200, {}, "answer " + std::to_string(i) + ";"});
    }
    EXPECT_NE(readUntil(socket, "nothing").find("answer 59;"), std::string::npos);
    EXPECT_TRUE(runUntil([&] { return m_server->connections() == 0; }));
}

// A connection whose caller had sent half a request and closed stayed open, or hid that a request was lost.
TEST_F(HttpServer, APipelinedRequestThatIsNotWholeAtTheEndIsReportedOnce)
{
    serve({});
    auto socket = connect();
    send(socket, "GET /1 HTTP/1.1\r\n\r\n" + postHead(10) + "abc");
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 1; }));
    m_context.run_for(std::chrono::milliseconds(20));
    m_exchanges[0]->respond({200, {}, "first"});
    EXPECT_NE(readUntil(socket, "nothing").find("first"), std::string::npos);
    EXPECT_TRUE(runUntil([&] { return m_server->connections() == 0; }));
    EXPECT_EQ(m_requests.size(), 1U);
    EXPECT_EQ(m_rejections, std::vector{http_rejection::Incomplete});
}

// A caller that pipelined and then left was served to the end, each of its requests.
TEST_F(HttpServer, NoticesByTheFirstAnswerThatACallerWithPipelinedRequestsHasGone)
{
    serve({});
    auto socket = connect();
    send(socket, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 1; }));
    socket.close();
    m_context.run_for(std::chrono::milliseconds(20));
    m_exchanges[0]->respond({200, {}, "first"});
    ASSERT_TRUE(runUntil([&] { return m_requests.size() == 2 || m_server->connections() == 0; }));
    EXPECT_TRUE(runUntil([&] { return m_server->connections() == 0; }));
    EXPECT_EQ(m_server->heldBytes(), 0U);
}
