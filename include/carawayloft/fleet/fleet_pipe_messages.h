#pragma once

#include <carawayloft/fleet/crash_correlator_messages.h>
#include <carawayloft/fleet/fleet_messages.h>
#include <carawayloft/fleet/group_controller.h>

/** Inputs and outputs of the fleet pipe of a control replica. */
namespace carawayloft {

// Inputs.

struct fleet_tick {
};

/** Whether this replica leads, and in which term. */
struct leadership_changed {
    bool leads = false;
    log_term term;
    log_term precedingTerm{}; /**< Of the last earlier leader that may have ordered engines. */
};

/** The services of the configuration in force. */
struct services_changed {
    std::vector<service_settings> services;
};

/** Availability zones that are closed to new work. */
struct zones_out_changed {
    std::set<availability_zone_id> zones;
};

/** The traits in quarantine in the configuration in force. */
struct quarantined_traits_changed {
    std::set<service_trait> traits;
};

/** The departures in the replicated state. */
struct departures_changed {
    std::vector<departure_record> departures;
};

/** The groups of engines in the replicated state. */
struct engine_groups_changed {
    std::vector<engine_group_record> groups;
};

/** Whether this replica holds the leader lease, without which another one may lead already. */
struct leader_lease_changed {
    bool held = false;
};

struct check_in_received {
    backend_check_in announcement;
};

struct departure_received {
    backend_departure departure;
};

/** A report of a gateway, accepted while this replica is certain to be the only leader. */
struct gateway_reported {
    link_id gateway;
    gateway_report report;
    revision at; /**< Revision that must be in force at the gateway. */
    std::vector<endpoint> replicas;
};

struct gateway_lost {
    link_id gateway;
};

struct probe_finished {
    probe_id probe;
    bool reachable = false;
};

/** A publication that the leader mirrored to this replica. */
struct fleet_mirrored {
    publish_fleet publication;
};

using fleet_pipe_input = std::variant<fleet_tick,
                                      leadership_changed,
                                      services_changed,
                                      zones_out_changed,
                                      quarantined_traits_changed,
                                      departures_changed,
                                      engine_groups_changed,
                                      leader_lease_changed,
                                      check_in_received,
                                      departure_received,
                                      gateway_reported,
                                      gateway_lost,
                                      probe_finished,
                                      order_finished,
                                      fleet_mirrored>;

// Outputs.

struct publish_to_gateway {
    link_id gateway;
    publish_fleet publication;
};

struct grant_to_gateway {
    link_id gateway;
    gateway_grant grant;
};

/** To every other replica, so that the next leader starts with these records. */
struct mirror_fleet {
    publish_fleet publication;
};

struct send_engine_order {
    order_id order;
    backend_id backend;
    endpoint address;
    fencing_token fence;
    engine_order what;
};

/** Test whether a connection to the address can be established. */
struct probe_backend {
    probe_id probe;
    backend_id backend;
    endpoint address;
};

/** The record of a backend server has changed; written to the log. */
struct log_backend_change {
    backend_record record;
    const char *reason = "";
};

using fleet_pipe_output = std::variant<publish_to_gateway,
                                       grant_to_gateway,
                                       mirror_fleet,
                                       send_engine_order,
                                       probe_backend,
                                       log_backend_change,
                                       group_changed,
                                       group_retired,
                                       group_records_proposed,
                                       model_assessed,
                                       crash_recorded,
                                       trait_suspected,
                                       quarantine_proposed,
                                       quarantine_expired>;

} // namespace carawayloft
