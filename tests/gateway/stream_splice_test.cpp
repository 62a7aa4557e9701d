#include <carawayloft/gateway/stream_splice.h>

#include "support/properties.h"

using namespace carawayloft;

static std::string event(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: text " + std::to_string(id) + "\n\n";
}

TEST(StreamSplice, PassesOnOnlyCompleteEvents)
{
    stream_splice splice;
    const std::string first = event(1);
    EXPECT_EQ(splice.append(first.substr(0, 9)), "");
    EXPECT_TRUE(splice.hasPartialEvent());
    EXPECT_EQ(splice.append(first.substr(9)), first);
    EXPECT_FALSE(splice.hasPartialEvent());
    EXPECT_EQ(splice.lastEvent(), stream_event_id(1));
}

TEST(StreamSplice, DropsAPartialEventWhenAnotherServerContinues)
{
    stream_splice splice;
    EXPECT_EQ(splice.append(event(1) + event(2).substr(0, 5)), event(1));
    splice.restart();
    EXPECT_EQ(splice.append(event(2) + event(3)), event(2) + event(3));
}

TEST(StreamSplice, DropsEventsThatTheCallerAlreadyHas)
{
    stream_splice splice(stream_event_id(2));
    EXPECT_EQ(splice.append(event(1) + event(2) + event(3)), event(3));
}

TEST(StreamSplice, DetectsAGap)
{
    stream_splice splice;
    EXPECT_EQ(splice.append(event(1) + event(3)), event(1));
    EXPECT_TRUE(splice.hasGap());
}

TEST(StreamSplice, GivesTheSameEventsWhereverAStreamIsInterrupted)
{
    EXPECT_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
        std::string whole;
        for (std::uint64_t id = 1; id <= count; ++id) {
            whole += event(id);
        }
        stream_splice splice;
        std::string out;
        // A server may fail at any byte; the next one continues after the last complete event.
        std::size_t from = 0;
        while (out.size() < whole.size()) {
            const auto length = *rc::gen::inRange<std::size_t>(1, whole.size() - from + 1);
            out += splice.append(whole.substr(from, length));
            from += length;
            if (*rc::gen::arbitrary<bool>()) {
                splice.restart();
                from = out.size();
            }
        }
        RC_ASSERT(out == whole);
        RC_ASSERT(!splice.hasGap());
    }));
}
