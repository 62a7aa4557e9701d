#include "ends/http_client.h"
#include "support/malformed_answer.h"
#include "support/raw_answer_server.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

struct call_outcome {
    std::optional<http_started> head;
    std::string body;
    bool finished = false;
    std::optional<http_failed> failure;
};

/** Calls to servers whose answers are not HTTP, or are HTTP in a rare form. */
class HttpAnswers : public ::testing::Test
{
protected:
    call_outcome call(raw_answer_server &server, const std::string &method = "GET")
    {
        http_call what;
        what.method = method;
        what.url = server.url();
        what.timeout = timeLimit;
        call_outcome out;
        client->start(what, [&out](http_event event) {
            if (auto *started = std::get_if<http_started>(&event)) {
                out.head = std::move(*started);
            } else if (const auto *received = std::get_if<http_received>(&event)) {
                out.body += received->bytes;
            } else if (const auto *failure = std::get_if<http_failed>(&event)) {
                out.failure = *failure;
            } else {
                out.finished = true;
            }
        });
        const auto until = std::chrono::steady_clock::now() + timeLimit * 2;
        while (!out.finished && !out.failure && std::chrono::steady_clock::now() < until) {
            context.run_one_for(std::chrono::milliseconds(50));
        }
        return out;
    }

    /** Expects that calls with these answers fail; @p beforeHead before anything of the head is reported. */
    void expectRejected(const std::vector<named_answer> &answers, bool beforeHead)
    {
        for (const named_answer &each : answers) {
            for (const bool closes : {false, true}) {
                expectRejected(each, beforeHead, closes);
            }
        }
    }

    void expectRejected(const named_answer &answer, bool beforeHead, bool closes)
    {
        SCOPED_TRACE(answer.name + (closes ? ", the server closes" : ", the server keeps the connection"));
        raw_answer_server server(context, answer.bytes, {});
        if (closes) {
            server.closeAfterAnswers();
        }
        const call_outcome out = call(server);
        EXPECT_FALSE(out.finished);
        ASSERT_TRUE(out.failure);
        EXPECT_FALSE(out.failure->neverSent);
        if (beforeHead) {
            EXPECT_FALSE(out.head) << "status " << out.head->status;
        }
        EXPECT_EQ(server.requests(), 1U);
        call(server);
        EXPECT_EQ(server.connections(), 2U) << "the connection was used again";
    }

    static constexpr duration timeLimit{2'000};

    asio::io_context context;
    std::unique_ptr<http_client> client = http_client::create(context);
};

} // namespace

TEST_F(HttpAnswers, WithAStatusBelow100Fail)
{
    expectRejected(answersWithStatusBelow100(), true);
}

TEST_F(HttpAnswers, WithoutAStatusFail)
{
    expectRejected(answersWithoutStatus(), true);
}

TEST_F(HttpAnswers, WithFieldNamesThatAreNoTokensFail)
{
    expectRejected(answersWithBrokenNames(), true);
}

TEST_F(HttpAnswers, WithControlBytesInValuesFail)
{
    expectRejected(answersWithBrokenValues(), true);
}

TEST_F(HttpAnswers, WithContradictoryFramingFail)
{
    expectRejected(answersWithBrokenFraming(), true);
}

TEST_F(HttpAnswers, WithMalformedChunksFail)
{
    expectRejected(answersWithBrokenChunks(), false);
}

TEST_F(HttpAnswers, WithMalformedTrailersFail)
{
    expectRejected(answersWithBrokenTrailers(), false);
}

TEST_F(HttpAnswers, ThatAreCutFail)
{
    for (const std::string &whole : {answerWith({}), chunkedAnswer("2;a\r\nok\r\n0\r\nX-Value: 1\r\n\r\n")}) {
        for (std::size_t length = 1; length < whole.size(); ++length) {
            raw_answer_server server(context, whole.substr(0, length), {});
            server.closeAfterAnswers();
            const call_outcome out = call(server);
            EXPECT_FALSE(out.finished) << whole.substr(0, length);
            ASSERT_TRUE(out.failure);
            EXPECT_TRUE(out.failure->closedByServer) << whole.substr(0, length);
        }
    }
}

// Trailers behind an empty body were reported as headers of the answer.
TEST_F(HttpAnswers, InRareFormsAreTaken)
{
    for (const rare_answer &each : rareAnswers()) {
        SCOPED_TRACE(each.answer.name);
        raw_answer_server server(context, each.answer.bytes, {});
        call_outcome out = call(server);
        EXPECT_TRUE(out.finished) << (out.failure ? out.failure->why.what : "");
        ASSERT_TRUE(out.head);
        EXPECT_EQ(out.head->status, each.status);
        EXPECT_EQ(out.body, each.body);
        EXPECT_EQ(out.head->headers["X-Value"], each.value);
    }
}

TEST_F(HttpAnswers, ToHeadRequestsHaveNoBody)
{
    for (const char *line : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        raw_answer_server server(context, std::string("HTTP/1.1 200 OK\r\n") + line + "\r\n", {});
        const call_outcome out = call(server, "HEAD");
        EXPECT_TRUE(out.finished) << line;
        EXPECT_EQ(out.body, "");
    }
}

TEST_F(HttpAnswers, InChunksArriveOnceWhereTheirReaderPauses)
{
    std::string chunks;
    std::string whole;
    for (int i = 0; i < 20'000; ++i) {
        const std::string piece = std::to_string(i) + "\n";
        chunks += "0" + std::to_string(piece.size()) + ";pause\r\n" + piece + "\r\n";
        whole += piece;
    }
    raw_answer_server server(context, chunkedAnswer(chunks + "0\r\n\r\n"), {});
    http_call what;
    what.url = server.url();
    what.timeout = 2 * timeLimit;
    std::string body;
    bool isDone = false;
    std::size_t pauses = 0;
    http_call_id id;
    id = client->start(what, [&](const http_event &event) {
        if (const auto *received = std::get_if<http_received>(&event)) {
            body += received->bytes;
            ++pauses;
            client->setPaused(id, true);
            asio::post(context, [&] { client->setPaused(id, false); });
        } else {
            isDone = !std::holds_alternative<http_started>(event);
        }
    });
    const auto until = std::chrono::steady_clock::now() + 2 * timeLimit;
    while (!isDone && std::chrono::steady_clock::now() < until) {
        context.run_one_for(std::chrono::milliseconds(50));
    }
    EXPECT_TRUE(isDone);
    EXPECT_GT(pauses, 1U);
    EXPECT_EQ(body.size(), whole.size());
    EXPECT_TRUE(body == whole);
}

// The bytes behind the last chunk would be taken for the answer to the next call.
TEST_F(HttpAnswers, WithBytesBehindTheLastChunkEndTheConnection)
{
    raw_answer_server server(context, chunkedAnswer("2\r\nok\r\n0\r\n\r\n") + answerWith({}, "HTTP/1.1 404 Not Found\r\n"), {});
    const call_outcome first = call(server);
    EXPECT_TRUE(first.finished);
    EXPECT_EQ(first.body, "ok");
    const call_outcome second = call(server);
    EXPECT_TRUE(second.finished);
    EXPECT_EQ(second.head->status, 200U);
    EXPECT_EQ(server.connections(), 2U);
}
