#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <deque>
#include <map>

namespace carawayloft {

/** Measures the traffic for each model that the callers of this gateway request. */
class traffic_meter
{
public:
    /** Counts a request; @p answerTokens is the length that the caller expects. */
    void count(const model_id &model, token_count promptTokens, token_count answerTokens, engine_duration objective, time_point now);

    /** Averages over the last seconds; models without recent requests are left out. */
    std::vector<model_traffic> averages(time_point now);

private:
    struct request {
        time_point at;
        token_count promptTokens = 0;
        token_count answerTokens = 0;
        engine_duration objective{0};
    };

    std::map<model_id, std::deque<request>> m_requests;
};

} // namespace carawayloft
