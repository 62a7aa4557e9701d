#include <carawayloft/request/stream_assembler.h>

#include "support/properties.h"

#include <random>

using namespace carawayloft;

static constexpr request_id request(1);

static std::string tokenAt(std::uint64_t offset)
{
    return "t" + std::to_string(offset) + " ";
}

/** The naive version: the list of all tokens. Frames of each attempt arrive late, doubled and out of order. */
RC_GTEST_PROP(StreamAssembler, PutsOutEachTokenOnceAndInOrder, ())
{
    const auto length = static_cast<std::uint64_t>(*rc::gen::inRange(0, 40));
    const int attempts = *rc::gen::inRange(1, 4);
    stream_assembler assembler;
    std::string seen;
    bool whole = false;
    std::vector<assembler_input> late;
    for (int a = 1; a <= attempts && !whole; ++a) {
        const attempt_number attempt(static_cast<std::uint32_t>(a));
        assembler.step(attempt_started{attempt}, {});
        const std::uint64_t from = assembler.position().value();
        const bool last = a == attempts;
        const std::uint64_t upTo = last ? length : static_cast<std::uint64_t>(*rc::gen::inRange<std::uint64_t>(from, length + 1));
        std::vector<assembler_input> frames{answer_head{request, attempt, 200, "text/event-stream"}};
        for (std::uint64_t i = from; i < upTo; ++i) {
            frames.emplace_back(answer_chunk{request, attempt, stream_offset(i), tokenAt(i)});
        }
        if (last) {
            frames.emplace_back(answer_end{request, attempt, stream_offset(length), answer_ending::Complete});
        }
        const std::vector<assembler_input> doubled = frames;
        frames.insert(frames.end(), doubled.begin(), doubled.begin() + static_cast<std::ptrdiff_t>(doubled.size() / 2));
        frames.insert(frames.end(), late.begin(), late.end());
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        std::shuffle(frames.begin(), frames.end(), random);
        late = doubled;
        late.emplace_back(answer_end{request, attempt, {}, answer_ending::Broken});
        for (const assembler_input &frame : frames) {
            for (const assembler_output &out : assembler.step(frame, {})) {
                RC_ASSERT(!whole);
                if (const auto *piece = std::get_if<bytes_ready>(&out)) {
                    seen += piece->bytes;
                }
                whole = whole || std::holds_alternative<answer_complete>(out);
                RC_ASSERT(!std::holds_alternative<attempt_broken>(out));
            }
        }
    }
    std::string expected;
    for (std::uint64_t i = 0; i < length; ++i) {
        expected += tokenAt(i);
    }
    RC_ASSERT(whole);
    RC_ASSERT(seen == expected);
}

TEST(StreamAssembler, SaysWhereToResume)
{
    stream_assembler assembler;
    assembler.step(attempt_started{attempt_number(1)}, {});
    assembler.step(answer_head{request, attempt_number(1), 200, {}}, {});
    assembler.step(answer_chunk{request, attempt_number(1), stream_offset(0), "a"}, {});
    const auto out = assembler.step(answer_end{request, attempt_number(1), {}, answer_ending::Broken}, {});
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<attempt_broken>(out[0]).resumeAt, stream_offset(1));
}

TEST(StreamAssembler, HoldsABoundedNumberOfEarlyChunks)
{
    stream_assembler assembler;
    assembler.step(attempt_started{attempt_number(1)}, {});
    for (std::uint64_t i = 1; i <= stream_assembler::maxHeldChunks; ++i) {
        EXPECT_TRUE(assembler.step(answer_chunk{request, attempt_number(1), stream_offset(i), "x"}, {}).empty());
    }
    const auto out = assembler.step(answer_chunk{request, attempt_number(1), stream_offset(5'000), "x"}, {});
    ASSERT_EQ(out.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<attempt_broken>(out[0]));
}
