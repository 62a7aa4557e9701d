#include "support/admission_fleet.h"

#include <gtest/gtest.h>

using namespace carawayloft;
using namespace carawayloft::test_support;

namespace {

constexpr double capacity = 200.0;
const time_point start{std::chrono::hours(1)};

caller_class makeCallers(std::uint32_t rank, const std::string &account, double requestsPerSecond)
{
    return {request_rank(rank), client_account_id(account), requestsPerSecond};
}

std::vector<caller_class> makeEvenAccounts(int accounts, double requestsPerSecond, std::uint32_t rank = 0)
{
    std::vector<caller_class> callers;
    for (int i = 0; i < accounts; ++i) {
        callers.push_back(makeCallers(rank, "a" + std::to_string(i), requestsPerSecond / accounts));
    }
    return callers;
}

/** Jain's index of the rates admitted for @p callers: 1 if they are equal. */
double jainIndex(const std::vector<caller_class> &callers)
{
    double sum = 0.0;
    double squares = 0.0;
    for (const caller_class &each : callers) {
        sum += each.admitted;
        squares += each.admitted * each.admitted;
    }
    return sum * sum / (squares * static_cast<double>(callers.size()));
}

double admittedShare(const std::vector<caller_class> &callers)
{
    double asked = 0.0;
    double admitted = 0.0;
    for (const caller_class &each : callers) {
        asked += each.asked;
        admitted += each.admitted;
    }
    return admitted / asked;
}

/** Sends @p count requests of one account to a gateway that knows the demand. */
int countAdmitted(admission_control &admission, const admission_request &request, int count, time_point now)
{
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
        admitted += std::get<admission_decision>(admission.step(request, now).front()).admitted ? 1 : 0;
    }
    return admitted;
}

