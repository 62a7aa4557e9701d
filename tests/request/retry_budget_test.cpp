#include <carawayloft/request/retry_budget.h>

#include <gtest/gtest.h>

using namespace carawayloft;

TEST(RetryBudget, RetriesFadeOutWhenNothingSucceeds)
{
    retry_budget budget;
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        taken += budget.tryTake() ? 1 : 0;
    }
    EXPECT_EQ(taken, static_cast<int>(retry_budget::maxSavedRetries));
}

TEST(RetryBudget, RetriesAreAShareOfSuccesses)
{
    retry_budget budget;
    while (budget.tryTake()) {
    }
    int taken = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.recordSuccess();
        taken += budget.tryTake() ? 1 : 0;
    }
    EXPECT_NEAR(taken, 1'000 * retry_budget::retriesPerSuccess, 2);
}
