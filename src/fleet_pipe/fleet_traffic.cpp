#include <carawayloft/fleet/fleet_traffic.h>

namespace carawayloft {

void addTraffic(fleet_traffic &sums, const model_traffic &part)
{
    model_traffic &sum = sums[part.model];
    const double rate = sum.requestsPerSecond + part.requestsPerSecond;
    const double weight = rate > 0.0 ? part.requestsPerSecond / rate : 0.0;
    sum.model = part.model;
    sum.promptTokens += weight * (part.promptTokens - sum.promptTokens);
    sum.promptTokensSquared += weight * (part.promptTokensSquared - sum.promptTokensSquared);
    sum.answerTokens += weight * (part.answerTokens - sum.answerTokens);
    sum.objective += weight * (part.objective - sum.objective);
    sum.requestsPerSecond = rate;
    sum.recentRequestsPerSecond += part.recentRequestsPerSecond;
    sum.returningPerSecond += part.returningPerSecond;
}

} // namespace carawayloft
