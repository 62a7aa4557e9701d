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

/** A control replica as every process knows it. */
struct control_peer {
    replica_number number;
    endpoint frames;
    endpoint http;
    availability_zone_id zone; /**< Empty when not known. */
};

struct entry_settings {
    endpoint http;
    std::size_t maxBodyBytes = 0;
    duration defaultTimeLimit{0};
    duration stopTimeout{0};
};

struct agent_settings {
    host_id host;
    fabric_domain_id fabricDomain;
    endpoint frames;
    endpoint http;
    duration stopTimeout{0};
};

/** What a replica with an empty disk does. */
enum class bootstrap_mode : std::uint8_t {
    AskPeers, /**< Forms the log if no peer has seen an election, else joins. */
    Form, /**< The whole system starts for the first time; the listed replicas form the log. */
    Join, /**< The log exists, and this disk was lost or is new. */
};

struct replica_settings {
    replica_number number;
    std::string dataFolder;
    duration heartbeatPeriod{0};
    duration electionTimeout{0};
    std::uint64_t entriesToCompact = 0;
    duration repairDelay{0};
    duration settleTime{0};
    std::uint32_t weightLoadsAtOnce = 0;
    std::chrono::seconds weightLoad{0};
    std::chrono::seconds drain{0};
    std::uint64_t minFreeBytes = 0;
    bootstrap_mode bootstrapMode = bootstrap_mode::AskPeers;
    std::size_t bytesToCompact = std::size_t{64} << 20U; /**< Bytes of log entries behind the last snapshot that lead to another. */
    endpoint frames; /**< Where this replica is reached by frames. */
    endpoint http; /**< Where operators and backend servers reach it. */
    endpoint metrics; /**< Empty when metrics are read at http. */
};

/** An entry that sends straight to backend servers. */
struct gateway_settings {
    endpoint callers;
    endpoint readiness;
    endpoint metrics;
    fleet_limits limits;
    duration stopListeningDelay{0}; /**< After the start of a planned stop, time for callers to go elsewhere. */
    duration stopTimeout{0}; /**< Longest planned stop; what is still in flight then is cut. */
};

/** The settings of one process; immutable once loaded. */
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
};

/** Reads and checks a settings file; an error names the file, the line, the key and the remedy. */
result<settings> loadSettings(const std::string &path);

/** What a key of the settings may be. */
struct setting_key {
    const char *section;
    const char *key;
    const char *kind;
    const char *defaultValue; /**< As written in a file; empty when the key must be given. */
    std::int64_t minimum;
    std::int64_t maximum;
    const char *meaning;
};

/** Every key there is; docs/OPERATIONS.md lists the same. */
const std::vector<setting_key> &settingKeys();

} // namespace carawayloft
