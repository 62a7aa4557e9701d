#pragma once

#include "support/caller_population.h"
#include "support/fleet_event.h"
#include "support/load_configuration.h"
#include "support/request_log.h"
#include "support/simulated_control.h"
#include "support/simulated_gateway.h"
#include "support/simulated_servers.h"

namespace carawayloft::test_support {

struct gateway_fleet_options {
    std::size_t gateways = 1;
    std::size_t groups = 1;
    engine_profile engine{}; /**< As published; only its first model is used. */
    double slowdown = 1.0; /**< Real time of every iteration over that by the published figures. */
    caller_load load{};
    duration controlDelay{50}; /**< Of each message to or from control. */
    duration warmUp{4'000}; /**< Before the first request. */
    std::uint64_t seed = 1;
    std::vector<timed_event> events{}; /**< In the order of their times. */
};

/** Several gateways before simulated groups of one model, led by the control replica's own pipe. */
class gateway_fleet
{
public:
    explicit gateway_fleet(const gateway_fleet_options &options)
        : m_options(withOneModel(options))
        , m_beginAt(m_now + options.warmUp)
        , m_configuration(std::make_shared<const service_configuration>(
              std::get<service_configuration>(service_configuration::create(makeConfiguration(m_options.load, m_options.engine)))))
        , m_callers(m_options.load, options.gateways, options.seed, m_beginAt)
        , m_servers(options.groups, m_options.engine, options.slowdown, m_now)
        , m_control(m_configuration->services(), options.controlDelay, m_now)
    {
        for (std::size_t i = 0; i < options.gateways; ++i) {
            m_gateways.push_back(makeGateway());
            introduce(i);
        }
    }

    gateway_fleet(std::size_t gateways, std::size_t groups, const engine_profile &engine, const model_traffic &traffic)
        : gateway_fleet(makeOptions(gateways, groups, engine, traffic))
    {
    }

    /** Lets callers send for @p length, and waits until their requests have ended. */
    caller_outcomes run(duration length)
    {
        const time_point until = m_beginAt + length;
        while (m_now < until || (!(m_open.empty() && m_returning.empty()) && m_now < until + maxDrainTime)) {
            m_now += timeStep;
            applyEvents();
            sendNewRequests(until);
            sendReturningRequests();
            relayAnswers();
            deliverFailures();
            advanceControl();
            tickGateways();
        }
        return m_log.outcomes();
    }

    const request_log &log() const
    {
        return m_log;
    }
    const simulated_control &control() const
    {
        return m_control;
    }

    /** Time since the first request. */
    duration elapsedAt(time_point at) const
    {
        return std::chrono::duration_cast<duration>(at - m_beginAt);
    }

private:
    static constexpr duration timeStep{1};
    static constexpr duration tickPeriod{20};
    static constexpr duration announcementPeriod{1'200};
    static constexpr duration maxDrainTime{10'000};

    /** Time to connect again after a rejection. */
    static constexpr duration reconnectTime{20};

    /** Callers wait for Retry-After for at most the remaining time over this. */
    static constexpr int waitDivisor = 3;

    struct open_request {
        caller_population::request call{};
        std::size_t number = 0; /**< In the log. */
        std::size_t gateway = 0;
        time_point lastEventAt{};
        bool begun = false;
    };
    struct gateway_input {
        std::size_t gateway = 0;
        gateway_pipe_input in;
    };

    static gateway_fleet_options withOneModel(gateway_fleet_options options)
    {
        // With a second model, control would plan groups for it and close some of these.
        options.engine.models.resize(1);
        return options;
    }

    static gateway_fleet_options makeOptions(std::size_t gateways, std::size_t groups, const engine_profile &engine, const model_traffic &traffic)
    {
        gateway_fleet_options options{gateways, groups, engine};
        options.load = {constant_rate{traffic.requestsPerSecond}, traffic.promptTokens, traffic.answerTokens};
        options.load.routes.front().objective = std::chrono::duration_cast<duration>(traffic.objective);
        options.load.routes.front().longestPause = options.load.routes.front().objective;
        options.warmUp = duration(12'000);
        options.controlDelay = duration(0);
        return options;
    }

    const simulated_route &routeOf(const open_request &request) const
    {
        return m_options.load.routes.at(request.call.route);
    }

    // Gateways and control.

    simulated_gateway makeGateway()
    {
        m_lastLink = next(m_lastLink);
        return {gateway_pipe(makeGatewayOptions(m_lastLink.value())), m_lastLink};
    }

    void introduce(std::size_t number)
    {
        step(number, configuration_in_force{m_configuration});
        step(number, control_message{publish_snapshot{fleet_snapshot{}}});
    }

    void tickGateways()
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if ((m_now.time_since_epoch() / timeStep + static_cast<std::int64_t>(i)) % (tickPeriod / timeStep) == 0) {
                step(i, request_tick{});
            }
        }
    }

    void advanceControl()
    {
        if (m_now >= m_nextAnnouncementAt) {
            m_nextAnnouncementAt = m_now + announcementPeriod;
            m_control.announce(m_servers.announce(), m_now);
        }
        m_control.advance(
            m_now, [this](const backend_id &head) { return m_servers.isUp(head); }, [this](const simulated_control::to_gateway &out) { deliver(out); });
    }

    void deliver(const simulated_control::to_gateway &out)
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (m_gateways[i].link == out.gateway) {
                step(i, out.message);
            }
        }
    }

