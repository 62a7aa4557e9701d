#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawayloft::test_support {

/** What a caller sends that exceeds the limits, or never completes. */
enum class excessive_body {
    UnfinishedLargeChunks, /**< Chunks of 64 KiB up to one short of 4 MiB. */
    UnfinishedSmallChunks, /**< 300,000 chunks of one byte. */
    UnfinishedLength, /**< 4 MiB announced, one byte missing. */
    EndlessChunks,
    HugeLengthAnnounced, /**< 10 GB, of which 16 KiB come. */
    HugeLengthSent, /**< 10 GB announced, sent for as long as the server takes them. */
    WholeLength, /**< 4 MiB announced and sent; within the limits of one request. */
    PipelinedAndEnded, /**< 16 requests of 60 KiB at once, then the end of the sending side. */
};

/** Callers on connections of their own that all send the same form at once, keep their connections open and read nothing meanwhile. */
class excessive_callers
{
public:
    /**
     * Connects @p count callers to @p address, from the address @p source unless it is empty. @p head is a request's first
     * line and headers without those of the body.
     */
    excessive_callers(std::size_t count, const std::string &address, const std::string &head, excessive_body form, const std::string &source = {});
    ~excessive_callers();

    excessive_callers(const excessive_callers &) = delete;
    excessive_callers &operator=(const excessive_callers &) = delete;

    /**
     * Sends until every caller is done, was cut off, or @p limit has passed, and waits as long again at most until the
     * server has read what the system holds for it; before that its memory tells nothing.
     */
    void send(std::chrono::seconds limit);

    std::size_t sentBytes() const
    {
        return m_sentBytes;
    }

    /** How often each status was answered; 0 stands for callers without an answer. */
    std::map<int, std::size_t> statuses();

private:
    struct caller {
        explicit caller(asio::io_context &context)
            : socket(context)
        {
        }
        asio::ip::tcp::socket socket;
        std::size_t blocksLeft = 0;
    };

    void sendNext(caller &one);

    /** Bytes that the system holds for the server's connections, by its table of sockets. */
    std::size_t unreadBytes() const;

    asio::io_context m_context{1};
    asio::ip::tcp::endpoint m_server;
    std::string m_head;
    std::string m_block; /**< Sent again and again behind the head. */
    std::size_t m_blocks = 0;
    std::string m_end; /**< Sent once behind the blocks. */
    bool m_endsSending = false; /**< The sending side is closed behind that. */
    std::size_t m_sentBytes = 0;
    std::vector<std::unique_ptr<caller>> m_callers;
};

} // namespace carawayloft::test_support
