#pragma once

#include <carawayloft/control/fleet_state.h>
#include <carawayloft/fleet/fleet_pipe.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>

namespace carawayloft::test_support {

/** Two control replicas that lead one after the other, over one set of engines. Counts joins that break the rule of membership. */
class replica_pair
{
public:
    static constexpr std::size_t oldLeader = 0;
    static constexpr std::size_t newLeader = 1;

    explicit replica_pair(engine_profile engine = makeEngine(3, 4))
    {
        for (std::size_t i = 0; i < m_pipes.size(); ++i) {
            step(i, services_changed{{{engineService, 500, 0.0, engine}}});
        }
    }

    /** An engine that holds the large model and is in no group. */
    backend_id add(const std::string &name)
    {
        engine_state engine;
        engine.record.backend = backend_id(name);
        engine.record.service = engineService;
        engine.record.address = endpoint("127.0.0.1:" + std::to_string(10'000 + engines.size()));
        engine.record.zone = availability_zone_id("d0");
        engine.record.fabricDomain = fabric_domain_id("d0");
        engine.record.startedAt = 1;
        engine.record.loaded = largeModel;
        engine.record.staged = {largeModel};
        engines[engine.record.backend] = engine;
        return engine.record.backend;
    }

    void lead(std::size_t replica, std::uint64_t term)
    {
        step(replica, leader_lease_changed{true});
        step(replica, leadership_changed{true, log_term(term)});
    }

    void loseLease(std::size_t replica)
    {
        step(replica, leader_lease_changed{false});
    }

    /** The leader learns that it leads no more, and hears the other replica again. */
    void stepDown(std::size_t replica, std::uint64_t term)
    {
        loseLease(replica);
        step(replica, leadership_changed{false, log_term(term)});
        step(replica, recordedGroups());
    }

    void restoreLog(const fleet_snapshot &snapshot)
    {
        log.restore(snapshot);
        for (std::size_t i = 0; i < m_pipes.size(); ++i) {
            step(i, recordedGroups());
        }
    }

    /** The engine starts again, in no group. */
    void restart(const backend_id &backend)
    {
        engine_state &engine = engines.at(backend);
        ++engine.record.startedAt;
        engine.record.announcement = 0;
        engine.record.membership = {};
        engine.members.clear();
        engine.highestEpoch = {};
        engine.highestFence = {};
    }

    /** What the engine would announce now. */
    backend_record announce(const backend_id &backend)
    {
        engine_state &engine = engines.at(backend);
        ++engine.record.announcement;
        return engine.record;
    }

    void receive(std::size_t replica, const backend_record &record)
    {
        step(replica, check_in_received{{record}});
    }

    /** Lets every engine announce itself to the replica, and the replica act on it, @p times times. */
    void settle(std::size_t replica, int times = 10)
    {
        for (int i = 0; i < times; ++i) {
            now += duration(200);
            for (const auto &[id, engine] : engines) {
                receive(replica, announce(id));
            }
            step(replica, fleet_tick{});
        }
    }

    /** Lets time pass for the replica without any announcement. */
    void tick(std::size_t replica, int times)
    {
        for (int i = 0; i < times; ++i) {
            now += duration(100);
            step(replica, fleet_tick{});
        }
    }

    std::vector<engine_group> groups(std::size_t replica) const
    {
        return m_pipes[replica].controller().groups();
    }

    /** Groups whose head serves, as the engines know. */
    std::size_t openHeads() const
    {
        return static_cast<std::size_t>(
            std::count_if(engines.begin(), engines.end(), [](const auto &each) { return each.second.record.membership.state == membership_state::Open; }));
    }

    /** An engine that executes orders at once and refuses those with a lower epoch or fencing number. */
    struct engine_state {
        backend_record record;
        std::vector<backend_id> members; /**< Of its group. */
        group_epoch highestEpoch;
        log_term highestFence;
        bool takesOrders = true;
    };

    std::map<backend_id, engine_state> engines;
    fleet_state log; /**< What both replicas have applied of the replicated log. */
    time_point now{std::chrono::hours(1)};
    std::optional<std::size_t> cutReplica; /**< Reaches no other replica, so it commits nothing and mirrors nothing. */
    bool mirrors = true; /**< Whether what a leader mirrors arrives. */
    std::array<std::size_t, 2> orders{}; /**< Sent by each replica. */
    std::size_t violations = 0; /**< Joins taken while the head of the engine's other group was open. */

private:
    void step(std::size_t replica, const fleet_pipe_input &in)
    {
        std::deque<order_finished> answers;
        std::deque<group_records_proposed> proposals;
        for (const fleet_pipe_output &each : m_pipes[replica].step(in, now)) {
            if (const auto *order = std::get_if<send_engine_order>(&each)) {
                ++orders[replica];
                answers.push_back({order->order, execute(*order)});
            } else if (const auto *mirrored = std::get_if<mirror_fleet>(&each); mirrored != nullptr && cutReplica != replica && mirrors) {
                m_pipes[1 - replica].step(fleet_mirrored{mirrored->publication}, now);
            } else if (const auto *proposal = std::get_if<group_records_proposed>(&each)) {
                proposals.push_back(*proposal);
            }
        }
        for (const order_finished &each : answers) {
            step(replica, each);
        }
        commit(replica, proposals);
    }

    /** A replica that reaches no other one commits nothing. */
    void commit(std::size_t replica, const std::deque<group_records_proposed> &proposals)
    {
        if (proposals.empty() || cutReplica == replica) {
            return;
        }
        for (const group_records_proposed &each : proposals) {
            record_engine_groups change{each.formed, {}};
            for (const group_epoch &epoch : each.retired) {
                change.retired.push_back({epoch});
            }
            log.apply(fleet_command{{}, "group control", {}, std::move(change)}, revision(log.at().value() + 1));
        }
        const engine_groups_changed changed = recordedGroups();
        for (std::size_t i = 0; i < m_pipes.size(); ++i) {
            if (cutReplica != i) {
                step(i, changed);
            }
        }
    }

    engine_groups_changed recordedGroups() const
    {
        engine_groups_changed changed;
        for (const auto &[epoch, record] : log.engineGroups()) {
            changed.groups.push_back(record);
        }
        return changed;
    }

    order_outcome execute(const send_engine_order &order)
    {
        const auto found = engines.find(order.backend);
        if (found == engines.end() || !found->second.takesOrders) {
            return order_outcome::Unanswered;
        }
        engine_state &engine = found->second;
        if (order.fence < engine.highestFence) {
            return order_outcome::Fenced;
        }
        engine.highestFence = order.fence;
        return std::visit([&](const auto &what) { return execute(engine, what); }, order.what);
    }

    order_outcome execute(engine_state &engine, const join_group &order)
    {
        if (order.epoch < engine.highestEpoch) {
            return order_outcome::Fenced;
        }
        membership_report &own = engine.record.membership;
        if (own.epoch == order.epoch) {
            return order_outcome::Done;
        }
        if (!engine.members.empty()) {
            const membership_report &head = engines.at(engine.members.front()).record.membership;
            violations += head.epoch == own.epoch && head.state == membership_state::Open ? 1 : 0;
        }
        engine.highestEpoch = order.epoch;
        engine.members = order.members;
        const auto place = std::find(order.members.begin(), order.members.end(), engine.record.backend);
        own = {order.epoch, static_cast<std::uint32_t>(place - order.members.begin()), membership_state::Ready};
        engine.record.loaded = order.model;
        return order_outcome::Begun;
    }

    static order_outcome execute(engine_state &engine, const open_group &order)
    {
        membership_report &own = engine.record.membership;
        if (own.epoch != order.epoch || own.rank != 0) {
            return order_outcome::Conflict;
        }
        own.state = membership_state::Open;
        return order_outcome::Begun;
    }

    static order_outcome execute(engine_state &engine, const close_group &order)
    {
        membership_report &own = engine.record.membership;
        if (own.epoch != order.epoch) {
            return order_outcome::Conflict;
        }
        own.state = membership_state::Ready;
        return order_outcome::Done;
    }

    static order_outcome execute(engine_state &engine, const leave_group &order)
    {
        if (engine.record.membership.epoch == order.epoch) {
            engine.record.membership = {};
            engine.members.clear();
        }
        return order_outcome::Done;
    }

    static order_outcome execute(engine_state &, const stage_model &)
    {
        return order_outcome::Begun;
    }

    std::array<fleet_pipe, 2> m_pipes;
};

} // namespace carawayloft::test_support
