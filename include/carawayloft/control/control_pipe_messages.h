#pragma once

#include <carawayloft/control/replicated_log.h>
#include <carawayloft/core/result.h>
#include <carawayloft/messages/link_traffic.h>
#include <carawayloft/placement/planner.h>

#include <variant>

/** Inputs and outputs of the pipe of a control replica. */
namespace carawayloft {

/** Chosen by the control task to match an operator request with its reply. */
using operator_request_token = strong_type<struct operator_request_token_tag, std::uint64_t>;

// Inputs.

struct control_tick {
    wall_time wallNow;
};

/** A log message from another replica. */
struct replica_message {
    log_traffic traffic;
};

/** A change requested by an operator. */
struct operator_change {
    operator_request_token token;
    fleet_command command;
    bool force = false; /**< Apply it even if a service is left without a group. */
};

/** An operator's intent, for which a plan is proposed. */
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

/** A linearizable read of the state for an operator. */
struct operator_read {
    operator_request_token token;
};

/** A replica, this one or another, as the leader is to know it. */
struct member_described {
    log_member member;
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
                                        member_described,
                                        control_stop>;

// Outputs.

struct send_to_replica {
    log_traffic traffic;
};

/** The outcome of an operator's change, intent, settlement or read. */
struct operator_reply {
    operator_request_token token;
    result<revision> outcome;
    bool mayHaveApplied = false; /**< With an error only: the change may still be applied. */
};

struct change_applied {
    revision at;
    fleet_command command;
    result<revision> outcome;
};

/** Every subscriber has confirmed the change; @p after is the time since it was applied here. */
struct change_in_force {
    revision at;
    duration after{0};
    std::size_t subscribers = 0;
};

struct placement_proposed {
    placement_decision decision;
};

/** Another membership of the log was committed. */
struct members_changed {
    std::vector<log_member> members;
};

struct log_compacted {
    log_index index;
    std::size_t bytes = 0;
};

/** Leadership was transferred, this replica was not the leader, or the transfer timed out: the process may exit. */
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
                                         members_changed,
                                         log_compacted,
                                         control_drained>;

} // namespace carawayloft
