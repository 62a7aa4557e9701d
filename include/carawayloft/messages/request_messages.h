#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/** Messages between an entry process and the agent that leads a group: about one request each, and load reports. */
namespace carawayloft {

enum class work_priority : std::uint8_t {
    Interactive, /**< A caller is waiting for the answer. */
    Background,
};

struct dispatch_request {
    request_id request;
    attempt_number attempt;
    group_id group;
    group_epoch epoch;
    client_account_id account;
    std::uint32_t weight = 1; /**< Weight of the account in fair queueing. */
    work_priority priority = work_priority::Interactive;
    duration timeLeft{0}; /**< From sending this message to the caller's deadline. */
    bool stream = false;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    stream_offset resumeAt; /**< Tokens that the caller already has. */
    std::uint32_t credit = 0; /**< Chunks that the agent may send before more credit is granted. */
    std::uint64_t prefixDigest = 0; /**< Digest of the beginning of the prompt; zero for none. */

    static constexpr auto fields()
    {
        return std::tuple(field{"request", &dispatch_request::request},
                          field{"attempt", &dispatch_request::attempt},
                          field{"group", &dispatch_request::group},
                          field{"epoch", &dispatch_request::epoch},
                          field{"account", &dispatch_request::account},
                          field{"weight", &dispatch_request::weight},
                          field{"priority", &dispatch_request::priority},
                          field{"time_left_ms", &dispatch_request::timeLeft},
                          field{"stream", &dispatch_request::stream},
                          field{"method", &dispatch_request::method},
                          field{"path", &dispatch_request::path},
                          field{"content_type", &dispatch_request::contentType},
                          field{"body", &dispatch_request::body},
                          field{"resume_at", &dispatch_request::resumeAt},
                          field{"credit", &dispatch_request::credit},
                          field{"prefix_digest", &dispatch_request::prefixDigest});
    }
};

struct cancel_request {
    request_id request;
    attempt_number attempt;

    static constexpr auto fields()
    {
        return std::tuple(field{"request", &cancel_request::request}, field{"attempt", &cancel_request::attempt});
    }
};

/** The caller has read @p chunks more chunks, so that as many more may be sent. This bounds the memory that a stream takes up. */
struct grant_credit {
    request_id request;
    attempt_number attempt;
    std::uint32_t chunks = 0;

    static constexpr auto fields()
    {
        return std::tuple(field{"request", &grant_credit::request}, field{"attempt", &grant_credit::attempt}, field{"chunks", &grant_credit::chunks});
    }
};

enum class refusal_reason : std::uint8_t {
    NotLeading, /**< The agent does not lead this group in this epoch. */
    GroupIncomplete, /**< The lease of a member is missing, or the lead's own backend server is not ready. */
    ZoneOut, /**< The availability zone takes no work. */
    Leaving, /**< The backend server is about to leave. */
    Stopping, /**< The agent is stopping. */
    Overloaded,
    DeadlinePassed,
    BackendDown,
};

/** The attempt did not run and never will. */
struct request_refused {
    request_id request;
    attempt_number attempt;
    refusal_reason reason = refusal_reason::NotLeading;
    duration retryAfter{0};

    static constexpr auto fields()
    {
        return std::tuple(field{"request", &request_refused::request},
                          field{"attempt", &request_refused::attempt},
                          field{"reason", &request_refused::reason},
                          field{"retry_after_ms", &request_refused::retryAfter});
    }
};

struct answer_head {
    request_id request;
    attempt_number attempt;
    std::uint32_t status = 0;
    std::string contentType;
    duration waited{0}; /**< Time in the agent's queue. */

    static constexpr auto fields()
    {
        return std::tuple(field{"request", &answer_head::request},
                          field{"attempt", &answer_head::attempt},
                          field{"status", &answer_head::status},
                          field{"content_type", &answer_head::contentType},
                          field{"waited_ms", &answer_head::waited});
    }
};

/** One token of a stream, or one part of any other answer; @p offset counts tokens or parts accordingly. */
struct answer_chunk {
    request_id request;
    attempt_number attempt;
    stream_offset offset;
    std::string bytes;

    static constexpr auto fields()
    {
        return std::tuple(field{"request", &answer_chunk::request},
                          field{"attempt", &answer_chunk::attempt},
                          field{"offset", &answer_chunk::offset},
                          field{"bytes", &answer_chunk::bytes});
    }
};

enum class answer_ending : std::uint8_t {
    Complete,
    Broken, /**< The attempt started, but how far it ran is unknown. */
};

struct answer_end {
    request_id request;
    attempt_number attempt;
    stream_offset length; /**< Offset after the last chunk. */
    answer_ending ending = answer_ending::Complete;

    static constexpr auto fields()
    {
        return std::tuple(field{"request", &answer_end::request},
                          field{"attempt", &answer_end::attempt},
                          field{"length", &answer_end::length},
                          field{"ending", &answer_end::ending});
    }
};

/** Load of a group at the time of sending; a hint only. */
struct load_report {
    group_id group;
    group_epoch epoch;
    bool accepting = false;
    bool cold = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0; /**< Requests that may run at the same time. */
    std::uint32_t own = 0; /**< Running and waiting requests that came from the receiving entry process. */
    std::uint64_t cachedPrefix = 0; /**< Digest of a prompt prefix that is new in the engine's cache, or zero. */

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &load_report::group},
                          field{"epoch", &load_report::epoch},
                          field{"accepting", &load_report::accepting},
                          field{"cold", &load_report::cold},
                          field{"running", &load_report::running},
                          field{"waiting", &load_report::waiting},
                          field{"limit", &load_report::limit},
                          field{"own", &load_report::own},
                          field{"cached_prefix", &load_report::cachedPrefix});
    }
};

} // namespace carawayloft
