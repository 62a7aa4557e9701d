// Memory that callers' connections and unfinished bodies take in a process: growth of its resident memory and what the
// byte budget charges for it, by connection.

#include "ends/http_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <cstdio>
#include <fstream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

using namespace carawayloft;

static constexpr const char *address = "127.0.0.1:28653";

static std::size_t residentBytes()
{
    std::size_t size = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> size >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/** Opens @p count connections that each send @p bytes and stay open. */
static void measure(const char *what, std::size_t count, const std::string &bytes)
{
    asio::io_context context(1);
    http_limits limits;
    limits.maxHeldBytes = std::size_t{1} << 30U;
    auto server = http_server::create(context, endpoint(address), limits, [](const http_request &, const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond({200, {}, {}});
    });
    if (failed(server)) {
        std::fprintf(stderr, "%s\n", describe(errorOf(server)).c_str());
        return;
    }
    context.poll();
    const std::size_t before = residentBytes();
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t i = 0; i < count; ++i) {
        callers.emplace_back(context);
        callers.back().connect({asio::ip::make_address("127.0.0.1"), 28'653});
        callers.back().non_blocking(true);
        std::string_view left = bytes;
        while (!left.empty()) {
            std::error_code failure;
            left.remove_prefix(callers.back().write_some(asio::buffer(left.data(), left.size()), failure));
            context.poll();
        }
    }
    context.run_for(std::chrono::milliseconds(200));
    const auto each = [count](std::size_t total) { return static_cast<double>(total) / static_cast<double>(count) / 1024.0; };
    std::printf("%-40s %5zu  resident %8.1f KB each  charged %8.1f KB each\n", what, count, each(residentBytes() - before), each(valueOf(server)->heldBytes()));
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

int main()
{
    for (const std::size_t count : {50U, 100U, 200U, 400U, 800U}) {
        // Each case in a process of its own, since freed memory would be taken again.
        const auto apart = [&](const char *what, const std::string &bytes) {
            std::fflush(stdout);
            if (fork() == 0) {
                measure(what, count, bytes);
                std::fflush(stdout);
                _exit(0);
            }
            int state = 0;
            wait(&state);
        };
        apart("idle connection", {});
        apart("kept open after one answer", "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        apart("body, 100,000 of 100,001 bytes", "POST /x HTTP/1.1\r\nContent-Length: 100001\r\n\r\n" + std::string(100'000, 'x'));
        apart("body, 100,000 chunks of 1 byte", chunked(100'000, 1));
        apart("body, 15 chunks of 64 KiB", chunked(15, std::size_t{64} << 10U));
    }
    return 0;
}
