#pragma once

#include <carawayloft/fleet/class_demand_sum.h>
#include <carawayloft/fleet/fleet_traffic.h>
#include <carawayloft/gateway/admission_control.h>
#include <carawayloft/gateway/class_meter.h>
#include <carawayloft/gateway/traffic_meter.h>

#include "support/service_builder.h"

#include <functional>
#include <numeric>
#include <queue>
#include <random>

namespace carawayloft::test_support {

/** Callers of one rank and account, and what became of their first attempts. */
struct caller_class {
    request_rank rank;
    client_account_id account;
    double requestsPerSecond = 0.0;
    std::optional<std::size_t> onlyGateway{}; /**< All of them use this gateway. */
    bool waits = true; /**< Otherwise they return 100 ms after a rejection, whatever it says. */
    double asked = 0.0;
    double admitted = 0.0;

    double share() const
    {
        return asked == 0.0 ? 1.0 : admitted / asked;
    }
};

/** Requests that returned after a rejection. */
struct returning_callers {
    double asked = 0.0;
    double admitted = 0.0;
};

/** Admission control of several gateways for one model, with the reports and grants that control exchanges with them. */
class admission_fleet
{
public:
    admission_fleet(std::size_t gateways, double capacity, std::vector<caller_class> callers)
        : callers(std::move(callers))
        , capacity(capacity)
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            m_gateways.push_back({admission_control(i + 1), {}, {}, {}, {}});
        }
    }

    /** Lets callers send for @p length; counts nothing before @p warmUp is over. */
    void run(duration length, duration warmUp = duration(4'000))
    {
        const time_point countFrom = m_now + warmUp;
        for (const time_point until = countFrom + length; m_now < until; m_now += duration(1)) {
            m_counts = m_now >= countFrom;
            for (std::size_t i = 0; i < callers.size(); ++i) {
                std::poisson_distribution<int> arrivals(callers[i].requestsPerSecond / 1'000.0);
                for (int n = callers[i].requestsPerSecond > 0.0 ? arrivals(m_random) : 0; n > 0; --n) {
                    ask(i);
                }
            }
            while (!m_returning.empty() && m_returning.top().at <= m_now) {
                const returning_caller caller = m_returning.top();
                m_returning.pop();
                askAgain(caller);
            }
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                if ((m_now.time_since_epoch() / duration(1) + static_cast<std::int64_t>(i) * 7) % 250 == 0) {
                    report(i);
                }
            }
        }
        seconds = std::chrono::duration<double>(length).count();
    }

    /** Admitted requests of both kinds over the capacity. */
    double admittedLoad() const
    {
        const double fresh = std::accumulate(callers.begin(), callers.end(), 0.0, [](double sum, const caller_class &each) { return sum + each.admitted; });
        return (fresh + scheduled.admitted + unscheduled.admitted) / (capacity * seconds);
    }

    std::vector<caller_class> callers;
    double capacity;
    double seconds = 0.0;
    double unservedShare = 0.0; /**< Of the admitted first attempts: no group takes them before their objective. */
    bool controlAnswers = true;
    std::function<double()> grantError = [] { return 1.0; }; /**< Factor on the granted rates. */
    returning_callers scheduled; /**< They were told a time at which there is capacity, and came then. */
    returning_callers unscheduled;

private:
    struct gateway {
        admission_control admission;
        traffic_meter traffic;
        class_meter classes;
        std::vector<model_traffic> reportedTraffic;
        std::vector<class_demand> reportedClasses;
    };
    struct returning_caller {
        time_point at;
        std::size_t caller = 0;
        duration timeLeft{0};
        bool hasSlot = false;

        friend bool operator<(const returning_caller &left, const returning_caller &right)
        {
            return left.at > right.at;
        }
    };

    gateway &gatewayOf(std::size_t caller)
    {
        return m_gateways[callers[caller].onlyGateway.value_or(m_random() % m_gateways.size())];
    }

    admission_decision decide(gateway &at, const admission_request &request)
    {
        if (!at.admission.knowsCapacity(request.model, m_now)) {
            at.admission.step(capacity_assessed{request.model, capacity}, m_now);
        }
        return std::get<admission_decision>(at.admission.step(request, m_now).front());
    }

    void ask(std::size_t caller)
    {
        caller_class &from = callers[caller];
        gateway &at = gatewayOf(caller);
        at.traffic.count(largeModel, 1'000, 100, engine_duration(300), m_now);
        at.classes.count(largeModel, from.rank, from.account, m_now);
        const admission_request request{largeModel, from.rank, from.account, false, timeLimit};
        admission_decision decision = decide(at, request);
        if (decision.admitted && std::bernoulli_distribution(unservedShare)(m_random)) {
            decision = std::get<admission_decision>(at.admission.step(unserved_request{request}, m_now).front());
        }
        from.asked += m_counts ? 1.0 : 0.0;
        from.admitted += m_counts && decision.admitted ? 1.0 : 0.0;
        if (!decision.admitted) {
            const duration after = from.waits ? decision.retryAfter : duration(100);
            m_returning.push({m_now + after, caller, timeLimit - after, from.waits && decision.hasSlot});
        }
    }

    void askAgain(const returning_caller &caller)
    {
        gateway &at = gatewayOf(caller.caller);
        at.traffic.countReturning(largeModel, m_now);
        const caller_class &from = callers[caller.caller];
        const bool admitted = decide(at, {largeModel, from.rank, from.account, true, caller.timeLeft}).admitted;
        returning_callers &counts = caller.hasSlot ? scheduled : unscheduled;
        counts.asked += m_counts ? 1.0 : 0.0;
        counts.admitted += m_counts && admitted ? 1.0 : 0.0;
    }

    void report(std::size_t number)
    {
        gateway &from = m_gateways[number];
        from.reportedTraffic = from.traffic.averages(m_now);
        from.reportedClasses = from.classes.averages(m_now);
        from.admission.step(own_demand_measured{from.reportedTraffic}, m_now);
        if (!controlAnswers) {
            return;
        }
        fleet_traffic traffic;
        class_demand_sum classes;
        for (const gateway &each : m_gateways) {
            for (const model_traffic &part : each.reportedTraffic) {
                addTraffic(traffic, part);
            }
            for (const class_demand &part : each.reportedClasses) {
                classes.add(part);
            }
        }
        demand_granted grant{{}, classes.entries(), static_cast<std::uint32_t>(m_gateways.size())};
        const double factor = grantError();
        for (auto &[model, each] : traffic) {
            each.recentRequestsPerSecond *= factor;
            each.returningPerSecond *= factor;
            grant.traffic.push_back(each);
        }
        from.admission.step(grant, m_now);
    }

    static constexpr duration timeLimit{6'000};

    std::vector<gateway> m_gateways;
    std::priority_queue<returning_caller> m_returning;
    std::mt19937_64 m_random{11};
    time_point m_now{std::chrono::hours(1)};
    bool m_counts = false;
};

} // namespace carawayloft::test_support
