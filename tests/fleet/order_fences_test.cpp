#include <carawayloft/fleet/order_fences.h>

#include <gtest/gtest.h>

using namespace carawayloft;

namespace {

const backend_id engine("e1");
constexpr log_term preceding(4);
constexpr log_term term(termSpacing + 4);

class OrderFences : public ::testing::Test
{
protected:
    OrderFences()
    {
        fences.begin(preceding, term);
    }

    order_fences fences;
};

} // namespace

// Guards against a leader whose orders are refused, or outranked, by those of a leader before or after it.
TEST_F(OrderFences, NumbersLieBetweenTheTermsOfTheLeaderBeforeAndOfTheOneAfter)
{
    for (std::uint64_t i = 0; i < 2 * termSpacing; ++i) {
        const fencing_token number = fences.next(engine);
        EXPECT_GT(number.value(), preceding.value());
        EXPECT_LE(number.value(), term.value());
    }
}

TEST_F(OrderFences, EachOrderToAnEngineHasAHigherNumberThanTheOneBefore)
{
    const fencing_token first = fences.next(engine);
    fences.next(backend_id("e2"));
    const fencing_token second = fences.next(engine);
    EXPECT_LT(first, second);
    EXPECT_TRUE(fences.isOvertaken(engine, first));
    EXPECT_FALSE(fences.isOvertaken(engine, second));
}

TEST_F(OrderFences, AnOrderThatNeedNotComeInOrderHasTheNumberOfTheLastOne)
{
    EXPECT_GT(fences.current(engine).value(), preceding.value());
    const fencing_token last = fences.next(engine);
    EXPECT_EQ(fences.current(engine), last);
    EXPECT_FALSE(fences.isOvertaken(engine, last));
}

// Guards against an engine that was forgotten, returns, and refuses all orders as older than one that it has seen.
TEST_F(OrderFences, AnEngineThatWasForgottenGetsHigherNumbersThanBefore)
{
    fences.next(engine);
    const fencing_token last = fences.next(engine);
    fences.forgetUnless([](const backend_id &) { return false; });
    EXPECT_EQ(fences.size(), 0U);
    EXPECT_LT(last, fences.next(engine));
}
