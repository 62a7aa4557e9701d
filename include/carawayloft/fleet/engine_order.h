#pragma once

#include <carawayloft/core/ids.h>

#include <variant>
#include <vector>

/** Orders of control to model engines, and what came of them. */
namespace carawayloft {

/** Become a member of a group; the first of @p members is its head. */
struct join_group {
    group_epoch epoch;
    model_id model;
    std::vector<backend_id> members;
};

/** To the head: begin to serve. */
struct open_group {
    group_epoch epoch;
};

/** To the head: serve no more. */
struct close_group {
    group_epoch epoch;
    bool preempt = false; /**< Cuts off what is running instead of finishing it. */
};

/** Load a model's weights onto the host, beside whatever the engine does. */
struct stage_model {
    model_id model;
};

using engine_order = std::variant<join_group, open_group, close_group, stage_model>;

enum class order_outcome : std::uint8_t {
    Begun,
    Done, /**< The state holds already. */
    Conflict, /**< Does not fit the engine's state. */
    Fenced, /**< The engine has seen a higher epoch or fencing number. */
    WrongBackend, /**< Another backend server has the address. */
    Unanswered, /**< May have been accepted, and may be carried out later. */
};

} // namespace carawayloft
