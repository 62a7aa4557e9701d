#pragma once

#include <carawayloft/backend/admission.h>
#include <carawayloft/backend/answer_relay.h>
#include <carawayloft/backend/group_leases.h>
#include <carawayloft/backend/member_lease.h>
#include <carawayloft/messages/control_traffic.h>
#include <carawayloft/messages/link_traffic.h>

#include <variant>

/** What goes into and comes out of the backend pipe of an agent. */
namespace carawayloft {

// Inputs.

/** From a member of the group that this host leads. */
struct member_message {
    peer_message message;
};

/** The backend server said what it is; repeated while it runs. */
struct backend_announcement {
    service_id service;
    service_kind kind = service_kind::Plain;
    std::uint32_t coldLimit = 1;
    std::uint32_t warmLimit = 1;
    bool checksFencing = false;
    bool leaving = false;
};

/** The backend server's load report, which lags; an unreachable server reports nothing else. */
struct backend_report {
    bool reachable = false;
    incarnation serverIncarnation; /**< Another one than before: the server was restarted. */
    bool cold = false;
    std::uint64_t cachedPrefix = 0;
};

/** The backend server carried out the order of @p epoch, or refused it. */
struct serve_order_result {
    group_epoch epoch;
    bool accepted = false;
};

struct backend_call_event {
    attempt_key key;
    relay_input event;
};

struct agent_tick {
};

/** A planned stop: nothing new, what is in flight goes on. */
struct agent_stop {
};

using backend_pipe_input = std::variant<link_connected,
                                        link_lost,
                                        link_message,
                                        member_message,
                                        control_message,
                                        backend_announcement,
                                        backend_report,
                                        serve_order_result,
                                        backend_call_event,
                                        agent_tick,
                                        agent_stop>;

// Outputs.

struct send_to_member {
    endpoint agent;
    peer_message message;
};

/** Calls the backend server for one piece of work. */
struct start_backend_call {
    attempt_key key;
    dispatch_request request;
};

struct cancel_backend_call {
    attempt_key key;
};

struct pause_backend_call {
    attempt_key key;
    bool paused = false;
};

/** Orders the backend server to serve under a new epoch; the epoch is the fencing number. */
struct send_serve_order {
    group_epoch epoch;
    service_id service;
};

/** The right to handle new work came or went. */
struct control_lease_changed {
    bool held = false;
    group_epoch epoch;
};

enum class backend_change : std::uint8_t {
    Announced,
    Cold,
    Lost,
    Leaving,
};

struct backend_changed {
    backend_change change = backend_change::Announced;
};

/** Nothing is in flight and no lead relies on this host after a stop. */
struct agent_drained {
};

using backend_pipe_output = std::variant<send_to_link,
                                         send_to_member,
                                         send_to_control,
                                         start_backend_call,
                                         cancel_backend_call,
                                         pause_backend_call,
                                         send_serve_order,
                                         resubscribe,
                                         revision_in_force,
                                         revision_ignored,
                                         group_complete,
                                         group_incomplete,
                                         limit_changed,
                                         work_rejected,
                                         member_lease_refused,
                                         control_lease_changed,
                                         backend_changed,
                                         agent_drained>;

} // namespace carawayloft
