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

/** One attempt of one request, as it came over one connection. */
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
    Failed, /**< The backend server broke it off. */
    Cancelled,
};

struct work_ended {
    attempt_key key;
    work_result outcome = work_result::Done;
};

/** What the backend server can bear, as it announced. */
struct concurrency_limits {
    std::uint32_t cold = 1;
    std::uint32_t warm = 1;
};

/** The backend server is in cold start. */
struct cold_start_detected {
};

/** Whether new work may start at all. */
struct admission_gate {
    bool open = false;
    refusal_reason reason = refusal_reason::NotLeading; /**< Why not. */
};

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
 * The only place where work is let through to a backend server, so that all entries together stay
 * within what it can bear. The limit starts at the cold limit, grows while the server keeps up and
 * falls at once when it does not. Waiting work is bounded and shared fairly among client accounts.
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
    void makeRoom(std::vector<output> &out);
    std::list<work_arrived>::iterator nextInTurn();
    void admitWaiting(time_point now, std::vector<output> &out);

    concurrency_limits m_limits{0, 0};
    std::uint32_t m_limit = 0;
    std::uint32_t m_successes = 0;
    bool m_limitReached = false;
    admission_gate m_gate;
    std::set<attempt_key> m_running;
    std::list<work_arrived> m_queue;
    std::map<client_account_id, double> m_virtualTime; /**< Work admitted so far, divided by weight. */
    double m_virtualNow = 0; /**< Virtual time of the account admitted last. */
};

static_assert(filter<admission>);

} // namespace carawayloft
