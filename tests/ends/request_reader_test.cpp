#include "ends/request_reader.h"

#include <gtest/gtest.h>

using namespace carawayloft;

static http_limits smallLimits()
{
    http_limits limits;
    limits.maxBodyBytes = 100'000;
    return limits;
}

/** Reads @p text in pieces of @p piece bytes; the first outcome that is not request_incomplete. */
static request_reading readPieces(request_reader &reader, std::string_view text, std::size_t piece)
{
    while (!text.empty()) {
        std::string_view part = text.substr(0, piece);
        text.remove_prefix(part.size());
        request_reading out = reader.read(part);
        if (!std::holds_alternative<request_incomplete>(out)) {
            return out;
        }
    }
    return request_incomplete{};
}

static std::uint32_t statusOf(const std::string &text)
{
    request_reader reader(smallLimits());
    const request_reading out = readPieces(reader, text, text.size());
    const auto *refused = std::get_if<request_unreadable>(&out);
    return refused == nullptr ? 0 : refused->status;
}

// A request was read differently depending on where the network split it.
TEST(RequestReader, GivesTheSameRequestHoweverItIsSplit)
{
    const std::string text = "PUT /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Two: 1\r\nX-Empty:\r\nx-two: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n1;more\r\nd\r\n0\r\nTrailing: x\r\n\r\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        request_reader reader(smallLimits());
        const request_reading out = readPieces(reader, text, piece);
        ASSERT_TRUE(std::holds_alternative<request_read>(out)) << piece;
        const auto &[request, keepAlive] = std::get<request_read>(out);
        EXPECT_EQ(request.method, "PUT");
        EXPECT_EQ(request.path, "/a/b");
        EXPECT_EQ(request.query, "c=d");
        EXPECT_EQ(request.body, "abcd");
        EXPECT_EQ(request.header("x-two"), "1, 2");
        EXPECT_EQ(request.headers.count("X-Empty"), 1U);
        EXPECT_EQ(request.headers.count("Trailing"), 0U);
        EXPECT_TRUE(keepAlive);
        EXPECT_FALSE(reader.hasBegun());
    }
}

// The fragment was dropped, so that the server got another target than the caller sent.
TEST(RequestReader, RefusesAFragment)
{
    EXPECT_EQ(statusOf("GET /a/b?c=d#e HTTP/1.1\r\n\r\n"), 400U);
    EXPECT_EQ(statusOf("GET /a#b HTTP/1.1\r\n\r\n"), 400U);
}

// An empty query was dropped.
TEST(RequestReader, KeepsTheTargetAsItIs)
{
    for (const std::string target : {"/a", "/a?", "/a?b", "/?", "/a??", "/\xc3\xa9\xff?\xe9"}) {
        request_reader reader(smallLimits());
        const std::string text = "GET " + target + " HTTP/1.1\r\n\r\n";
        const request_reading out = readPieces(reader, text, 1);
        ASSERT_TRUE(std::holds_alternative<request_read>(out)) << target;
        const http_request &request = std::get<request_read>(out).request;
        EXPECT_EQ(request.path + request.queryPart(), target);
    }
}

// The bytes of a pipelined request were lost or taken into the one before it.
TEST(RequestReader, LeavesTheNextRequest)
{
    const std::string text = "POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n";
    request_reader reader(smallLimits());
    std::string_view rest = text;
    EXPECT_EQ(std::get<request_read>(reader.read(rest)).request.body, "ab");
    const request_reading second = reader.read(rest);
    EXPECT_EQ(std::get<request_read>(second).request.path, "/2");
    EXPECT_FALSE(std::get<request_read>(second).keepAlive);
    EXPECT_TRUE(rest.empty());
}

// A request that two readers frame differently smuggles a second one past the first reader.
TEST(RequestReader, RefusesALengthBesideChunks)
{
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), 400U);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"), 400U);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"), 400U);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"), 400U);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"), 400U);
}

// A body over the limit was read before it was rejected.
TEST(RequestReader, RefusesABodyOverTheLimitAsSoonAsThatIsKnown)
{
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 10000000000\r\n\r\n"), 413U);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"), 0U);
    EXPECT_EQ(statusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n" + std::string(100'001, 'x')), 413U);
}

TEST(RequestReader, RefusesHeadersOverTheLimit)
{
    EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nX: " + std::string(17'000, 'x')), 431U);
    EXPECT_EQ(statusOf("GET /" + std::string(17'000, 'x')), 414U);
    std::string many = "GET / HTTP/1.1\r\n";
    for (int i = 0; i <= 100; ++i) {
        many += "a" + std::to_string(i) + ": b\r\n";
    }
    EXPECT_EQ(statusOf(many), 431U);
}

// A body in chunks of one byte took several times its length.
TEST(RequestReader, HoldsLittleMoreThanTheBytesOfABodyInSmallChunks)
{
    request_reader reader(smallLimits());
    std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 90'000; ++i) {
        text += "1\r\nx\r\n";
    }
    EXPECT_TRUE(std::holds_alternative<request_incomplete>(readPieces(reader, text, 1'000)));
    EXPECT_EQ(reader.bodyBytes(), 90'000U);
    EXPECT_LT(reader.heldBytes(), 90'000U + 33'000U);
}
