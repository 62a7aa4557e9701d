#pragma once

#include <carawayloft/fleet/crash_correlator.h>
#include <carawayloft/gateway/crash_witness.h>

#include <algorithm>
#include <memory>
#include <random>

namespace carawayloft::test_support {

/** What callers send, and what ends servers, in one simulated fleet. */
struct crash_scenario {
    std::uint64_t seed = 1;
    std::size_t servers = 8;
    std::size_t gateways = 3;
    std::size_t sharedParts = 60; /**< The first part of every prompt is one of these; low numbers come more often. */
    std::size_t rareParts = 400; /**< The second part of every other prompt is one of these. */
    double requestsPerSecond = 60.0;
    double deadlyPerSecond = 0.0; /**< Requests with the deadly part. */
    double crashesPerSecond = 0.0; /**< Of single servers, for other reasons. */
    double outagesPerSecond = 0.0; /**< A third of the servers end within 50 ms. */
    duration length{30'000};
};

struct crash_outcomes {
    std::size_t crashesByRequests = 0;
    std::size_t crashes = 0;
    std::size_t crashesUntilFound = 0; /**< By requests, until the deadly part was in force as quarantined. */
    bool found = false;
    std::size_t sentLate = 0; /**< Deadly requests sent later than the contact window after the fifth crash by a request. */
    std::size_t wrong = 0; /**< Other parts quarantined. */
    std::size_t naiveWrong = 0; /**< Other parts that stood in three crashes, whatever servers survived. */
};

/** Gateways before servers that crash, with the reports and grants that control exchanges with the gateways. */
class crash_simulation
{
public:
    explicit crash_simulation(const crash_scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_upAt(scenario.servers, m_now)
        , m_lives(scenario.servers, 0)
        , m_witnesses(scenario.gateways)
    {
    }

    crash_outcomes run()
    {
        const time_point end = m_now + m_scenario.length;
        while (m_now < end) {
            m_now += timeStep;
            arrive(m_scenario.requestsPerSecond, false);
            arrive(m_scenario.deadlyPerSecond, true);
            answer();
            endServers();
            report();
            if (m_now.time_since_epoch() / timeStep % 10 == 0) {
                correlate(crash_tick{});
            }
            agree();
        }
        return m_outcomes;
    }

private:
    static constexpr duration timeStep{10};
    static constexpr duration reportPeriod{250};
    static constexpr duration detection{100};
    static constexpr duration agreementTime{30};
    static constexpr duration downTime{3'000};
    static constexpr std::size_t naiveCrashes = 3;
    static constexpr std::size_t boundedCrashes = 5;
    static constexpr duration contactWindow{3'000};

    struct call {
        std::vector<request_trait> traits;
        std::size_t gateway = 0;
        std::size_t server = 0;
        time_point beginsAt;
        unsigned runs = 1;
        bool deadly = false;
    };

    double draw()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    }

    bool happens(double perSecond)
    {
        return draw() < perSecond * std::chrono::duration<double>(timeStep).count();
    }

    void arrive(double perSecond, bool deadly)
    {
        if (!happens(perSecond)) {
            return;
        }
        call made;
        made.deadly = deadly;
        made.gateway = m_random() % m_scenario.gateways;
        made.traits.emplace_back("request:" + std::to_string(++m_requests));
        const double shared = draw();
        made.traits.emplace_back("part:" + std::to_string(static_cast<std::size_t>(shared * shared * static_cast<double>(m_scenario.sharedParts))));
        if (deadly) {
            made.traits.emplace_back("part:dead");
        } else if (m_random() % 2 == 0) {
            made.traits.emplace_back("part:rare" + std::to_string(m_random() % m_scenario.rareParts));
        }
        send(made);
    }

    void send(call made)
    {
        const auto isQuarantined = [&](const request_trait &each) { return m_inForce.contains({m_service, each}); };
        if (std::any_of(made.traits.begin(), made.traits.end(), isQuarantined)) {
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_upAt.size(); ++i) {
            if (m_now >= m_upAt[i]) {
                up.push_back(i);
            }
        }
        if (!up.empty()) {
            made.server = up[m_random() % up.size()];
            m_outcomes.sentLate += made.deadly && m_outcomes.crashesByRequests >= boundedCrashes && m_now > m_bound ? 1 : 0;
            made.beginsAt = m_now + duration(50 + m_random() % 200);
            m_calls.push_back(std::move(made));
        }
    }

    void answer()
    {
        for (std::size_t i = 0; i < m_calls.size();) {
            if (m_now < m_calls[i].beginsAt) {
                ++i;
                continue;
            }
            const call begun = m_calls[i];
            if (begun.deadly) {
                if (++m_outcomes.crashesByRequests == boundedCrashes) {
                    m_bound = m_now + contactWindow;
                }
                crash(begun.server);
                i = 0;
                continue;
            }
            m_witnesses[begun.gateway].recordSurvival(m_service, begun.traits, m_now);
            m_calls.erase(m_calls.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }

    void endServers()
    {
        if (happens(m_scenario.crashesPerSecond)) {
            crash(m_random() % m_scenario.servers);
        }
        if (happens(m_scenario.outagesPerSecond)) {
            for (std::size_t i = 0; i < m_scenario.servers / 3; ++i) {
                crash(m_random() % m_scenario.servers);
            }
        }
    }

    void crash(std::size_t server)
    {
        if (m_now < m_upAt[server]) {
            return;
        }
        ++m_outcomes.crashes;
        const backend_id id(std::to_string(server) + "-" + std::to_string(m_lives[server]++));
        m_upAt[server] = m_now + downTime;
        std::vector<call> lost;
        std::erase_if(m_calls, [&](const call &each) {
            if (each.server == server) {
                lost.push_back(each);
            }
            return each.server == server;
        });
        std::set<request_trait> naive;
        for (call &each : lost) {
            m_witnesses[each.gateway].recordExposure(id, m_service, each.traits, m_now);
            naive.insert(std::next(each.traits.begin()), each.traits.end());
            if (each.runs == 1 && !m_witnesses[each.gateway].isSuspect(m_service, each.traits, m_now)) {
                each.runs = 2;
                send(each);
            }
        }
        for (const request_trait &each : naive) {
            if (++m_naiveCounts[each] == naiveCrashes && each != m_deadly) {
                ++m_outcomes.naiveWrong;
            }
        }
        m_ends.emplace_back(m_now + detection, id);
    }

    void report()
    {
        while (!m_ends.empty() && m_now >= m_ends.front().first) {
            correlate(backend_crashed{m_ends.front().second});
            m_ends.pop_front();
        }
        for (std::size_t i = 0; i < m_witnesses.size(); ++i) {
            if ((m_now.time_since_epoch() / timeStep + static_cast<std::int64_t>(i)) % (reportPeriod / timeStep) == 0) {
                correlate(crash_evidence{m_witnesses[i].takeExposures(m_now), m_witnesses[i].survivals(m_now)});
                m_witnesses[i].setSuspects(m_correlator.suspects());
            }
        }
    }

    void correlate(const crash_correlator_input &in)
    {
        for (const crash_correlator_output &each : m_correlator.step(in, m_now)) {
            if (const auto *proposed = std::get_if<quarantine_proposed>(&each)) {
                m_agreements.emplace_back(m_now + agreementTime, service_trait{proposed->quarantine.service, proposed->quarantine.trait});
            }
        }
    }

    void agree()
    {
        while (!m_agreements.empty() && m_now >= m_agreements.front().first) {
            const service_trait subject = m_agreements.front().second;
            m_agreements.pop_front();
            m_inForce.insert(subject);
            correlate(quarantine_changed{m_inForce});
            std::erase_if(m_calls, [&](const call &each) { return std::find(each.traits.begin(), each.traits.end(), subject.trait) != each.traits.end(); });
            if (subject.trait == m_deadly) {
                m_outcomes.found = true;
                m_outcomes.crashesUntilFound = m_outcomes.crashesByRequests;
            } else if (subject.trait.value().starts_with("part:")) {
                ++m_outcomes.wrong;
            }
        }
    }

    crash_scenario m_scenario;
    std::mt19937_64 m_random;
    const service_id m_service{"drafting-models"};
    const request_trait m_deadly{"part:dead"};
    time_point m_now{std::chrono::hours(1)};
    time_point m_bound;
    std::vector<time_point> m_upAt;
    std::vector<std::uint64_t> m_lives;
    std::vector<crash_witness> m_witnesses;
    crash_correlator m_correlator;
    std::vector<call> m_calls;
    std::deque<std::pair<time_point, backend_id>> m_ends;
    std::deque<std::pair<time_point, service_trait>> m_agreements;
    std::set<service_trait> m_inForce;
    std::map<request_trait, std::size_t> m_naiveCounts;
    std::uint64_t m_requests = 0;
    crash_outcomes m_outcomes;
};

} // namespace carawayloft::test_support