    void step(std::size_t number, const gateway_pipe_input &in)
    {
        for (const gateway_pipe_output &each : m_gateways[number].pipe.step(in, m_now)) {
            std::visit([&](const auto &out) { execute(number, out); }, each);
        }
    }

    // Events of the run.

    void applyEvents()
    {
        while (m_nextEvent < m_options.events.size() && m_now >= m_beginAt + m_options.events[m_nextEvent].at) {
            std::visit([this](const auto &each) { apply(each); }, m_options.events[m_nextEvent++].what);
        }
    }

    void apply(const group_ends &event)
    {
        for (const simulated_servers::call &each : m_servers.lose(event.group)) {
            m_failures.push_back({each.gateway, backend_call_failed{each.id, false, "connection closed", true}});
        }
    }

    void apply(const group_returns &event)
    {
        m_servers.restore(event.group);
        m_nextAnnouncementAt = m_now;
    }

    void apply(const group_slows &event)
    {
        m_servers.setSlowdown(event.group, event.factor);
    }

    void apply(const control_falls_silent &event)
    {
        m_control.silence(m_now + event.length);
    }

    void apply(const gateway_restarts &event)
    {
        m_servers.cancelAll(event.gateway);
        std::erase_if(m_failures, [&](const gateway_input &each) { return each.gateway == event.gateway; });
        std::erase_if(m_open, [&](const auto &each) {
            const bool lost = each.second.gateway == event.gateway;
            if (lost) {
                m_log.at(each.second.number).outcome = request_outcome::Failed;
            }
            return lost;
        });
        m_control.disconnect(m_gateways[event.gateway].link, m_now);
        m_gateways[event.gateway] = makeGateway();
        introduce(event.gateway);
    }

    // Callers.

    void sendNewRequests(time_point until)
    {
        while (m_callers.nextAt() <= m_now && m_callers.nextAt() < until) {
            open_request request{m_callers.take()};
            request.gateway = request.call.gateway;
            request.lastEventAt = request.call.at;
            request_record record{elapsedAt(request.call.at), request.call.route, request.call.account, request.call.gateway};
            record.promptTokens = request.call.work.promptTokens;
            request.number = m_log.add(record);
            send(request);
        }
    }

    void sendReturningRequests()
    {
        while (!m_returning.empty() && m_returning.begin()->first <= m_now) {
            open_request request = m_returning.begin()->second;
            m_returning.erase(m_returning.begin());
            request.gateway = m_callers.drawGateway();
            send(request);
        }
    }

    void send(const open_request &request)
    {
        m_lastRequest = next(m_lastRequest);
        m_open.emplace(m_lastRequest, request);
        gateway_request out;
        out.request = m_lastRequest;
        out.host = "ledger.example";
        out.path = pathOf(routeOf(request)) + "x";
        out.key = keyOf(m_options.load.accounts.at(request.call.account));
        out.timeLimit = std::chrono::ceil<duration>(routeOf(request).timeLimit - (m_now - request.call.at));
        out.model = largeModel;
        out.promptTokens = static_cast<token_count>(request.call.work.promptTokens);
        out.expectedAnswerTokens = static_cast<token_count>(request.call.work.answerTokens);
        step(request.gateway, out);
    }

    void end(request_id request, request_outcome outcome)
    {
        const auto found = m_open.find(request);
        m_log.at(found->second.number).outcome = outcome;
        m_open.erase(found);
    }

