#pragma once

#include <carawayloft/core/filter.h>
#include <carawayloft/messages/request_messages.h>

#include <compare>
#include <list>
#include <map>
#include <set>
#include <string>
#include <variant>

namespace carawayloft {

/** Identifies one attempt of a request on the connection that dispatched it. */
struct attempt_key {
    link_id link;
    request_id request;
    attempt_number attempt;

    friend auto operator<=>(const attempt_key &, const attempt_key &) = default;
};

// Inputs.

struct work_arrived {
    attempt_key key;
    client_account_id account;
    std::uint32_t weight = 1;
    work_priority priority = work_priority::Interactive;
    time_point deadline;
};

enum class work_result : std::uint8_t {
    Done,
    Failed, /**< The backend server aborted the call. */
    Cancelled,
};

struct work_ended {
    attempt_key key;
    work_result outcome = work_result::Done;
};

/** The announced numbers of concurrent requests that the backend server can process in a cold start and when warm. */
struct concurrency_limits {
    std::uint32_t cold = 1;
    std::uint32_t warm = 1;
};

/** The backend server is in a cold start, for example after a restart. */
struct cold_start_detected {
};

/** Opens or closes admission; closing it also rejects the waiting requests. */
struct admission_gate {
    bool open = false;
    refusal_reason reason = refusal_reason::NotLeading; /**< Sent with each rejection while closed. */
};

/** Rejects the waiting requests whose deadline has passed. */
struct admission_tick {
};

// Outputs.

struct work_admitted {
    attempt_key key;
};

struct work_rejected {
    attempt_key key;
    refusal_reason reason = refusal_reason::Overloaded;
    duration retryAfter{0};
};

struct limit_changed {
    std::uint32_t limit = 0;
    std::string reason;
};

using admission_input = std::variant<work_arrived, work_ended, concurrency_limits, cold_start_detected, admission_gate, admission_tick>;
using admission_output = std::variant<work_admitted, work_rejected, limit_changed>;

/**
 * Admits requests to one backend server. All requests from all entries pass through it, so that their
 * total stays within the server's concurrency limit. The limit starts at the cold limit, grows to the warm
 * limit while requests succeed, is halved (but not below the cold limit) on a failure and returns to the
 * cold limit on a cold start. The queue is bounded. Interactive requests are admitted first; requests of the
 * same priority are admitted by weighted fair queueing among client accounts.
 */
class admission
{
public:
    using input = admission_input;
    using output = admission_output;

    std::vector<output> step(const input &in, time_point now);

    std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(m_running.size());
    }
    std::uint32_t waiting() const
    {
        return static_cast<std::uint32_t>(m_queue.size());
    }
    std::uint32_t limit() const
    {
        return m_limit;
    }
    bool isAtColdLimit() const
    {
        return m_limit <= m_limits.cold && m_limits.cold < m_limits.warm;
    }

private:
    void handle(const work_arrived &in, time_point now, std::vector<output> &out);
    void handle(const work_ended &in, time_point now, std::vector<output> &out);
    void handle(const concurrency_limits &in, time_point now, std::vector<output> &out);
    void handle(const cold_start_detected &in, time_point now, std::vector<output> &out);
    void handle(const admission_gate &in, time_point now, std::vector<output> &out);
    void handle(const admission_tick &in, time_point now, std::vector<output> &out);

    void setLimit(std::uint32_t limit, const char *reason, std::vector<output> &out);
    std::size_t maxWaiting() const;
    void rejectOneWaiting(std::vector<output> &out);
    std::list<work_arrived>::iterator nextByFairShare();
    void admitWaiting(time_point now, std::vector<output> &out);

    concurrency_limits m_limits{0, 0};
    std::uint32_t m_limit = 0;
    std::uint32_t m_successes = 0; /**< Counted once the current limit has been reached. */
    bool m_limitWasReached = false;
    admission_gate m_gate;
    std::set<attempt_key> m_running;
    std::list<work_arrived> m_queue;
    std::map<client_account_id, double> m_virtualTime; /**< Requests admitted per account, divided by its weight. */
    double m_currentVirtualTime = 0; /**< Virtual start time of the request admitted last. */
};

static_assert(filter<admission>);

} // namespace carawayloft
