#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>
#include <carawayloft/core/units.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/** The records of the replicated state. They are plain values: a change replaces the whole record. */
namespace carawayloft {

enum class zone_state : std::uint8_t {
    Serving,
    Leaving,
    Out,
    Arriving,
};

struct zone_record {
    availability_zone_id zone;
    zone_state state = zone_state::Serving;

    static constexpr auto fields()
    {
        return std::tuple(field{"zone", &zone_record::zone}, field{"state", &zone_record::state});
    }
};

/** A host and its backend server, as announced by its agent. */
struct host_record {
    host_id host;
    availability_zone_id zone;
    fabric_domain_id fabricDomain;
    service_id service;
    endpoint agent;
    incarnation agentIncarnation;
    bool leaving = false;
    bool checksFencing = false;
    std::uint32_t coldLimit = 1; /**< Concurrent requests that a cold server can handle. */
    std::uint32_t warmLimit = 1; /**< Concurrent requests that a warm server can handle. */

    static constexpr auto fields()
    {
        return std::tuple(field{"host", &host_record::host},
                          field{"zone", &host_record::zone},
                          field{"fabric_domain", &host_record::fabricDomain},
                          field{"service", &host_record::service},
                          field{"agent", &host_record::agent},
                          field{"incarnation", &host_record::agentIncarnation},
                          field{"leaving", &host_record::leaving},
                          field{"checks_fencing", &host_record::checksFencing},
                          field{"cold_limit", &host_record::coldLimit},
                          field{"warm_limit", &host_record::warmLimit});
    }
};

enum class group_state : std::uint8_t {
    Active,
    Draining,
};

/** A serving group; its first host is the lead. */
struct group_record {
    group_id group;
    group_epoch epoch;
    service_id service;
    std::vector<host_id> hosts;
    group_state state = group_state::Active;
    revision changedAt; /**< Revision of the last change of the group. */

    static constexpr auto fields()
    {
        return std::tuple(field{"group", &group_record::group},
                          field{"epoch", &group_record::epoch},
                          field{"service", &group_record::service},
                          field{"hosts", &group_record::hosts},
                          field{"state", &group_record::state},
                          field{"changed_at", &group_record::changedAt});
    }
};

enum class service_kind : std::uint8_t {
    Model,
    Plain,
};

struct service_record {
    service_id service;
    service_kind kind = service_kind::Plain;
    std::uint32_t hostsPerGroup = 1;
    std::vector<std::string> idempotentMethods; /**< Methods besides GET and HEAD that may be retried. */

    static constexpr auto fields()
    {
        return std::tuple(field{"service", &service_record::service},
                          field{"kind", &service_record::kind},
                          field{"hosts_per_group", &service_record::hostsPerGroup},
                          field{"idempotent_methods", &service_record::idempotentMethods});
    }
};

struct account_record {
    client_account_id account;
    std::string keyDigest; /**< SHA-256 of the bearer key, in hexadecimal. */
    std::uint32_t weight = 1; /**< Share of the service under contention. */
    std::uint32_t maxInFlight = 256; /**< Maximum of concurrent requests at one entry. */

    static constexpr auto fields()
    {
        return std::tuple(field{"account", &account_record::account},
                          field{"key_digest", &account_record::keyDigest},
                          field{"weight", &account_record::weight},
                          field{"max_in_flight", &account_record::maxInFlight});
    }
};

/** A trait whose requests are rejected, because they crash the servers of the service. */
struct quarantine_record {
    service_id service;
    request_trait trait;
    std::uint32_t crashes = 0; /**< That the trait was found from. */

    static constexpr auto fields()
    {
        return std::tuple(
            field{"service", &quarantine_record::service}, field{"trait", &quarantine_record::trait}, field{"crashes", &quarantine_record::crashes});
    }
};

/** Time after which control lifts a quarantine: the cause may be gone by then, and another one takes few crashes. */
inline constexpr duration quarantineTime = std::chrono::minutes(30);

/** The service configuration in force, as submitted by the operator. */
struct configuration_record {
    configuration_version version;
    std::string document; /**< As the operator sent it, compressed. */

    static constexpr auto fields()
    {
        return std::tuple(field{"version", &configuration_record::version}, field{"document", &configuration_record::document});
    }
};

/** A backend server that has announced that it leaves. It gets no new work, whatever announcements of that run still arrive. */
struct departure_record {
    backend_id backend;
    std::int64_t startedAt = 0; /**< Latest start of the server that this is about, by the wall clock in milliseconds. */

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &departure_record::backend}, field{"started_at", &departure_record::startedAt});
    }

    friend bool operator==(const departure_record &, const departure_record &) = default;
};

/** A member of a group of engines, in the run that was chosen for the group. */
struct engine_member_record {
    backend_id backend;
    std::int64_t startedAt = 0; /**< Start of that run, by the wall clock in milliseconds. */

    static constexpr auto fields()
    {
        return std::tuple(field{"backend", &engine_member_record::backend}, field{"started_at", &engine_member_record::startedAt});
    }

    friend bool operator==(const engine_member_record &, const engine_member_record &) = default;
};

/** A group of engines that servers may have been ordered to join, and whose head may serve; the first member is the head. */
struct engine_group_record {
    group_epoch epoch;
    service_id service;
    model_id model;
    std::vector<engine_member_record> members;

    static constexpr auto fields()
    {
        return std::tuple(field{"epoch", &engine_group_record::epoch},
                          field{"service", &engine_group_record::service},
                          field{"model", &engine_group_record::model},
                          field{"members", &engine_group_record::members});
    }

    friend bool operator==(const engine_group_record &, const engine_group_record &) = default;
};

enum class step_kind : std::uint8_t {
    OpenZone, /**< Let placement fill an arriving availability zone. */
    AwaitCapacity, /**< Wait until the groups that replace those of the leaving zone are serving. */
    StopNewWork, /**< Take the zone out for new work. */
    DrainGroups, /**< Wait until the zone's groups have finished, then dissolve them. */
};

struct plan_step {
    step_kind kind = step_kind::OpenZone;
    availability_zone_id zone;
    std::uint32_t groups = 0; /**< Number of groups affected by the step. */
    std::chrono::seconds expected{0}; /**< Expected duration of the step. */

    static constexpr auto fields()
    {
        return std::tuple(
            field{"kind", &plan_step::kind}, field{"zone", &plan_step::zone}, field{"groups", &plan_step::groups}, field{"expected_s", &plan_step::expected});
    }
};

enum class plan_state : std::uint8_t {
    Proposed,
    Confirmed,
    Done,
    Cancelled,
};

struct plan_record {
    plan_id plan;
    revision baseRevision; /**< Revision that the plan was computed from. */
    availability_zone_id leaving;
    availability_zone_id arriving; /**< Empty if the remaining zones take over. */
    wall_time deadline;
    bool meetsDeadline = false;
    plan_state state = plan_state::Proposed;
    std::uint32_t nextStep = 0;
    std::vector<plan_step> steps;

    static constexpr auto fields()
    {
        return std::tuple(field{"plan", &plan_record::plan},
                          field{"base_revision", &plan_record::baseRevision},
                          field{"leaving", &plan_record::leaving},
                          field{"arriving", &plan_record::arriving},
                          field{"deadline_ms", &plan_record::deadline},
                          field{"meets_deadline", &plan_record::meetsDeadline},
                          field{"state", &plan_record::state},
                          field{"next_step", &plan_record::nextStep},
                          field{"steps", &plan_record::steps});
    }
};

} // namespace carawayloft
