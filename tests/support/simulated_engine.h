#pragma once

#include <carawayloft/fleet/engine_order.h>
#include <carawayloft/fleet/fleet_records.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace carawayloft::test_support {

/**
 * One model engine as the platform describes it: which orders it takes in which state, what it refuses by epoch and by
 * fencing token, and what a restart makes it forget. Joins and openings end in the step in which they begin, unless they
 * are given a time.
 */
class simulated_engine
{
public:
    backend_record record;
    std::vector<backend_id> members; /**< Of its group; empty if it is in none. */
    bool takesOrders = true; /**< From control. */
    duration hotJoinTime{0}; /**< Of a model that it has loaded. */
    duration coldJoinTime{0}; /**< Of any other model. */
    duration openTime{0};

    /** When the join or opening under way ends. */
    std::optional<time_point> due() const
    {
        return m_due;
    }

    /** Ends the join or opening under way if it is due; returns whether it was. */
    bool advance(time_point now)
    {
        if (!m_due || now < *m_due) {
            return false;
        }
        record.membership.state = m_isOpening ? membership_state::Open : membership_state::Ready;
        stopWaiting();
        return true;
    }

    /** What it would announce now. */
    backend_record announce()
    {
        ++record.announcement;
        return record;
    }

    /** A new run under the same id, in no group. */
    void restart()
    {
        ++record.startedAt;
        record.announcement = 0;
        record.membership = {};
        members.clear();
        stopWaiting();
        m_highestEpoch = {};
        m_highestFence = {};
    }

    bool serves(group_epoch epoch) const
    {
        const bool isServing = record.membership.state == membership_state::Open || record.membership.state == membership_state::Closing;
        return record.membership.epoch == epoch && record.membership.rank == 0 && isServing;
    }

    /** Whether the order would take the engine from its group into another one. */
    bool wouldChangeGroup(const engine_order &order, fencing_token fence) const
    {
        const auto *join = std::get_if<join_group>(&order);
        return join != nullptr && !refuses(*join, fence) && !members.empty() && join->epoch != record.membership.epoch;
    }

    order_outcome execute(const engine_order &order, fencing_token fence, time_point now = {})
    {
        advance(now);
        if (fence < m_highestFence) {
            return order_outcome::Fenced;
        }
        const order_outcome outcome = std::visit([&](const auto &what) { return carryOut(what); }, order);
        startWaiting(now);
        if (outcome == order_outcome::Begun || outcome == order_outcome::Done) {
            m_highestFence = fence;
        }
        return outcome;
    }

private:
    bool refuses(const join_group &order, fencing_token fence) const
    {
        return fence < m_highestFence || order.epoch < m_highestEpoch;
    }

    order_outcome carryOut(const join_group &order)
    {
        if (order.epoch < m_highestEpoch) {
            return order_outcome::Fenced;
        }
        if (record.membership.epoch == order.epoch) {
            return order_outcome::Done;
        }
        m_highestEpoch = order.epoch;
        members = order.members;
        const auto place = std::find(members.begin(), members.end(), record.backend);
        record.membership = {order.epoch, static_cast<std::uint32_t>(place - members.begin()), membership_state::Joining};
        stopWaiting();
        m_toWait = record.loaded == order.model ? hotJoinTime : coldJoinTime;
        record.loaded = order.model;
        record.staged = {order.model};
        return order_outcome::Begun;
    }

    order_outcome carryOut(const open_group &order)
    {
        if (record.membership.epoch != order.epoch || record.membership.rank != 0) {
            return order_outcome::Conflict;
        }
        if (record.membership.state == membership_state::Joining) {
            return order_outcome::Conflict;
        }
        if (m_isOpening || record.membership.state == membership_state::Open) {
            return order_outcome::Done;
        }
        m_isOpening = true;
        m_toWait = openTime;
        return order_outcome::Begun;
    }

    order_outcome carryOut(const close_group &order)
    {
        if (record.membership.epoch != order.epoch) {
            return order_outcome::Conflict;
        }
        if (record.membership.state != membership_state::Open) {
            return order_outcome::Done;
        }
        record.membership.state = membership_state::Ready;
        return order_outcome::Begun;
    }

    order_outcome carryOut(const leave_group &order)
    {
        if (record.membership.epoch == order.epoch) {
            record.membership = {};
            members.clear();
            stopWaiting();
        }
        return order_outcome::Done;
    }

    static order_outcome carryOut(const stage_model &)
    {
        return order_outcome::Begun;
    }

    void startWaiting(time_point now)
    {
        if (m_toWait) {
            m_due = now + *m_toWait;
            m_toWait.reset();
            advance(now);
        }
    }

    void stopWaiting()
    {
        m_toWait.reset();
        m_due.reset();
        m_isOpening = false;
    }

    std::optional<duration> m_toWait; /**< Of the join or opening that has just begun. */
    std::optional<time_point> m_due;
    bool m_isOpening = false;
    group_epoch m_highestEpoch; /**< Of this run. */
    fencing_token m_highestFence; /**< Of this run. */
};

} // namespace carawayloft::test_support
