#pragma once

#include <carawayloft/fleet/fleet_messages.h>
#include <carawayloft/fleet/group_controller.h>

/** What goes into and comes out of the fleet pipe of a control replica. */
namespace carawayloft {

// Inputs.

struct fleet_tick {
};

/** Whether this replica leads, and under which term. */
struct leadership_changed {
    bool leads = false;
    log_term term;
};

/** The services of the configuration in force. */
struct services_changed {
    std::vector<service_settings> services;
};

/** Availability zones that get no new work. */
struct zones_out_changed {
    std::set<availability_zone_id> zones;
};

struct check_in_received {
    backend_check_in announcement;
};

struct departure_received {
    backend_departure departure;
};

/** From a gateway, while this replica surely is the only leader. */
struct gateway_reported {
    link_id gateway;
    gateway_report report;
    revision at; /**< Revision that the gateway must have in force. */
    std::vector<endpoint> replicas;
};

struct gateway_lost {
    link_id gateway;
};

struct probe_finished {
    probe_id probe;
    bool reachable = false;
};

/** From the leader, to another replica. */
struct fleet_mirrored {
    publish_fleet publication;
};

using fleet_pipe_input = std::variant<fleet_tick,
                                      leadership_changed,
                                      services_changed,
                                      zones_out_changed,
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

/** For every other replica, so that the next leader knows the fleet. */
struct mirror_fleet {
    publish_fleet publication;
};

/** Give an order to an engine. */
struct send_engine_order {
    order_id order;
    backend_id backend;
    endpoint address;
    log_term fence;
    engine_order what;
};

/** Find out whether a connection to the address comes about. */
struct probe_backend {
    probe_id probe;
    backend_id backend;
    endpoint address;
};

/** Something about a backend server has changed, for the log. */
struct log_backend_change {
    backend_record record;
    const char *reason = "";
};

using fleet_pipe_output
    = std::variant<publish_to_gateway, grant_to_gateway, mirror_fleet, send_engine_order, probe_backend, log_backend_change, group_changed, group_retired>;

} // namespace carawayloft
