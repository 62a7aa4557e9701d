#pragma once

#include <carawayloft/control/records.h>
#include <carawayloft/core/service_trait.h>

#include <variant>

/** Changes of the fleet configuration, as stored in the replicated log. */
namespace carawayloft {

struct put_zone {
    zone_record zone;

    static constexpr auto fields()
    {
        return std::tuple(field{"zone", &put_zone::zone});
    }
};

struct put_host {
    host_record host;

    static constexpr auto fields()
    {
        return std::tuple(field{"host", &put_host::host});
    }
};

/** Removes a host that belongs to no group. */
struct remove_host {
    host_id host;

    static constexpr auto fields()
    {
        return std::tuple(field{"host", &remove_host::host});
    }
};

struct put_service {
    service_record service;

    static constexpr auto fields()
    {
        return std::tuple(field{"service", &put_service::service});
    }
};

struct put_account {
    account_record account;

    static constexpr auto fields()
    {
        return std::tuple(field{"account", &put_account::account});
    }
};

/** Creates a group of unassigned hosts; the log index becomes its id and epoch. */
struct create_group {
    service_id service;
    std::vector<host_id> hosts;

    static constexpr auto fields()
    {
        return std::tuple(field{"service", &create_group::service}, field{"hosts", &create_group::hosts});
    }
};

/** Replaces one member by an unassigned host; the log index becomes the group's new epoch. */
struct replace_member {
    group_id group;
    group_epoch epoch;
    host_id leaving;
    host_id joining;

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &replace_member::group},
                          field{"epoch", &replace_member::epoch},
                          field{"leaving", &replace_member::leaving},
                          field{"joining", &replace_member::joining});
    }
};

/** Stops new work for the group. */
struct drain_group {
    group_id group;
    group_epoch epoch;

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &drain_group::group}, field{"epoch", &drain_group::epoch});
    }
};

/** Unassigns the hosts of a group; proposed only after its leases have certainly expired or were released. */
struct dissolve_group {
    group_id group;
    group_epoch epoch;

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &dissolve_group::group}, field{"epoch", &dissolve_group::epoch});
    }
};

/** Records a proposed plan; the log index becomes its id. */
struct propose_plan {
    plan_record plan;

    static constexpr auto fields()
    {
        return std::tuple(field{"plan", &propose_plan::plan});
    }
};

struct confirm_plan {
    plan_id plan;

    static constexpr auto fields()
    {
        return std::tuple(field{"plan", &confirm_plan::plan});
    }
};

struct cancel_plan {
    plan_id plan;

    static constexpr auto fields()
    {
        return std::tuple(field{"plan", &cancel_plan::plan});
    }
};

/** Marks step @p step of a confirmed plan as done; has no effect if @p step is not the next step. */
struct advance_plan {
    plan_id plan;
    std::uint32_t step = 0;

    static constexpr auto fields()
    {
        return std::tuple(field{"plan", &advance_plan::plan}, field{"step", &advance_plan::step});
    }
};

/** Replaces the service configuration if the version is higher than the present one. */
struct put_configuration {
    configuration_record configuration;

    static constexpr auto fields()
    {
        return std::tuple(field{"configuration", &put_configuration::configuration});
    }
};

/** Rejects requests with a trait from now on. */
struct quarantine_trait {
    quarantine_record quarantine;

    static constexpr auto fields()
    {
        return std::tuple(field{"quarantine", &quarantine_trait::quarantine});
    }
};

/** Lifts the quarantine of a trait. */
struct release_trait {
    service_trait subject;

    static constexpr auto fields()
    {
        return std::tuple(field{"subject", &release_trait::subject});
    }
};

/** Remembers that a backend server leaves. */
struct record_departure {
    departure_record departure;

    static constexpr auto fields()
    {
        return std::tuple(field{"departure", &record_departure::departure});
    }
};

/** Names a group of engines that is removed. */
struct removed_engine_group {
    group_epoch epoch;

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &removed_engine_group::epoch});
    }
};

/** Records groups of engines before any server is ordered to join them, and removes those whose head is known not to serve. */
struct record_engine_groups {
    std::vector<engine_group_record> formed;
    std::vector<removed_engine_group> retired; /**< Removed first: their members may be in the groups formed. */

    static constexpr auto fields()
    {
        return std::tuple(field{"formed", &record_engine_groups::formed}, field{"retired", &record_engine_groups::retired});
    }
};

/** Any change of the fleet configuration. Its index is its type in the log, so new types go to the end. */
using fleet_change = std::variant<put_zone,
                                  put_host,
                                  remove_host,
                                  put_service,
                                  put_account,
                                  create_group,
                                  replace_member,
                                  drain_group,
                                  dissolve_group,
                                  propose_plan,
                                  confirm_plan,
                                  cancel_plan,
                                  advance_plan,
                                  put_configuration,
                                  quarantine_trait,
                                  release_trait,
                                  record_departure,
                                  record_engine_groups>;

/** A change with the sender's request id, for deduplication, and the revision that the sender based it on. */
struct fleet_command {
    command_id command; /**< Empty for changes made by the system itself, which are idempotent. */
    std::string author;
    revision seenRevision; /**< Zero if the change is unconditional. */
    fleet_change change;

    static constexpr auto fields()
    {
        return std::tuple(field{"command", &fleet_command::command},
                          field{"author", &fleet_command::author},
                          field{"seen", &fleet_command::seenRevision},
                          field{"change", &fleet_command::change});
    }
};

} // namespace carawayloft
