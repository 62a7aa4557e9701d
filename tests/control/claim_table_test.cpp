#include <carawayloft/control/claim_table.h>

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

TEST(ClaimTable, ReturnsTheRecordedAnswerToARetry)
{
    claim_table claims;
    EXPECT_EQ(claims.apply(makeOpen("k", 1, start)).verdict, claim_verdict::Granted);
    EXPECT_EQ(claims.apply(makeOpen("k", 2, start)).verdict, claim_verdict::Running);
    EXPECT_EQ(claims.apply(makeOpen("k", 1, start)).verdict, claim_verdict::Granted);
    EXPECT_EQ(claims.apply(makeClose("k", 2, claim_outcome::Answered, start)).verdict, claim_verdict::NotOwner);
    EXPECT_EQ(claims.apply(makeClose("k", 1, claim_outcome::Answered, start)).verdict, claim_verdict::Closed);
    const claim_reply retry = claims.apply(makeOpen("k", 3, start));
    EXPECT_EQ(retry.verdict, claim_verdict::Answered);
    EXPECT_EQ(retry.body, "{\"owner\":1}");
}

TEST(ClaimTable, RejectsAKeyReusedForAnotherRequest)
{
    claim_table claims;
    claims.apply(makeOpen("k", 1, start, 1));
    EXPECT_EQ(claims.apply(makeOpen("k", 2, start, 2)).verdict, claim_verdict::KeyReused);
}

TEST(ClaimTable, OutcomeOfALostOwnerIsUnknownUntilAnOperatorSettlesIt)
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

TEST(ClaimTable, EvictsClaimsAfterTheRetentionTime)
{
    claim_table claims;
    claims.apply(makeOpen("k", 1, start));
    claims.apply(makeClose("k", 1, claim_outcome::Answered, start));
    const wall_time expired = start + claim_table::retention + std::chrono::seconds(1);
    EXPECT_EQ(claims.apply(makeOpen("k", 2, expired)).verdict, claim_verdict::Granted);
    EXPECT_EQ(claims.size(), 1U);
}

/** Reference model: the owner that each key was granted to and may have run the request, and the recorded answers. */
RC_GTEST_PROP(ClaimTableProperty, GrantsEachKeyToOneOwnerUnlessItCertainlyDidNotRun, ())
{
    claim_table claims;
    std::map<std::string, std::uint64_t> owners;
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
                RC_ASSERT((!owners.contains(key) || owners.at(key) == owner));
                RC_ASSERT(!answered.contains(key));
                owners.emplace(key, owner);
            } else if (reply.verdict == claim_verdict::Answered) {
                RC_ASSERT(reply.body == "{\"owner\":" + std::to_string(answered.at(key)) + "}");
            } else {
                RC_ASSERT(owners.contains(key));
            }
        } else {
            const auto outcome = static_cast<claim_outcome>(*rc::gen::inRange(0, 3));
            const claim_reply reply = claims.apply(makeClose(key, owner, outcome, now));
            if (reply.verdict == claim_verdict::Closed) {
                RC_ASSERT(owners.at(key) == owner);
                if (outcome == claim_outcome::DidNotRun) {
                    owners.erase(key);
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
