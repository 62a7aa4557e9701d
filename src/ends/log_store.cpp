#include "ends/log_store.h"

#include "codec/flat_codec.h"

#include <algorithm>
#include <charconv>

namespace carawayloft {

static constexpr std::string_view segmentPrefix = "segment-";
static constexpr std::string_view snapshotPrefix = "snapshot-";

static std::string numberedName(std::string_view prefix, std::uint64_t number)
{
    return std::string(prefix) + std::to_string(number);
}

static std::optional<std::uint64_t> numberIn(const std::string &name, std::string_view prefix)
{
    if (!name.starts_with(prefix)) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + prefix.size(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

/** The file with the highest number behind @p prefix. */
static std::optional<std::uint64_t> newest(const folder_contents &folder, std::string_view prefix)
{
    std::optional<std::uint64_t> best;
    for (const auto &[name, data] : folder) {
        best = std::max(best, numberIn(name, prefix));
    }
    return best;
}

static error damaged(const std::string &file)
{
    return {error_kind::DiskDamaged,
            "file " + file + " is damaged",
            "remove this replica's data folder and start it again; it rejoins with a copy from the others"};
}

static result<log_snapshot> readSnapshot(const std::string &name, const bytes &file)
{
    const result<segment_contents> contents = decodeSegment(file);
    if (failed(contents) || valueOf(contents).payloads.size() != 1) {
        return damaged(name);
    }
    std::optional<log_snapshot> snapshot = flat::decode<log_snapshot>(valueOf(contents).payloads.front());
    if (!snapshot) {
        return damaged(name);
    }
    return std::move(*snapshot);
}

static void applyBatch(const log_batch &batch, recovered_log &log)
{
    if (batch.hasPromise) {
        log.hardState = batch.hardState;
    }
    for (const log_entry &entry : batch.entries) {
        while (!log.entries.empty() && log.entries.back().index >= entry.index) {
            log.entries.pop_back();
        }
        log.entries.push_back(entry);
    }
}

/** Drops entries that the snapshot covers, and all of them when they are of another history than it. */
static void joinWithSnapshot(recovered_log &log)
{
    const auto covered = std::find_if(log.entries.begin(), log.entries.end(), [&](const log_entry &each) { return each.index == log.snapshot.index; });
    if (covered != log.entries.end() && covered->term != log.snapshot.term) {
        log.entries.clear();
    }
    std::erase_if(log.entries, [&](const log_entry &each) { return each.index <= log.snapshot.index; });
}

static bool isContinuous(const recovered_log &log)
{
    log_index expected = next(log.snapshot.index);
    for (const log_entry &each : log.entries) {
        if (each.index != expected) {
            return false;
        }
        expected = next(expected);
    }
    return true;
}

result<log_store::opened> log_store::open(const folder_contents &folder)
{
    opened result;
    log_store &store = result.store;
    if (const auto number = newest(folder, snapshotPrefix)) {
        store.m_snapshotFile = numberedName(snapshotPrefix, *number);
        auto snapshot = readSnapshot(store.m_snapshotFile, folder.at(store.m_snapshotFile));
        if (failed(snapshot)) {
            return errorOf(snapshot);
        }
        result.recovered.snapshot = std::move(valueOf(snapshot));
    }
    store.m_segment = newest(folder, segmentPrefix).value_or(0);
    const std::string segment = numberedName(segmentPrefix, store.m_segment);
    if (const auto file = folder.find(segment); file != folder.end()) {
        const auto contents = decodeSegment(file->second);
        if (failed(contents)) {
            return errorOf(contents);
        }
        for (const bytes &payload : valueOf(contents).payloads) {
            const std::optional<log_batch> batch = flat::decode<log_batch>(payload);
            if (!batch) {
                return damaged(segment);
            }
            applyBatch(*batch, result.recovered);
        }
        store.m_sequence = valueOf(contents).payloads.size();
        store.m_segmentBytes = valueOf(contents).intactBytes;
        if (store.m_segmentBytes < file->second.size()) {
            result.repairs.emplace_back(truncate_file{segment, store.m_segmentBytes});
        }
    }
    joinWithSnapshot(result.recovered);
    if (!isContinuous(result.recovered)) {
        return damaged(segment);
    }
    store.m_promise = result.recovered.hardState;
    for (const auto &[name, data] : folder) {
        const bool oldSegment = numberIn(name, segmentPrefix) && name != segment;
        const bool oldSnapshot = numberIn(name, snapshotPrefix) && name != store.m_snapshotFile;
        if (oldSegment || oldSnapshot) {
            result.repairs.emplace_back(remove_file{name});
        }
    }
    return result;
}

void log_store::add(const replicated_log_output &output)
{
    if (const auto *hardState = std::get_if<persist_hard_state>(&output)) {
        log_batch &batch = m_batch ? *m_batch : m_batch.emplace();
        batch.hasPromise = true;
        batch.hardState = m_promise = hardState->hardState;
    } else if (const auto *entries = std::get_if<persist_entries>(&output)) {
        log_batch &batch = m_batch ? *m_batch : m_batch.emplace();
        batch.entries.insert(batch.entries.end(), entries->entries.begin(), entries->entries.end());
    } else if (const auto *snapshot = std::get_if<persist_snapshot>(&output)) {
        storeSnapshot(*snapshot);
    }
}

bytes log_store::takeBatch()
{
    bytes record = encodeRecord(m_sequence++, flat::encode(*m_batch));
    m_batch.reset();
    return record;
}

void log_store::storeSnapshot(const persist_snapshot &output)
{
    // The new segment repeats the hardState and every entry behind the snapshot, so the old one may go.
    const std::string oldSegment = numberedName(segmentPrefix, m_segment);
    const std::string oldSnapshot = m_snapshotFile;
    m_snapshotFile = numberedName(snapshotPrefix, output.snapshot.index.value());
    m_operations.emplace_back(replace_file{m_snapshotFile, encodeRecord(0, flat::encode(output.snapshot))});
    m_batch = log_batch{true, m_promise, output.rest};
    m_sequence = 0;
    ++m_segment;
    bytes record = takeBatch();
    m_segmentBytes = record.size();
    m_operations.emplace_back(replace_file{numberedName(segmentPrefix, m_segment), std::move(record)});
    m_operations.emplace_back(remove_file{oldSegment});
    if (!oldSnapshot.empty() && oldSnapshot != m_snapshotFile) {
        m_operations.emplace_back(remove_file{oldSnapshot});
    }
}

std::vector<disk_operation> log_store::flush()
{
    if (m_batch) {
        const std::string segment = numberedName(segmentPrefix, m_segment);
        bytes record = takeBatch();
        m_segmentBytes += record.size();
        m_operations.emplace_back(append_file{segment, std::move(record)});
        m_operations.emplace_back(sync_file{segment});
    }
    return std::exchange(m_operations, {});
}

} // namespace carawayloft
