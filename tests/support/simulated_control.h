#pragma once

#include <carawayloft/fleet/fleet_pipe.h>
#include <carawayloft/messages/control_traffic.h>

#include "support/delayed_messages.h"

#include <functional>

namespace carawayloft::test_support {

/**
 * The leading control replica of a simulated fleet: a fleet_pipe and its links to the gateways. Its orders to engines
 * are ignored; which groups are open follows from the announcements alone.
 */
class simulated_control
{
public:
    struct to_gateway {
        link_id gateway;
        control_message message;
    };
    struct assessment {
        time_point at;
        model_assessed of;
    };

    simulated_control(const std::vector<service_settings> &services, duration delay, time_point now)
        : m_toControl(delay)
        , m_toGateways(delay)
    {
        step(leader_lease_changed{true}, now);
        step(leadership_changed{true, log_term(1)}, now);
        step(services_changed{services}, now);
    }

    void announce(const std::vector<backend_record> &records, time_point now)
    {
        for (const backend_record &each : records) {
            step(check_in_received{{each}}, now);
        }
    }

    void report(link_id gateway, const gateway_report &report, time_point now)
    {
        m_toControl.send({gateway, report, revision(), {}}, now);
    }

    void disconnect(link_id gateway, time_point now)
    {
        step(gateway_lost{gateway}, now);
    }

    /** Loses the reports and grants that arrive before @p until. Publications pass, as on a connection that is made again. */
    void silence(time_point until)
    {
        m_silentUntil = until;
    }

    /** Handles what has arrived by @p now; @p isUp tells whether a server takes connections, @p deliver gets the messages to gateways. */
    void advance(time_point now, const std::function<bool(const backend_id &)> &isUp, const std::function<void(const to_gateway &)> &deliver)
    {
        m_toControl.deliver(now, [&](const gateway_reported &each) {
            if (now >= m_silentUntil) {
                step(each, now);
            }
        });
        if (now >= m_nextTickAt) {
            m_nextTickAt = now + tickPeriod;
            step(fleet_tick{}, now);
        }
        for (const probe_backend &each : std::exchange(m_probes, {})) {
            step(probe_finished{each.probe, isUp(each.backend)}, now);
        }
        m_toGateways.deliver(now, [&](const to_gateway &each) {
            if (now >= m_silentUntil || !std::holds_alternative<gateway_grant>(each.message.message)) {
                deliver(each);
            }
        });
    }

    const std::vector<assessment> &assessments() const
    {
        return m_assessments;
    }
    const fleet_pipe &pipe() const
    {
        return m_pipe;
    }

private:
    static constexpr duration tickPeriod{20};

    void step(const fleet_pipe_input &in, time_point now)
    {
        for (const fleet_pipe_output &each : m_pipe.step(in, now)) {
            std::visit([&](const auto &out) { execute(out, now); }, each);
        }
    }

    void execute(const publish_to_gateway &out, time_point now)
    {
        m_toGateways.send({out.gateway, control_message{out.publication}}, now);
    }

    void execute(const grant_to_gateway &out, time_point now)
    {
        m_toGateways.send({out.gateway, control_message{out.grant}}, now);
    }

    void execute(const probe_backend &out, time_point)
    {
        m_probes.push_back(out);
    }

    void execute(const model_assessed &out, time_point now)
    {
        m_assessments.push_back({now, out});
    }

    template<class Output>
    void execute(const Output &, time_point)
    {
    }

    fleet_pipe m_pipe;
    delayed_messages<gateway_reported> m_toControl;
    delayed_messages<to_gateway> m_toGateways;
    std::vector<probe_backend> m_probes;
    std::vector<assessment> m_assessments;
    time_point m_silentUntil;
    time_point m_nextTickAt;
};

} // namespace carawayloft::test_support