    /** Lets the caller come back after a rejection of its first attempt, if it has any time left. */
    void returnLater(open_request request, duration retryAfter)
    {
        const duration left = std::chrono::floor<duration>(routeOf(request).timeLimit - (m_now - request.call.at));
        const duration patience = left / waitDivisor;
        const duration wait = request.call.ignoresRetryAfter ? reconnectTime : std::clamp(retryAfter, reconnectTime, std::max(patience, reconnectTime));
        request_record &record = m_log.at(request.number);
        if (wait >= left) {
            record.outcome = request_outcome::Rejected;
            return;
        }
        record.returned = true;
        record.returnedAsNamed = !request.call.ignoresRetryAfter && retryAfter.count() > 0 && retryAfter <= patience;
        m_returning.emplace(m_now + wait, request);
    }

    // Calls to groups.

    void relayAnswers()
    {
        for (const simulated_servers::call_event &each : m_servers.advance(m_now)) {
            const auto &[gateway, id, group, events] = each.from;
            if (events == 1) {
                step(gateway, backend_answer_started{id, 200, false, false, false, true});
            }
            step(gateway, backend_bytes_received{id, "id: " + std::to_string(events) + "\ndata: x\n\n"});
            if (each.last) {
                step(gateway, backend_answer_finished{id});
            }
        }
    }

    void deliverFailures()
    {
        for (const gateway_input &each : std::exchange(m_failures, {})) {
            step(each.gateway, each.in);
        }
    }

    // Outputs of gateways.

    void execute(std::size_t number, const call_backend &out)
    {
        const open_request &request = m_open.at(out.request);
        request_record &record = m_log.at(request.number);
        record.returnAdmitted = record.returned;
        if (!m_servers.start(out.backend, number, out.call, request.call.work)) {
            m_failures.push_back({number, backend_call_failed{out.call, true, "connection refused", false}});
        }
    }

    void execute(std::size_t number, const cancel_call &out)
    {
        m_servers.cancel(number, out.call);
    }

    void execute(std::size_t number, const probe_backend &out)
    {
        m_failures.push_back({number, probe_finished{out.probe, m_servers.isUp(out.backend)}});
    }

    void execute(std::size_t, const continue_answer &out)
    {
        open_request &request = m_open.at(out.request);
        const duration limit = request.begun ? routeOf(request).longestPause : routeOf(request).objective;
        request_record &record = m_log.at(request.number);
        record.late = record.late || m_now - request.lastEventAt > limit;
        request.begun = true;
        request.lastEventAt = m_now;
    }

    void execute(std::size_t, const finish_answer &out)
    {
        end(out.request, m_log.at(m_open.at(out.request).number).late ? request_outcome::Late : request_outcome::OnTime);
    }

    void execute(std::size_t, const reject_request &out)
    {
        const open_request request = m_open.at(out.request);
        if (out.outcome != run_outcome::DidNotRun) {
            end(out.request, request_outcome::Failed);
            return;
        }
        const bool first = !m_log.at(request.number).returned;
        end(out.request, request_outcome::Rejected);
        if (first) {
            m_log.at(request.number).rejectedFirst = true;
            returnLater(request, out.retryAfter);
        }
    }

    void execute(std::size_t, const abort_answer &out)
    {
        end(out.request, request_outcome::Failed);
    }

    void execute(std::size_t number, const send_to_control &out)
    {
        if (const auto *report = std::get_if<gateway_report>(&out.message)) {
            m_control.report(m_gateways[number].link, *report, m_now);
        }
    }

    template<class Output>
    void execute(std::size_t, const Output &)
    {
    }

    gateway_fleet_options m_options;
    time_point m_now{std::chrono::hours(1)};
    time_point m_beginAt;
    std::shared_ptr<const service_configuration> m_configuration;
    caller_population m_callers;
    simulated_servers m_servers;
    simulated_control m_control;
    std::vector<simulated_gateway> m_gateways;
    std::map<request_id, open_request> m_open;
    std::multimap<time_point, open_request> m_returning;
    std::vector<gateway_input> m_failures; /**< What gateways learn of calls and probes in the next step. */
    std::size_t m_nextEvent = 0;
    time_point m_nextAnnouncementAt;
    request_id m_lastRequest;
    link_id m_lastLink;
    request_log m_log;
};

} // namespace carawayloft::test_support
