// The frames between processes: any bytes are refused or give a message that can be encoded again.

#include "fuzz_target.h"

#include "codec/frame_codec.h"

#include <cstdlib>

using namespace carawayloft;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const result<peer_message> message = decodeFrameBody({data, data + size});
    if (!failed(message) && encodeFrame(valueOf(message)).empty()) {
        std::abort();
    }
    return 0;
}

static std::vector<std::uint8_t> bodyOf(const peer_message &message)
{
    const std::vector<std::uint8_t> frame = encodeFrame(message);
    return {frame.begin() + frameHeaderBytes, frame.end()};
}

std::vector<std::vector<std::uint8_t>> fuzzSeeds()
{
    hello greeting;
    greeting.process = "entry-1";
    dispatch_request request;
    request.body = std::string(100, 'x');
    log_traffic traffic;
    traffic.message
        = append_request{log_term(1), log_index(1), log_term(1), log_index(1), 1, {{log_index(2), log_term(1), entry_kind::Command, {1, 2, 3}, {}}}};
    publish_snapshot publication;
    publication.fleet.zones = {{availability_zone_id("mid-a"), zone_state::Out}};
    publication.fleet.groups = {{group_id(1), group_epoch(1), service_id("s"), {host_id("h1"), host_id("h2")}, group_state::Active, revision(1)}};
    return {bodyOf(greeting), bodyOf(request), bodyOf(traffic), bodyOf(publication), bodyOf(lease_renewal{}), bodyOf(answer_chunk{})};
}
