#pragma once

#include <carawayloft/control/fleet_command.h>
#include <carawayloft/core/result.h>

#include <deque>
#include <map>

namespace carawayloft {

/** The outcome of an applied command, kept so that a retry gets the same answer. */
struct command_result {
    command_id command;
    std::string author;
    revision at;
    std::uint8_t refused = 0; /**< 1 if the command was rejected with the error below. */
    std::uint8_t kind = 0; /**< The error_kind, if rejected. */
    std::string what;
    std::string remedy;

    static constexpr auto fields()
    {
        return std::tuple(field{"command", &command_result::command},
                          field{"author", &command_result::author},
                          field{"revision", &command_result::at},
                          field{"refused", &command_result::refused},
                          field{"kind", &command_result::kind},
                          field{"what", &command_result::what},
                          field{"remedy", &command_result::remedy});
    }
};

/** The whole fleet configuration, for log snapshots and for new subscribers. */
struct fleet_snapshot {
    revision at;
    std::vector<zone_record> zones;
    std::vector<host_record> hosts;
    std::vector<group_record> groups;
    std::vector<service_record> services;
    std::vector<account_record> accounts;
    std::vector<plan_record> plans;
    std::vector<command_result> commandResults;
    revision lastOperatorChange;
    std::string lastAuthor;
    configuration_record configuration;
    std::vector<quarantine_record> quarantine;
    std::vector<departure_record> departures; /**< Oldest first. */
    std::vector<engine_group_record> engineGroups;

    static constexpr auto fields()
    {
        return std::tuple(field{"revision", &fleet_snapshot::at},
                          field{"zones", &fleet_snapshot::zones},
                          field{"hosts", &fleet_snapshot::hosts},
                          field{"groups", &fleet_snapshot::groups},
                          field{"services", &fleet_snapshot::services},
                          field{"accounts", &fleet_snapshot::accounts},
                          field{"plans", &fleet_snapshot::plans},
                          field{"answers", &fleet_snapshot::commandResults},
                          field{"last_operator_change", &fleet_snapshot::lastOperatorChange},
                          field{"last_author", &fleet_snapshot::lastAuthor},
                          field{"configuration", &fleet_snapshot::configuration},
                          field{"quarantine", &fleet_snapshot::quarantine},
                          field{"departures", &fleet_snapshot::departures},
                          field{"engine_groups", &fleet_snapshot::engineGroups});
    }
};

/**
 * The replicated state machine of the fleet configuration. It is deterministic: replicas apply committed
 * commands, entries and agents apply the same commands as published. Revisions only grow.
 */
class fleet_state
{
public:
    /** Applies the command as revision @p at. A rejected command changes only the revision and the recorded results. */
    result<revision> apply(const fleet_command &command, revision at);

    /** Replaces the whole state by @p snapshot unless that is older; returns whether it was replaced. */
    bool restore(const fleet_snapshot &snapshot);
    fleet_snapshot snapshot() const;

    revision at() const
    {
        return m_at;
    }
    const std::map<availability_zone_id, zone_record> &zones() const
    {
        return m_zones;
    }
    const std::map<host_id, host_record> &hosts() const
    {
        return m_hosts;
    }
    const std::map<group_id, group_record> &groups() const
    {
        return m_groups;
    }
    const std::map<service_id, service_record> &services() const
    {
        return m_services;
    }
    const std::map<client_account_id, account_record> &accounts() const
    {
        return m_accounts;
    }
    const std::map<plan_id, plan_record> &plans() const
    {
        return m_plans;
    }

    /** The service configuration; its version is zero until the first one is set. */
    const configuration_record &configuration() const
    {
        return m_configuration;
    }

    /** Traits whose requests are rejected. */
    const std::map<service_trait, quarantine_record> &quarantine() const
    {
        return m_quarantine;
    }

    /** The latest announced departures of backend servers, oldest first. */
    const std::deque<departure_record> &departures() const
    {
        return m_departures;
    }

    /** Whether a departure of the server that covers this start is recorded. */
    bool hasDeparted(const departure_record &departure) const;

    /** Groups of engines that servers may have been ordered to join and that are not known to have ended. */
    const std::map<group_epoch, engine_group_record> &engineGroups() const
    {
        return m_engineGroups;
    }

    /** Revision of the last change of engineGroups(). */
    revision engineGroupsChangedAt() const
    {
        return m_engineGroupsChangedAt;
    }

    /** The group that @p host is assigned to, or nullptr. */
    const group_record *groupOf(const host_id &host) const;
    const host_record *host(const host_id &host) const;

    /** Whether new work may go to @p zone; true for a zone without a record. */
    bool acceptsWork(const availability_zone_id &zone) const;

private:
    status change(const put_zone &change, revision at);
    status change(const put_host &change, revision at);
    status change(const remove_host &change, revision at);
    status change(const put_service &change, revision at);
    status change(const put_account &change, revision at);
    status change(const create_group &change, revision at);
    status change(const replace_member &change, revision at);
    status change(const drain_group &change, revision at);
    status change(const dissolve_group &change, revision at);
    status change(const propose_plan &change, revision at);
    status change(const confirm_plan &change, revision at);
    status change(const cancel_plan &change, revision at);
    status change(const advance_plan &change, revision at);
    status change(const put_configuration &change, revision at);
    status change(const quarantine_trait &change, revision at);
    status change(const release_trait &change, revision at);
    status change(const record_departure &change, revision at);
    status change(const record_engine_groups &change, revision at);

    result<group_record *> findGroup(group_id group, group_epoch epoch);
    result<plan_record *> findPlan(plan_id plan);
    status checkAvailable(const host_id &host, const service_id &service) const;
    status checkRevision(const fleet_command &command) const;
    void recordResult(command_result applied);

    revision m_at;
    revision m_lastOperatorChange;
    std::string m_lastAuthor;
    std::map<availability_zone_id, zone_record> m_zones;
    std::map<host_id, host_record> m_hosts;
    std::map<group_id, group_record> m_groups;
    std::map<host_id, group_id> m_assignments;
    std::map<service_id, service_record> m_services;
    std::map<client_account_id, account_record> m_accounts;
    std::map<plan_id, plan_record> m_plans;
    configuration_record m_configuration;
    std::map<service_trait, quarantine_record> m_quarantine;
    std::deque<departure_record> m_departures;
    std::map<group_epoch, engine_group_record> m_engineGroups;
    revision m_engineGroupsChangedAt;
    std::map<command_id, command_result> m_commandResults;
    std::deque<command_id> m_commandResultOrder;
};

} // namespace carawayloft
