#pragma once

#include "ends/http_client.h"
#include "ends/http_types.h"

#include <carawayloft/fleet/fleet_pipe_messages.h>
#include <carawayloft/gateway/gateway_messages.h>

#include <optional>

namespace carawayloft {

// Requests of operators and backend servers to a control replica.

/** Puts a validated configuration in force. */
struct configuration_change {
    configuration_record configuration;
    std::optional<error> objection{}; /**< Why it is rejected, unless its version is in force already: then it was accepted before. */
};

/** Reads the configuration in force. */
struct configuration_query {
};

/** Takes an availability zone out of service or returns it to service. */
struct zone_change {
    zone_record zone;
};

using control_request = std::variant<configuration_change, configuration_query, zone_change, backend_check_in, backend_departure>;

/** Reply to a check-in: the endpoint for the backend server's further announcements. */
struct check_in_accepted {
    endpoint announceTo;
};

/** The codec functions of one installation's interface to callers, backend servers and operators. They are stateless. */
struct front_end {
    /** Returns nothing if the path is not one of the installation's interface. Fails with InvalidRequest. */
    result<std::optional<control_request>> (*decodeControlRequest)(const http_request &request);
    http_response (*encodeCheckInAccepted)(const check_in_accepted &answer);
    result<service_configuration> (*readConfiguration)(const std::string &document);

    http_call (*encodeOrder)(const send_engine_order &order);
    order_outcome (*decodeOrderAnswer)(std::uint32_t status);

    /** Fails with InvalidRequest. The task assigns the request's id. */
    result<gateway_request> (*decodeGatewayRequest)(const http_request &request);
    http_call (*encodeBackendCall)(const http_request &request, const call_backend &call);
    backend_answer_started (*decodeBackendAnswer)(const http_started &answer, const http_request &request, backend_call_id call);
    http_response (*encodeRejection)(const reject_request &rejection, const std::string &callerRequestId);
};

} // namespace carawayloft
