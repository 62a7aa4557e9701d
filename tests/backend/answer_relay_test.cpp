#include <carawayloft/backend/answer_relay.h>

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

/** However the backend server's bytes are cut up and credit comes, the chunks are the events, in order. */
RC_GTEST_PROP(AnswerRelay, ChunksAreTheEventsWhateverTheCuts, ())
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
    const auto take = [&](const std::vector<relay_output> &outputs) {
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
    take(relay.step(answer_started{200, "text/event-stream"}, {}));
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        take(relay.step(answer_bytes_received{bytes.substr(0, size)}, {}));
        bytes.erase(0, size);
    }
    take(relay.step(answer_finished{}, {}));
    while (!complete) {
        const auto more = static_cast<std::uint32_t>(*rc::gen::inRange(1, 9));
        credit += more;
        take(relay.step(credit_granted{more}, {}));
    }
    RC_ASSERT(seen == expected);
}

TEST(AnswerRelay, ACallerThatTakesNothingPausesTheBackendServer)
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

TEST(AnswerRelay, AStreamWithoutItsLastEventIsBroken)
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

TEST(AnswerRelay, ACallThatNeverStartedSaysSo)
{
    answer_relay relay(makeRequest(false, 10), {});
    const auto out = relay.step(answer_failed{true}, {});
    ASSERT_EQ(out.size(), 1U);
    EXPECT_TRUE(std::get<relay_done>(out[0]).neverStarted);
}
