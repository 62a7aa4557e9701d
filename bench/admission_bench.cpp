// Cost of admission control at one gateway with the state of 390 gateways: 2 models, 3 ranks, 64 accounts.

#include <carawayloft/fleet/class_demand_sum.h>
#include <carawayloft/gateway/admission_control.h>
#include <carawayloft/gateway/class_meter.h>

#include <benchmark/benchmark.h>

using namespace carawayloft;

static constexpr std::uint32_t gateways = 390;
static constexpr std::uint32_t ranks = 3;
static constexpr std::uint32_t accounts = 64;
static constexpr double requestsPerSecond = 8'100.0;
static constexpr duration reportPeriod{250};
static const time_point start(std::chrono::hours(1));
static const model_id models[] = {model_id("large"), model_id("small")};

static client_account_id accountOf(std::uint32_t number)
{
    return client_account_id("account-of-a-customer-" + std::to_string(number));
}

/** A grant at 1.5 times the capacity, where one account asks for half of everything. */
static demand_granted makeGrant()
{
    demand_granted grant;
    grant.gateways = gateways;
    class_demand_sum sum;
    for (const model_id &model : models) {
        grant.traffic.push_back({model, requestsPerSecond / 2.0, 1'000.0, 100.0, engine_duration(300), requestsPerSecond / 2.0, 100.0, 0.0});
        for (std::uint32_t i = 0; i < ranks * accounts; ++i) {
            sum.add({model, request_rank(i % ranks), accountOf(i / ranks), i == 0 ? requestsPerSecond / 4.0 : 1.0 + i % 7, 0});
        }
    }
    grant.classes = sum.entries();
    return grant;
}

static admission_request makeRequest(std::uint32_t number)
{
    return {models[number % 2], request_rank(number % ranks), accountOf(number % accounts), number % 10 == 0, duration(6'000)};
}

/** One request; time passes as at a gateway with 1/390 of the requests, so grants and capacities change as often as there. */
static void admissionDecision(benchmark::State &state)
{
    admission_control admission(1);
    const demand_granted grant = makeGrant();
    std::vector<admission_request> requests;
    for (std::uint32_t i = 0; i < 1'024; ++i) {
        requests.push_back(makeRequest(i));
    }
    time_point now = start;
    time_point grantAt = start;
    std::uint32_t number = 0;
    double capacity = requestsPerSecond / 3.0;
    for (auto each : state) {
        now += std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(gateways / requestsPerSecond));
        const admission_request &request = requests[number++ % requests.size()];
        if (now >= grantAt) {
            admission.step(grant, now);
            grantAt = now + reportPeriod;
        }
        if (!admission.knowsCapacity(request.model, now)) {
            capacity += 0.001;
            admission.step(capacity_assessed{request.model, capacity}, now);
        }
        benchmark::DoNotOptimize(admission.step(request, now));
    }
}
BENCHMARK(admissionDecision);

/** One request whose shares are known. */
static void admissionDecisionWithKnownShares(benchmark::State &state)
{
    admission_control admission(1);
    admission.step(makeGrant(), start);
    for (const model_id &model : models) {
        admission.step(capacity_assessed{model, requestsPerSecond / 3.0}, start);
    }
    std::vector<admission_request> requests;
    for (std::uint32_t i = 0; i < 1'024; ++i) {
        requests.push_back(makeRequest(i));
    }
    std::uint32_t number = 0;
    for (auto each : state) {
        benchmark::DoNotOptimize(admission.step(requests[number++ % requests.size()], start));
    }
}
BENCHMARK(admissionDecisionWithKnownShares);

/** The shares of one model from the last sums. */
static void sharesOfAModel(benchmark::State &state)
{
    const demand_granted grant = makeGrant();
    std::vector<class_demand> classes;
    for (const class_demand &each : grant.classes) {
        if (each.model == models[0]) {
            classes.push_back(each);
        }
    }
    const auto demand = std::make_shared<const admission_demand>(std::move(classes));
    for (auto each : state) {
        benchmark::DoNotOptimize(admission_shares(requestsPerSecond / 3.0, demand, 100.0));
    }
}
BENCHMARK(sharesOfAModel);

/** Control: the sum over the reports of all gateways. */
static void controlSum(benchmark::State &state)
{
    const std::vector<class_demand> report = makeGrant().classes;
    for (auto each : state) {
        class_demand_sum sum;
        for (std::uint32_t gateway = 0; gateway < gateways; ++gateway) {
            for (const class_demand &part : report) {
                sum.add(part);
            }
        }
        benchmark::DoNotOptimize(sum.entries());
    }
}
BENCHMARK(controlSum)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
