// On-time rate against load for several numbers of gateways, by the simulation of the tests.

#include "support/overload_scenario.h"

#include <cstdio>

using namespace carawayloft;
using namespace carawayloft::test_support;

int main()
{
    std::printf("%9s %6s %10s %10s %8s %8s %10s %8s\n", "gateways", "load", "offered/s", "on time/s", "of best", "late %", "rejected %", "failed %");
    for (const std::size_t gateways : {1U, 6U, 15U, 52U}) {
        double best = 0.0;
        for (const double load : {0.5, 0.7, 0.85, 1.0, 1.15, 1.3, 1.5, 2.0, 3.0}) {
            gateway_fleet fleet(makeOverload(gateways, load));
            fleet.run(measuredSpan.until);
            const caller_outcomes outcomes = fleet.log().outcomes(measuredSpan);
            const double rate = fleet.log().onTimeRate(measuredSpan);
            best = std::max(best, rate);
            const auto percent = [&](std::size_t count) { return 100.0 * static_cast<double>(count) / static_cast<double>(outcomes.asked); };
            std::printf("%9zu %6.2f %10.1f %10.1f %8.2f %8.1f %10.1f %8.1f\n",
                        gateways,
                        load,
                        static_cast<double>(outcomes.asked) / std::chrono::duration<double>(measuredTime).count(),
                        rate,
                        rate / best,
                        percent(outcomes.late),
                        percent(outcomes.rejected),
                        percent(outcomes.failed));
        }
    }
    return 0;
}
