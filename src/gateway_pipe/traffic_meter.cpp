#include <carawayloft/gateway/traffic_meter.h>

#include <algorithm>

namespace carawayloft {

/** Long enough that single requests do not reassign groups to other models. */
static constexpr duration meterWindow{8'000};

/** Window of the recent rates, within which a rise of the traffic should show. */
static constexpr duration recentWindow{500};

void traffic_meter::count(const model_id &model, token_count promptTokens, token_count answerTokens, engine_duration objective, time_point now)
{
    m_requests[model].push_back({now, promptTokens, answerTokens, objective});
}

void traffic_meter::countReturning(const model_id &model, time_point now)
{
    m_returning.try_emplace(model, sliding_window_counter(recentWindow)).first->second.add(now);
}

double traffic_meter::recentRate(const std::deque<request> &requests, time_point now) const
{
    const auto isRecent = [&](const request &each) { return now < each.at + recentWindow; };
    return static_cast<double>(std::count_if(requests.begin(), requests.end(), isRecent)) / std::chrono::duration<double>(recentWindow).count();
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
        model_traffic sum{model, 0.0, 0.0, 0.0, engine_duration(0), 0.0, 0.0, 0.0};
        for (const request &each : requests) {
            sum.promptTokens += each.promptTokens;
            sum.promptTokensSquared += static_cast<double>(each.promptTokens) * each.promptTokens;
            sum.answerTokens += each.answerTokens;
            sum.objective += each.objective;
        }
        const auto count = static_cast<double>(requests.size());
        const double seconds = std::chrono::duration<double>(meterWindow).count();
        const auto returning = m_returning.find(model);
        const double returned = returning == m_returning.end() ? 0.0 : static_cast<double>(returning->second.count(now));
        out.push_back({model,
                       count / seconds,
                       sum.promptTokens / count,
                       sum.answerTokens / count,
                       sum.objective / count,
                       recentRate(requests, now),
                       returned / std::chrono::duration<double>(recentWindow).count(),
                       sum.promptTokensSquared / count});
    }
    return out;
}

} // namespace carawayloft
