#include <carawayloft/backend/answer_relay.h>
#include <carawayloft/core/answer_limits.h>

#include "support/properties.h"

using namespace carawayloft;

static dispatch_request makeRequest(bool stream, std::uint32_t credit)
{
    dispatch_request request;
    request.request = request_id(1);
    request.attempt = attempt_number(1);
    request.stream = stream;
    request.credit = credit;
    return request;
}

/** Each event becomes one chunk, in order, however the backend server's bytes are split and credit arrives. */
RC_GTEST_PROP(AnswerRelay, EachEventIsOneChunkHoweverBytesAreSplit, ())
{
    const int events = *rc::gen::inRange(0, 30);
    std::string bytes;
    std::vector<std::string> expected;
    for (int i = 0; i < events; ++i) {
        expected.push_back("data: {\"n\":" + std::to_string(i) + "}\n\n");
        bytes += expected.back();
    }
    expected.emplace_back("data: [DONE]\n\n");
    bytes += expected.back();
    answer_relay relay(makeRequest(true, 1), {});
    std::vector<std::string> seen;
    std::uint32_t credit = 1;
    bool complete = false;
    const auto collect = [&](const std::vector<relay_output> &outputs) {
        for (const relay_output &each : outputs) {
            if (const auto *done = std::get_if<relay_done>(&each)) {
                complete = done->complete;
            } else if (const auto *frame = std::get_if<relay_frame>(&each)) {
                if (const auto *chunk = std::get_if<answer_chunk>(&frame->frame)) {
                    RC_ASSERT(chunk->offset.value() == seen.size());
                    RC_ASSERT(credit-- > 0U);
                    seen.push_back(chunk->bytes);
                }
            }
        }
    };
    collect(relay.step(answer_started{200, "text/event-stream"}, {}));
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        collect(relay.step(answer_bytes_received{bytes.substr(0, size)}, {}));
        bytes.erase(0, size);
    }
    collect(relay.step(answer_finished{}, {}));
    while (!complete) {
        const auto more = static_cast<std::uint32_t>(*rc::gen::inRange(1, 9));
        credit += more;
        collect(relay.step(credit_granted{more}, {}));
    }
    RC_ASSERT(seen == expected);
}

TEST(AnswerRelay, PausesTheBackendServerWithoutCredit)
{
    answer_relay relay(makeRequest(true, 0), {});
    relay.step(answer_started{200, {}}, {});
    bool paused = false;
    for (int i = 0; i < 100; ++i) {
        for (const relay_output &each : relay.step(answer_bytes_received{"data: x\n\n"}, {})) {
            paused = paused || (std::holds_alternative<pause_backend>(each) && std::get<pause_backend>(each).paused);
        }
    }
    EXPECT_TRUE(paused);
}

TEST(AnswerRelay, AStreamWithoutItsLastEventEndsAsBroken)
{
    answer_relay relay(makeRequest(true, 10), {});
    relay.step(answer_started{200, {}}, {});
    relay.step(answer_bytes_received{"data: x\n\ndata: y"}, {});
    const auto out = relay.step(answer_finished{}, {});
    ASSERT_EQ(out.size(), 2U);
    const auto &end = std::get<answer_end>(std::get<relay_frame>(out[0]).frame);
    EXPECT_EQ(end.ending, answer_ending::Broken);
    EXPECT_EQ(end.length, stream_offset(1));
    EXPECT_FALSE(std::get<relay_done>(out[1]).complete);
}

TEST(AnswerRelay, ReportsACallThatNeverStarted)
{
    answer_relay relay(makeRequest(false, 10), {});
    const auto out = relay.step(answer_failed{true}, {});
    ASSERT_EQ(out.size(), 1U);
    EXPECT_TRUE(std::get<relay_done>(out[0]).neverStarted);
}

TEST(AnswerRelay, AnEventWithoutEndIsAbandoned)
{
    answer_relay relay(makeRequest(true, 100), {});
    relay.step(answer_started{200, "text/event-stream"}, {});
    std::vector<relay_output> outputs;
    for (std::size_t sent = 0; sent <= maxEventBytes && outputs.empty(); sent += 4'096) {
        outputs = relay.step(answer_bytes_received{std::string(4'096, 'x')}, {});
    }
    ASSERT_EQ(outputs.size(), 3U);
    EXPECT_TRUE(std::holds_alternative<abandon_backend>(outputs[0]));
    EXPECT_EQ(std::get<answer_end>(std::get<relay_frame>(outputs[1]).frame).ending, answer_ending::Broken);
    EXPECT_FALSE(std::get<relay_done>(outputs[2]).complete);
}
