#include "ends/answer_reader.h"
#include "support/malformed_answer.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

struct reading {
    std::optional<answer_fault> fault;
    std::string body;
    bool isWhole = false;
};

} // namespace

/** Reads an answer without libcurl, which rejects some of them by itself; @p step bytes of the body at a time. */
static reading readAll(const std::string &bytes, std::size_t step, answer_reader &reader)
{
    reading out;
    std::string_view left(bytes);
    while (!reader.hasHead() && !left.empty()) {
        const std::size_t length = std::min(left.find('\n'), left.size() - 1) + 1;
        out.fault = reader.addHeadLine(left.substr(0, length));
        if (out.fault) {
            return out;
        }
        left.remove_prefix(length);
    }
    while (!left.empty()) {
        const std::variant<std::string, answer_fault> read = reader.addBody(left.substr(0, step));
        if (const auto *fault = std::get_if<answer_fault>(&read)) {
            out.fault = *fault;
            return out;
        }
        out.body += std::get<std::string>(read);
        left.remove_prefix(std::min(step, left.size()));
    }
    out.isWhole = reader.isWhole();
    return out;
}

static void expectFault(const std::vector<named_answer> &answers, answer_fault expected)
{
    for (const named_answer &each : answers) {
        for (const std::size_t step : {std::size_t{1}, each.bytes.size()}) {
            answer_reader reader(false);
            const reading out = readAll(each.bytes, step, reader);
            ASSERT_TRUE(out.fault) << each.name;
            EXPECT_EQ(*out.fault, expected) << each.name << ": " << name(*out.fault);
        }
    }
}

TEST(AnswerReader, RejectsWhatIsNoStatusLine)
{
    expectFault(answersWithStatusBelow100(), answer_fault::StatusLine);
    expectFault(answersWithoutStatus(), answer_fault::StatusLine);
}

TEST(AnswerReader, RejectsFieldNamesThatAreNoTokens)
{
    expectFault(answersWithBrokenNames(), answer_fault::FieldName);
}

TEST(AnswerReader, RejectsControlBytesInValues)
{
    expectFault(answersWithBrokenValues(), answer_fault::FieldValue);
}

TEST(AnswerReader, RejectsContradictoryFraming)
{
    expectFault(answersWithBrokenFraming(), answer_fault::Framing);
}

TEST(AnswerReader, RejectsMalformedChunks)
{
    expectFault(answersWithBrokenChunks(), answer_fault::Chunk);
}

TEST(AnswerReader, RejectsMalformedTrailers)
{
    expectFault(answersWithBrokenTrailers(), answer_fault::Trailer);
}

TEST(AnswerReader, TakesRareForms)
{
    for (const rare_answer &each : rareAnswers()) {
        for (const std::size_t step : {std::size_t{1}, each.answer.bytes.size()}) {
            answer_reader reader(false);
            const reading out = readAll(each.answer.bytes, step, reader);
            EXPECT_FALSE(out.fault) << each.answer.name;
            EXPECT_TRUE(out.isWhole) << each.answer.name;
            EXPECT_FALSE(reader.hasExcess()) << each.answer.name;
            EXPECT_EQ(out.body, each.body) << each.answer.name;
            EXPECT_EQ(reader.head().status, each.status) << each.answer.name;
        }
    }
}

TEST(AnswerReader, AnAnswerThatIsCutIsNotWhole)
{
    for (const std::string &whole : {answerWith({}), chunkedAnswer("2;a\r\nok\r\n0\r\nX-Value: 1\r\n\r\n")}) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            answer_reader reader(false);
            const reading out = readAll(whole.substr(0, length), 1, reader);
            EXPECT_FALSE(out.isWhole) << whole.substr(0, length);
        }
    }
}
