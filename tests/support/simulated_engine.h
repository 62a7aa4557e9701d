#pragma once

#include <carawayloft/fleet/engine_order.h>
#include <carawayloft/fleet/fleet_records.h>

#include <algorithm>
#include <vector>

namespace carawayloft::test_support {

/**
 * One model engine as the platform describes it: which orders it takes in which state, what it refuses by epoch and by
 * fencing token, and what a restart makes it forget. A join and an opening end in the step in which they begin.
 */
class simulated_engine
{
public:
    backend_record record;
    std::vector<backend_id> members; /**< Of its group; empty if it is in none. */
    bool takesOrders = true; /**< From control. */

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

    order_outcome execute(const engine_order &order, fencing_token fence)
    {
        if (fence < m_highestFence) {
            return order_outcome::Fenced;
        }
        const order_outcome outcome = std::visit([&](const auto &what) { return carryOut(what); }, order);
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
        record.membership = {order.epoch, static_cast<std::uint32_t>(place - members.begin()), membership_state::Ready};
        record.loaded = order.model;
        return order_outcome::Begun;
    }

    order_outcome carryOut(const open_group &order)
    {
        if (record.membership.epoch != order.epoch || record.membership.rank != 0) {
            return order_outcome::Conflict;
        }
        record.membership.state = membership_state::Open;
        return order_outcome::Begun;
    }

    order_outcome carryOut(const close_group &order)
    {
        if (record.membership.epoch != order.epoch) {
            return order_outcome::Conflict;
        }
        record.membership.state = membership_state::Ready;
        return order_outcome::Begun;
    }

    order_outcome carryOut(const leave_group &order)
    {
        if (record.membership.epoch == order.epoch) {
            record.membership = {};
            members.clear();
        }
        return order_outcome::Done;
    }

    static order_outcome carryOut(const stage_model &)
    {
        return order_outcome::Begun;
    }

    group_epoch m_highestEpoch; /**< Of this run. */
    fencing_token m_highestFence; /**< Of this run. */
};

} // namespace carawayloft::test_support
