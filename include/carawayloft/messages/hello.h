#pragma once

#include <carawayloft/core/fields.h>
#include <carawayloft/core/ids.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace carawayloft {

/** Version of the messages that this build sends. */
inline constexpr std::uint32_t protocolVersion = 1;

/** Oldest version of the messages that this build understands. */
inline constexpr std::uint32_t oldestProtocolVersion = 1;

enum class process_role : std::uint8_t {
    Entry, /**< Takes requests of callers and dispatches them to agents. */
    Agent,
    Control,
    Tool,
    Gateway, /**< Takes requests of callers and calls backend servers itself. */
};

/** First message in each direction of a connection. */
struct hello {
    std::uint32_t version = protocolVersion;
    std::uint32_t oldestVersion = oldestProtocolVersion;
    process_role role = process_role::Tool;
    std::string process;
    availability_zone_id zone;
    host_id host; /**< Of an agent; otherwise empty. */
    replica_id replica;

    static constexpr auto fields()
    {
        return std::tuple(field{"version", &hello::version},
                          field{"oldest_version", &hello::oldestVersion},
                          field{"role", &hello::role},
                          field{"process", &hello::process},
                          field{"zone", &hello::zone},
                          field{"host", &hello::host},
                          field{"replica", &hello::replica});
    }
};

} // namespace carawayloft
