#pragma once

#include "ends/http_client.h"
#include "ends/http_types.h"

#include <carawayloft/fleet/fleet_pipe_messages.h>
#include <carawayloft/gateway/gateway_messages.h>

#include <optional>

namespace carawayloft {

// What operators and backend servers ask of control.

/** A validated configuration to put in force. */
struct configuration_change {
    configuration_record configuration;
};

struct configuration_query {
};

/** Take an availability zone out of service, or back. */
struct zone_change {
    zone_record zone;
};

using control_request = std::variant<configuration_change, configuration_query, zone_change, backend_check_in, backend_departure>;

/** The answer to a check-in: where to announce itself from now on. */
struct check_in_accepted {
    endpoint announceTo;
};

/** How the tasks speak to the callers, backend servers and operators of one installation. Functions without state. */
struct front_end {
    /** Nothing when the request is for other parts of the system. Fails with InvalidRequest. */
    result<std::optional<control_request>> (*decodeControlRequest)(const http_request &request);
    http_response (*encodeCheckInAccepted)(const check_in_accepted &answer);
    result<service_configuration> (*readConfiguration)(const std::string &document);

    http_call (*encodeOrder)(const send_engine_order &order);
    order_outcome (*decodeOrderAnswer)(std::uint32_t status);

    /** Fails with InvalidRequest. The request's id is left to the task. */
    result<gateway_request> (*decodeGatewayRequest)(const http_request &request);
    http_call (*encodeBackendCall)(const http_request &request, const call_backend &call);
    backend_answer_started (*decodeBackendAnswer)(const http_started &answer, const http_request &request, backend_call_id call);
    http_response (*encodeRejection)(const reject_request &refusal, const std::string &callerName);
};

} // namespace carawayloft
