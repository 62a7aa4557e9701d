#pragma once

#include <carawayloft/control/log_entry.h>
#include <carawayloft/core/result.h>

#include <cstdint>
#include <vector>

namespace carawayloft {

using bytes = std::vector<std::uint8_t>;

/** What one sync makes durable: a changed hardState, entries, or both. */
struct log_batch {
    bool hasPromise = false;
    hard_state hardState;
    std::vector<log_entry> entries;

    static constexpr auto fields()
    {
        return std::tuple(field{"has_promise", &log_batch::hasPromise}, field{"promise", &log_batch::hardState}, field{"entries", &log_batch::entries});
    }
};

/** One record: a header with length, sequence number and XXH64 checksum, then @p payload. */
bytes encodeRecord(std::uint64_t sequence, const bytes &payload);

/** The payloads of a segment in order, and where the intact part ends. */
struct segment_contents {
    std::vector<bytes> payloads;
    std::size_t intactBytes = 0;
};

/**
 * Reads a segment. A last record that is not whole is a write that a crash cut off, and is left out;
 * a broken record with an intact one behind it fails with DiskDamaged.
 */
result<segment_contents> decodeSegment(const bytes &file);

} // namespace carawayloft