model_traffic makeTraffic(double recent, double returning = 0.0)
{
    return {largeModel, recent, 1'000.0, 100.0, engine_duration(300), recent, returning, 0.0};
}

const admission_request firstAttempt{largeModel, request_rank(0), client_account_id("a"), false, duration(3'000)};
const admission_request returningRequest{largeModel, request_rank(0), client_account_id("a"), true, duration(3'000)};

} // namespace

// Guards against rejections without need, and against an admitted load beyond the capacity, at loads of 0.7 to 3 times the capacity.
TEST(AdmissionControl, TheAdmittedLoadStaysWithinTheCapacityAtAnyLoad)
{
    for (const double load : {0.7, 1.0, 1.3, 1.5, 2.0, 3.0}) {
        for (const std::size_t gateways : {1, 6, 15, 52}) {
            admission_fleet fleet(gateways, capacity, makeEvenAccounts(10, load * capacity));
            fleet.run(duration(20'000));
            std::printf("load %.1f, %zu gateways: admitted load %.3f, share %.3f\n", load, gateways, fleet.admittedLoad(), admittedShare(fleet.callers));
            EXPECT_LE(fleet.admittedLoad(), 1.03) << load << " with " << gateways;
            EXPECT_GE(fleet.admittedLoad(), 0.95 * std::min(1.0, load)) << load << " with " << gateways;
        }
    }
}

// Guards against one account that takes the capacity from the others by asking for half of everything.
TEST(AdmissionControl, AnAccountThatAsksForHalfOfEverythingCostsTheOthersNothing)
{
    std::vector<caller_class> callers = makeEvenAccounts(9, 0.6 * capacity);
    callers.push_back(makeCallers(0, "greedy", 0.6 * capacity));
    admission_fleet fleet(15, capacity, callers);
    fleet.run(duration(30'000));
    std::printf("greedy account: share %.3f\n", fleet.callers.back().share());
    fleet.callers.pop_back();
    for (const caller_class &each : fleet.callers) {
        EXPECT_GE(each.share(), 0.98) << each.account.value();
    }
}

// Guards against uneven service of accounts that all ask for more than their part.
TEST(AdmissionControl, SaturatedAccountsOfOneRankAreAdmittedEvenly)
{
    std::vector<caller_class> callers = makeEvenAccounts(9, 1.5 * capacity);
    callers.push_back(makeCallers(0, "greedy", 1.5 * capacity));
    admission_fleet fleet(15, capacity, callers);
    fleet.run(duration(30'000));
    const double index = jainIndex(fleet.callers);
    std::printf("Jain's index: %.3f\n", index);
    EXPECT_GE(index, 0.95);
    EXPECT_GE(fleet.callers.back().share(), 0.25 * admittedShare(fleet.callers));
}

// Guards against a rank that is served behind a lower one, and against the starvation of the lowest, at 1.3 to 3 times the capacity.
TEST(AdmissionControl, NoRankOfThreeIsServedBehindALowerOneAndNoneStarves)
{
    for (const double load : {1.3, 1.5, 2.0, 3.0}) {
        std::vector<caller_class> callers;
        for (std::uint32_t rank = 0; rank < 3; ++rank) {
            for (const caller_class &each : makeEvenAccounts(4, load * capacity / 3.0, rank)) {
                callers.push_back(each);
            }
        }
        admission_fleet fleet(15, capacity, callers);
        fleet.run(duration(30'000));
        std::vector<double> shares;
        for (std::size_t rank = 0; rank < 3; ++rank) {
            const auto first = fleet.callers.begin() + static_cast<std::ptrdiff_t>(4 * rank);
            shares.push_back(admittedShare({first, first + 4}));
        }
        std::printf("load %.1f: shares by rank %.3f %.3f %.3f\n", load, shares[0], shares[1], shares[2]);
        // Two ranks at the floor have equal shares, and some thousand random requests of each differ by this much. AdmissionShares compares exactly.
        const double samplingError = 0.005;
        EXPECT_GE(shares[0], shares[1] - samplingError) << load;
        EXPECT_GE(shares[1], shares[2] - samplingError) << load;
        EXPECT_GE(shares[2], 0.25 * admittedShare(fleet.callers)) << load;
        EXPECT_LE(fleet.admittedLoad(), 1.03) << load;
    }
}

// Guards against retry times at which there is no capacity, at 0.7 times the capacity with one request in ten that no group takes in time.
TEST(AdmissionControl, CallersThatReturnAtASlotAreAdmitted)
{
    for (const std::size_t gateways : {1, 6, 15, 52}) {
        admission_fleet fleet(gateways, capacity, makeEvenAccounts(10, 0.7 * capacity));
        fleet.unservedShare = 0.1;
        fleet.run(duration(30'000));
        std::printf("%zu gateways: returned at a slot %.0f, admitted %.0f\n", gateways, fleet.scheduled.asked, fleet.scheduled.admitted);
        ASSERT_GT(fleet.scheduled.asked, 100.0);
        EXPECT_GE(fleet.scheduled.admitted, 0.8 * fleet.scheduled.asked);
    }
}

// Guards against promises that are not kept: in a lasting overload first attempts take all of the capacity, so nobody is told of a slot.
TEST(AdmissionControl, NoCallerIsPromisedCapacityThatFirstAttemptsTake)
{
    admission_fleet fleet(15, capacity, makeEvenAccounts(10, 2.0 * capacity));
    fleet.run(duration(10'000));
    EXPECT_EQ(fleet.scheduled.asked, 0.0);
    EXPECT_GT(fleet.unscheduled.asked, 0.0);
}

// Guards against callers that ignore Retry-After and return at once, at 2 times the capacity: they must not displace first attempts.
TEST(AdmissionControl, CallersThatIgnoreTheRetryTimeDoNotDisplaceFirstAttempts)
{
    std::vector<caller_class> callers = makeEvenAccounts(10, 2.0 * capacity);
    for (std::size_t i = 0; i < 5; ++i) {
        callers[i].waits = false;
    }
    admission_fleet fleet(15, capacity, callers);
    fleet.run(duration(20'000));
    const double returning = fleet.scheduled.admitted + fleet.unscheduled.admitted;
    std::printf("admitted load %.3f, of it returning %.3f\n", fleet.admittedLoad(), returning / (capacity * fleet.seconds));
    EXPECT_LE(fleet.admittedLoad(), 1.03);
    EXPECT_LE(returning, 0.05 * capacity * fleet.seconds);
    EXPECT_GE(jainIndex(fleet.callers), 0.95);
}

// Guards against decisions on old sums: control is silent, and the load doubles or halves meanwhile.
TEST(AdmissionControl, AnAgeingGrantIsScaledByTheOwnTraffic)
{
    for (const double load : {3.0, 0.75}) {
        admission_fleet fleet(6, capacity, makeEvenAccounts(10, 1.5 * capacity));
        fleet.run(duration(4'000));
        fleet.controlAnswers = false;
        fleet.callers = makeEvenAccounts(10, load * capacity);
        fleet.run(duration(10'000), duration(4'500));
        std::printf("load %.2f without control: admitted load %.3f\n", load, fleet.admittedLoad());
        EXPECT_LE(fleet.admittedLoad(), 1.15) << load;
        EXPECT_GE(fleet.admittedLoad(), 0.9 * std::min(1.0, load)) << load;
    }
}

// Guards against one grant in ten that is wrong by a factor of ten in either direction, at 1.5 times the capacity.
TEST(AdmissionControl, AGrantThatIsWrongByAFactorOfTenHasABoundedEffect)
{
    for (const double error : {10.0, 0.1}) {
        admission_fleet fleet(6, capacity, makeEvenAccounts(10, 1.5 * capacity));
        int grants = 0;
        fleet.grantError = [&] { return ++grants % 10 == 0 ? error : 1.0; };
        fleet.run(duration(30'000));
        std::printf("grants wrong by %.1f: admitted load %.3f\n", error, fleet.admittedLoad());
        EXPECT_LE(fleet.admittedLoad(), 1.15) << error;
        EXPECT_GE(fleet.admittedLoad(), 0.85) << error;
    }
}

TEST(AdmissionControl, OneWrongGrantChangesTheAdmittedShareByAFactorOfTwoAtMost)
{
    for (const double error : {10.0, 0.1}) {
        admission_control admission(1);
        admission.step(capacity_assessed{largeModel, 100.0}, start);
        admission.step(own_demand_measured{{makeTraffic(40.0)}}, start);
        admission.step(demand_granted{{makeTraffic(400.0)}, {}, 10}, start);
        admission.step(demand_granted{{makeTraffic(400.0 * error)}, {}, 10}, start + duration(250));
        const double share = std::get<admission_decision>(admission.step(firstAttempt, start + duration(250)).front()).share;
        EXPECT_GE(share, 0.125 - 1e-9);
        EXPECT_LE(share, 0.5 + 1e-9);
    }
}

TEST(AdmissionControl, RatesThatAreNoNumbersAreIgnored)
{
    admission_control admission(1);
    admission.step(capacity_assessed{largeModel, 100.0}, start);
    const double broken = std::numeric_limits<double>::quiet_NaN();
    admission.step(demand_granted{{makeTraffic(broken, -1.0)}, {{largeModel, request_rank(0), client_account_id("a"), broken, 0}}, 0}, start);
    EXPECT_EQ(countAdmitted(admission, firstAttempt, 10, start), 10);
    EXPECT_EQ(countAdmitted(admission, returningRequest, 10, start), 10);
}

// Guards against a gateway that hands out too much because it sees one account only: the account is held to its part of all gateways.
TEST(AdmissionControl, AGatewayWhoseCallersAreAllOfOneAccountHoldsItToItsPart)
{
    std::vector<caller_class> callers = makeEvenAccounts(9, 0.9 * capacity);
    for (caller_class &each : callers) {
        each.onlyGateway = 1;
    }
    callers.push_back(makeCallers(0, "alone", 0.6 * capacity));
    callers.back().onlyGateway = 0;
    admission_fleet fleet(2, capacity, callers);
    fleet.run(duration(30'000));
    std::printf("alone at its gateway: share %.3f, admitted load %.3f\n", fleet.callers.back().share(), fleet.admittedLoad());
    EXPECT_LE(fleet.admittedLoad(), 1.03);
    // Max-min: the nine ask for 20 a second each, which leaves 20 for the account that is alone, but its floor is higher.
    EXPECT_LE(fleet.callers.back().share(), 0.35);
    fleet.callers.pop_back();
    EXPECT_GE(jainIndex(fleet.callers), 0.95);
}

TEST(AdmissionControl, AdmitsEverythingWhileDemandOrCapacityIsUnknown)
{
    admission_control admission(1);
    EXPECT_EQ(countAdmitted(admission, firstAttempt, 10, start), 10);
    admission.step(demand_granted{{makeTraffic(1'000.0)}, {}, 1}, start);
    admission.step(capacity_assessed{largeModel, std::nullopt}, start);
    EXPECT_EQ(countAdmitted(admission, firstAttempt, 10, start), 10);
    EXPECT_EQ(countAdmitted(admission, returningRequest, 10, start), 10);
}

// Guards against bursts of admitted requests, which make each other late.
TEST(AdmissionControl, AdmitsItsFractionEvenlyOverTime)
{
    admission_control admission(1);
    admission.step(capacity_assessed{largeModel, 100.0}, start);
    admission.step(demand_granted{{makeTraffic(400.0)}, {}, 1}, start);
    for (int period = 0; period < 10; ++period) {
        const int admitted = countAdmitted(admission, firstAttempt, 4, start);
        EXPECT_LE(admitted, 2);
        EXPECT_GE(admitted, period == 0 ? 0 : 1);
    }
}

// Guards against many gateways that each see single requests of an account and reject each of them.
TEST(AdmissionControl, SingleRequestsAtManyGatewaysAreAdmittedByTheirShare)
{
    int admitted = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        admission_control admission(seed);
        admission.step(capacity_assessed{largeModel, 100.0}, start);
        admission.step(demand_granted{{makeTraffic(400.0)}, {}, 400}, start);
        admitted += countAdmitted(admission, firstAttempt, 1, start);
    }
    EXPECT_NEAR(admitted, 100, 30);
}

TEST(AdmissionControl, FirstAttemptsGoBeforeReturningRequests)
{
    admission_control admission(1);
    admission.step(capacity_assessed{largeModel, 100.0}, start);
    admission.step(demand_granted{{makeTraffic(200.0, 100.0)}, {}, 1}, start);
    EXPECT_EQ(countAdmitted(admission, returningRequest, 100, start), 0);
    admission.step(demand_granted{{makeTraffic(100.0, 100.0)}, {}, 1}, start + duration(2'500));
    EXPECT_EQ(countAdmitted(admission, firstAttempt, 100, start), 100);
    EXPECT_EQ(countAdmitted(admission, returningRequest, 100, start), 0);
    admission.step(demand_granted{{makeTraffic(50.0, 100.0)}, {}, 1}, start + duration(5'000));
    EXPECT_EQ(countAdmitted(admission, returningRequest, 100, start), 50);
}

TEST(AdmissionControl, ADecisionStatesWhatItWasBasedOn)
{
    admission_control admission(1);
    admission.step(capacity_assessed{largeModel, 100.0}, start);
    admission.step(demand_granted{{makeTraffic(400.0)}, {}, 1}, start);
    const auto decision = std::get<admission_decision>(admission.step(unserved_request{firstAttempt}, start).front());
    EXPECT_FALSE(decision.admitted);
    EXPECT_DOUBLE_EQ(decision.share, 0.25);
    EXPECT_DOUBLE_EQ(decision.capacity, 100.0);
    EXPECT_DOUBLE_EQ(decision.demand, 400.0);
    EXPECT_GT(decision.retryAfter.count(), 0);
}

// Guards against a capacity that is kept while the traffic that it is derived from has changed, and against one that is summed up for each request.
TEST(AdmissionControl, ACapacityIsUsedForAShortTimeAndNotAfterAGrant)
{
    admission_control admission(1);
    EXPECT_FALSE(admission.knowsCapacity(largeModel, start));
    admission.step(capacity_assessed{largeModel, 100.0}, start);
    EXPECT_TRUE(admission.knowsCapacity(largeModel, start + duration(50)));
    EXPECT_FALSE(admission.knowsCapacity(largeModel, start + duration(100)));
    admission.step(capacity_assessed{largeModel, 100.0}, start + duration(100));
    admission.step(demand_granted{{makeTraffic(400.0)}, {}, 1}, start + duration(110));
    EXPECT_FALSE(admission.knowsCapacity(largeModel, start + duration(110)));
}
