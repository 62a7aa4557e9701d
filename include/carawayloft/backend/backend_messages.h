#pragma once

#include <carawayloft/backend/admission.h>
#include <carawayloft/backend/answer_relay.h>
#include <carawayloft/backend/group_leases.h>
#include <carawayloft/backend/member_lease.h>
#include <carawayloft/messages/control_traffic.h>
#include <carawayloft/messages/link_traffic.h>

#include <variant>

/** Inputs and outputs of an agent's backend pipe. */
namespace carawayloft {

// Inputs.

/** A message from a member of the group that this host leads. */
struct member_message {
    peer_message message;
};

/** The backend server's description of itself, which it repeats periodically. */
struct backend_announcement {
    service_id service;
    service_kind kind = service_kind::Plain;
    std::uint32_t coldLimit = 1;
    std::uint32_t warmLimit = 1;
    bool checksFencing = false;
    bool leaving = false;
};

/** Result of polling the backend server's load, which may be stale. If it is unreachable, no other member is set. */
struct backend_report {
    bool reachable = false;
    incarnation serverIncarnation; /**< Changes when the server restarts. */
    bool cold = false;
    std::uint64_t cachedPrefix = 0;
};

/** Whether the backend server accepted the order to serve under @p epoch. */
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

/** Starts a graceful stop: new requests are refused, those in flight continue. */
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

/** Forwards an admitted request to the backend server. */
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

/** Orders the backend server to serve under a new epoch, which is its fencing token. */
struct send_serve_order {
    group_epoch epoch;
    service_id service;
};

/** The lease from control, which permits the group's lead to accept new requests, was gained or lost. */
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

/** A stop may complete: nothing is in flight and no lead holds a lease on this host. */
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
