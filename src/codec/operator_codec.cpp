#include "codec/operator_codec.h"

#include "codec/json_codec.h"
#include "codec/json_text.h"
#include "ends/digest.h"

namespace carawayloft {

using ordered_json = nlohmann::ordered_json;

namespace {

/** Takes typed fields out of an operator's JSON and remembers the first one that is wrong. */
class command_reader
{
public:
    explicit command_reader(const nlohmann::json &object)
        : m_object(object)
    {
    }

    std::string text(const char *key, bool required = true)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end() && !required) {
            return {};
        }
        if (found == m_object.end() || !found->is_string() || (required && found->get_ref<const std::string &>().empty())) {
            fail(key, "a text");
            return {};
        }
        return found->get<std::string>();
    }

    std::uint64_t number(const char *key, std::uint64_t fallback, std::uint64_t most = UINT32_MAX)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            return fallback;
        }
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() > most) {
            fail(key, "a whole number up to " + std::to_string(most));
            return fallback;
        }
        return found->get<std::uint64_t>();
    }

    bool flag(const char *key)
    {
        const auto found = m_object.find(key);
        if (found != m_object.end() && !found->is_boolean()) {
            fail(key, "true or false");
        }
        return found != m_object.end() && found->is_boolean() && found->get<bool>();
    }

    std::vector<std::string> texts(const char *key)
    {
        std::vector<std::string> values;
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            return values;
        }
        for (const auto &each : *found) {
            if (!each.is_string()) {
                fail(key, "a list of texts");
                return {};
            }
            values.push_back(each.get<std::string>());
        }
        return values;
    }

    void fail(const std::string &key, const std::string &expected)
    {
        if (!m_failure) {
            m_failure = error{error_kind::InvalidRequest, "'" + key + "' of the command is missing or wrong", "set it to " + expected};
        }
    }

    const std::optional<error> &failure() const
    {
        return m_failure;
    }

private:
    const nlohmann::json &m_object;
    std::optional<error> m_failure;
};

} // namespace

static fleet_change decodeZone(command_reader &in)
{
    const auto state = zoneStateOf(in.text("state"));
    if (!state) {
        in.fail("state", "serving, leaving, out or arriving");
    }
    return put_zone{{availability_zone_id(in.text("zone")), state.value_or(zone_state::Serving)}};
}

static fleet_change decodeService(command_reader &in)
{
    const auto kind = serviceKindOf(in.text("kind"));
    if (!kind) {
        in.fail("kind", "model or plain");
    }
    return put_service{{service_id(in.text("service")),
                        kind.value_or(service_kind::Plain),
                        static_cast<std::uint32_t>(in.number("hosts_per_group", 1)),
                        in.texts("idempotent_methods")}};
}

static fleet_change decodeAccount(command_reader &in)
{
    const account_record standard;
    return put_account{{client_account_id(in.text("account")),
                        sha256(in.text("key")),
                        static_cast<std::uint32_t>(in.number("weight", standard.weight)),
                        static_cast<std::uint32_t>(in.number("max_in_flight", standard.maxInFlight))}};
}

static operator_intent decodeIntent(command_reader &in, const fleet_command &command)
{
    const std::uint64_t deadline = in.number("deadline_ms", 0, INT64_MAX);
    return {{},
            command.command,
            command.author,
            command.seenRevision,
            {availability_zone_id(in.text("leaving")),
             availability_zone_id(in.text("arriving", false)),
             wall_time(duration(static_cast<duration::rep>(deadline)))}};
}

static operator_claim_settlement decodeSettlement(command_reader &in, const fleet_command &command)
{
    close_claim claim;
    claim.account = client_account_id(in.text("account"));
    claim.key = idempotency_key(in.text("key"));
    const std::string outcome = in.text("outcome");
    if (outcome != "ran" && outcome != "did_not_run") {
        in.fail("outcome", "ran or did_not_run");
    }
    claim.outcome = outcome == "ran" ? claim_outcome::Answered : claim_outcome::DidNotRun;
    claim.status = static_cast<std::uint32_t>(in.number("status", 200));
    claim.contentType = "application/json";
    claim.body = in.text("body", false);
    claim.settledBy = command.author;
    return {{}, claim};
}

static operator_command decodeTyped(const std::string &type, command_reader &in, fleet_command command)
{
    bool force = false;
    if (type == "intent") {
        return decodeIntent(in, command);
    }
    if (type == "settle_claim") {
        return decodeSettlement(in, command);
    }
    if (type == "put_zone") {
        command.change = decodeZone(in);
        force = in.flag("force");
    } else if (type == "put_service") {
        command.change = decodeService(in);
    } else if (type == "put_account") {
        command.change = decodeAccount(in);
    } else if (type == "confirm_plan") {
        command.change = confirm_plan{plan_id(in.number("plan", 0, UINT64_MAX))};
    } else if (type == "cancel_plan") {
        command.change = cancel_plan{plan_id(in.number("plan", 0, UINT64_MAX))};
    } else if (type == "remove_host") {
        command.change = remove_host{host_id(in.text("host"))};
    } else if (type == "release_trait") {
        command.change = release_trait{{service_id(in.text("service")), request_trait(in.text("trait"))}};
    } else {
        in.fail("type", "put_zone, put_service, put_account, remove_host, intent, confirm_plan, cancel_plan, settle_claim or release_trait");
    }
    return operator_change{{}, command, force};
}

