// The log's files: any bytes are refused with a remedy or give a log that is continuous.

#include "fuzz_target.h"

#include "codec/flat_codec.h"
#include "ends/log_store.h"

#include <cstdlib>

using namespace carawayloft;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto opened = log_store::open({{"segment-0", {data, data + size}}});
    if (failed(opened)) {
        if (errorOf(opened).remedy.empty()) {
            std::abort();
        }
        return 0;
    }
    log_index expected(1);
    for (const log_entry &each : valueOf(opened).recovered.entries) {
        if (each.index != expected) {
            std::abort();
        }
        expected = next(expected);
    }
    return 0;
}

std::vector<std::vector<std::uint8_t>> fuzzSeeds()
{
    bytes segment;
    for (std::uint64_t i = 0; i < 4; ++i) {
        const log_batch batch{i == 0, {log_term(1), replica_id(1)}, {{log_index(i + 1), log_term(1), entry_kind::Command, {1, 2, 3}, {}}}};
        const bytes record = encodeRecord(i, flat::encode(batch));
        segment.insert(segment.end(), record.begin(), record.end());
    }
    return {segment};
}
