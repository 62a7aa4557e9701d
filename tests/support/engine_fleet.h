#pragma once

#include <carawayloft/fleet/group_controller.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace carawayloft::test_support {

/** An engine that executes orders at once, staging aside. */
struct fake_engine_state {
    backend_record record;
    std::vector<backend_id> members; /**< Of its group. */
    group_epoch highestEpoch;
    bool alive = true;
    bool reportsToControl = true;
    bool takesOrders = true; /**< From control. */
    std::optional<model_id> staging; /**< Loads to its host until stagedAt. */
    time_point stagedAt;
};

/** A group controller with its registry and a fleet of engines. Checks the invariants of membership at every order. */
class engine_fleet
{
public:
    engine_fleet(std::size_t domains, std::size_t enginesPerDomain, engine_profile engine = makeEngine())
        : m_services{{engineService, 500, 0.0, std::move(engine)}}
    {
        for (std::size_t domain = 0; domain < domains; ++domain) {
            for (std::size_t i = 0; i < enginesPerDomain; ++i) {
                add("d" + std::to_string(domain));
            }
        }
    }

    backend_id add(const std::string &domain)
    {
        const backend_id id("e" + std::to_string(++m_added));
        fake_engine_state engine;
        engine.record.backend = id;
        engine.record.service = engineService;
        engine.record.address = endpoint("127.0.0.1:" + std::to_string(10'000 + m_added));
        engine.record.zone = availability_zone_id(domain);
        engine.record.fabricDomain = fabric_domain_id(domain);
        engine.record.startedAt = static_cast<std::int64_t>(m_added);
        engines[id] = engine;
        return id;
    }

    void lead(std::uint64_t term, std::vector<engine_group> inherited = {})
    {
        std::vector<backend_id> known;
        for (const auto &[id, entry] : registry.entries()) {
            known.push_back(id);
        }
        run(group_control_began{log_term(term), {}, std::move(inherited), records(), std::move(known)});
    }

    /** Lets every reachable engine report, then the controller reconcile and the engines execute its orders, @p times times. */
    void settle(int times = 20, duration step = duration(200))
    {
        for (int i = 0; i < times; ++i) {
            now += step;
            report();
            reconcile();
        }
    }

    void report()
    {
        for (auto &[id, engine] : engines) {
            if (engine.staging && now >= engine.stagedAt) {
                engine.record.staged = {*std::exchange(engine.staging, std::nullopt)};
            }
            if (engine.alive && engine.reportsToControl) {
                ++engine.record.announcement;
                registry.step(backend_check_in{engine.record}, now);
            }
        }
    }

    void reconcile()
    {
        run(reconcile_groups{{registry, m_services, zonesOut, trafficStarted, demand, demand.empty() ? 0.0 : 1.0}});
    }

    /** Cuts the engine off from control; it goes on. Control counts it as lost, and by @p confirmed as ended. */
    void cutOff(const backend_id &id, bool confirmed)
    {
        engines.at(id).reportsToControl = false;
        engines.at(id).takesOrders = false;
        registry.step(backend_failure{id, confirmed}, now);
    }

    void reconnect(const backend_id &id)
    {
        engines.at(id).reportsToControl = true;
        engines.at(id).takesOrders = true;
    }

    /** Lets one engine execute and answer its order to leave; returns false if there is none. */
    bool answerLeave()
    {
        if (m_delayed.empty()) {
            return false;
        }
        const engine_order_requested order = m_delayed.front();
        m_delayed.pop_front();
        execute(engines.at(order.backend), std::get<leave_group>(order.what));
        controller.step(order_finished{order.order, order_outcome::Done}, now);
        reconcile();
        return true;
    }

    bool hasDelayedLeaves() const
    {
        return !m_delayed.empty();
    }

    void lose(const backend_id &id, bool confirmed = true)
    {
        engines.at(id).alive = false;
        registry.step(backend_failure{id, confirmed}, now);
    }

    std::vector<engine_group> open(const model_id &model) const
    {
        std::vector<engine_group> groups;
        for (const engine_group &each : controller.groups()) {
            if (each.phase == group_phase::Open && each.model == model) {
                groups.push_back(each);
            }
        }
        return groups;
    }

    std::map<backend_id, fake_engine_state> engines;
    backend_registry registry;
    group_controller controller;
    std::set<availability_zone_id> zonesOut;
    fleet_traffic demand; /**< Of callers; empty if unknown. */
    time_point now{std::chrono::hours(1)};
    bool delaysLeaves = false; /**< Answers to orders to leave wait for answerLeave(). */
    std::set<backend_id> unanswering; /**< Engines that execute orders, but whose answers are lost. */
    bool trafficStarted = true; /**< Whether callers may have sent requests. */
    duration stagingTime{0}; /**< To load a model to a host. */
    std::map<group_epoch, engine_group_record> recorded; /**< In the replicated log. */
    std::size_t orders = 0;
    std::map<model_id, model_assessed> assessed; /**< Last report of each model. */

private:
    void run(const group_controller_input &in)
    {
        for (const group_controller_output &each : controller.step(in, now)) {
            if (const auto *order = std::get_if<engine_order_requested>(&each)) {
                ++orders;
                deliver(*order);
            } else if (const auto *report = std::get_if<model_assessed>(&each)) {
                assessed[report->model] = *report;
            } else if (const auto *proposal = std::get_if<group_records_proposed>(&each)) {
                commit(*proposal);
            }
        }
    }

    void commit(const group_records_proposed &proposal)
    {
        for (const group_epoch &each : proposal.retired) {
            recorded.erase(each);
        }
        for (const engine_group_record &each : proposal.formed) {
            recorded.emplace(each.epoch, each);
        }
        run(groups_recorded{records()});
        reconcile();
    }

    std::vector<engine_group_record> records() const
    {
        std::vector<engine_group_record> all;
        for (const auto &[epoch, record] : recorded) {
            all.push_back(record);
        }
        return all;
    }

    void deliver(const engine_order_requested &order)
    {
        fake_engine_state &engine = engines.at(order.backend);
        if (!engine.alive || !engine.takesOrders) {
            return;
        }
        if (delaysLeaves && std::holds_alternative<leave_group>(order.what)) {
            m_delayed.push_back(order);
            return;
        }
        const order_outcome outcome = std::visit([&](const auto &what) { return execute(engine, what); }, order.what);
        if (!unanswering.contains(order.backend)) {
            run(order_finished{order.order, outcome});
            reconcile(); // As the fleet pipe does.
        }
    }

    order_outcome execute(fake_engine_state &engine, const join_group &order)
    {
        if (order.epoch < engine.highestEpoch) {
            return order_outcome::Fenced;
        }
        if (engine.record.membership.epoch == order.epoch) {
            return order_outcome::Done;
        }
        checkMayJoin(engine);
        engine.highestEpoch = order.epoch;
        engine.members = order.members;
        const auto place = std::find(order.members.begin(), order.members.end(), engine.record.backend);
        engine.record.membership = {order.epoch, static_cast<std::uint32_t>(place - order.members.begin()), membership_state::Ready};
        engine.record.loaded = order.model;
        engine.record.staged = {order.model};
        return order_outcome::Begun;
    }

    order_outcome execute(fake_engine_state &engine, const stage_model &order)
    {
        engine.staging = order.model;
        engine.stagedAt = now + stagingTime;
        return order_outcome::Begun;
    }

    /** Checks that an engine joins another group only when the head of its old one does not serve. */
    void checkMayJoin(const fake_engine_state &engine)
    {
        if (engine.members.empty()) {
            return;
        }
        const fake_engine_state &head = engines.at(engine.members.front());
        const bool serves = head.alive && head.record.membership.epoch == engine.record.membership.epoch
                            && (head.record.membership.state == membership_state::Open || head.record.membership.state == membership_state::Closing);
        EXPECT_FALSE(serves) << engine.record.backend.value() << " joins elsewhere while its head serves";
    }

    order_outcome execute(fake_engine_state &engine, const open_group &order)
    {
        membership_report &own = engine.record.membership;
        if (own.epoch != order.epoch || own.rank != 0) {
            return order_outcome::Conflict;
        }
        for (const backend_id &member : engine.members) {
            EXPECT_EQ(engines.at(member).record.membership.epoch, order.epoch) << "opened before all members were ready";
        }
        own.state = membership_state::Open;
        return order_outcome::Begun;
    }

    order_outcome execute(fake_engine_state &engine, const close_group &order)
    {
        membership_report &own = engine.record.membership;
        if (own.epoch != order.epoch) {
            return order_outcome::Conflict;
        }
        own.state = membership_state::Ready;
        return order_outcome::Done;
    }

    order_outcome execute(fake_engine_state &engine, const leave_group &order)
    {
        if (engine.record.membership.epoch == order.epoch) {
            engine.record.membership = {};
            engine.members.clear();
        }
        return order_outcome::Done;
    }

    std::vector<service_settings> m_services;
    std::deque<engine_order_requested> m_delayed;
    std::size_t m_added = 0;
};

} // namespace carawayloft::test_support
