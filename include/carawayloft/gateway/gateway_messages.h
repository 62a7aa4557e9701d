#pragma once

#include <carawayloft/fleet/fleet_pipe_messages.h>
#include <carawayloft/messages/control_traffic.h>
#include <carawayloft/request/request_pipe_messages.h>
#include <carawayloft/service/service_configuration.h>

#include <memory>
#include <optional>

/** What goes into and comes out of the gateway pipe: an entry that sends straight to backend servers. */
namespace carawayloft {

// Inputs.

/** A whole request of a caller; its body stays with the task. */
struct gateway_request {
    request_id request;
    std::string name; /**< The caller's own id of this attempt. */
    std::string host;
    std::string path;
    access_key key; /**< Empty without one. */
    duration timeLimit{0}; /**< That the caller will wait; zero when not stated. */
    model_id model; /**< Empty for plain services. */
    token_count promptTokens = 0;
    token_count maxAnswerTokens = 0; /**< At most. */
    token_count expectedAnswerTokens = 0; /**< As its caller guesses; zero when not stated. */
    std::optional<stream_event_id> resumeAfter; /**< Last event that the caller has of an earlier attempt. */
};

/** The head of a backend server's answer has come. */
struct backend_answer_started {
    backend_call_id call;
    std::uint32_t status = 0;
    bool notExecuted = false; /**< The server says that it did not run the request. */
    bool wrongBackend = false; /**< The server at this address is not the one that was meant. */
    bool requestIdMismatch = false; /**< The answer is to some other request. */
    bool isStream = false;
};

struct backend_bytes_received {
    backend_call_id call;
    std::string bytes;
};

/** The answer is whole. */
struct backend_answer_finished {
    backend_call_id call;
};

struct backend_call_failed {
    backend_call_id call;
    bool neverSent = false; /**< Nothing of the request can have reached the server. */
    std::string reason;
};

/** Another configuration is in force. */
struct configuration_in_force {
    std::shared_ptr<const service_configuration> configuration;
};

using gateway_pipe_input = std::variant<gateway_request,
                                        caller_disconnected,
                                        backend_answer_started,
                                        backend_bytes_received,
                                        backend_answer_finished,
                                        backend_call_failed,
                                        probe_finished,
                                        configuration_in_force,
                                        control_message,
                                        request_tick,
                                        request_stop>;

// Outputs.

/** Send the request to a backend server. */
struct call_backend {
    backend_call_id call;
    request_id request;
    backend_id backend;
    endpoint address;
    client_account_id account; /**< Empty when no key was needed. */
    duration timeLeft{0};
    std::optional<stream_event_id> resumeAfter;
    bool freshConnection = false; /**< A kept one might be dead, which would leave open whether the request ran. */
};

/** Give up a call at once. */
struct cancel_call {
    backend_call_id call;
};

/** Begin a streamed answer with the head that came with @p call. */
struct begin_stream {
    request_id request;
    backend_call_id call;
};

/** Give the caller the whole answer of @p call. */
struct send_whole_answer {
    request_id request;
    backend_call_id call;
    std::string body;
};

// Outputs for the log only.

/** Where a request goes and what that was decided from. */
struct backend_chosen {
    request_id request;
    backend_call_id call;
    backend_id backend;
    group_epoch group; /**< Zero for a plain server. */
    std::uint32_t candidates = 0;
    std::uint32_t running = 0; /**< Requests that were there already, as far as known. */
    duration loadAge{0}; /**< Age of what is known of other gateways' requests. */
    configuration_version version;
    std::uint32_t attempt = 1;
};

/** A request that had been sent goes to another backend server. */
struct call_repeated {
    request_id request;
    backend_id from;
    std::string reason;
    std::optional<stream_event_id> after; /**< Last event that the caller has. */
};

/** A group gets nothing more for now. */
struct group_suspended {
    group_epoch group;
    std::string reason;
    duration silence{0};
    std::size_t moved = 0; /**< Streams that go on elsewhere. */
};

/** A request has ended. */
struct request_ended {
    request_id request;
    std::string name; /**< The caller's own id of this attempt. */
    std::uint32_t status = 0;
    std::uint32_t calls = 0;
    token_count promptTokens = 0;
    duration firstByte{0};
    duration longestPause{0}; /**< Between events of a stream. */
    duration total{0};
    bool whole = false;
};

/** The right to serve keyed requests was lost or regained. */
struct serving_lease_changed {
    bool held = false;
    revision at;
};

using gateway_pipe_output = std::variant<call_backend,
                                         cancel_call,
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
                                         call_repeated,
                                         group_suspended,
                                         request_ended,
                                         serving_lease_changed>;

} // namespace carawayloft
