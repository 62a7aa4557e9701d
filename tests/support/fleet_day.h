#pragma once

#include <carawayloft/control/fleet_state.h>
#include <carawayloft/fleet/fleet_pipe.h>

#include "support/service_builder.h"
#include "support/simulated_engine.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>

namespace carawayloft::test_support {

/** What happens on a simulated day. */
struct fleet_day_options {
    std::uint32_t seed = 1;
    double lateOrders = 0.5; /**< Fraction of the orders that get no answer and are carried out 2 to 12 s later. */
    duration crashInterval{2'100}; /**< Time between two losses of a server in each domain. */
    duration leaderFaultInterval{0}; /**< Time between two faults of the leader; zero for none. */
    double lateAnnouncements = 0.0; /**< Fraction that takes up to 3 s. */
    double lostMirrors = 0.0; /**< Fraction of what a leader mirrors that gets lost. */
    duration length{40'000};
};

/**
 * Three control replicas and 27 engines over a day, with the time that messages, joins and commits take. Lost servers
 * come back after a second under a new id at their address; leaders are killed, stand still or are cut off, and are
 * followed. The rules of membership are judged at the engines.
 */
class fleet_day
{
public:
    explicit fleet_day(const fleet_day_options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            renew(i);
            after(tickPeriod, [this, i] { tick(i); });
        }
        for (std::size_t i = 0; i < serverCount; ++i) {
            start(i);
            after(between(0, announcementPeriod.count()), [this, i] { announceRegularly(i); });
        }
        after(duration(50), [this] { lead(0); });
        after(gatewayPeriod, [this] { reportTraffic(); });
        after(calmTime, [this] { loseServers(); });
        if (m_options.leaderFaultInterval.count() > 0) {
            after(calmTime + m_options.leaderFaultInterval, [this] { failLeader(); });
        }
    }

    void run()
    {
        const time_point end = m_now + m_options.length;
        while (m_events.top().at <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            (*next.action)();
        }
    }

    std::size_t violations = 0; /**< Joins taken while the head of the engine's other group was open. */
    std::size_t directMoves = 0; /**< Joins taken by an engine that had not left its other group, standbys aside. */
    std::size_t openings = 0; /**< Heads that began to serve. */
    std::size_t unreadyOpenings = 0; /**< Those of groups with a member that has never been ready in them. */
    std::size_t leaders = 0;

private:
    static constexpr std::size_t serverCount = 27;
    static constexpr std::size_t domainCount = 3;
    static constexpr std::uint64_t firstPort = 10'000;
    static constexpr duration tickPeriod{20};
    static constexpr duration announcementPeriod{1'200};
    static constexpr duration gatewayPeriod{100};
    static constexpr duration calmTime{8'000};
    static constexpr duration orderTimeout{450};
    static constexpr duration probeTimeout{60};

    struct event {
        time_point at;
        std::uint64_t number = 0;
        std::shared_ptr<std::function<void()>> action;

        friend bool operator<(const event &one, const event &other)
        {
            return std::pair(one.at, one.number) > std::pair(other.at, other.number);
        }
    };
    /** One run of a server. */
    struct server_run {
        simulated_engine engine;
        bool isUp = true;
    };
    /** An address at which one server runs after the other. */
    struct host {
        std::shared_ptr<server_run> run;
        std::uint32_t runs = 0;
    };
    struct replica {
        std::unique_ptr<fleet_pipe> pipe;
        log_term term;
        bool isFrozen = false;
        std::vector<fleet_pipe_input> waiting; /**< Inputs that came while it was frozen. */
    };

    // Time and chance.

    void after(duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_eventNumber, std::make_shared<std::function<void()>>(std::move(action))});
    }

    duration between(duration::rep low, duration::rep high)
    {
        return duration(std::uniform_int_distribution<duration::rep>(low, high)(m_random));
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    duration messageDelay()
    {
        return happens(0.1) ? between(1, 40) : between(1, 6);
    }

    // Servers.

    void start(std::size_t index)
    {
        host &each = m_hosts[index];
        const std::vector<model_id> staged = each.run ? each.run->engine.record.staged : std::vector<model_id>();
        each.run = std::make_shared<server_run>();
        simulated_engine &engine = each.run->engine;
        engine.hotJoinTime = duration(200);
        engine.coldJoinTime = duration(1'600);
        engine.openTime = duration(300);
        const std::string domain = "d" + std::to_string(index * domainCount / serverCount);
        engine.record.backend = backend_id("e" + std::to_string(index) + "." + std::to_string(++each.runs));
        engine.record.service = engineService;
        engine.record.address = endpoint("127.0.0.1:" + std::to_string(firstPort + index));
        engine.record.zone = availability_zone_id(domain);
        engine.record.fabricDomain = fabric_domain_id(domain);
        engine.record.startedAt = std::chrono::duration_cast<duration>(m_now.time_since_epoch()).count();
        engine.record.staged = staged;
        m_runs[engine.record.backend] = each.run;
        announce(index);
    }

    void announce(std::size_t index)
    {
        if (!m_hosts[index].run->isUp) {
            return;
        }
        const duration delay = happens(m_options.lateAnnouncements) ? between(50, 3'000) : messageDelay();
        after(delay, [this, record = m_hosts[index].run->engine.announce()] {
            if (m_leader) {
                receive(*m_leader, check_in_received{{record}});
            }
        });
    }

    void announceRegularly(std::size_t index)
    {
        announce(index);
        after(announcementPeriod, [this, index] { announceRegularly(index); });
    }

    /** Announces the new state of the engine, and lets a join or opening that has begun end in time. */
    void handleChange(std::size_t index, const std::shared_ptr<server_run> &run)
    {
        const simulated_engine &engine = run->engine;
        const membership_report &own = engine.record.membership;
        if (own.state == membership_state::Ready) {
            m_wasReady[own.epoch].insert(engine.record.backend);
        } else if (own.state == membership_state::Open) {
            const std::set<backend_id> &ready = m_wasReady[own.epoch];
            const bool isWhole = std::all_of(engine.members.begin(), engine.members.end(), [&](const backend_id &each) { return ready.contains(each); });
            ++openings;
            unreadyOpenings += isWhole ? 0 : 1;
        }
        announce(index);
        advanceLater(index, run);
    }

    void advanceLater(std::size_t index, const std::shared_ptr<server_run> &run)
    {
        if (!run->engine.due()) {
            return;
        }
        after(std::chrono::ceil<duration>(*run->engine.due() - m_now), [this, index, run] {
            if (run->isUp && run->engine.advance(m_now)) {
                handleChange(index, run);
            }
        });
    }

    /** A server of a group in each domain goes down; another one starts at its address a second later. */
    void loseServers()
    {
        for (std::size_t domain = 0; domain < domainCount; ++domain) {
            std::vector<std::size_t> joined;
            for (std::size_t i = domain * serverCount / domainCount; i < (domain + 1) * serverCount / domainCount; ++i) {
                if (m_hosts[i].run->isUp && m_hosts[i].run->engine.members.size() > 1) {
                    joined.push_back(i);
                }
            }
            if (!joined.empty()) {
                const std::size_t lost = joined[std::uniform_int_distribution<std::size_t>(0, joined.size() - 1)(m_random)];
                m_hosts[lost].run->isUp = false;
                after(between(900, 1'100), [this, lost] { start(lost); });
            }
        }
        after(m_options.crashInterval, [this] { loseServers(); });
    }

    // Orders.

    void send(std::size_t from, const send_engine_order &order)
    {
        const auto isAnswered = std::make_shared<bool>(false);
        after(orderTimeout, [this, from, isAnswered, id = order.order] { answer(from, id, order_outcome::Unanswered, isAnswered); });
        after(messageDelay(), [this, from, order, isAnswered] {
            const std::size_t index = hostOf(order.address);
            const std::shared_ptr<server_run> run = m_hosts[index].run;
            if (!run->isUp) {
                return;
            }
            const bool isAddressed = run->engine.record.backend == order.backend;
            if (isAddressed && m_now >= m_start + calmTime && happens(m_options.lateOrders)) {
                after(between(2'000, 12'000), [this, index, run, order] {
                    if (run->isUp) {
                        execute(index, run, order);
                    }
                });
                return;
            }
            const order_outcome outcome = isAddressed ? execute(index, run, order) : order_outcome::WrongBackend;
            after(messageDelay(), [this, from, isAnswered, id = order.order, outcome] { answer(from, id, outcome, isAnswered); });
        });
    }

    void answer(std::size_t to, order_id order, order_outcome outcome, const std::shared_ptr<bool> &isAnswered)
    {
        if (!std::exchange(*isAnswered, true)) {
            receive(to, order_finished{order, outcome});
        }
    }

    order_outcome execute(std::size_t index, const std::shared_ptr<server_run> &run, const send_engine_order &order)
    {
        simulated_engine &engine = run->engine;
        if (engine.advance(m_now)) {
            handleChange(index, run);
        }
        if (engine.wouldChangeGroup(order.what, order.fence)) {
            judgeMove(engine);
        }
        const membership_report before = engine.record.membership;
        const order_outcome outcome = engine.execute(order.what, order.fence, m_now);
        engine.record.membership == before ? advanceLater(index, run) : handleChange(index, run);
        return outcome;
    }

    void judgeMove(const simulated_engine &engine)
    {
        const group_epoch epoch = engine.record.membership.epoch;
        directMoves += isStandbyEpoch(epoch) ? 0 : 1;
        const auto head = m_runs.find(engine.members.front());
        const bool serves = head != m_runs.end() && head->second->isUp && head->second->engine.serves(epoch);
        violations += serves ? 1 : 0;
    }

    static std::size_t hostOf(const endpoint &address)
    {
        return std::stoul(address.value().substr(address.value().find(':') + 1)) - firstPort;
    }

    // Control.

    void renew(std::size_t index)
    {
        m_replicas[index].pipe = std::make_unique<fleet_pipe>();
        step(index, services_changed{{{engineService, 500, 0.0, makeEngine(4, 3)}}});
        step(index, recordedGroups());
    }

    void tick(std::size_t index)
    {
        if (!m_replicas[index].isFrozen) {
            step(index, fleet_tick{});
        }
        after(tickPeriod, [this, index] { tick(index); });
    }

    void receive(std::size_t index, const fleet_pipe_input &in)
    {
        if (m_replicas[index].isFrozen) {
            m_replicas[index].waiting.push_back(in);
        } else {
            step(index, in);
        }
    }

    void step(std::size_t index, const fleet_pipe_input &in)
    {
        for (const fleet_pipe_output &each : m_replicas[index].pipe->step(in, m_now)) {
            if (const auto *order = std::get_if<send_engine_order>(&each)) {
                send(index, *order);
            } else if (const auto *mirrored = std::get_if<mirror_fleet>(&each)) {
                mirror(index, mirrored->publication);
            } else if (const auto *proposal = std::get_if<group_records_proposed>(&each)) {
                propose(index, *proposal);
            } else if (const auto *probe = std::get_if<probe_backend>(&each)) {
                const bool isReachable = m_hosts[hostOf(probe->address)].run->isUp;
                after(isReachable ? messageDelay() : probeTimeout, [this, index, id = probe->probe, isReachable] {
                    receive(index, probe_finished{id, isReachable});
                });
            }
        }
    }

    void mirror(std::size_t from, const publish_fleet &publication)
    {
        for (std::size_t to = 0; to < m_replicas.size(); ++to) {
            if (to == from || happens(m_options.lostMirrors)) {
                continue;
            }
            time_point &arrival = m_mirrored[{from, to}];
            arrival = std::max(arrival, m_now + messageDelay()); // In their order.
            after(std::chrono::ceil<duration>(arrival - m_now), [this, to, publication] { receive(to, fleet_mirrored{publication}); });
        }
    }

    /** The proposal is committed if the replica still leads a moment later and reaches the others. */
    void propose(std::size_t from, const group_records_proposed &proposal)
    {
        record_engine_groups change{proposal.formed, {}};
        for (const group_epoch &each : proposal.retired) {
            change.retired.push_back({each});
        }
        after(messageDelay() + duration(4), [this, from, change, term = m_replicas[from].term] {
            if (m_leader == from && m_replicas[from].term == term && !m_isLeaderCut) {
                m_log.apply(fleet_command{{}, "group control", {}, change}, revision(m_log.at().value() + 1));
                for (std::size_t i = 0; i < m_replicas.size(); ++i) {
                    after(i == from ? duration(0) : messageDelay(), [this, i] { receive(i, recordedGroups()); });
                }
            }
        });
    }

    engine_groups_changed recordedGroups() const
    {
        engine_groups_changed changed;
        for (const auto &[epoch, record] : m_log.engineGroups()) {
            changed.groups.push_back(record);
        }
        return changed;
    }

    void lead(std::size_t index)
    {
        const log_term preceding = m_term;
        m_term = log_term(m_term.value() + termSpacing);
        m_replicas[index].term = m_term;
        m_leader = index;
        ++leaders;
        step(index, recordedGroups());
        step(index, leader_lease_changed{true});
        step(index, leadership_changed{true, m_term, preceding});
    }

    std::size_t otherThan(std::size_t index)
    {
        return (index + 1 + (happens(0.5) ? 1 : 0)) % m_replicas.size();
    }

    void failLeader()
    {
        after(m_options.leaderFaultInterval + between(0, 2'000), [this] { failLeader(); });
        if (!m_leader || m_replicas[*m_leader].isFrozen || m_isLeaderCut) {
            return;
        }
        const std::size_t leader = *m_leader;
        switch (between(0, 3).count()) {
        case 0:
            killLeader(leader);
            break;
        case 1:
            freezeLeader(leader);
            break;
        case 2:
            stallLeader(leader);
            break;
        default:
            cutLeader(leader);
            break;
        }
    }

    /** It forgets everything, and gets the records of its successor. */
    void killLeader(std::size_t leader)
    {
        m_leader.reset();
        m_replicas[leader].isFrozen = true;
        after(between(300, 1'500), [this, successor = otherThan(leader)] { lead(successor); });
        after(between(1'600, 2'000), [this, leader] {
            m_replicas[leader].isFrozen = false;
            m_replicas[leader].waiting.clear();
            renew(leader);
            receive(leader, fleet_mirrored{m_replicas[*m_leader].pipe->snapshot(m_now)});
        });
    }

    /** It stands still until another one leads, and handles then what has come meanwhile. */
    void freezeLeader(std::size_t leader)
    {
        m_leader.reset();
        m_replicas[leader].isFrozen = true;
        after(between(700, 1'800), [this, successor = otherThan(leader)] { lead(successor); });
        after(between(1'900, 3'000), [this, leader] {
            step(leader, leader_lease_changed{false});
            thaw(leader);
            stepDown(leader);
        });
    }

    /** It stands still and leads on; its lease may have ended meanwhile. */
    void stallLeader(std::size_t leader)
    {
        m_replicas[leader].isFrozen = true;
        after(between(20, 1'500), [this, leader, losesLease = happens(0.5)] {
            step(leader, leader_lease_changed{!losesLease});
            thaw(leader);
            after(between(5, 100), [this, leader] { step(leader, leader_lease_changed{true}); });
        });
    }

    /** It goes on until its lease ends, and commits nothing; another one or itself leads then. */
    void cutLeader(std::size_t leader)
    {
        m_isLeaderCut = true;
        after(between(50, 400), [this, leader] { step(leader, leader_lease_changed{false}); });
        after(between(500, 1'100), [this, leader] {
            m_isLeaderCut = false;
            stepDown(leader);
            lead(happens(0.3) ? leader : otherThan(leader));
        });
    }

    void thaw(std::size_t index)
    {
        m_replicas[index].isFrozen = false;
        for (const fleet_pipe_input &each : std::exchange(m_replicas[index].waiting, {})) {
            step(index, each);
        }
    }

    void stepDown(std::size_t index)
    {
        step(index, leadership_changed{false, m_replicas[index].term});
        step(index, recordedGroups());
    }

    /** A gateway reports the traffic, which moves from one model to the other and back, and the servers that are down. */
    void reportTraffic()
    {
        after(gatewayPeriod, [this] { reportTraffic(); });
        if (!m_leader) {
            return;
        }
        const bool isLargeWanted = (m_now - m_start) / std::chrono::seconds(8) % 2 == 0;
        gateway_report report;
        report.round = ++m_round;
        for (const auto &[model, rate] : {std::pair(largeModel, isLargeWanted ? 90.0 : 30.0), std::pair(smallModel, isLargeWanted ? 40.0 : 150.0)}) {
            report.modelTraffic.push_back({model, rate, 1'000.0, 160.0, engine_duration(250), rate});
        }
        for (const engine_group &group : m_replicas[*m_leader].pipe->controller().groups()) {
            group_load load;
            load.epoch = group.epoch;
            load.running = m_now >= m_start + calmTime ? 5 : 0;
            for (const backend_id &member : group.members) {
                if (!m_runs.at(member)->isUp) {
                    report.unreachable.push_back(member);
                }
            }
            load.progressing = report.unreachable.empty();
            report.loads.push_back(load);
        }
        after(messageDelay(), [this, report, leader = *m_leader] { receive(leader, gateway_reported{link_id(1), report, revision(), {}}); });
    }

    const time_point m_start{std::chrono::hours(1)};
    const fleet_day_options m_options;
    std::mt19937 m_random;
    time_point m_now = m_start;
    std::priority_queue<event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::array<host, serverCount> m_hosts;
    std::map<backend_id, std::shared_ptr<server_run>> m_runs;
    std::map<group_epoch, std::set<backend_id>> m_wasReady;
    std::array<replica, 3> m_replicas;
    std::optional<std::size_t> m_leader;
    bool m_isLeaderCut = false;
    log_term m_term{1};
    fleet_state m_log;
    std::map<std::pair<std::size_t, std::size_t>, time_point> m_mirrored; /**< Last arrival, by sender and receiver. */
    std::uint64_t m_round = 0;
};

} // namespace carawayloft::test_support
