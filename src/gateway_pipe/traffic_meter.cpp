#include <carawayloft/gateway/traffic_meter.h>

namespace carawayloft {

/** Long enough that single requests do not move groups from model to model. */
static constexpr duration meterWindow{8'000};

void traffic_meter::count(const model_id &model, token_count promptTokens, token_count answerTokens, engine_duration objective, time_point now)
{
    m_requests[model].push_back({now, promptTokens, answerTokens, objective});
}

std::vector<model_traffic> traffic_meter::averages(time_point now)
{
    std::vector<model_traffic> out;
    for (auto &[model, requests] : m_requests) {
        while (!requests.empty() && now >= requests.front().at + meterWindow) {
            requests.pop_front();
        }
        if (requests.empty()) {
            continue;
        }
        model_traffic sum{model, 0.0, 0.0, 0.0, engine_duration(0)};
        for (const request &each : requests) {
            sum.promptTokens += each.promptTokens;
            sum.answerTokens += each.answerTokens;
            sum.objective += each.objective;
        }
        const auto count = static_cast<double>(requests.size());
        const double seconds = std::chrono::duration<double>(meterWindow).count();
        out.push_back({model, count / seconds, sum.promptTokens / count, sum.answerTokens / count, sum.objective / count});
    }
    return out;
}

} // namespace carawayloft