result<operator_command> decodeOperatorCommand(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return error{
            error_kind::InvalidRequest, "the command is no JSON object", "send the command with the carawayloft tool, or as docs/OPERATIONS.md describes"};
    }
    command_reader in(json);
    fleet_command command;
    command.command = command_id(in.text("command_id"));
    command.author = in.text("author");
    command.seenRevision = revision(in.number("seen", 0, UINT64_MAX));
    operator_command decoded = decodeTyped(in.text("type"), in, command);
    if (in.failure()) {
        return *in.failure();
    }
    return decoded;
}

template<class Key, class Record>
static ordered_json listOf(const std::map<Key, Record> &records)
{
    ordered_json list = ordered_json::array();
    for (const auto &[key, record] : records) {
        list.push_back(json::from(record));
    }
    return list;
}

static ordered_json groupsOf(const control_pipe &pipe, time_point now)
{
    ordered_json list = ordered_json::array();
    for (const auto &[id, group] : pipe.fleet().groups()) {
        ordered_json each = json::from(group);
        const host_record *lead = pipe.fleet().host(group.hosts.front());
        const lease_renewal *report = pipe.leases().latestReport(group);
        each["zone"] = lead == nullptr ? std::string() : lead->zone.value();
        each["serving"] = pipe.leases().isServing(group, now);
        each["running"] = report == nullptr ? 0 : report->running;
        list.push_back(std::move(each));
    }
    return list;
}

static ordered_json measuresOf(const control_pipe &pipe)
{
    ordered_json list = ordered_json::array();
    for (const auto &[id, measured] : pipe.measured().services()) {
        list.push_back({{"service", id.value()},
                        {"groups", measured.groups},
                        {"serving", measured.serving},
                        {"stranded_hosts", measured.stranded},
                        {"group_downtime_ms", measured.groupDowntime.count()},
                        {"moving_ms", measured.zoneMoveTime.count()},
                        {"moving_served_ms", measured.zoneMoveServedTime.count()}});
    }
    return list;
}

std::string encodeStatus(const control_pipe &pipe, time_point now)
{
    const ordered_json status{{"revision", pipe.fleet().at().value()},
                              {"term", pipe.log().term().value()},
                              {"leader", replicaNumberOf(pipe.log().leader()).value()},
                              {"subscribers", pipe.published().subscribers()},
                              {"replicas", json::from(pipe.log().members())},
                              {"zones", listOf(pipe.fleet().zones())},
                              {"services", listOf(pipe.fleet().services())},
                              {"measures", measuresOf(pipe)},
                              {"groups", groupsOf(pipe, now)},
                              {"hosts", listOf(pipe.fleet().hosts())}};
    return jsonText(status);
}

result<std::string> encodeList(const std::string &what, const control_pipe &pipe, wall_time now)
{
    if (what == "zones") {
        return jsonText(listOf(pipe.fleet().zones()));
    }
    if (what == "services") {
        return jsonText(listOf(pipe.fleet().services()));
    }
    if (what == "accounts") {
        ordered_json list = listOf(pipe.fleet().accounts());
        for (ordered_json &each : list) {
            each.erase("key_digest");
        }
        return jsonText(list);
    }
    if (what == "hosts") {
        return jsonText(listOf(pipe.fleet().hosts()));
    }
    if (what == "groups") {
        return jsonText(groupsOf(pipe, std::chrono::steady_clock::now()));
    }
    if (what == "plans") {
        return jsonText(listOf(pipe.fleet().plans()));
    }
    if (what == "quarantine") {
        return jsonText(listOf(pipe.fleet().quarantine()));
    }
    if (what == "claims") {
        return jsonText(json::from(pipe.claims().unknown(now)));
    }
    return error{
        error_kind::InvalidRequest, "there is no list of '" + what + "'", "ask for zones, services, accounts, hosts, groups, plans, quarantine or claims"};
}

result<std::string> encodePlan(plan_id plan, const control_pipe &pipe)
{
    const auto found = pipe.fleet().plans().find(plan);
    if (found == pipe.fleet().plans().end()) {
        return error{error_kind::UnknownPlan, "plan " + std::to_string(plan.value()) + " does not exist", "list the plans with 'carawayloft plan list'"};
    }
    return jsonText(json::from(found->second));
}

result<std::string> encodeClaim(const client_account_id &account, const idempotency_key &key, const control_pipe &pipe)
{
    const claim_record *claim = pipe.claims().find(account, key);
    if (claim == nullptr) {
        return error{error_kind::UnknownClaim, "there is no claim of that client account and key", "check both; claims are kept for seven days"};
    }
    return jsonText(json::from(*claim));
}

std::string encodeAccepted(revision at)
{
    return jsonText(ordered_json{{"revision", at.value()}});
}

} // namespace carawayloft
