#pragma once

#include "ends/disk_operation.h"

#include <carawayloft/control/replicated_log.h>

#include <map>
#include <optional>

namespace carawayloft {

/** The files of a data folder by name. */
using folder_contents = std::map<std::string, bytes>;

/**
 * Turns what the agreed log must persist into operations on files, and files back into a log. A segment
 * holds records since the last snapshot; each snapshot starts a new one. Has no file handle of its own.
 */
class log_store
{
public:
    struct opened;

    /** Fails with DiskDamaged when the files contradict each other or are damaged. */
    static result<opened> open(const folder_contents &folder);

    /** Collects a persist_* output; others are passed over. */
    void add(const replicated_log_output &output);

    /** Operations that make everything added so far durable. */
    std::vector<disk_operation> flush();

    std::size_t segmentBytes() const
    {
        return m_segmentBytes;
    }

private:
    void append(bytes payload);
    void storeSnapshot(const persist_snapshot &output);
    bytes takeBatch();

    hard_state m_promise;
    std::optional<log_batch> m_batch;
    std::vector<disk_operation> m_operations;
    std::uint64_t m_segment = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_segmentBytes = 0;
    std::string m_snapshotFile;
};

struct log_store::opened {
    log_store store;
    recovered_log recovered;
    std::vector<disk_operation> repairs; /**< To perform before anything else. */
};

} // namespace carawayloft
