#pragma once

#include <carawayloft/control/claim_table.h>
#include <carawayloft/control/fleet_state.h>

#include <optional>
#include <variant>
#include <vector>

namespace carawayloft {

/** The payload of a command entry of the replicated log. */
using log_payload = std::variant<fleet_command, open_claim, close_claim>;

/** State of everything that the replicated log is applied to. */
struct state_machine_snapshot {
    fleet_snapshot fleet;
    claim_snapshot claims;

    static constexpr auto fields()
    {
        return std::tuple(field{"fleet", &state_machine_snapshot::fleet}, field{"claims", &state_machine_snapshot::claims});
    }
};

/** Encoding of payloads and snapshots, passed in so that control_pipe does not depend on it. */
struct payload_codec {
    std::vector<std::uint8_t> (*encodePayload)(const log_payload &payload);
    std::optional<log_payload> (*decodePayload)(const std::vector<std::uint8_t> &bytes);
    std::vector<std::uint8_t> (*encodeSnapshot)(const state_machine_snapshot &snapshot);
    std::optional<state_machine_snapshot> (*decodeSnapshot)(const std::vector<std::uint8_t> &bytes);
};

} // namespace carawayloft
