#pragma once

#include <carawayloft/core/error.h>
#include <carawayloft/messages/control_traffic.h>
#include <carawayloft/request/router.h>

#include <string>
#include <variant>

/** Inputs and outputs of the request pipe of an entry process. */
namespace carawayloft {

// Inputs.

/** A complete, decoded request from a caller. */
struct caller_request {
    request_id request;
    std::string keyDigest; /**< Digest of the bearer key; empty if the caller sent none. */
    idempotency_key key; /**< Empty if the caller sent none. */
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
    std::uint64_t requestDigest = 0; /**< Digest of the method, path, query and body. */
    std::uint64_t prefixDigest = 0; /**< Digest of the beginning of the prompt; zero if there is none. */
};

/** The caller closed its connection. */
struct caller_disconnected {
    request_id request;
};

/** One answer chunk has been written to the caller's connection, or buffered without waiting for the caller. */
struct caller_consumed_chunk {
    request_id request;
};

struct agent_connected {
    endpoint agent;
};

/** The connection to an agent was closed; messages sent shortly before may or may not have arrived. */
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

/** Starts a planned stop: new requests are rejected and requests in flight are completed. */
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

/** Whether a request that the system rejects may have run on a backend server. */
enum class run_outcome : std::uint8_t {
    DidNotRun,
    Unknown,
};

/** Answers the caller with an error instead of the answer of a backend server. */
struct reject_request {
    request_id request;
    std::uint32_t status = 0;
    error why;
    run_outcome outcome = run_outcome::DidNotRun;
    duration retryAfter{0}; /**< Zero if the caller gets no retry delay. */
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

/** Ends an answer that cannot be completed so that the caller can tell it is incomplete. */
struct abort_answer {
    request_id request;
};

struct send_to_agent {
    endpoint agent;
    peer_message message;
};

/** The complete set of agents that the entry process keeps connections to. */
struct set_agent_connections {
    std::vector<endpoint> agents;
};

// Outputs for logs and metrics only.

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

/** All requests in flight have ended after a planned stop. */
struct requests_drained {
};

/** Latency of a completely answered request, measured from its arrival; for the metrics. */
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
