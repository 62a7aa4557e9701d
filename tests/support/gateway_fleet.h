#pragma once

#include <carawayloft/fleet/class_demand_sum.h>
#include <carawayloft/gateway/gateway_pipe.h>

#include "support/service_builder.h"
#include "support/simulated_group.h"

#include <algorithm>
#include <optional>
#include <set>

namespace carawayloft::test_support {

/** How callers of a simulated fleet were served. */
struct caller_outcomes {
    std::size_t asked = 0;
    std::size_t onTime = 0; /**< Complete, with the first event and every pause within the objective. */
    std::size_t late = 0;
    std::size_t rejected = 0;

    double onTimeShare() const
    {
        return asked == 0 ? 1.0 : static_cast<double>(onTime) / static_cast<double>(asked);
    }
};

/** Several gateways before simulated groups of one model, with the reports and grants that control exchanges with them. */
class gateway_fleet
{
public:
    gateway_fleet(std::size_t gateways, std::size_t groups, const engine_profile &engine, const model_traffic &traffic)
        : m_engine(engine)
        , m_traffic(traffic)
        , m_callers(traffic, 1, m_now + warmUp)
        , m_groups(groups, simulated_group(engine, engine.models.front(), m_now))
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            m_gateways.push_back({gateway_pipe({availability_zone_id("mid-a"), {0.2, 300.0, duration(10'000), 1.5, 5.0}, i + 1}), {}});
        }
        m_fields = makeFields();
        m_fields.services.front().engine = engine;
        m_fields.routes.front().objective = std::chrono::duration_cast<duration>(traffic.objective);
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            introduce(i);
        }
    }

    /** Lets callers send for @p length, and waits until their requests have ended. */
    caller_outcomes run(duration length)
    {
        const time_point until = m_now + warmUp + length;
        while (m_now < until || !m_open.empty()) {
            m_now += timeStep;
            while (m_callers.nextAt() <= m_now && m_callers.nextAt() < until) {
                sendNewRequest();
            }
            sendReturningRequests();
            advanceGroups();
            tickGateways();
        }
        return m_outcomes;
    }

private:
    static constexpr duration timeStep{1};
    static constexpr duration tickPeriod{20};
    static constexpr duration warmUp{12'000};
    static constexpr duration callTimeout{5'000};

    struct gateway {
        gateway_pipe pipe;
        gateway_report report; /**< Last sent. */
    };
    struct caller_request {
        simulated_request work;
        time_point askedAt; /**< First attempt. */
        time_point lastEventAt;
        bool late = false;
        bool returned = false; /**< After a rejection. */
    };
    struct returning_request {
        time_point at;
        caller_request request;
    };
    struct group_call {
        std::size_t gateway = 0;
        backend_call_id call;
        std::uint64_t events = 0;
    };

    void introduce(std::size_t number)
    {
        step(number,
             configuration_in_force{std::make_shared<const service_configuration>(std::get<service_configuration>(service_configuration::create(m_fields)))});
        step(number, control_message{publish_snapshot{fleet_snapshot{}}});
        publish_fleet view;
        view.snapshot = true;
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            backend_record head;
            head.backend = backend_id("h" + std::to_string(i));
            head.service = engineService;
            head.address = endpoint("127.0.0.1:9000");
            head.zone = availability_zone_id("mid-a");
            view.backends.push_back(head);
            view.groups.push_back({group_epoch(i + 1), engineService, largeModel, group_phase::Open, {head.backend}});
        }
        step(number, control_message{view});
    }

    void sendNewRequest()
    {
        const time_point at = m_callers.nextAt();
        ++m_outcomes.asked;
        send({m_callers.take(), at, at});
    }

    void sendReturningRequests()
    {
        while (!m_returning.empty() && m_returning.front().at <= m_now) {
            caller_request request = m_returning.front().request;
            m_returning.pop_front();
            request.returned = true;
            send(request);
        }
    }

    void send(const caller_request &request)
    {
        m_lastRequest = next(m_lastRequest);
        m_open.emplace(m_lastRequest, request);
        gateway_request out;
        out.request = m_lastRequest;
        out.host = "ledger.example";
        out.path = "/draft/x";
        out.key = knownKey;
        out.timeLimit = std::chrono::ceil<duration>(callTimeout - (m_now - request.askedAt));
        out.model = largeModel;
        out.promptTokens = static_cast<token_count>(request.work.promptTokens);
        out.expectedAnswerTokens = static_cast<token_count>(request.work.answerTokens);
        step(m_random() % m_gateways.size(), out);
    }

    void advanceGroups()
    {
        for (std::size_t i = 0; i < m_groups.size(); ++i) {
            for (const simulated_event &each : m_groups[i].advance(m_now)) {
                relay(each);
            }
        }
    }

    void relay(const simulated_event &event)
    {
        const auto found = m_calls.find(event.id);
        if (found == m_calls.end()) {
            return;
        }
        group_call &call = found->second;
        const auto [number, id] = std::pair(call.gateway, call.call);
        if (++call.events == 1) {
            step(number, backend_answer_started{id, 200, false, false, false, true});
        }
        step(number, backend_bytes_received{id, "id: " + std::to_string(call.events) + "\ndata: x\n\n"});
        if (event.last) {
            m_calls.erase(event.id);
            step(number, backend_answer_finished{id});
        }
    }

    void tickGateways()
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if ((m_now.time_since_epoch() / timeStep + static_cast<std::int64_t>(i)) % (tickPeriod / timeStep) == 0) {
                step(i, request_tick{});
            }
        }
    }

    void step(std::size_t number, const gateway_pipe_input &in)
    {
        for (const gateway_pipe_output &each : m_gateways[number].pipe.step(in, m_now)) {
            std::visit([&](const auto &out) { execute(number, out); }, each);
        }
    }

    void execute(std::size_t number, const call_backend &out)
    {
        const auto group = static_cast<std::size_t>(std::stoul(out.backend.value().substr(1)));
        const std::uint64_t id = ++m_lastCall;
        simulated_request work = m_open.at(out.request).work;
        work.id = id;
        m_calls[id] = {number, out.call};
        m_groups[group].add(work);
    }

    void execute(std::size_t, const continue_answer &out)
    {
        caller_request &request = m_open.at(out.request);
        request.late = request.late || m_now - request.lastEventAt > m_traffic.objective;
        request.lastEventAt = m_now;
    }

    void execute(std::size_t, const finish_answer &out)
    {
        ++(m_open.at(out.request).late ? m_outcomes.late : m_outcomes.onTime);
        m_open.erase(out.request);
    }

    void execute(std::size_t, const reject_request &out)
    {
        const caller_request request = m_open.at(out.request);
        m_open.erase(out.request);
        if (request.returned) {
            ++m_outcomes.rejected;
        } else {
            m_returning.push_back({m_now + out.retryAfter, request});
        }
    }

    void execute(std::size_t, const abort_answer &out)
    {
        ++m_outcomes.late;
        m_open.erase(out.request);
    }

    void execute(std::size_t number, const send_to_control &out)
    {
        const auto *report = std::get_if<gateway_report>(&out.message);
        if (report == nullptr) {
            return;
        }
        m_gateways[number].report = *report;
        gateway_grant grant{report->round, revision(), duration(3'000), static_cast<std::uint32_t>(m_gateways.size()), {}, {}, {}};
        fleet_traffic demand;
        class_demand_sum classes;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (i != number) {
                addLoads(m_gateways[i].report.loads, grant.others);
            }
            for (const model_traffic &each : m_gateways[i].report.modelTraffic) {
                addTraffic(demand, each);
            }
            for (const class_demand &each : m_gateways[i].report.classDemand) {
                classes.add(each);
            }
        }
        grant.classDemand = classes.entries();
        for (const auto &[model, each] : demand) {
            grant.modelTraffic.push_back(each);
        }
        step(number, control_message{grant});
    }

    template<class Output>
    void execute(std::size_t, const Output &)
    {
    }

    static void addLoads(const std::vector<group_load> &loads, std::vector<group_load> &sums)
    {
        for (const group_load &each : loads) {
            const auto found = std::find_if(sums.begin(), sums.end(), [&](const group_load &sum) { return sum.epoch == each.epoch; });
            if (found == sums.end()) {
                sums.push_back(each);
                continue;
            }
            found->running += each.running;
            found->prefillTokens += each.prefillTokens;
            found->tokensPerSecond += each.tokensPerSecond;
            found->progressing = found->progressing || each.progressing;
        }
    }

    engine_profile m_engine;
    model_traffic m_traffic;
    time_point m_now{std::chrono::hours(1)};
    simulated_callers m_callers;
    std::vector<simulated_group> m_groups;
    std::vector<gateway> m_gateways;
    configuration_fields m_fields;
    std::map<request_id, caller_request> m_open;
    std::deque<returning_request> m_returning;
    std::map<std::uint64_t, group_call> m_calls;
    request_id m_lastRequest;
    std::uint64_t m_lastCall = 0;
    std::mt19937_64 m_random{7};
    caller_outcomes m_outcomes;
};

} // namespace carawayloft::test_support
