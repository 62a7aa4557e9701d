#include "codec/payload_codec.h"

#include "codec/flat_codec.h"

namespace carawayloft {

payload_codec flatPayloadCodec()
{
    return {&flat::encode<log_payload>, &flat::decode<log_payload>, &flat::encode<state_machine_snapshot>, &flat::decode<state_machine_snapshot>};
}

} // namespace carawayloft
