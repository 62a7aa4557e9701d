#pragma once

#include <carawayloft/control/fleet_state.h>
#include <carawayloft/fleet/fleet_pipe.h>

#include "support/service_builder.h"
#include "support/simulated_engine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>

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
        simulated_engine engine;
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

    /** The replica leads in the @p number th term of the log. */
    void lead(std::size_t replica, std::uint64_t number)
    {
        const log_term term = termOf(replica, number);
        if (term != m_lastTerm) {
            m_precedingTerm = m_lastTerm;
        }
        m_lastTerm = term;
        m_terms[replica] = term;
        step(replica, leader_lease_changed{true});
        step(replica, leadership_changed{true, term, m_precedingTerm});
    }

    void loseLease(std::size_t replica)
    {
        step(replica, leader_lease_changed{false});
    }

    /** The leader learns that it leads no more, and hears the other replica again. */
    void stepDown(std::size_t replica, std::uint64_t term)
    {
        loseLease(replica);
        step(replica, leadership_changed{false, log_term(term * termSpacing)});
        step(replica, recordedGroups());
    }

    void restoreLog(const fleet_snapshot &snapshot)
    {
        log.restore(snapshot);
        for (std::size_t i = 0; i < m_pipes.size(); ++i) {
            step(i, recordedGroups());
        }
    }

    /** The engine starts again under its id, in no group. Orders that are on their way reach the new run. */
    void restart(const backend_id &backend)
    {
        engines.at(backend).restart();
    }

    /** What the engine would announce now. */
    backend_record announce(const backend_id &backend)
    {
        return engines.at(backend).announce();
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
            carryOutLateOrders();
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
            carryOutLateOrders();
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

    /** What becomes of one order on its way. */
    struct order_fate {
        bool isCarriedOut = true; /**< At once. */
        bool isAnswered = true;
        std::optional<duration> lateAfter; /**< It is carried out, perhaps once more, after this time. */
        bool isAnsweredLate = false; /**< Whether the answer comes after that time; later orders may have overtaken this one. */
    };

    std::map<backend_id, simulated_engine> engines;
    fleet_state log; /**< What both replicas have applied of the replicated log. */
    time_point now{std::chrono::hours(1)};
    std::optional<std::size_t> cutReplica; /**< Reaches no other replica, so it commits nothing and mirrors nothing. */
    bool mirrors = true; /**< Whether what a leader mirrors arrives. */
    std::array<std::size_t, 2> orders{}; /**< Sent by each replica. */
    std::function<order_fate(const send_engine_order &)> fateOfOrder = [](const send_engine_order &) { return order_fate(); };
    std::array<bool, 2> numbersByTerm{}; /**< Whether the replica is of a build that sends its term as the fencing token of each order, and whose terms follow
                                            on one another. */
    std::size_t violations = 0; /**< Joins taken while the head of the engine's other group was open. */
    std::size_t directMoves = 0; /**< Joins taken by an engine that had not left its other group, standbys aside. */

private:
    void step(std::size_t replica, const fleet_pipe_input &in)
    {
        std::deque<order_finished> answers;
        std::deque<group_records_proposed> proposals;
        for (const fleet_pipe_output &each : m_pipes[replica].step(in, now)) {
            if (const auto *order = std::get_if<send_engine_order>(&each)) {
                ++orders[replica];
                if (const std::optional<order_outcome> outcome = deliver(replica, *order)) {
                    answers.push_back({order->order, *outcome});
                }
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

    /** An order that is carried out after a while, whatever has happened to its engine since. */
    struct late_order {
        time_point due;
        send_engine_order order;
        std::optional<std::size_t> answeredTo; /**< The replica, if it gets an answer. */
    };

    log_term termOf(std::size_t replica, std::uint64_t number) const
    {
        return numbersByTerm[replica] ? log_term(m_lastTerm.value() + 1) : log_term(number * termSpacing);
    }

    /** Carries out the order or not, now or later; none is the outcome of an order whose answer is on its way. */
    std::optional<order_outcome> deliver(std::size_t replica, send_engine_order order)
    {
        if (numbersByTerm[replica]) {
            order.fence = fencing_token(m_terms[replica].value());
        }
        const auto found = engines.find(order.backend);
        if (found == engines.end() || !found->second.takesOrders) {
            return order_outcome::Unanswered;
        }
        const order_fate fate = fateOfOrder(order);
        const order_outcome outcome = fate.isCarriedOut ? execute(order) : order_outcome::Unanswered;
        if (fate.lateAfter) {
            m_late.push_back({now + *fate.lateAfter, std::move(order), fate.isAnsweredLate ? std::optional(replica) : std::nullopt});
        }
        if (fate.isAnsweredLate) {
            return std::nullopt;
        }
        return fate.isAnswered ? outcome : order_outcome::Unanswered;
    }

    void carryOutLateOrders()
    {
        std::stable_sort(m_late.begin(), m_late.end(), [](const late_order &one, const late_order &other) { return one.due < other.due; });
        while (!m_late.empty() && m_late.front().due <= now) {
            const late_order next = m_late.front();
            m_late.pop_front();
            const order_outcome outcome = execute(next.order);
            if (next.answeredTo) {
                step(*next.answeredTo, order_finished{next.order.order, outcome});
            }
        }
    }

    /** Judges the rule at the engine: no join of another group while the head of the group that the engine has not left serves. */
    order_outcome execute(const send_engine_order &order)
    {
        simulated_engine &engine = engines.at(order.backend);
        if (engine.wouldChangeGroup(order.what, order.fence)) {
            directMoves += isStandbyEpoch(engine.record.membership.epoch) ? 0 : 1;
            violations += engines.at(engine.members.front()).serves(engine.record.membership.epoch) ? 1 : 0;
        }
        return engine.execute(order.what, order.fence);
    }

    std::deque<late_order> m_late;
    std::array<log_term, 2> m_terms{}; /**< In which each replica led last. */
    log_term m_lastTerm;
    log_term m_precedingTerm;
    std::array<fleet_pipe, 2> m_pipes;
};

} // namespace carawayloft::test_support
