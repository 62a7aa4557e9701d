#pragma once

#include <carawayloft/fleet/fleet_pipe_messages.h>
#include <carawayloft/messages/control_traffic.h>
#include <carawayloft/request/request_pipe_messages.h>
#include <carawayloft/service/service_configuration.h>

#include <memory>
#include <optional>

/** Inputs and outputs of the gateway pipe, which forwards requests of callers directly to backend servers. */
namespace carawayloft {

// Inputs.

/** A complete request of a caller; the task keeps the body. */
struct gateway_request {
    request_id request;
    std::string name; /**< Request id that the caller assigned to this attempt. */
    std::string host;
    std::string path;
    access_key key; /**< Empty if the caller sent none. */
    duration timeLimit{0}; /**< Time that the caller will wait; zero if not stated. */
    model_id model; /**< Empty for services without models. */
    token_count promptTokens = 0;
    token_count maxAnswerTokens = 0;
    token_count expectedAnswerTokens = 0; /**< Estimate of the caller; zero if not stated. */
    std::optional<stream_event_id> resumeAfter; /**< Last event that the caller received in an earlier attempt. */
    std::vector<request_trait> traits; /**< The whole request, then the parts of its prompt that other requests may share. */
    std::size_t bytes = 0; /**< Of the whole request, as it is sent to a server. */
};

/** A backend server has sent the head of its answer. */
struct backend_answer_started {
    backend_call_id call;
    std::uint32_t status = 0;
    bool notExecuted = false; /**< The server states that it did not run the request. */
    bool wrongBackend = false; /**< A different server uses the address. */
    bool requestIdMismatch = false; /**< The answer belongs to another request. */
    bool isStream = false;
    std::optional<double> requestLimit{}; /**< Requests per second that the server takes from all gateways together, if it named a limit. */
    bool leaving = false; /**< The server says that it leaves. */
    std::optional<duration> refusalTime{}; /**< Time for which the server wants no further requests from this gateway. */
    std::uint32_t invalidHeaders = 0; /**< Headers with values that cannot be meant, which are ignored. */
};

struct backend_bytes_received {
    backend_call_id call;
    std::string bytes;
};

struct backend_answer_finished {
    backend_call_id call;
};

struct backend_call_failed {
    backend_call_id call;
    bool neverSent = false; /**< No byte of the request can have reached the server. */
    std::string reason;
    bool closedByServer = false; /**< The server ended the connection in the middle of the call. */
};

/** The caller has taken bytes of its streamed answer. */
struct answer_bytes_taken {
    request_id request;
    std::size_t bytes = 0;
};

struct configuration_in_force {
    std::shared_ptr<const service_configuration> configuration;
};

using gateway_pipe_input = std::variant<gateway_request,
                                        caller_disconnected,
                                        backend_answer_started,
                                        backend_bytes_received,
                                        backend_answer_finished,
                                        backend_call_failed,
                                        answer_bytes_taken,
                                        probe_finished,
                                        configuration_in_force,
                                        control_message,
                                        request_tick,
                                        request_stop>;

// Outputs.

struct call_backend {
    backend_call_id call;
    request_id request;
    backend_id backend;
    endpoint address;
    client_account_id account; /**< Empty if the route needs no key. */
    duration timeLeft{0};
    std::optional<stream_event_id> resumeAfter;
    bool freshConnection = false; /**< A pooled connection may be dead, or hold an earlier refusal; either way it is unknown whether the request runs. */
    std::optional<std::uint32_t> urgency{}; /**< For the order of requests at an engine, from 0 (goes first) to 9; nothing where all have the same rank. */
};

struct cancel_call {
    backend_call_id call;
};

/** Stop or go on reading the answer of a call: its caller takes it more slowly than it comes. */
struct pause_call {
    backend_call_id call;
    bool paused = false;
};

/** Start a streamed answer to the caller with the head received for @p call. */
struct begin_stream {
    request_id request;
    backend_call_id call;
};

/** Send the caller the complete answer of @p call. */
struct send_whole_answer {
    request_id request;
    backend_call_id call;
    std::string body;
};

// Outputs that are only logged and counted.

/** The routing decision for one call, and the state that it was based on. */
struct backend_chosen {
    request_id request;
    backend_call_id call;
    backend_id backend;
    group_epoch group; /**< Zero for a server outside any group. */
    std::uint32_t candidates = 0;
    std::uint32_t running = 0; /**< Estimated requests already running there. */
    duration loadAge{0}; /**< Age of the reported load of other gateways. */
    configuration_version version;
    std::uint32_t attempt = 1;
};

/** A request for a model is rejected for lack of capacity, and what the decision was based on. */
struct admission_refused {
    request_id request;
    model_id model;
    request_rank rank;
    client_account_id account; /**< Empty if the route needs no key. */
    bool isReturning = false; /**< Rejected before. */
    double share = 1.0; /**< Fraction of the requests of this rank and account that is admitted. */
    double capacity = 0.0; /**< Of all groups of the model, in requests per second; zero if unknown. */
    double demand = 0.0; /**< First attempts at all gateways, per second; zero if unknown. */
    bool hasSlot = false; /**< Capacity is expected to be free at the time that the caller is told. */
};

/** A call failed and its request is dispatched again. */
struct call_repeated {
    request_id request;
    backend_id from;
    std::string reason;
    std::optional<stream_event_id> after; /**< Last event relayed to the caller. */
};

/** A backend server closed the connection of a request that it had not begun to answer, which may be why it crashed. */
struct unanswered_call_lost {
    request_id request;
    backend_id backend;
    std::vector<request_trait> traits;
};

/** A backend server named another limit than before, or none any more, in an answer to this gateway. */
struct backend_limit_observed {
    backend_id backend;
    std::optional<double> requestsPerSecond; /**< From all gateways together. */
};

/** A backend server has said in an answer that it leaves. */
struct backend_leaving_observed {
    backend_id backend;
    std::int64_t startedAt = 0; /**< The start of the server that leaves, by the wall clock in milliseconds. */
};

/** A backend server wants no requests from this gateway for a time. */
struct backend_refusal_observed {
    backend_id backend;
    duration length{0};
};

/** The gateway stops sending to a group for a while. */
struct group_suspended {
    group_epoch group;
    std::string reason;
    duration silence{0};
    std::size_t moved = 0; /**< Calls in flight there; those that may run again move to another group. */
};

struct request_ended {
    request_id request;
    std::string name; /**< Request id that the caller assigned to this attempt. */
    std::uint32_t status = 0;
    std::uint32_t calls = 0;
    model_id model; /**< Empty for services without models. */
    token_count promptTokens = 0;
    duration objective{0}; /**< Of the route. */
    duration forecast{0}; /**< Expected time to the first event, from the last send; zero without groups. */
    duration firstByte{0};
    duration longestPause{0}; /**< Longest time between two events of a stream. */
    duration total{0};
    bool whole = false;
};

/** The lease that lets this gateway serve requests with access keys was gained or has expired. */
struct serving_lease_changed {
    bool held = false;
    revision at;
};

using gateway_pipe_output = std::variant<call_backend,
                                         cancel_call,
                                         pause_call,
                                         begin_stream,
                                         send_whole_answer,
                                         continue_answer,
                                         finish_answer,
                                         abort_answer,
                                         reject_request,
                                         probe_backend,
                                         send_to_control,
                                         resubscribe,
                                         revision_in_force,
                                         revision_ignored,
                                         requests_drained,
                                         backend_chosen,
                                         admission_refused,
                                         call_repeated,
                                         unanswered_call_lost,
                                         backend_limit_observed,
                                         backend_leaving_observed,
                                         backend_refusal_observed,
                                         group_suspended,
                                         request_ended,
                                         serving_lease_changed>;

} // namespace carawayloft
