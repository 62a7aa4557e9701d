#pragma once

#include <carawayloft/fleet/fleet_messages.h>
#include <carawayloft/gateway/sliding_window_counter.h>

#include <deque>
#include <map>

namespace carawayloft {

/** Measures the traffic for each model that the callers of this gateway request. */
class traffic_meter
{
public:
    /** Counts the first attempt of a request; @p answerTokens is the length that the caller expects. */
    void count(const model_id &model, token_count promptTokens, token_count answerTokens, engine_duration objective, time_point now);

    /** Counts a request that returns after a rejection. */
    void countReturning(const model_id &model, time_point now);

    /** Averages over the last seconds; models without recent requests are left out. */
    std::vector<model_traffic> averages(time_point now);

private:
    struct request {
        time_point at;
        token_count promptTokens = 0;
        token_count answerTokens = 0;
        engine_duration objective{0};
    };

    double recentRate(const std::deque<request> &requests, time_point now) const;

    std::map<model_id, std::deque<request>> m_requests;
    std::map<model_id, sliding_window_counter> m_returning;
};

} // namespace carawayloft
