// Memory that callers' connections, unfinished bodies and calls to backend servers take: growth of the process's resident
// memory, what the system holds in the buffers of its sockets, and what the byte budget charges, by connection.

#include "ends/http_client.h"
#include "ends/http_server.h"
#include "process_memory.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

using namespace carawayloft;

/** Time for everything that is under way to arrive. */
static constexpr std::chrono::milliseconds settleTime{200};

static constexpr std::size_t mebibyte = std::size_t{1} << 20U;

static constexpr std::size_t fewConnections = 20;

/** More than the buffers of two sockets hold. */
static constexpr std::size_t longAnswerBytes = 16 * mebibyte;

static void print(const char *what, std::size_t count, std::size_t resident, std::size_t system, std::size_t charged)
{
    const auto each = [count](std::size_t total) { return static_cast<double>(total) / static_cast<double>(count) / 1024.0; };
    std::printf("%-44s %5zu  resident %8.1f KB each  system %8.1f KB each  charged %8.1f KB each\n", what, count, each(resident), each(system), each(charged));
}

/** What a caller sends, and how the server answers it. */
struct caller_case {
    const char *what;
    std::string bytes;
    http_server::handler handle;
    bool untilFull = false; /**< The bytes are sent again and again until the sockets take no more. */
    bool isLarge = false; /**< Takes megabytes, so it is measured with few connections. */
};

static void sendAll(asio::io_context &context, asio::ip::tcp::socket &socket, const caller_case &how)
{
    std::string_view left = how.bytes;
    for (int failures = 0; !left.empty() && failures < 100;) {
        std::error_code failure;
        left.remove_prefix(socket.write_some(asio::buffer(left.data(), left.size()), failure));
        context.poll();
        failures = failure ? failures + 1 : 0;
        left = left.empty() && how.untilFull ? std::string_view(how.bytes) : left;
    }
}

/** Opens @p count connections that each send what the case says and stay open. */
static void measureCallers(const caller_case &how, std::size_t count)
{
    asio::io_context context(1);
    http_limits limits;
    limits.maxHeldBytes = std::size_t{1} << 30U;
    auto server = http_server::create(context, endpoint("127.0.0.1:0"), limits, how.handle);
    if (failed(server)) {
        std::fprintf(stderr, "%s\n", describe(errorOf(server)).c_str());
        return;
    }
    context.poll();
    const std::size_t before = residentBytes();
    std::vector<asio::ip::tcp::socket> callers;
    std::set<int> ofCallers;
    for (std::size_t i = 0; i < count; ++i) {
        callers.emplace_back(context);
        callers.back().connect({asio::ip::make_address("127.0.0.1"), valueOf(server)->listeningPort()});
        callers.back().non_blocking(true);
        ofCallers.insert(callers.back().native_handle());
        sendAll(context, callers.back(), how);
    }
    context.run_for(settleTime);
    print(how.what, count, residentBytes() - before, socketBytes(ofCallers), valueOf(server)->heldBytes());
}

/** A backend server that reads calls, and sends @p answer for each connection once something has come. */
class raw_server
{
public:
    raw_server(asio::io_context &context, std::string answer)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_answer(std::move(answer))
    {
        m_sockets.insert(m_acceptor.native_handle());
        accept();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/x";
    }

