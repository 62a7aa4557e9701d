#include <carawayloft/backend/admission.h>

#include "support/properties.h"

using namespace carawayloft;

static const time_point start(std::chrono::hours(1));

static attempt_key makeKey(std::uint64_t request)
{
    return {link_id(1), request_id(request), attempt_number(1)};
}

static work_arrived
makeWork(std::uint64_t request, const std::string &account = "a", work_priority priority = work_priority::Interactive, std::uint32_t weight = 1)
{
    return {makeKey(request), client_account_id(account), weight, priority, start + std::chrono::hours(1)};
}

static admission makeOpen(std::uint32_t cold, std::uint32_t warm)
{
    admission admission;
    admission.step(concurrency_limits{cold, warm}, start);
    admission.step(admission_gate{true, {}}, start);
    return admission;
}

static std::vector<std::uint64_t> admittedIn(const std::vector<admission_output> &outputs)
{
    std::vector<std::uint64_t> requests;
    for (const admission_output &each : outputs) {
        if (const auto *admitted = std::get_if<work_admitted>(&each)) {
            requests.push_back(admitted->key.request.value());
        }
    }
    return requests;
}

/** The naive version: a counter of what runs, checked against what the server bears at the time. */
RC_GTEST_PROP(Admission, NeverRunsMoreThanTheServerBears, ())
{
    const auto cold = static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
    const auto warm = cold + static_cast<std::uint32_t>(*rc::gen::inRange(0, 20));
    admission admission = makeOpen(cold, warm);
    std::set<attempt_key> running;
    std::set<attempt_key> waiting;
    bool isCold = true;
    time_point now = start;
    std::uint64_t last = 0;
    for (int i = 0; i < 200; ++i) {
        now += duration(*rc::gen::inRange(0, 50));
        std::vector<admission_output> out;
        const int kind = *rc::gen::inRange(0, 20);
        if (kind < 9) {
            work_arrived work = makeWork(++last, "a" + std::to_string(kind));
            work.deadline = now + duration(*rc::gen::inRange(0, 400));
            waiting.insert(work.key);
            out = admission.step(work, now);
        } else if (kind < 17 && !running.empty()) {
            const attempt_key key = *running.begin();
            running.erase(key);
            const auto result = static_cast<work_result>(*rc::gen::inRange(0, 3));
            isCold = isCold && result == work_result::Failed;
            out = admission.step(work_ended{key, result}, now);
        } else if (kind == 17) {
            out = admission.step(cold_start_detected{}, now);
            RC_ASSERT(admission.limit() == cold);
        } else if (kind == 18) {
            out = admission.step(admission_gate{*rc::gen::arbitrary<bool>(), refusal_reason::ZoneOut}, now);
        } else {
            out = admission.step(admission_tick{}, now);
        }
        const std::size_t before = running.size();
        for (const admission_output &each : out) {
            if (const auto *admitted = std::get_if<work_admitted>(&each)) {
                RC_ASSERT(waiting.erase(admitted->key) == 1);
                RC_ASSERT(running.insert(admitted->key).second);
            } else if (const auto *rejected = std::get_if<work_rejected>(&each)) {
                RC_ASSERT(waiting.erase(rejected->key) == 1);
            }
        }
        RC_ASSERT(running.size() <= std::max<std::size_t>(before, admission.limit()));
        RC_ASSERT(admission.limit() <= warm);
        RC_ASSERT(admission.running() == running.size());
        RC_ASSERT(admission.waiting() == waiting.size());
        RC_ASSERT(waiting.size() <= std::max<std::size_t>(4, warm));
    }
}

TEST(Admission, StartsAtTheColdLimitAndGrowsOnEvidence)
{
    admission admission = makeOpen(2, 16);
    EXPECT_EQ(admission.limit(), 2U);
    std::uint64_t last = 0;
    for (int round = 0; round < 200; ++round) {
        while (admission.running() < admission.limit()) {
            admission.step(makeWork(++last), start);
        }
        admission.step(work_ended{makeKey(last - admission.running() + 1), work_result::Done}, start);
    }
    EXPECT_EQ(admission.limit(), 16U);
    admission.step(cold_start_detected{}, start);
    EXPECT_EQ(admission.limit(), 2U);
}

TEST(Admission, SharesByWeightWhenALargeAccountFloods)
{
    admission admission = makeOpen(1, 1);
    std::uint64_t last = 0;
    admission.step(makeWork(++last, "large"), start);
    std::map<std::string, int> served;
    std::map<std::uint64_t, std::string> owner;
    std::uint64_t running = last;
    for (int round = 0; round < 400; ++round) {
        for (int i = 0; i < 5; ++i) {
            owner[++last] = "large";
            admission.step(makeWork(last, "large"), start);
        }
        owner[++last] = "small";
        admission.step(makeWork(last, "small", work_priority::Interactive, 1), start);
        const auto next = admittedIn(admission.step(work_ended{makeKey(running), work_result::Done}, start));
        ASSERT_EQ(next.size(), 1U);
        running = next[0];
        ++served[owner[running]];
    }
    EXPECT_NEAR(served["small"], 200, 20);
}

TEST(Admission, AnAccountThatHasHadLittleGoesBeforeOneThatHasHadMuch)
{
    admission admission = makeOpen(1, 1);
    for (std::uint64_t request = 1; request <= 3; ++request) {
        admission.step(makeWork(request, "large"), start);
    }
    admission.step(makeWork(4, "small"), start);
    EXPECT_EQ(admittedIn(admission.step(work_ended{makeKey(1), work_result::Done}, start)), std::vector<std::uint64_t>{4});
    EXPECT_EQ(admittedIn(admission.step(work_ended{makeKey(4), work_result::Done}, start)), std::vector<std::uint64_t>{2});
}

TEST(Admission, InteractiveWorkGoesBeforeBackgroundWork)
{
    admission admission = makeOpen(1, 1);
    admission.step(makeWork(1), start);
    admission.step(makeWork(2, "a", work_priority::Background), start);
    admission.step(makeWork(3, "b", work_priority::Interactive), start);
    EXPECT_EQ(admittedIn(admission.step(work_ended{makeKey(1), work_result::Done}, start)), std::vector<std::uint64_t>{3});
}

TEST(Admission, DoesNotStartWorkWhoseDeadlineHasPassed)
{
    admission admission = makeOpen(1, 1);
    admission.step(makeWork(1), start);
    work_arrived late = makeWork(2);
    late.deadline = start + duration(10);
    admission.step(late, start);
    const auto out = admission.step(work_ended{makeKey(1), work_result::Done}, start + duration(20));
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<work_rejected>(out[0]).reason, refusal_reason::DeadlinePassed);
}

TEST(Admission, AClosedGateRefusesWhatWaits)
{
    admission admission = makeOpen(1, 1);
    admission.step(makeWork(1), start);
    admission.step(makeWork(2), start);
    const auto out = admission.step(admission_gate{false, refusal_reason::Leaving}, start);
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<work_rejected>(out[0]).reason, refusal_reason::Leaving);
    EXPECT_EQ(admission.running(), 1U);
}
