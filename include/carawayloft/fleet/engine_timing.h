#pragma once

#include <carawayloft/service/service_configuration.h>

namespace carawayloft {

/** The load of an engine group. */
struct engine_load {
    double running = 0.0; /**< Running requests. */
    double prefillTokens = 0.0; /**< Prompt tokens that wait for prefill. */
};

/**
 * Estimated time of one scheduler iteration of a group under @p load, by the engine's published figures. It bounds the pause
 * between two events of a stream.
 */
engine_duration iterationTime(const engine_profile &engine, const model_profile &model, const engine_load &load);

/** Most prompt tokens that one scheduler iteration reads. */
double prefillTokensPerIteration(const engine_profile &engine);

/** Estimated prefill time of a prompt of this many tokens. */
engine_duration prefillTime(const engine_profile &engine, const model_profile &model, double tokens);

/** Share of a full group's time that one request takes: its prefill, and its part of the decode steps shared by all slots. */
engine_duration requestTime(const engine_profile &engine, const model_profile &model, double promptTokens, double answerTokens);

} // namespace carawayloft