    const std::set<int> &sockets() const
    {
        return m_sockets;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const std::error_code &failure, asio::ip::tcp::socket socket) {
            if (!failure) {
                m_sockets.insert(socket.native_handle());
                m_connections.push_back(std::make_unique<asio::ip::tcp::socket>(std::move(socket)));
                read(*m_connections.back(), true);
                accept();
            }
        });
    }

    void read(asio::ip::tcp::socket &socket, bool isFirst)
    {
        socket.async_read_some(asio::buffer(m_part), [this, &socket, isFirst](const std::error_code &failure, std::size_t) {
            if (failure) {
                return;
            }
            if (isFirst && !m_answer.empty()) {
                asio::async_write(socket, asio::buffer(m_answer), [](const std::error_code &, std::size_t) {});
            }
            read(socket, false);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_answer;
    std::array<char, 65'536> m_part{};
    std::set<int> m_sockets;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_connections;
};

/** A call of a backend server. */
struct call_case {
    const char *what;
    std::size_t bodyBytes = 0;
    std::string answer;
    bool paused = false; /**< The answer is not read on once it has begun. */
};

static void measureCalls(const call_case &how, std::size_t count)
{
    asio::io_context context(1);
    raw_server server(context, how.answer);
    const auto client = http_client::create(context);
    const std::size_t before = residentBytes();
    std::vector<http_call_id> calls(count);
    for (http_call_id &each : calls) {
        http_call call;
        call.method = "POST";
        call.url = server.url();
        call.body = std::string(how.bodyBytes, 'x');
        each = client->start(call, [&](const http_event &) {
            if (how.paused) {
                client->setPaused(each, true);
            }
        });
        context.poll();
    }
    context.run_for(settleTime);
    print(how.what, count, residentBytes() - before, socketBytes(server.sockets()), 0);
}

/** Measures in a process of its own, since freed memory would be taken again. */
static void apart(const std::function<void()> &measure)
{
    std::fflush(stdout);
    if (fork() == 0) {
        measure();
        std::fflush(stdout);
        _exit(0);
    }
    int state = 0;
    wait(&state);
}

static std::string chunked(std::size_t chunks, std::size_t bytes)
{
    std::string out = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    for (std::size_t i = 0; i < chunks; ++i) {
        out += size + std::string(bytes, 'x') + "\r\n";
    }
    return out;
}

static std::vector<caller_case> callerCases()
{
    const auto answer = [](const http_request &, const std::shared_ptr<http_exchange> &exchange) { exchange->respond({200, {}, {}}); };
    const auto keep = [kept = std::make_shared<std::vector<std::shared_ptr<http_exchange>>>()](
                          const http_request &, const std::shared_ptr<http_exchange> &exchange) { kept->push_back(exchange); };
    const auto answerAtLength = [](const http_request &, const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond({200, {}, std::string(longAnswerBytes, 'x')});
    };
    return {{"idle connection", {}, answer},
            {"kept open after one answer", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", answer},
            {"body, 100,000 of 100,001 bytes", "POST /x HTTP/1.1\r\nContent-Length: 100001\r\n\r\n" + std::string(100'000, 'x'), answer},
            {"body, 100,000 chunks of 1 byte", chunked(100'000, 1), answer},
            {"body, 15 chunks of 64 KiB", chunked(15, std::size_t{64} << 10U), answer},
            {"pipelined until the sockets are full", "GET / HTTP/1.1\r\nX: " + std::string(8'000, 'x') + "\r\n\r\n", keep, true, true},
            {"answer of 16 MiB that is not read", "GET / HTTP/1.1\r\n\r\n", answerAtLength, false, true}};
}

static std::vector<call_case> callCases()
{
    const std::string longAnswer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(longAnswerBytes) + "\r\n\r\n" + std::string(longAnswerBytes, 'x');
    return {{"call without a body, not answered", 0, {}},
            {"call with a body of 2,000 bytes", 2'000, {}},
            {"call with a body of 100,000 bytes", 100'000, {}},
            {"call with a body of 4 MiB", 4 * mebibyte, {}},
            {"call whose answer is not read on", 0, longAnswer, true}};
}

int main()
{
    for (const std::size_t count : {50U, 100U, 200U, 400U, 800U}) {
        for (const caller_case &each : callerCases()) {
            if (!each.isLarge || count == 50) {
                apart([&] { measureCallers(each, each.isLarge ? fewConnections : count); });
            }
        }
    }
    for (const std::size_t count : {25U, 50U, 100U}) {
        for (const call_case &each : callCases()) {
            apart([&] { measureCalls(each, count); });
        }
    }
    return 0;
}
