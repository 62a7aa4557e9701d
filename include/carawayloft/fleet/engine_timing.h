#pragma once

#include <carawayloft/service/service_configuration.h>

namespace carawayloft {

/** Work at a group of engines. */
struct engine_load {
    double running = 0.0; /**< Requests. */
    double prefillTokens = 0.0; /**< Of prompts that still have to be read. */
};

/** Time that a group needs for one pass over its work, from the published figures: the longest pause between events. */
engine_duration iterationTime(const engine_profile &engine, const model_profile &model, const engine_load &work);

/** Time that a group needs to read prompt tokens. */
engine_duration prefillTime(const engine_profile &engine, const model_profile &model, double tokens);

/** Time of a full group that one request takes: its prompt, and its part of the steps that write its answer. */
engine_duration requestTime(const engine_profile &engine, const model_profile &model, double promptTokens, double answerTokens);

} // namespace carawayloft
