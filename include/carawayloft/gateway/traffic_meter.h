#pragma once

#include <carawayloft/fleet/fleet_messages.h>

#include <deque>
#include <map>

namespace carawayloft {

/** Measures what the callers of this gateway ask of each model. */
class traffic_meter
{
public:
    /** A request for the model; @p answerTokens as its caller expects. */
    void count(const model_id &model, token_count promptTokens, token_count answerTokens, engine_duration objective, time_point now);

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
