#pragma once

#include "ends/event_log.h"

#include <carawayloft/core/ids.h>
#include <carawayloft/core/result.h>
#include <carawayloft/core/units.h>
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
};

struct entry_settings {
    endpoint http;
    std::size_t maxBodyBytes = 0;
    duration defaultTimeLimit{0};
    duration stopBound{0};
};

struct agent_settings {
    host_id host;
    fabric_domain_id fabricDomain;
    endpoint frames;
    endpoint http;
    duration stopBound{0};
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
};

/** Reads and checks a settings file; an error names the file, the line, the key and the remedy. */
result<settings> loadSettings(const std::string &path);

/** What a key of the settings may be. */
struct setting_key {
    const char *section;
    const char *key;
    const char *kind;
    const char *fallback; /**< As written in a file; empty when the key must be given. */
    std::int64_t least;
    std::int64_t most;
    const char *meaning;
};

/** Every key there is; docs/OPERATIONS.md lists the same. */
const std::vector<setting_key> &settingKeys();

} // namespace carawayloft
