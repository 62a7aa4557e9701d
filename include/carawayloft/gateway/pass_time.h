#pragma once

#include <carawayloft/service/service_configuration.h>

namespace carawayloft {

/** Work at a group of engines. */
struct engine_work {
    std::uint32_t running = 0; /**< Requests. */
    std::uint32_t unreadTokens = 0; /**< Of prompts that still have to be read. */
};

/** Time that a group needs for one pass over its work, from the published figures: the longest pause between events. */
engine_time passTime(const engine_profile &engine, const model_profile &model, const engine_work &work);

/** Time that a group needs to read prompt tokens. */
engine_time readTime(const engine_profile &engine, const model_profile &model, std::uint32_t tokens);

} // namespace carawayloft
