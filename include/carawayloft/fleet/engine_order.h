#pragma once

#include <carawayloft/core/ids.h>

#include <variant>
#include <vector>

/** Orders from control to model engines, and their outcomes. */
namespace carawayloft {

/** Join a group; the first of @p members is its head. */
struct join_group {
    group_epoch epoch;
    model_id model;
    std::vector<backend_id> members;
};

/** Tells the head to start serving. */
struct open_group {
    group_epoch epoch;
};

/** Tells the head to stop serving. */
struct close_group {
    group_epoch epoch;
    bool preempt = false; /**< Aborts running requests instead of finishing them. */
};

/** Tells a member to leave its group, which stalls the group if it still serves. */
struct leave_group {
    group_epoch epoch;
};

/** Load a model's weights onto the host in the background. */
struct stage_model {
    model_id model;
};

using engine_order = std::variant<join_group, open_group, close_group, leave_group, stage_model>;

enum class order_outcome : std::uint8_t {
    Begun,
    Done, /**< The engine is already in the requested state. */
    Conflict, /**< The engine's state does not allow the order. */
    Fenced, /**< The engine has seen a higher epoch or fencing number. */
    WrongBackend, /**< Another backend server now uses the address. */
    Unanswered, /**< No response: the order may have been accepted and may still be executed. */
};

} // namespace carawayloft
