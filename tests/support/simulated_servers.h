#pragma once

#include <carawayloft/fleet/fleet_records.h>

#include "support/service_builder.h"
#include "support/simulated_group.h"

namespace carawayloft::test_support {

/** The heads of the groups of one model, and the calls of gateways that they run. */
class simulated_servers
{
public:
    struct call {
        std::size_t gateway = 0;
        backend_call_id id;
        std::size_t group = 0;
        std::uint64_t events = 0;
    };
    /** A whole event of an answer. */
    struct call_event {
        call from;
        bool last = false;
    };

    simulated_servers(std::size_t groups, const engine_profile &engine, double slowdown, time_point now)
        : m_slowdown(slowdown)
    {
        for (std::size_t i = 0; i < groups; ++i) {
            m_servers.push_back({simulated_group(engine, engine.models.front(), now), makeRecord(i), true});
            m_servers.back().group.setSlowdown(slowdown);
        }
    }

    std::size_t size() const
    {
        return m_servers.size();
    }

    bool isUp(const backend_id &head) const
    {
        return m_servers.at(indexOf(head)).up;
    }

    /** Starts a call; returns false if the head takes no connections. */
    bool start(const backend_id &head, std::size_t gateway, backend_call_id id, simulated_request work)
    {
        const std::size_t group = indexOf(head);
        if (!m_servers.at(group).up) {
            return false;
        }
        work.id = ++m_lastCall;
        m_calls[work.id] = {gateway, id, group, 0};
        m_callIds[{gateway, id}] = work.id;
        m_servers.at(group).group.add(work);
        return true;
    }

    void cancel(std::size_t gateway, backend_call_id id)
    {
        const auto found = m_callIds.find({gateway, id});
        if (found != m_callIds.end()) {
            m_servers.at(m_calls.at(found->second).group).group.cancel(found->second);
            forget(found->second);
        }
    }

    void cancelAll(std::size_t gateway)
    {
        for (const call &each : callsWhere([gateway](const call &of) { return of.gateway == gateway; })) {
            cancel(each.gateway, each.id);
        }
    }

    std::vector<call_event> advance(time_point now)
    {
        std::vector<call_event> out;
        for (server &each : m_servers) {
            if (!each.up) {
                continue;
            }
            for (const simulated_event &event : each.group.advance(now)) {
                call &from = m_calls.at(event.id);
                ++from.events;
                out.push_back({from, event.last});
                if (event.last) {
                    forget(event.id);
                }
            }
        }
        return out;
    }

    void setSlowdown(std::size_t group, double factor)
    {
        m_servers.at(group).group.setSlowdown(m_slowdown * factor);
    }

    /** Ends a head; returns the calls that it ran. */
    std::vector<call> lose(std::size_t group)
    {
        server &lost = m_servers.at(group);
        lost.up = false;
        lost.group.clear();
        std::vector<call> calls = callsWhere([group](const call &of) { return of.group == group; });
        for (const call &each : calls) {
            forget(m_callIds.at({each.gateway, each.id}));
        }
        return calls;
    }

    /** Starts the head again, as that of a new group. */
    void restore(std::size_t group)
    {
        server &back = m_servers.at(group);
        back.up = true;
        ++back.record.startedAt;
        back.record.announcement = 0;
        back.record.membership.epoch = group_epoch(back.record.membership.epoch.value() + m_servers.size());
    }

    /** Announcements of the heads that are up. Their groups are open, so that control adopts them. */
    std::vector<backend_record> announce()
    {
        std::vector<backend_record> out;
        for (server &each : m_servers) {
            if (each.up) {
                ++each.record.announcement;
                out.push_back(each.record);
            }
        }
        return out;
    }

private:
    struct server {
        simulated_group group;
        backend_record record;
        bool up = true;
    };

    static std::size_t indexOf(const backend_id &head)
    {
        return std::stoul(head.value().substr(1));
    }

    static backend_record makeRecord(std::size_t group)
    {
        backend_record head;
        head.backend = backend_id("h" + std::to_string(group));
        head.service = engineService;
        head.address = endpoint("127.0.0.1:" + std::to_string(9'000 + group));
        head.zone = availability_zone_id("mid-a");
        head.fabricDomain = fabric_domain_id("mid-a");
        head.startedAt = 1;
        head.staged = {largeModel};
        head.loaded = largeModel;
        head.membership = {group_epoch(group + 1), 0, membership_state::Open};
        return head;
    }

    template<class Predicate>
    std::vector<call> callsWhere(const Predicate &selects) const
    {
        std::vector<call> out;
        for (const auto &[id, each] : m_calls) {
            if (selects(each)) {
                out.push_back(each);
            }
        }
        return out;
    }

    void forget(std::uint64_t number)
    {
        const call &of = m_calls.at(number);
        m_callIds.erase({of.gateway, of.id});
        m_calls.erase(number);
    }

    double m_slowdown;
    std::vector<server> m_servers;
    std::map<std::uint64_t, call> m_calls;
    std::map<std::pair<std::size_t, backend_call_id>, std::uint64_t> m_callIds;
    std::uint64_t m_lastCall = 0;
};

} // namespace carawayloft::test_support
