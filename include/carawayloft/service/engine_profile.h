#pragma once

#include <carawayloft/core/bounded_number.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <vector>

/** Performance figures of model engines, as operators publish them, in the ranges that can be planned with. */
namespace carawayloft {

/** Share of a model in the work of its service; only the ratio to the other shares counts. */
struct work_share_range {
    static constexpr double least = 0.0;
    static constexpr double greatest = 1e6;
};
using work_share = bounded_number<work_share_range>;

/** Factor on the computing times of a group. */
struct pace_range {
    static constexpr double least = 0.01;
    static constexpr double greatest = 100.0;
};
using pace_factor = bounded_number<pace_range>;

/** Hosts of a group, slots of an engine, steps of an iteration, loads or staged models at once. */
struct engine_count_range {
    static constexpr std::uint32_t least = 1;
    static constexpr std::uint32_t greatest = 65'536;
};
using engine_count = bounded_number<engine_count_range>;

/** Time of one decode step. */
struct step_time_range {
    static constexpr engine_duration least{0.001};
    static constexpr engine_duration greatest{3'600'000.0};
};
using step_time = bounded_number<step_time_range>;

/** Time that is added to a step or a prefill. */
struct added_time_range {
    static constexpr engine_duration least{0.0};
    static constexpr engine_duration greatest{3'600'000.0};
};
using added_time = bounded_number<added_time_range>;

/** Time to load the weights of a model: at most a day. */
struct load_time_range {
    static constexpr engine_duration least{0.0};
    static constexpr engine_duration greatest{86'400'000.0};
};
using load_time = bounded_number<load_time_range>;

/** Tokens per second. */
struct token_rate_range {
    static constexpr double least = 1.0;
    static constexpr double greatest = 1e9;
};
using token_rate = bounded_number<token_rate_range>;

/** Mean number of tokens of a prompt or an answer. */
struct mean_tokens_range {
    static constexpr double least = 1.0;
    static constexpr double greatest = 1e7;
};
using mean_tokens = bounded_number<mean_tokens_range>;

/** Loads or requests per second. */
struct event_rate_range {
    static constexpr double least = 0.0;
    static constexpr double greatest = 1e9;
};
using event_rate = bounded_number<event_rate_range>;

/** A model that the engines can load. Each copy of it spans the hosts of one group. */
struct model_profile {
    model_id model;
    engine_count hostsPerGroup = 1;
    work_share share = 1.0;
    pace_factor pace = 1.0;
    load_time loadTime{}; /**< To load the weights from the weight store. */
    load_time warmLoadTime{}; /**< To load the weights from the copy staged on the host. */
};

/** Performance figures of the model engines of a service. */
struct engine_profile {
    engine_count slots = 1; /**< Requests that a group runs at once. */
    engine_count stepsPerIteration = 1;
    step_time step{}; /**< To generate one token for every running request. */
    added_time stepPerRequest{}; /**< Added to step for each running request. */
    added_time stepPerThousandTokens{}; /**< Added to step for each thousand tokens of context. */
    token_rate prefillTokensPerSecond = 1.0;
    std::uint32_t prefillTokensPerStep = 0; /**< Most prompt tokens read in one step; zero for no limit. */
    added_time prefillPerMillionPairs{}; /**< Added to the prefill time for each million pairs of prompt tokens. */
    event_rate loadsPerSecond = 1.0; /**< Rate at which loads from the weight store may begin. */
    engine_count loadsAtOnce = 1; /**< Loads beyond this number slow each other down. */
    mean_tokens meanPromptTokens = 1'000.0; /**< Per request. */
    mean_tokens meanAnswerTokens = 100.0; /**< Per request. */
    engine_count maxStagedModels = 1; /**< How many models a host can keep staged. */
    std::vector<model_profile> models;
};

} // namespace carawayloft
