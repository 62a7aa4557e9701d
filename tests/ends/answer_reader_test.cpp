#include "ends/answer_reader.h"
#include "support/malformed_answer.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

struct reading {
    std::optional<answer_fault> fault;
    bool isWhole = false;
};

} // namespace

/** Reads an answer without libcurl, which rejects some of them by itself. */
static reading readAll(const std::string &bytes, answer_reader &reader)
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
    out.isWhole = reader.hasHead();
    return out;
}

static void expectFault(const std::vector<named_answer> &answers, answer_fault expected)
{
    for (const named_answer &each : answers) {
        answer_reader reader(false);
        const reading out = readAll(each.bytes, reader);
        ASSERT_TRUE(out.fault) << each.name;
        EXPECT_EQ(*out.fault, expected) << each.name << ": " << name(*out.fault);
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
