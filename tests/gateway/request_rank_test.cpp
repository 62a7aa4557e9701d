#include <carawayloft/gateway/request_rank.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

static urgency_scale makeScale(const std::vector<std::uint32_t> &priorities)
{
    configuration_fields fields;
    for (const std::uint32_t each : priorities) {
        fields.routes.push_back(makeRoute("r", "/" + std::to_string(fields.routes.size()) + "/", retry_policy::Stream, engineService));
        fields.routes.back().priority = each;
    }
    fields.services = {{engineService, 500, 0.0, makeEngine()}};
    return urgency_scale(std::get<service_configuration>(service_configuration::create(fields)));
}

static std::optional<std::uint32_t> urgencyOf(const urgency_scale &scale, std::uint32_t rank)
{
    return scale.urgencyOf({request_progress::FirstAttempt, request_rank(rank)});
}

TEST(RequestRank, ThePriorityOfTheAccountGoesBeforeThatOfTheRoute)
{
    service_route route = makeRoute("r", "/r/", retry_policy::Stream, engineService);
    route.priority = 3;
    account_settings account{client_account_id("a"), {}, std::nullopt};
    EXPECT_EQ(rankOf(route, nullptr), request_rank(3));
    EXPECT_EQ(rankOf(route, &account), request_rank(3));
    account.priority = 0;
    EXPECT_EQ(rankOf(route, &account), request_rank(0));
}

// Guards against a changed order at the engines where the configuration sets no ranks.
TEST(RequestRank, NoUrgencyIsStatedWhereThereIsOneRank)
{
    for (const request_progress progress : {request_progress::Interrupted, request_progress::FirstAttempt, request_progress::Returning}) {
        EXPECT_EQ(makeScale({2, 2}).urgencyOf({progress, request_rank(2)}), std::nullopt);
        EXPECT_EQ(urgency_scale().urgencyOf({progress, request_rank(2)}), std::nullopt);
    }
}

TEST(RequestRank, TheMiddleRankHasUrgencyFiveAndAHigherRankALowerOne)
{
    const urgency_scale three = makeScale({0, 1, 700});
    EXPECT_EQ(urgencyOf(three, 0), 3U);
    EXPECT_EQ(urgencyOf(three, 1), 5U);
    EXPECT_EQ(urgencyOf(three, 700), 7U);
    EXPECT_EQ(urgencyOf(makeScale({0, 1}), 0), 4U);
    EXPECT_EQ(urgencyOf(makeScale({0, 1}), 1), 6U);
}

TEST(RequestRank, InterruptedStreamsGoFirstAndReturningRequestsLastWithAnyNumberOfRanks)
{
    std::vector<std::uint32_t> priorities;
    for (std::uint32_t rank = 0; rank < 40; ++rank) {
        priorities.push_back(rank);
        const urgency_scale scale = makeScale(priorities);
        for (std::uint32_t each = 0; rank > 0 && each <= rank; ++each) {
            EXPECT_LT(scale.urgencyOf({request_progress::Interrupted, request_rank(each)}), urgencyOf(scale, each));
            EXPECT_LT(urgencyOf(scale, each), scale.urgencyOf({request_progress::Returning, request_rank(each)}));
            EXPECT_LE(urgencyOf(scale, each), urgencyOf(scale, each + 1));
        }
        EXPECT_EQ(scale.urgencyOf({request_progress::Returning, request_rank(0)}).value_or(9), 9U);
    }
}

// The priority of an account without one is the route's; priorities of routes that no request can have do not count.
TEST(RequestRank, OnlyRanksThatRequestsCanHaveCount)
{
    configuration_fields fields = makeFields();
    fields.routes[0].priority = 1;
    fields.accounts = {{client_account_id("a"), {access_key("k")}, 4}};
    const urgency_scale allWithPriority(std::get<service_configuration>(service_configuration::create(fields)));
    EXPECT_EQ(urgencyOf(allWithPriority, 4), std::nullopt);
    fields.accounts.push_back({client_account_id("b"), {access_key("l")}, std::nullopt});
    const urgency_scale mixed(std::get<service_configuration>(service_configuration::create(fields)));
    EXPECT_TRUE(urgencyOf(mixed, 4));
}

TEST(RequestRank, DispatchPutsInterruptedStreamsFirstThenRanksThenReturningRequests)
{
    const dispatch_precedence interrupted{request_progress::Interrupted, request_rank(9)};
    const dispatch_precedence high{request_progress::FirstAttempt, request_rank(0)};
    const dispatch_precedence low{request_progress::FirstAttempt, request_rank(1)};
    const dispatch_precedence returning{request_progress::Returning, request_rank(0)};
    EXPECT_LT(interrupted, high);
    EXPECT_LT(high, low);
    EXPECT_LT(low, returning);
}

// Guards against requests of an account below its fair share that wait behind those of an account of which a part is rejected.
TEST(DispatchPrecedence, WithinARankAccountsBelowTheirFairShareGoFirst)
{
    const dispatch_precedence within{request_progress::FirstAttempt, request_rank(1), false};
    const dispatch_precedence above{request_progress::FirstAttempt, request_rank(1), true};
    const dispatch_precedence higherRank{request_progress::FirstAttempt, request_rank(0), true};
    EXPECT_LT(within, above);
    EXPECT_LT(higherRank, within);
}
