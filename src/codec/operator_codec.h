#pragma once

#include <carawayloft/control/control_pipe.h>

#include <string>
#include <variant>

namespace carawayloft {

/** What an operator sends; the token is the task's to fill in. */
using operator_command = std::variant<operator_change, operator_intent, operator_claim_settlement>;

/** Reads the JSON body of POST /v1/commands; fails with InvalidRequest. */
result<operator_command> decodeOperatorCommand(const std::string &body);

/** The whole state for people and machines: GET /v1/status. */
std::string encodeStatus(const control_pipe &pipe, time_point now);

/** One list of the state, by the name in the path; fails with InvalidRequest for an unknown one. */
result<std::string> encodeList(const std::string &what, const control_pipe &pipe, wall_time now);

/** One plan; fails with UnknownPlan. */
result<std::string> encodePlan(plan_id plan, const control_pipe &pipe);

/** One claim; fails with UnknownClaim. */
result<std::string> encodeClaim(const client_account_id &account, const idempotency_key &key, const control_pipe &pipe);

/** The answer to an accepted command. */
std::string encodeAccepted(revision at);

} // namespace carawayloft
