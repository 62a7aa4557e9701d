#include <carawayloft/backend/admission.h>

#include <algorithm>

namespace carawayloft {

/** Growth of the limit after a whole limit's worth of successes. */
static constexpr double limitGrowth = 1.5;

/** Work that may wait, as a multiple of the limit, and at least. */
static constexpr std::uint32_t queueFactor = 1;
static constexpr std::size_t minQueue = 4;

static constexpr duration overloadedRetryAfter{1'000};

std::vector<admission::output> admission::step(const input &in, time_point now)
{
    std::vector<output> out;
    std::visit([&](const auto &each) { handle(each, now, out); }, in);
    admitWaiting(now, out);
    return out;
}

void admission::handle(const work_arrived &in, time_point now, std::vector<output> &out)
{
    if (!m_gate.open) {
        out.emplace_back(work_rejected{in.key, m_gate.reason, overloadedRetryAfter});
        return;
    }
    if (now >= in.deadline) {
        out.emplace_back(work_rejected{in.key, refusal_reason::DeadlinePassed, {}});
        return;
    }
    // An account that was idle does not save up turns.
    double &accountTime = m_virtualTime[in.account];
    accountTime = std::max(accountTime, m_virtualNow);
    m_queue.push_back(in);
    if (m_running.size() >= m_limit && m_queue.size() > maxWaiting()) {
        makeRoom(out);
    }
}

std::size_t admission::maxWaiting() const
{
    return std::max<std::size_t>(minQueue, std::size_t{m_limit} * queueFactor);
}

void admission::makeRoom(std::vector<output> &out)
{
    // The newest background work goes first, then the newest work of the account that waits most for its weight.
    std::map<client_account_id, double> share;
    for (const work_arrived &each : m_queue) {
        share[each.account] += 1.0 / std::max(1U, each.weight);
    }
    const auto claim = [&](const work_arrived &each) { return std::pair(each.priority, share[each.account]); };
    auto victim = m_queue.begin();
    for (auto each = m_queue.begin(); each != m_queue.end(); ++each) {
        if (claim(*each) >= claim(*victim)) {
            victim = each;
        }
    }
    out.emplace_back(work_rejected{victim->key, refusal_reason::Overloaded, overloadedRetryAfter});
    m_queue.erase(victim);
}

void admission::handle(const work_ended &in, time_point, std::vector<output> &out)
{
    const auto waiting = std::find_if(m_queue.begin(), m_queue.end(), [&](const work_arrived &each) { return each.key == in.key; });
    if (waiting != m_queue.end()) {
        m_queue.erase(waiting);
        return;
    }
    if (m_running.erase(in.key) == 0 || in.outcome == work_result::Cancelled) {
        return;
    }
    if (in.outcome == work_result::Failed) {
        setLimit(std::max(m_limits.cold, m_limit / 2), "work failed", out);
        return;
    }
    if (!m_limitReached || ++m_successes < m_limit) {
        return;
    }
    const auto grown = static_cast<std::uint32_t>(static_cast<double>(m_limit) * limitGrowth);
    setLimit(std::min(m_limits.warm, std::max(m_limit + 1, grown)), "kept up", out);
}

void admission::setLimit(std::uint32_t limit, const char *reason, std::vector<output> &out)
{
    m_successes = 0;
    m_limitReached = false;
    if (limit != m_limit) {
        m_limit = limit;
        out.emplace_back(limit_changed{limit, reason});
    }
}

void admission::handle(const concurrency_limits &in, time_point, std::vector<output> &out)
{
    const bool same = in.cold == m_limits.cold && in.warm == m_limits.warm;
    m_limits = in;
    if (!same) {
        setLimit(in.cold, "announced", out);
    }
}

void admission::handle(const cold_start_detected &, time_point, std::vector<output> &out)
{
    setLimit(m_limits.cold, "turned cold", out);
}

void admission::handle(const admission_gate &in, time_point, std::vector<output> &out)
{
    m_gate = in;
    if (in.open) {
        return;
    }
    for (const work_arrived &each : m_queue) {
        out.emplace_back(work_rejected{each.key, in.reason, overloadedRetryAfter});
    }
    m_queue.clear();
}

void admission::handle(const admission_tick &, time_point now, std::vector<output> &out)
{
    for (auto each = m_queue.begin(); each != m_queue.end();) {
        if (now >= each->deadline) {
            out.emplace_back(work_rejected{each->key, refusal_reason::DeadlinePassed, {}});
            each = m_queue.erase(each);
        } else {
            ++each;
        }
    }
}

std::list<work_arrived>::iterator admission::nextInTurn()
{
    return std::min_element(m_queue.begin(), m_queue.end(), [this](const work_arrived &left, const work_arrived &right) {
        return std::pair(left.priority, m_virtualTime[left.account]) < std::pair(right.priority, m_virtualTime[right.account]);
    });
}

void admission::admitWaiting(time_point now, std::vector<output> &out)
{
    while (!m_queue.empty() && m_running.size() < m_limit) {
        const auto chosen = nextInTurn();
        const work_arrived work = *chosen;
        m_queue.erase(chosen);
        if (now >= work.deadline) {
            out.emplace_back(work_rejected{work.key, refusal_reason::DeadlinePassed, {}});
            continue;
        }
        double &accountTime = m_virtualTime[work.account];
        m_virtualNow = accountTime;
        accountTime += 1.0 / std::max(1U, work.weight);
        m_running.insert(work.key);
        out.emplace_back(work_admitted{work.key});
    }
    m_limitReached = m_limitReached || m_running.size() >= m_limit;
    if (m_queue.empty() && m_running.empty()) {
        m_virtualTime.clear();
        m_virtualNow = 0;
    }
}

} // namespace carawayloft
