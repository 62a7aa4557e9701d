#pragma once

#include <carawayloft/gateway/gateway_pipe.h>

#include "support/service_builder.h"

namespace carawayloft::test_support {

/** A gateway with its connection to control. */
struct simulated_gateway {
    gateway_pipe pipe;
    link_id link;
};

inline gateway_pipe_options makeGatewayOptions(std::uint64_t seed)
{
    return {availability_zone_id("mid-a"), {0.2, 300.0, duration(10'000), 1.5, 5.0}, seed};
}

} // namespace carawayloft::test_support
