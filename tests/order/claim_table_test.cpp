#include <carawayloft/order/claim_table.h>

#include "support/properties.h"

using namespace carawayloft;

static const client_account_id account("closedesk");
static constexpr wall_time start{std::chrono::hours(1'000'000)};

static open_claim makeOpen(const std::string &key, std::uint64_t owner, wall_time at, std::uint64_t digest = 1)
{
    return {account, idempotency_key(key), digest, request_id(owner), service_id("checklist-records"), at + std::chrono::seconds(10), at};
}

static close_claim makeClose(const std::string &key, std::uint64_t owner, claim_outcome outcome, wall_time at)
{
    return {account, idempotency_key(key), request_id(owner), outcome, 200, "application/json", "{\"owner\":" + std::to_string(owner) + "}", {}, at};
}

TEST(ClaimTable, RecordsTheAnswerForResends)
{
    claim_table claims;
    EXPECT_EQ(claims.apply(makeOpen("k", 1, start)).verdict, claim_verdict::Granted);
    EXPECT_EQ(claims.apply(makeOpen("k", 2, start)).verdict, claim_verdict::Running);
    EXPECT_EQ(claims.apply(makeOpen("k", 1, start)).verdict, claim_verdict::Granted);
    EXPECT_EQ(claims.apply(makeClose("k", 2, claim_outcome::Answered, start)).verdict, claim_verdict::NotOwner);
    EXPECT_EQ(claims.apply(makeClose("k", 1, claim_outcome::Answered, start)).verdict, claim_verdict::Closed);
    const claim_reply resend = claims.apply(makeOpen("k", 3, start));
    EXPECT_EQ(resend.verdict, claim_verdict::Answered);
    EXPECT_EQ(resend.body, "{\"owner\":1}");
}

TEST(ClaimTable, RefusesAKeyWithAnotherRequest)
{
    claim_table claims;
    claims.apply(makeOpen("k", 1, start, 1));
    EXPECT_EQ(claims.apply(makeOpen("k", 2, start, 2)).verdict, claim_verdict::KeyReused);
}

TEST(ClaimTable, ALostOwnerLeavesTheOutcomeUnknownUntilAnOperatorSettlesIt)
{
    claim_table claims;
    claims.apply(makeOpen("k", 1, start));
    const wall_time late = start + std::chrono::seconds(13);
    EXPECT_EQ(claims.apply(makeOpen("k", 2, late)).verdict, claim_verdict::Unknown);
    EXPECT_EQ(claims.apply(makeOpen("k", 1, late)).verdict, claim_verdict::Unknown);
    ASSERT_EQ(claims.unknown(late).size(), 1U);
    close_claim settlement = makeClose("k", 0, claim_outcome::DidNotRun, late);
    settlement.settledBy = "priya";
    EXPECT_EQ(claims.apply(settlement).verdict, claim_verdict::Closed);
    EXPECT_EQ(claims.apply(makeOpen("k", 3, late)).verdict, claim_verdict::Granted);
    EXPECT_EQ(claims.apply(settlement).verdict, claim_verdict::NotOwner);
}

TEST(ClaimTable, ForgetsAfterTheRetention)
{
    claim_table claims;
    claims.apply(makeOpen("k", 1, start));
    claims.apply(makeClose("k", 1, claim_outcome::Answered, start));
    const wall_time expired = start + claim_table::retention + std::chrono::seconds(1);
    EXPECT_EQ(claims.apply(makeOpen("k", 2, expired)).verdict, claim_verdict::Granted);
    EXPECT_EQ(claims.size(), 1U);
}

/** The naive version: a set of keys that were granted, and who may still have run what. */
RC_GTEST_PROP(ClaimTableProperty, GrantsEachKeyToOneOwnerUntilItSurelyDidNotRun, ())
{
    claim_table claims;
    std::map<std::string, std::uint64_t> holders;
    std::map<std::string, std::uint64_t> answered;
    wall_time now = start;
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
        now += std::chrono::seconds(*rc::gen::inRange(0, 4));
        const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 3));
        const auto owner = static_cast<std::uint64_t>(*rc::gen::inRange(1, 5));
        if (*rc::gen::inRange(0, 3) < 2) {
            const claim_reply reply = claims.apply(makeOpen(key, owner, now));
            if (reply.verdict == claim_verdict::Granted) {
                RC_ASSERT((!holders.contains(key) || holders.at(key) == owner));
                RC_ASSERT(!answered.contains(key));
                holders.emplace(key, owner);
            } else if (reply.verdict == claim_verdict::Answered) {
                RC_ASSERT(reply.body == "{\"owner\":" + std::to_string(answered.at(key)) + "}");
            } else {
                RC_ASSERT(holders.contains(key));
            }
        } else {
            const auto outcome = static_cast<claim_outcome>(*rc::gen::inRange(0, 3));
            const claim_reply reply = claims.apply(makeClose(key, owner, outcome, now));
            if (reply.verdict == claim_verdict::Closed) {
                RC_ASSERT(holders.at(key) == owner);
                if (outcome == claim_outcome::DidNotRun) {
                    holders.erase(key);
                } else if (outcome == claim_outcome::Answered) {
                    answered.emplace(key, owner);
                }
            }
        }
        if (*rc::gen::inRange(0, 8) == 0) {
            claim_table copy;
            copy.restore(claims.snapshot());
            claims = copy;
        }
    }
}
