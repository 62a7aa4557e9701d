#pragma once

#include <carawayloft/core/result.h>
#include <carawayloft/messages/link_traffic.h>
#include <carawayloft/order/replicated_log.h>
#include <carawayloft/placement/planner.h>

#include <variant>

/** What goes into and comes out of the order pipe of a control replica. */
namespace carawayloft {

/** Chosen by the task to recognise an operator's question. */
using operator_request_token = strong_type<struct operator_request_token_tag, std::uint64_t>;

// Inputs.

struct control_tick {
    wall_time wallNow;
};

/** From another replica of the log. */
struct replica_message {
    log_traffic traffic;
};

/** An operator's change. */
struct operator_change {
    operator_request_token token;
    fleet_command command;
    bool force = false; /**< Even if a service is left without a group. */
};

/** An operator's intent, to be answered by a plan. */
struct operator_intent {
    operator_request_token token;
    command_id command;
    std::string author;
    revision seenRevision;
    zone_move_request intent;
};

/** An operator settles a claim whose outcome is unknown. */
struct operator_claim_settlement {
    operator_request_token token;
    close_claim claim;
};

/** An operator wants to read the present state. */
struct operator_read {
    operator_request_token token;
};

struct control_stop {
};

using control_pipe_input = std::variant<control_tick,
                                        replica_message,
                                        link_connected,
                                        link_lost,
                                        link_message,
                                        operator_change,
                                        operator_intent,
                                        operator_claim_settlement,
                                        operator_read,
                                        control_stop>;

// Outputs.

struct send_to_replica {
    log_traffic traffic;
};

/** The operator's question has been answered by the agreed log. */
struct operator_reply {
    operator_request_token token;
    result<revision> outcome;
    bool mayHaveApplied = false; /**< Only with an error: the change may still be applied. */
};

struct change_applied {
    revision at;
    fleet_command command;
    result<revision> outcome;
};

/** Every subscriber has confirmed the change, this long after it was accepted. */
struct change_in_force {
    revision at;
    duration after{0};
    std::size_t subscribers = 0;
};

struct placement_proposed {
    placement_decision decision;
};

struct log_compacted {
    log_index index;
    std::size_t bytes = 0;
};

/** Leadership was handed over, or this replica did not lead: it may exit. */
struct control_drained {
};

using control_pipe_output = std::variant<persist_hard_state,
                                         persist_entries,
                                         persist_snapshot,
                                         send_to_replica,
                                         send_to_link,
                                         operator_reply,
                                         role_changed,
                                         change_applied,
                                         change_in_force,
                                         placement_proposed,
                                         hosts_stranded,
                                         log_compacted,
                                         control_drained>;

} // namespace carawayloft
