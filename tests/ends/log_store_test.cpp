#include "ends/log_store.h"

#include <carawayloft/core/overloaded.h>

#include "support/properties.h"

using namespace carawayloft;

namespace {

/** A disk that forgets what was not synced, in any part, when the machine loses power. */
class crashing_disk
{
public:
    void perform(const disk_operation &operation)
    {
        std::visit(overloaded{
                       [this](const append_file &out) {
                           bytes &file = m_cache[out.name];
                           file.insert(file.end(), out.data.begin(), out.data.end());
                       },
                       [this](const sync_file &out) { m_durable[out.name] = m_cache[out.name]; },
                       [this](const replace_file &out) { m_cache[out.name] = m_durable[out.name] = out.data; },
                       [this](const truncate_file &out) {
                           m_cache[out.name].resize(out.size);
                           m_durable[out.name] = m_cache[out.name];
                       },
                       [this](const remove_file &out) {
                           m_cache.erase(out.name);
                           m_durable.erase(out.name);
                       },
                   },
                   operation);
    }

    /** What a restart finds: everything synced, and any beginning of what was not. */
    folder_contents afterCrash(std::uint64_t choice) const
    {
        folder_contents found = m_durable;
        for (const auto &[name, cached] : m_cache) {
            bytes &file = found[name];
            if (cached.size() > file.size()) {
                const std::size_t kept = choice % (cached.size() - file.size() + 1);
                file.insert(
                    file.end(), cached.begin() + static_cast<std::ptrdiff_t>(file.size()), cached.begin() + static_cast<std::ptrdiff_t>(file.size() + kept));
            }
        }
        return found;
    }

private:
    folder_contents m_cache;
    folder_contents m_durable;
};

/** The naive version: the log as it stands in memory. */
struct naive_log {
    hard_state hardState;
    log_index snapshot;
    std::vector<log_entry> entries;

    friend bool operator==(const naive_log &, const naive_log &) = default;
};

} // namespace

static naive_log viewOf(const recovered_log &log)
{
    return {log.hardState, log.snapshot.index, log.entries};
}

static log_entry makeEntry(std::uint64_t index, std::uint64_t term)
{
    return {log_index(index), log_term(term), entry_kind::Command, bytes(index % 7, static_cast<std::uint8_t>(term)), {}};
}

/** Applies a random change to the naive log and returns it as the agreed log would put it out. */
static replicated_log_output changeLog(naive_log &log, std::uint64_t choice)
{
    const std::uint64_t last = log.snapshot.value() + log.entries.size();
    switch (choice % 4) {
    case 0:
        log.hardState.term = next(log.hardState.term);
        log.hardState.votedFor = replica_id(choice % 3);
        return persist_hard_state{log.hardState};
    case 1:
        if (!log.entries.empty()) {
            const std::size_t kept = choice / 4 % log.entries.size();
            log.entries.resize(kept);
            log.entries.push_back(makeEntry(log.snapshot.value() + kept + 1, log.hardState.term.value()));
            return persist_entries{{log.entries.back()}};
        }
        [[fallthrough]];
    case 2:
        log.entries.push_back(makeEntry(last + 1, log.hardState.term.value()));
        return persist_entries{{log.entries.back()}};
    default: {
        const std::size_t covered = log.entries.empty() ? 0 : choice / 4 % (log.entries.size() + 1);
        log_snapshot snapshot{log_index(log.snapshot.value() + covered), log.hardState.term, {}, bytes(covered, 1)};
        log.entries.erase(log.entries.begin(), log.entries.begin() + static_cast<std::ptrdiff_t>(covered));
        log.snapshot = snapshot.index;
        return persist_snapshot{snapshot, log.entries};
    }
    }
}

RC_GTEST_PROP(LogStore, ACrashAtAnyPointLosesNothingThatWasSynced, (const std::vector<std::uint64_t> &choices, std::uint64_t crashChoice))
{
    crashing_disk disk;
    auto opened = log_store::open({});
    log_store store = std::move(valueOf(opened).store);
    naive_log log;
    for (const std::uint64_t choice : choices) {
        const naive_log before = log;
        store.add(changeLog(log, choice));
        const std::vector<disk_operation> operations = store.flush();
        for (const disk_operation &operation : operations) {
            // A crash before the last operation shows the log before or after the change, never another.
            const auto recovered = log_store::open(disk.afterCrash(crashChoice));
            RC_ASSERT(!failed(recovered));
            const naive_log seen = viewOf(valueOf(recovered).recovered);
            RC_ASSERT((seen == before || seen == log || seen.snapshot == log.snapshot));
            disk.perform(operation);
        }
        const auto recovered = log_store::open(disk.afterCrash(crashChoice));
        RC_ASSERT(!failed(recovered));
        RC_ASSERT(viewOf(valueOf(recovered).recovered) == log);
    }
}

RC_GTEST_PROP(LogStore, GoesOnAfterARestart, (const std::vector<std::uint64_t> &choices))
{
    crashing_disk disk;
    naive_log log;
    for (const std::uint64_t choice : choices) {
        auto opened = log_store::open(disk.afterCrash(choice));
        RC_ASSERT(!failed(opened));
        RC_ASSERT(viewOf(valueOf(opened).recovered) == log);
        for (const disk_operation &each : valueOf(opened).repairs) {
            disk.perform(each);
        }
        valueOf(opened).store.add(changeLog(log, choice));
        for (const disk_operation &each : valueOf(opened).store.flush()) {
            disk.perform(each);
        }
    }
}

TEST(LogStore, ADamagedSnapshotStopsTheReplica)
{
    bytes snapshot = encodeRecord(0, {1, 2, 3});
    snapshot.back() ^= 1;
    const auto opened = log_store::open({{"snapshot-5", snapshot}});
    ASSERT_TRUE(failed(opened));
    EXPECT_EQ(errorOf(opened).kind, error_kind::DiskDamaged);
}

TEST(LogStore, OneBatchIsOneSync)
{
    auto opened = log_store::open({});
    log_store &store = valueOf(opened).store;
    store.add(persist_hard_state{{log_term(2), replica_id(1)}});
    store.add(persist_entries{{makeEntry(1, 2)}});
    store.add(persist_entries{{makeEntry(2, 2), makeEntry(3, 2)}});
    const auto operations = store.flush();
    ASSERT_EQ(operations.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<append_file>(operations[0]));
    EXPECT_TRUE(std::holds_alternative<sync_file>(operations[1]));
    EXPECT_TRUE(store.flush().empty());
}
