#include "codec/frame_codec.h"

#include "codec/flat_codec.h"

#include <array>

namespace carawayloft {

std::vector<std::uint8_t> encodeFrame(const peer_message &message)
{
    const std::vector<std::uint8_t> body = flat::encode(message);
    const auto length = static_cast<std::uint32_t>(body.size());
    std::vector<std::uint8_t> frame(frameHeaderBytes + body.size());
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        frame[i] = static_cast<std::uint8_t>(length >> (8 * i));
    }
    std::copy(body.begin(), body.end(), frame.begin() + frameHeaderBytes);
    return frame;
}

result<std::size_t> decodeFrameLength(const std::uint8_t *header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        length |= std::size_t{header[i]} << (8 * i);
    }
    if (length == 0 || length > maxFrameBytes) {
        return error{error_kind::MalformedFrame,
                     "a frame of " + std::to_string(length) + " bytes was announced",
                     "connect only processes of this system to its frame ports"};
    }
    return length;
}

result<peer_message> decodeFrameBody(const std::vector<std::uint8_t> &body)
{
    std::optional<peer_message> message = flat::decode<peer_message>(body);
    if (!message) {
        return error{error_kind::MalformedFrame, "a frame failed verification", "check that both processes run releases that may meet"};
    }
    return std::move(*message);
}

const char *kindOf(const peer_message &message)
{
    static constexpr auto names = std::to_array<const char *>(
        {"hello",           "dispatch_request", "cancel_request",   "grant_credit",         "request_refused",    "answer_head",
         "answer_chunk",    "answer_end",       "load_report",      "member_lease_request", "member_lease_grant", "lease_renewal",
         "lease_grant",     "subscribe",        "not_leader",       "publish_snapshot",     "publish_change",     "confirm_revision",
         "announce_host",   "open_claim_call",  "close_claim_call", "claim_call_reply",     "log_traffic",        "formation_probe",
         "formation_reply", "join_request",     "publish_fleet",    "gateway_report",       "gateway_grant"});
    static_assert(names.size() == std::variant_size_v<peer_message>);
    return names[message.index()];
}

} // namespace carawayloft
