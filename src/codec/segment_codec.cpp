#include "codec/segment_codec.h"

#include <xxhash.h>

#include <cstring>
#include <optional>

namespace carawayloft {

static constexpr std::uint32_t recordMagic = 0x43574C52;

namespace {

/** Little-endian on disk, as on every machine that this runs on. */
struct record_header {
    std::uint32_t magic = recordMagic;
    std::uint32_t length = 0;
    std::uint64_t sequence = 0;
    std::uint64_t checksum = 0;
};

struct record_view {
    std::uint64_t sequence = 0;
    const std::uint8_t *payload = nullptr;
    std::size_t length = 0;

    std::size_t size() const
    {
        return sizeof(record_header) + length;
    }
};

} // namespace

/** Covers the sequence number too, so that a record cannot stand in another's place. */
static std::uint64_t checksumOf(std::uint64_t sequence, const std::uint8_t *payload, std::size_t length)
{
    return XXH64(payload, length, sequence);
}

static std::optional<record_view> readRecord(const bytes &file, std::size_t at)
{
    record_header header;
    if (file.size() - at < sizeof(header)) {
        return std::nullopt;
    }
    std::memcpy(&header, file.data() + at, sizeof(header));
    if (header.magic != recordMagic || header.length > file.size() - at - sizeof(header)) {
        return std::nullopt;
    }
    const std::uint8_t *payload = file.data() + at + sizeof(header);
    if (checksumOf(header.sequence, payload, header.length) != header.checksum) {
        return std::nullopt;
    }
    return record_view{header.sequence, payload, header.length};
}

static bool hasRecordBehind(const bytes &file, std::size_t from)
{
    for (std::size_t at = from; at + sizeof(record_header) <= file.size(); ++at) {
        if (readRecord(file, at)) {
            return true;
        }
    }
    return false;
}

bytes encodeRecord(std::uint64_t sequence, const bytes &payload)
{
    const record_header header{recordMagic, static_cast<std::uint32_t>(payload.size()), sequence, checksumOf(sequence, payload.data(), payload.size())};
    bytes record(sizeof(header) + payload.size());
    std::memcpy(record.data(), &header, sizeof(header));
    std::copy(payload.begin(), payload.end(), record.begin() + sizeof(header));
    return record;
}

result<segment_contents> decodeSegment(const bytes &file)
{
    segment_contents contents;
    while (contents.intactBytes < file.size()) {
        const std::optional<record_view> record = readRecord(file, contents.intactBytes);
        if (record && record->sequence == contents.payloads.size()) {
            contents.payloads.emplace_back(record->payload, record->payload + record->length);
            contents.intactBytes += record->size();
            continue;
        }
        if (record || hasRecordBehind(file, contents.intactBytes + 1)) {
            return error{error_kind::DiskDamaged,
                         "the log is damaged at byte " + std::to_string(contents.intactBytes) + " with intact records behind it",
                         "remove this replica's data folder and start it again; it rejoins with a copy from the others"};
        }
        break;
    }
    return contents;
}

} // namespace carawayloft
