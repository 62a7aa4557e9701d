// Compares routing policies in one run, under late and lost reports, a straggler and a zone that leaves.

#include "serving_model.h"

#include <cstdio>

using namespace carawayloft;
using namespace carawayloft::bench;

namespace {

struct policy_case {
    const char *name;
    route_policy policy;
};

struct load_case {
    const char *name;
    void (*set)(model_options &options);
};

} // namespace

static constexpr std::uint64_t seeds = 5;

static void runCase(const load_case &load, const policy_case &policy)
{
    model_result total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        model_options options;
        options.seed = seed;
        options.policy = policy.policy;
        load.set(options);
        const model_result one = serving_model(options).run();
        total.firstTokenMs.insert(total.firstTokenMs.end(), one.firstTokenMs.begin(), one.firstTokenMs.end());
        total.offered += one.offered;
        total.refused += one.refused;
        total.late += one.late;
    }
    std::printf("%-34s %-20s %8.0f %8.0f %8.0f %9.2f %8.2f\n",
                load.name,
                policy.name,
                total.quantile(0.5),
                total.quantile(0.95),
                total.quantile(0.99),
                100.0 * static_cast<double>(total.refused) / static_cast<double>(total.offered),
                100.0 * static_cast<double>(total.late) / static_cast<double>(total.offered));
}

int main()
{
    const policy_case policies[] = {
        {"random", random_policy{}},
        {"round robin", round_robin_policy{}},
        {"least outstanding", least_outstanding_policy{}},
        {"expected wait, 2 sampled", expected_wait_policy{2}},
        {"expected wait, 3 sampled", expected_wait_policy{3}},
        {"expected wait, all", expected_wait_policy{1'000}},
    };
    const load_case loads[] = {
        {"half load, no straggler",
         [](model_options &options) {
             options.stragglers = 0;
             options.requestsPerSecond = 70;
         }},
        {"half load, straggler", [](model_options &options) { options.requestsPerSecond = 70; }},
        {"80% load, straggler", [](model_options &options) { options.requestsPerSecond = 110; }},
        {"80% load, reports 1 s late, 30% lost",
         [](model_options &options) {
             options.requestsPerSecond = 110;
             options.reportDelay = duration(1'000);
             options.lostReports = 0.3;
         }},
        {"60% load, a zone leaves",
         [](model_options &options) {
             options.requestsPerSecond = 80;
             options.zoneOutAt = duration(30'000);
         }},
        {"60% load, 40 entries",
         [](model_options &options) {
             options.requestsPerSecond = 80;
             options.entries = 40;
         }},
    };
    std::printf("%-34s %-20s %8s %8s %8s %9s %8s\n", "load", "policy", "p50 ms", "p95 ms", "p99 ms", "refused %", "late %");
    for (const load_case &load : loads) {
        for (const policy_case &policy : policies) {
            runCase(load, policy);
        }
    }
    return 0;
}
