#pragma once

#include <carawayloft/core/error.h>
#include <carawayloft/messages/control_traffic.h>
#include <carawayloft/request/router.h>

#include <string>
#include <variant>

/** What goes into and comes out of the request pipe of an entry. */
namespace carawayloft {

// Inputs.

/** A whole request of a caller, decoded. */
struct caller_request {
    request_id request;
    std::string keyDigest; /**< Digest of the bearer key; empty without one. */
    idempotency_key key; /**< Empty without one. */
    service_id service;
    service_kind kind = service_kind::Plain;
    bool stream = false;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    work_priority priority = work_priority::Interactive;
    duration timeLimit{0};
    wall_time receivedAt;
    std::uint64_t requestDigest = 0; /**< Of method, path and body. */
    std::uint64_t prefixDigest = 0; /**< Of the prompt's beginning; zero for none. */
};

/** The caller closed its connection. */
struct caller_disconnected {
    request_id request;
};

/** The caller's side has taken one piece of the answer. */
struct caller_consumed_chunk {
    request_id request;
};

struct agent_connected {
    endpoint agent;
};

/** The connection to an agent is gone; what was sent last may or may not have arrived. */
struct agent_disconnected {
    endpoint agent;
};

struct agent_message {
    endpoint agent;
    peer_message message;
};

struct request_tick {
    wall_time wallNow;
};

/** A planned stop: nothing new, what is in flight goes on. */
struct request_stop {
};

using request_pipe_input = std::variant<caller_request,
                                        caller_disconnected,
                                        caller_consumed_chunk,
                                        agent_connected,
                                        agent_disconnected,
                                        agent_message,
                                        control_message,
                                        request_tick,
                                        request_stop>;

// Outputs.

/** What the system knows of a request that it does not answer. */
enum class run_outcome : std::uint8_t {
    DidNotRun,
    Unknown,
};

/** The system's own answer in place of a backend server's. */
struct reject_request {
    request_id request;
    std::uint32_t status = 0;
    error why;
    run_outcome outcome = run_outcome::DidNotRun;
    duration retryAfter{0}; /**< Zero for none. */
};

struct start_answer {
    request_id request;
    std::uint32_t status = 0;
    std::string contentType;
    bool stream = false;
};

struct continue_answer {
    request_id request;
    std::string bytes;
};

struct finish_answer {
    request_id request;
};

/** The answer cannot be completed; the caller must see that it is cut. */
struct abort_answer {
    request_id request;
};

struct send_to_agent {
    endpoint agent;
    peer_message message;
};

/** The agents that the entry wants to be connected to. */
struct set_agent_connections {
    std::vector<endpoint> agents;
};

// Outputs for the log only.

struct request_retried {
    request_id request;
    attempt_number attempt;
    std::string reason;
};

struct stream_resumed {
    request_id request;
    attempt_number attempt;
    stream_offset at;
};

struct claim_decided {
    request_id request;
    client_account_id account;
    claim_verdict verdict = claim_verdict::Unknown;
};

/** Every request in flight has ended after a stop. */
struct requests_drained {
};

/** The router's view of the request's fate, for latency metrics. */
struct request_latency_measured {
    duration firstToken{0};
    duration total{0};
};

using request_pipe_output = std::variant<reject_request,
                                         start_answer,
                                         continue_answer,
                                         finish_answer,
                                         abort_answer,
                                         send_to_agent,
                                         send_to_control,
                                         set_agent_connections,
                                         resubscribe,
                                         revision_in_force,
                                         revision_ignored,
                                         route_chosen,
                                         route_unavailable,
                                         group_ejected,
                                         group_probed,
                                         request_retried,
                                         stream_resumed,
                                         claim_decided,
                                         requests_drained,
                                         request_latency_measured>;

} // namespace carawayloft
