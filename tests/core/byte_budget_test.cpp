#include <carawayloft/core/byte_budget.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carawayloft;

static constexpr std::size_t mebibyte = std::size_t{1} << 20U;

static byte_holder_id holder(std::uint64_t id)
{
    return byte_holder_id(id);
}

static std::vector<std::uint64_t> rejectedBy(const std::vector<byte_budget_output> &out)
{
    std::vector<std::uint64_t> ids;
    for (const byte_budget_output &each : out) {
        if (const auto *rejected = std::get_if<reject_unfinished_body>(&each)) {
            ids.push_back(rejected->holder.value());
        }
    }
    return ids;
}

static std::vector<std::uint64_t> cutBy(const std::vector<byte_budget_output> &out)
{
    std::vector<std::uint64_t> ids;
    for (const byte_budget_output &each : out) {
        if (const auto *cut = std::get_if<cut_untaken_answer>(&each)) {
            ids.push_back(cut->holder.value());
        }
    }
    return ids;
}

// A caller within the limits was rejected though there was room.
TEST(ByteBudget, RejectsNothingUpToItsLimit)
{
    byte_budget budget(4 * mebibyte);
    EXPECT_TRUE(budget.update(holder(1), {4 * mebibyte, 0, 0}).empty());
    EXPECT_EQ(budget.used(), 4 * mebibyte);
}

// A small body was rejected for a large one that stalled.
TEST(ByteBudget, RejectsTheLargestUnfinishedBodyAndKeepsSmallOnes)
{
    byte_budget budget(4 * mebibyte);
    budget.update(holder(1), {mebibyte / 4, 0, 0});
    budget.update(holder(2), {3 * mebibyte, 0, 0});
    EXPECT_EQ(rejectedBy(budget.update(holder(3), {mebibyte, 0, 0})), std::vector<std::uint64_t>{2});
    EXPECT_EQ(budget.used(), mebibyte + mebibyte / 4);
}

// A body that makes progress was rejected for being a few bytes larger than one that stalled just short of its end.
TEST(ByteBudget, RejectsTheOldestOfBodiesOfLikeSize)
{
    byte_budget budget(8 * mebibyte);
    budget.update(holder(1), {4 * mebibyte - 64, 0, 0});
    budget.update(holder(2), {4 * mebibyte - 1, 0, 0});
    EXPECT_EQ(rejectedBy(budget.update(holder(3), {64 * 1024, 0, 0})), std::vector<std::uint64_t>{1});
}

// A request that is being served must not be rejected: it may have run.
TEST(ByteBudget, KeepsWholeRequestsAndRejectsTheOneThatDoesNotFit)
{
    byte_budget budget(4 * mebibyte);
    budget.update(holder(1), {0, 0, 4 * mebibyte});
    EXPECT_EQ(rejectedBy(budget.update(holder(2), {1, 0, 0})), std::vector<std::uint64_t>{2});
    EXPECT_TRUE(budget.update(holder(1), {}).empty());
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_TRUE(budget.update(holder(2), {1, 0, 0}).empty());
}

// Callers that read no answers filled the memory, since an answer is never an unfinished body.
TEST(ByteBudget, CutsAnswersOnlyWhenNoUnfinishedBodyIsLeft)
{
    byte_budget budget(4 * mebibyte);
    budget.update(holder(1), {0, 3 * mebibyte, 0});
    budget.update(holder(2), {mebibyte, 0, 0});
    const auto first = budget.update(holder(3), {0, mebibyte, 0});
    EXPECT_EQ(rejectedBy(first), std::vector<std::uint64_t>{2});
    EXPECT_TRUE(cutBy(first).empty());
    EXPECT_EQ(cutBy(budget.update(holder(4), {0, mebibyte, 0})), std::vector<std::uint64_t>{1});
}

// Accounts for every byte whatever the order of updates; an account that drifts rejects everyone in the end, or nobody.
RC_GTEST_PROP(ByteBudget, HoldsWhatItsHoldersHoldAndNoMoreThanItsLimitWhereItCanBeHelped, ())
{
    byte_budget budget(1'000);
    std::map<std::uint64_t, held_bytes> model;
    const auto steps = *rc::gen::container<std::vector<std::tuple<std::uint64_t, std::size_t, std::size_t, std::size_t>>>(
        rc::gen::tuple(rc::gen::inRange<std::uint64_t>(1, 12),
                       rc::gen::inRange<std::size_t>(0, 600),
                       rc::gen::inRange<std::size_t>(0, 300),
                       rc::gen::inRange<std::size_t>(0, 100)));
    for (const auto &[id, body, answer, other] : steps) {
        model[id] = {body, answer, other};
        for (const byte_budget_output &each : budget.update(holder(id), {body, answer, other})) {
            if (const auto *rejected = std::get_if<reject_unfinished_body>(&each)) {
                RC_ASSERT(model[rejected->holder.value()].unfinishedBody > 0);
                model[rejected->holder.value()].unfinishedBody = 0;
            } else {
                model[std::get<cut_untaken_answer>(each).holder.value()].untakenAnswer = 0;
            }
        }
        std::size_t total = 0;
        std::size_t kept = 0;
        for (const auto &[key, value] : model) {
            total += value.unfinishedBody + value.untakenAnswer + value.other;
            kept += value.other;
        }
        RC_ASSERT(budget.used() == total);
        RC_ASSERT(total <= std::max<std::size_t>(1'000, kept));
    }
}
