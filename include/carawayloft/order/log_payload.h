#pragma once

#include <carawayloft/order/claim_table.h>
#include <carawayloft/order/fleet_state.h>

#include <optional>
#include <variant>
#include <vector>

namespace carawayloft {

/** What a command entry of the agreed log holds. */
using log_payload = std::variant<fleet_command, open_claim, close_claim>;

/** All that the agreed log has led to. */
struct state_machine_snapshot {
    fleet_snapshot fleet;
    claim_snapshot claims;

    static constexpr auto fields()
    {
        return std::tuple(field{"fleet", &state_machine_snapshot::fleet}, field{"claims", &state_machine_snapshot::claims});
    }
};

/** How payloads and snapshots become bytes; the order pipe itself knows no encoding. */
struct payload_codec {
    std::vector<std::uint8_t> (*encodePayload)(const log_payload &payload);
    std::optional<log_payload> (*decodePayload)(const std::vector<std::uint8_t> &bytes);
    std::vector<std::uint8_t> (*encodeSnapshot)(const state_machine_snapshot &snapshot);
    std::optional<state_machine_snapshot> (*decodeSnapshot)(const std::vector<std::uint8_t> &bytes);
};

} // namespace carawayloft
