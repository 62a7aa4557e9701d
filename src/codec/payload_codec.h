#pragma once

#include <carawayloft/control/log_payload.h>

namespace carawayloft {

/** Payloads and snapshots of the agreed log as FlatBuffers. */
payload_codec flatPayloadCodec();

} // namespace carawayloft
