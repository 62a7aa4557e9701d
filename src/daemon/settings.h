#pragma once

#include "ends/event_log.h"

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>
#include <carawayloft/core/units.h>
#include <carawayloft/gateway/fleet_limiter.h>
#include <carawayloft/messages/hello.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayloft {

/** Addresses of a control replica. */
struct control_peer {
    replica_number number;
    endpoint frames;
    endpoint http;
    availability_zone_id zone; /**< Empty if unknown. */
};

struct entry_settings {
    endpoint http;
    std::size_t maxBodyBytes = 0;
    duration defaultTimeLimit{0};
    duration stopTimeout{0};
    std::size_t maxConnectionsPerAddress = 0; /**< Zero for no limit. */
};

struct agent_settings {
    host_id host;
    fabric_domain_id fabricDomain;
    endpoint frames;
    endpoint http;
    duration stopTimeout{0};
};

/** How a control replica with an empty data folder obtains the replicated log. */
enum class bootstrap_mode : std::uint8_t {
    AskPeers, /**< Forms the log if no peer has seen an election, otherwise joins it. */
    Form, /**< First start of the whole system: the listed replicas form the log. */
    Join, /**< The log exists; this replica's disk is new or was lost. */
};

struct replica_settings {
    replica_number number;
    std::string dataFolder;
    duration heartbeatPeriod{0};
    duration electionTimeout{0};
    std::size_t maxVoters = 5; /**< Of the replicated log; further replicas receive it without a vote. */
    std::uint64_t entriesToCompact = 0;
    duration repairDelay{0};
    duration settleTime{0};
    std::uint32_t weightLoadsAtOnce = 0;
    std::chrono::seconds weightLoad{0};
    std::chrono::seconds drain{0};
    std::uint64_t minFreeBytes = 0;
    bootstrap_mode bootstrapMode = bootstrap_mode::AskPeers;
    std::size_t bytesToCompact = std::size_t{64} << 20U; /**< A snapshot is taken when the log entries since the last one exceed this size. */
    endpoint frames; /**< Listens for links from other processes. */
    endpoint http; /**< Listens for operators and backend servers. */
    endpoint metrics; /**< Empty if metrics are served at http. */
};

/** An entry that calls backend servers directly, without agents. */
struct gateway_settings {
    endpoint callers;
    endpoint readiness;
    endpoint metrics;
    fleet_limits limits;
    duration stopAcceptingDelay{0}; /**< Time from the start of a planned stop in which callers can move to other gateways. */
    duration stopTimeout{0}; /**< Requests still in flight at its end are aborted. */
};

/** What bounds the memory that callers can take. */
struct http_settings {
    std::size_t memoryBytes = std::size_t{160} << 20U; /**< Of the machine; the default is the smallest that gateways run on. */
    std::size_t backendMemoryBytes = std::size_t{128} << 20U; /**< Of a backend server's machine; the default is the smallest that they run on. */
    std::size_t maxConnectionsPerAddress = 0; /**< Of one client address at once; zero for no limit. */
    duration maxBodyPause{16'000}; /**< Longest pause in a request's body: the 15 s that callers may be idle, and a margin. */
};

/** The settings of one process; immutable after loading. */
struct settings {
    std::string process;
    availability_zone_id zone;
    log_format format = log_format::KeyValue;
    severity threshold = severity::Info;
    std::vector<control_peer> control;
    std::optional<entry_settings> entry;
    std::optional<agent_settings> agent;
    std::optional<replica_settings> replica;
    std::optional<gateway_settings> gateway;
    http_settings http;
};

/** Reads and validates a settings file. An error names the file, line, key and remedy. */
result<settings> loadSettings(const std::string &path);

/** Description of one key of the settings file. */
struct setting_key {
    const char *section;
    const char *key;
    const char *kind;
    const char *defaultValue; /**< In the file's syntax; empty if the key is required. */
    std::int64_t minimum;
    std::int64_t maximum;
    const char *meaning;
};

/** All keys; docs/OPERATIONS.md lists the same. */
const std::vector<setting_key> &settingKeys();

} // namespace carawayloft
