#pragma once

#include <carawayloft/fleet/backend_view.h>
#include <carawayloft/fleet/capacity_estimate.h>
#include <carawayloft/fleet/crash_correlator.h>
#include <carawayloft/fleet/fleet_pipe_messages.h>
#include <carawayloft/fleet/request_shares.h>

namespace carawayloft {

/**
 * The pipe from announcements and gateway reports to engine orders and publications: registry, group
 * controller, publication. Of its state, the replicated log has the groups that servers may have been ordered to
 * join: a new leader starts from these and from the records that the previous one mirrored, and receives the rest
 * within two announcement periods. Engines get orders only while this replica holds the leader lease.
 */
class fleet_pipe
{
public:
    using input = fleet_pipe_input;
    using output = fleet_pipe_output;

    std::vector<output> step(const input &in, time_point now);

    /** All records of the leader as a publication that replaces earlier ones. */
    publish_fleet snapshot(time_point now) const;

    bool leads() const
    {
        return m_leads;
    }
    const backend_registry &registry() const
    {
        return m_registry;
    }
    const group_controller &controller() const
    {
        return m_controller;
    }

private:
    struct gateway {
        time_point heardAt;
        std::uint32_t turn = 0; /**< Its place among the turns at cold servers, as long as it is connected. */
        std::vector<group_load> loads;
        std::set<backend_id> unreachable;
        std::set<backend_id> answering; /**< Servers outside groups that answer it. */
        std::vector<model_traffic> modelTraffic;
        std::vector<class_demand> classDemand;
    };
    /** Probes of one backend server by this replica. */
    struct probe_record {
        time_point startedAt;
        std::optional<time_point> failedAt; /**< Time of the last probe, if it failed. */
    };

    void handle(const fleet_tick &in);
    void handle(const leadership_changed &in);
    void handle(const services_changed &in);
    void handle(const zones_out_changed &in);
    void handle(const quarantined_traits_changed &in);
    void handle(const departures_changed &in);
    void handle(const engine_groups_changed &in);
    void handle(const leader_lease_changed &in);
    void handle(const check_in_received &in);
    void handle(const departure_received &in);
    void handle(const gateway_reported &in);
    void handle(const gateway_lost &in);
    void handle(const probe_finished &in);
    void handle(const order_finished &in);
    void handle(const fleet_mirrored &in);

    void stepRegistry(const backend_registry_input &in, const char *reason);
    void stepCorrelator(const crash_correlator_input &in);
    void correlateCrashes(const gateway_report &report);
    bool isKnownToHaveCrashed(const backend_id &backend) const;
    void stepController(const group_controller_input &in);
    void reconcile();
    void forward(const engine_order_requested &out);
    void forward(const group_changed &out);
    void forward(const group_retired &out);
    void forward(const group_records_proposed &out);
    void forward(const model_assessed &out);
    void publish(publish_fleet change);
    backend_record currentRecord(const backend_id &backend, time_point now) const;
    void startProbe(const backend_id &backend);
    void handleUnreachableReport(const backend_id &backend);
    void assessUnreachable(const backend_id &backend);
    bool isReportedUnreachable(const backend_id &backend) const;
    void checkSilentBackends();
    void expireRecords();
    bool groupProgresses(const backend_id &member) const;
    bool isServing(const backend_id &backend) const;
    bool isUnreachableForAllUsers(const backend_id &backend) const;
    std::uint32_t countRecentGateways();
    std::uint32_t takeTurn();
    std::vector<request_share> sharesOf(link_id gateway);
    fleet_traffic totalTraffic() const;
    const std::vector<class_demand> &totalClassDemand();
    bool hasModel(const model_id &model) const;
    void adoptCapacities(const std::vector<model_capacity> &capacities);
    void learnCapacities();
    capacity_observation observeModel(const engine_profile &engine, const model_profile &model, const fleet_traffic &traffic) const;
    std::vector<model_capacity> capacities() const;
    double trafficConfidence() const;

    time_point m_now;
    std::vector<output> m_out;
    bool m_leads = false;
    bool m_holdsLease = false;
    log_term m_term;
    time_point m_leadsSince;
    bool m_trafficStarted = false; /**< Whether callers may have sent requests. */
    time_point m_trafficStartedAt; /**< First traffic that this replica was told of. */
    backend_view m_mirror; /**< The leader's publications, while this replica does not lead. */
    backend_registry m_registry;
    group_controller m_controller;
    request_shares m_requestShares;
    std::map<model_id, capacity_estimate> m_capacities;
    std::set<model_id> m_adoptedCapacities; /**< Models whose factor was taken from a gateway since this replica leads. */
    time_point m_capacitiesLearnedAt;
    crash_correlator m_correlator;
    std::set<service_trait> m_quarantinedTraits;
    std::vector<departure_record> m_departures;
    std::vector<engine_group_record> m_recordedGroups;
    std::vector<service_settings> m_services;
    std::set<availability_zone_id> m_zonesOut;
    std::map<link_id, gateway> m_gateways;
    std::set<std::uint32_t> m_turns; /**< Places in use. */
    std::vector<class_demand> m_classDemand; /**< Sum over the gateways, as of m_classDemandAt. */
    std::optional<time_point> m_classDemandAt;
    std::deque<time_point> m_gatewaysLost; /**< Disconnects within the window of the shared limits. */
    std::map<probe_id, backend_id> m_probes;
    std::map<backend_id, probe_record> m_probeRecords;
    probe_id m_lastProbe;
    time_point m_reconcileDue;
};

static_assert(filter<fleet_pipe>);

} // namespace carawayloft
