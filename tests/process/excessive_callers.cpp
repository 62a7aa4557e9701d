#include "process/excessive_callers.h"

#include "ends/frame_link.h"

#include <asio/write.hpp>

#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace carawayloft::test_support {

static constexpr std::size_t blockBytes = std::size_t{64} << 10U;
static constexpr std::size_t bodyLimit = std::size_t{4} << 20U;

/** Most that a caller sends of a body without end, so that the test ends where nobody stops it. */
static constexpr std::size_t endlessBytes = 2 * bodyLimit;

static constexpr std::size_t smallChunks = 300'000;
static constexpr std::size_t smallChunksOfABlock = 1'000;

static constexpr std::size_t pipelinedRequests = 16;
static constexpr std::size_t pipelinedBytes = std::size_t{60} << 10U;

excessive_callers::excessive_callers(std::size_t count, const std::string &address, const std::string &head, excessive_body form, const std::string &source)
    : m_server(valueOf(parseEndpoint(endpoint(address))))
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "10000\r\n" + std::string(blockBytes, 'x') + "\r\n";
    switch (form) {
    case excessive_body::UnfinishedLargeChunks:
        m_head = head + chunked;
        m_block = chunk;
        m_blocks = bodyLimit / blockBytes - 1;
        break;
    case excessive_body::UnfinishedSmallChunks:
        m_head = head + chunked;
        for (std::size_t i = 0; i < smallChunksOfABlock; ++i) {
            m_block += "1\r\nx\r\n";
        }
        m_blocks = smallChunks / smallChunksOfABlock;
        break;
    case excessive_body::UnfinishedLength:
        m_head = head + "Content-Length: " + std::to_string(bodyLimit) + "\r\n\r\n";
        m_block = std::string(blockBytes, 'x');
        m_blocks = bodyLimit / blockBytes - 1;
        m_end = std::string(blockBytes - 1, 'x');
        break;
    case excessive_body::EndlessChunks:
        m_head = head + chunked;
        m_block = chunk;
        m_blocks = endlessBytes / blockBytes;
        break;
    case excessive_body::HugeLengthAnnounced:
        m_head = head + "Content-Length: 10000000000\r\n\r\n";
        m_end = std::string(blockBytes / 4, 'x');
        break;
    case excessive_body::HugeLengthSent:
        m_head = head + "Content-Length: 10000000000\r\n\r\n";
        m_block = std::string(blockBytes, 'x');
        m_blocks = endlessBytes / blockBytes;
        break;
    case excessive_body::WholeLength:
        m_head = head + "Content-Length: " + std::to_string(bodyLimit) + "\r\n\r\n";
        m_block = std::string(blockBytes, 'x');
        m_blocks = bodyLimit / blockBytes;
        break;
    case excessive_body::PipelinedAndEnded:
        m_block = head + "Content-Length: " + std::to_string(pipelinedBytes) + "\r\n\r\n" + std::string(pipelinedBytes, 'x');
        m_blocks = pipelinedRequests;
        m_endsSending = true;
        break;
    }
    for (std::size_t i = 0; i < count; ++i) {
        m_callers.push_back(std::make_unique<caller>(m_context));
        if (!source.empty()) {
            m_callers.back()->socket.open(asio::ip::tcp::v4());
            m_callers.back()->socket.bind({asio::ip::make_address(source), 0});
        }
        m_callers.back()->socket.connect(m_server);
        m_callers.back()->blocksLeft = m_blocks;
    }
}

excessive_callers::~excessive_callers() = default;

void excessive_callers::send(std::chrono::seconds limit)
{
    for (const auto &each : m_callers) {
        asio::async_write(each->socket, asio::buffer(m_head), [this, one = each.get()](const std::error_code &failure, std::size_t bytes) {
            m_sentBytes += bytes;
            if (!failure) {
                sendNext(*one);
            }
        });
    }
    m_context.run_for(limit);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (unreadBytes() > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

std::size_t excessive_callers::unreadBytes() const
{
    std::size_t unread = 0;
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        unsigned address = 0; // As it stands in memory.
        unsigned port = 0;
        unsigned receiveQueue = 0;
        const bool isSocket = std::sscanf(line.c_str(), "%*d: %x:%x %*x:%*x %*x %*x:%x", &address, &port, &receiveQueue) == 3;
        if (isSocket && ntohl(address) == m_server.address().to_v4().to_uint() && port == m_server.port()) {
            unread += receiveQueue;
        }
    }
    return unread;
}

void excessive_callers::sendNext(caller &one)
{
    const bool isLast = one.blocksLeft == 0;
    asio::async_write(one.socket, asio::buffer(isLast ? m_end : m_block), [this, &one, isLast](const std::error_code &failure, std::size_t bytes) {
        m_sentBytes += bytes;
        if (!failure && !isLast) {
            --one.blocksLeft;
            sendNext(one);
        } else if (!failure && m_endsSending) {
            std::error_code ignored;
            one.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
    });
}

std::map<int, std::size_t> excessive_callers::statuses()
{
    static constexpr std::size_t statusOffset = 9; // Behind "HTTP/1.1 ".
    std::map<int, std::size_t> counts;
    for (const auto &each : m_callers) {
        std::array<char, 64> start{};
        std::error_code failure;
        each->socket.non_blocking(true, failure);
        const std::size_t bytes = each->socket.read_some(asio::buffer(start), failure);
        ++counts[bytes > statusOffset + 3 ? std::atoi(start.data() + statusOffset) : 0];
    }
    return counts;
}

} // namespace carawayloft::test_support
