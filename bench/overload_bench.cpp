// Useful throughput (answers within the caller's time limit) from half the saturating load to three times it.

#include "serving_model.h"

#include <algorithm>
#include <cstdio>

using namespace carawayloft;
using namespace carawayloft::bench;

int main()
{
    double peak = 0;
    std::printf("%12s %12s %12s %10s %10s %10s %12s\n", "offered/s", "useful/s", "of peak %", "refused %", "late %", "retries", "p95 first ms");
    for (const double load : {40.0, 80.0, 120.0, 140.0, 160.0, 200.0, 240.0, 320.0, 480.0}) {
        model_options options;
        options.stragglers = 0;
        options.requestsPerSecond = load;
        const model_result result = serving_model(options).run();
        const double useful = result.usefulPerSecond(options.length);
        peak = std::max(peak, useful);
        const auto share = [&](std::uint64_t count) { return 100.0 * static_cast<double>(count) / static_cast<double>(result.offered); };
        std::printf("%12.0f %12.1f %12.1f %10.1f %10.1f %10lu %12.0f\n",
                    static_cast<double>(result.offered) / std::chrono::duration<double>(options.length).count(),
                    useful,
                    100 * useful / peak,
                    share(result.refused),
                    share(result.late),
                    static_cast<unsigned long>(result.retries),
                    result.quantile(0.95));
    }
    return 0;
}
