#include "daemon/settings.h"

#include "ends/frame_link.h"

#include <toml++/toml.h>

#include <algorithm>

namespace carawayloft {

static constexpr std::int64_t noMaximum = INT64_MAX;

const std::vector<setting_key> &settingKeys()
{
    static const std::vector<setting_key> keys{
        {"process", "name", "text", "", 0, 0, "Name of the process in logs; unique."},
        {"process", "zone", "text", "", 0, 0, "Availability zone that the process runs in."},
        {"process", "roles", "list", "", 0, 0, "Roles of the process: entry, agent, control."},
        {"log", "format", "text", "\"key_value\"", 0, 0, "Form of a log line: key_value or json."},
        {"log", "level", "text", "\"info\"", 0, 0, "Least severity that is logged: debug, info, warning or error."},
        {"control", "peers", "peers", "", 0, 0, "Every control replica: { number, frames, http }."},
        {"entry", "http", "address", "", 0, 0, "Where callers are served."},
        {"entry", "max_body_bytes", "number", "4194304", 1'024, 1 << 30, "Longest request body, in bytes."},
        {"entry", "default_timeout_ms", "number", "120000", 100, 86'400'000, "Time limit of a request that states none, in milliseconds."},
        {"entry", "stop_bound_s", "number", "600", 1, 86'400, "Longest planned stop, in seconds; what is still in flight then is reported and cut."},
        {"entry",
         "max_connections_per_address",
         "number",
         "0",
         0,
         1'000'000,
         "Most connections of one client address at once; 0 for no limit, since callers may share an address."},
        {"agent", "host", "text", "", 0, 0, "Host that the agent runs on; unique."},
        {"agent", "fabric_domain", "text", "", 0, 0, "Fabric domain of the host."},
        {"agent", "frames", "address", "", 0, 0, "Where entries and other agents reach this agent."},
        {"agent", "http", "address", "", 0, 0, "Where the backend server beside the agent announces itself, and metrics are read."},
        {"agent", "stop_bound_s", "number", "600", 1, 86'400, "Longest planned stop, in seconds; what is still in flight then is reported and cut."},
        {"replica", "number", "number", "", 1, 99, "Number of this control replica among the peers."},
        {"replica", "data", "text", "", 0, 0, "Data folder of this control replica."},
        {"replica", "heartbeat_period_ms", "number", "100", 5, 10'000, "Time between a leader's heartbeats, in milliseconds."},
        {"replica", "election_timeout_ms", "number", "1000", 50, 60'000, "Least silence of a leader that leads to an election, in milliseconds."},
        {"replica", "entries_to_compact", "number", "10000", 10, noMaximum, "Log entries behind the last snapshot that lead to another."},
        {"replica",
         "repair_delay_ms",
         "number",
         "5000",
         100,
         3'600'000,
         "Time that a member of a group may be missing before it is replaced, in milliseconds."},
        {"replica", "settle_time_ms", "number", "3000", 0, 3'600'000, "Time that free hosts wait for others of their fabric domain, in milliseconds."},
        {"replica", "weight_loads_at_once", "number", "4", 1, 10'000, "Groups that may load weights from the weight store at once."},
        {"replica", "weight_load_s", "number", "60", 0, 86'400, "Time that plans allow for a group to load weights, in seconds."},
        {"replica", "drain_s", "number", "120", 0, 86'400, "Time that plans allow for a group to finish its answers, in seconds."},
        {"replica", "min_free_mb", "number", "64", 1, noMaximum, "Free space on the data folder's disk below which no change is accepted, in mebibytes."},
    };
    return keys;
}

namespace {

/** Reads values from a parsed file and keeps the first error. */
class settings_reader
{
public:
    settings_reader(const std::string &path, const toml::table &file)
        : m_path(path)
        , m_file(file)
    {
        rejectUnknown();
    }

    const std::optional<error> &failure() const
    {
        return m_failure;
    }

    bool hasSection(const char *section) const
    {
        return m_file[section].is_table();
    }

    std::string text(const char *section, const char *key)
    {
        return read<std::string>(section, key, "a quoted string");
    }

    std::int64_t number(const char *section, const char *key)
    {
        const auto value = read<std::int64_t>(section, key, "an integer");
        const setting_key &known = findKey(section, key);
        if (!m_failure && (value < known.minimum || value > known.maximum)) {
            fail(m_file[section][key].node(),
                 qualifiedKey(section, key) + " is " + std::to_string(value),
                 "set it from " + std::to_string(known.minimum) + " to " + std::to_string(known.maximum));
        }
        return value;
    }

    endpoint address(const char *section, const char *key)
    {
        return checkedAddress(text(section, key), m_file[section][key].node(), qualifiedKey(section, key));
    }

    std::set<std::string> roles()
    {
        std::set<std::string> roles;
        const toml::array *list = m_file["process"]["roles"].as_array();
        if (list == nullptr || list->empty()) {
            fail(m_file["process"].node(), "process.roles is missing", "list one or more of \"entry\", \"agent\", \"control\"");
            return roles;
        }
        for (const toml::node &each : *list) {
            const std::string role = each.value_or(std::string());
            if (role != "entry" && role != "agent" && role != "control") {
                fail(&each, "process.roles has the unknown role '" + role + "'", "use \"entry\", \"agent\" and \"control\" only");
            }
            roles.insert(role);
        }
        return roles;
    }

    std::vector<control_peer> peers()
    {
        std::vector<control_peer> peers;
        const toml::array *list = m_file["control"]["peers"].as_array();
        if (list == nullptr || list->empty()) {
            fail(
                m_file["control"].node(), "control.peers is missing", "list every control replica as { number = 1, frames = \"IP:port\", http = \"IP:port\" }");
            return peers;
        }
        for (const toml::node &each : *list) {
            peers.push_back(peer(each));
        }
        return peers;
    }

    void fail(const toml::node *node, const std::string &what, const std::string &remedy)
    {
        if (!m_failure) {
            const std::string line = node == nullptr || node->source().begin.line == 0 ? std::string() : ":" + std::to_string(node->source().begin.line);
            m_failure = error{error_kind::InvalidSettings, m_path + line + ": " + what, remedy};
        }
    }

private:
    static std::string qualifiedKey(const char *section, const char *key)
    {
        return std::string(section) + "." + key;
    }

    static const setting_key &findKey(const std::string &section, const std::string &key)
    {
        return *std::find_if(settingKeys().begin(), settingKeys().end(), [&](const setting_key &each) { return section == each.section && key == each.key; });
    }

    void rejectUnknown()
    {
        for (const auto &[section, node] : m_file) {
            const std::string sectionName(section.str());
            const bool known = std::any_of(settingKeys().begin(), settingKeys().end(), [&](const setting_key &each) { return sectionName == each.section; });
            if (!known || !node.is_table()) {
                fail(&node, "unknown section '" + sectionName + "'", "remove it or correct its name");
                continue;
            }
            for (const auto &[key, value] : *node.as_table()) {
                rejectUnknownKey(sectionName, std::string(key.str()), value);
            }
        }
    }

    void rejectUnknownKey(const std::string &section, const std::string &key, const toml::node &value)
    {
        const bool known
            = std::any_of(settingKeys().begin(), settingKeys().end(), [&](const setting_key &each) { return section == each.section && key == each.key; });
        if (!known) {
            fail(&value, "unknown key '" + section + "." + key + "'", "remove it or correct its name");
        }
    }

    template<class T>
    T read(const char *section, const char *key, const std::string &expected)
    {
        const auto view = m_file[section][key];
        const setting_key &known = findKey(section, key);
        if (!view && *known.defaultValue != '\0') {
            const toml::table defaultValue = toml::parse(std::string("value = ") + known.defaultValue);
            return defaultValue["value"].value<T>().value_or(T());
        }
        const std::optional<T> value = view.template value_exact<T>();
        if (!value) {
            const std::string problem = view ? " has the wrong type" : " is missing";
            fail(view ? view.node() : m_file[section].node(), qualifiedKey(section, key) + problem, "set it to " + expected + ": " + known.meaning);
        }
        return value.value_or(T());
    }

    endpoint checkedAddress(const std::string &text, const toml::node *node, const std::string &name)
    {
        endpoint address(text);
        if (const auto parsed = parseEndpoint(address); !m_failure && failed(parsed)) {
            fail(node, name + ": " + errorOf(parsed).what, errorOf(parsed).remedy);
        }
        return address;
    }

    control_peer peer(const toml::node &node)
    {
        const toml::table *table = node.as_table();
        const std::int64_t number = table == nullptr ? 0 : (*table)["number"].value_or(std::int64_t{0});
        if (number < 1 || number > findKey("replica", "number").maximum) {
            fail(&node, "an entry of control.peers has no valid number", "number the control replicas from 1");
            return {};
        }
        return {replica_number(static_cast<std::uint32_t>(number)),
                checkedAddress((*table)["frames"].value_or(std::string()), &node, "control.peers.frames"),
                checkedAddress((*table)["http"].value_or(std::string()), &node, "control.peers.http"),
                {}};
    }

    const std::string &m_path;
    const toml::table &m_file;
    std::optional<error> m_failure;
};

} // namespace

static severity readLevel(settings_reader &in)
{
    const std::string level = in.text("log", "level");
    if (level == "debug") {
        return severity::Debug;
    }
    if (level == "warning") {
        return severity::Warning;
    }
    if (level == "error") {
        return severity::Error;
    }
    if (level != "info") {
        in.fail(nullptr, "unknown log.level '" + level + "'", "use debug, info, warning or error");
    }
    return severity::Info;
}

static log_format readFormat(settings_reader &in)
{
    const std::string format = in.text("log", "format");
    if (format != "json" && format != "key_value") {
        in.fail(nullptr, "unknown log.format '" + format + "'", "use key_value or json");
    }
    return format == "json" ? log_format::Json : log_format::KeyValue;
}

static duration milliseconds(settings_reader &in, const char *section, const char *key)
{
    return duration(in.number(section, key));
}

static std::chrono::seconds seconds(settings_reader &in, const char *section, const char *key)
{
    return std::chrono::seconds(in.number(section, key));
}

static entry_settings readEntry(settings_reader &in)
{
    return {in.address("entry", "http"),
            static_cast<std::size_t>(in.number("entry", "max_body_bytes")),
            milliseconds(in, "entry", "default_timeout_ms"),
            seconds(in, "entry", "stop_bound_s"),
            static_cast<std::size_t>(in.number("entry", "max_connections_per_address"))};
}

static agent_settings readAgent(settings_reader &in)
{
    return {host_id(in.text("agent", "host")),
            fabric_domain_id(in.text("agent", "fabric_domain")),
            in.address("agent", "frames"),
            in.address("agent", "http"),
            seconds(in, "agent", "stop_bound_s")};
}

static replica_settings readReplica(settings_reader &in)
{
    static constexpr std::uint64_t mebibyte = 1U << 20U;
    replica_settings replica;
    replica.number = replica_number(static_cast<std::uint32_t>(in.number("replica", "number")));
    replica.dataFolder = in.text("replica", "data");
    replica.heartbeatPeriod = milliseconds(in, "replica", "heartbeat_period_ms");
    replica.electionTimeout = milliseconds(in, "replica", "election_timeout_ms");
    replica.entriesToCompact = static_cast<std::uint64_t>(in.number("replica", "entries_to_compact"));
    replica.repairDelay = milliseconds(in, "replica", "repair_delay_ms");
    replica.settleTime = milliseconds(in, "replica", "settle_time_ms");
    replica.weightLoadsAtOnce = static_cast<std::uint32_t>(in.number("replica", "weight_loads_at_once"));
    replica.weightLoad = seconds(in, "replica", "weight_load_s");
    replica.drain = seconds(in, "replica", "drain_s");
    replica.minFreeBytes = static_cast<std::uint64_t>(in.number("replica", "min_free_mb")) * mebibyte;
    return replica;
}

static void checkReplica(settings_reader &in, settings &loaded)
{
    const auto isOwn = [&](const control_peer &each) { return each.number == loaded.replica->number; };
    const auto own = std::find_if(loaded.control.begin(), loaded.control.end(), isOwn);
    if (own != loaded.control.end()) {
        loaded.replica->frames = own->frames;
        loaded.replica->http = own->http;
        loaded.replica->maxVoters = loaded.control.size();
    } else {
        in.fail(nullptr,
                "replica.number " + std::to_string(loaded.replica->number.value()) + " is not among control.peers",
                "add this replica to control.peers in the settings of every process");
    }
    if (loaded.replica->heartbeatPeriod * 3 > loaded.replica->electionTimeout) {
        in.fail(nullptr, "replica.election_timeout_ms is shorter than three heartbeat periods", "raise it or lower replica.heartbeat_period_ms");
    }
}

static result<settings> readSettings(settings_reader &in)
{
    settings loaded;
    loaded.process = in.text("process", "name");
    loaded.zone = availability_zone_id(in.text("process", "zone"));
    loaded.format = readFormat(in);
    loaded.threshold = readLevel(in);
    loaded.control = in.peers();
    const std::set<std::string> roles = in.roles();
    if (roles.contains("entry")) {
        loaded.entry = readEntry(in);
    }
    if (roles.contains("agent")) {
        loaded.agent = readAgent(in);
    }
    if (roles.contains("control")) {
        loaded.replica = readReplica(in);
        checkReplica(in, loaded);
    }
    return in.failure() ? result<settings>(*in.failure()) : result<settings>(std::move(loaded));
}

result<settings> loadSettings(const std::string &path)
{
    try {
        const toml::table file = toml::parse_file(path);
        settings_reader in(path, file);
        return readSettings(in);
    } catch (const toml::parse_error &failure) {
        return error{error_kind::InvalidSettings,
                     path + ":" + std::to_string(failure.source().begin.line) + ": " + std::string(failure.description()),
                     "correct the TOML syntax"};
    }
}

} // namespace carawayloft
