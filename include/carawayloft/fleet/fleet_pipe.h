#pragma once

#include <carawayloft/fleet/backend_view.h>
#include <carawayloft/fleet/fleet_pipe_messages.h>

namespace carawayloft {

/**
 * The pipe from what backend servers and gateways say to orders and publications: registry, group
 * keeper, publication. Its state is not in the agreed log: a new leader starts from what the last one
 * mirrored and hears the rest within two announcements.
 */
class fleet_pipe
{
public:
    using input = fleet_pipe_input;
    using output = fleet_pipe_output;

    std::vector<output> step(const input &in, time_point now);

    /** All that the leader knows, as one publication. */
    publish_fleet snapshot(time_point now) const;

    bool leads() const
    {
        return m_leads;
    }
    const backend_registry &registry() const
    {
        return m_registry;
    }
    const group_controller &keeper() const
    {
        return m_keeper;
    }

private:
    struct gateway {
        time_point heardAt;
        std::vector<group_load> loads;
        std::set<backend_id> unreachable;
        std::vector<model_traffic> asked;
    };
    /** Tests of one backend server from here. */
    struct probe_record {
        time_point startedAt;
        std::optional<time_point> failedAt; /**< Of the last test, if it failed. */
    };

    void take(const fleet_tick &in);
    void take(const leadership_changed &in);
    void take(const services_changed &in);
    void take(const zones_out_changed &in);
    void take(const check_in_received &in);
    void take(const departure_received &in);
    void take(const gateway_reported &in);
    void take(const gateway_lost &in);
    void take(const probe_finished &in);
    void take(const order_finished &in);
    void take(const fleet_mirrored &in);

    void runRegistry(const backend_registry_input &in, const char *reason);
    void runKeeper(const group_controller_input &in);
    void look();
    void handle(const engine_order_requested &out);
    void handle(const group_changed &out);
    void handle(const group_retired &out);
    void publish(publish_fleet change);
    backend_record current(const backend_id &backend, time_point now) const;
    void startProbe(const backend_id &backend);
    void reportedUnreachable(const backend_id &backend);
    void judge(const backend_id &backend);
    bool anyoneMisses(const backend_id &backend) const;
    void findSilent();
    void forgetGone();
    bool groupProgresses(const backend_id &member) const;
    bool everyoneMisses(const backend_id &backend) const;
    std::uint32_t countGateways();
    fleet_traffic asked() const;
    double askedKnown() const;

    time_point m_now;
    std::vector<output> m_out;
    bool m_leads = false;
    log_term m_term;
    time_point m_leadsSince;
    bool m_traffic = false; /**< Whether callers may have sent requests yet. */
    time_point m_trafficSince; /**< As far as this replica knows. */
    backend_view m_mirror; /**< What the leader said, while this replica does not lead. */
    backend_registry m_registry;
    group_controller m_keeper;
    std::vector<service_settings> m_services;
    std::set<availability_zone_id> m_zonesOut;
    std::map<link_id, gateway> m_gateways;
    std::deque<time_point> m_gatewaysLost; /**< Within the last window of the shared limits. */
    std::map<probe_id, backend_id> m_probes;
    std::map<backend_id, probe_record> m_probed;
    probe_id m_lastProbe;
    time_point m_lookDue;
};

static_assert(filter<fleet_pipe>);

} // namespace carawayloft
