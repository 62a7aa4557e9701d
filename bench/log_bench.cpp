// Commits a second and latency by batch size, against one bare fdatasync in the same run; recovery time
// and disk size by the number of changes. One replica and a real disk; the folder is the first argument.

#include "codec/payload_codec.h"
#include "ends/data_folder.h"

#include <carawayloft/control/replicated_log.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>

using namespace carawayloft;

static constexpr int rounds = 200;
static constexpr std::size_t payloadBytes = 256;

static double millisecondsSince(time_point begun)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
}

static double medianOf(std::vector<double> values)
{
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2), values.end());
    return values[values.size() / 2];
}

static double bareSync(data_folder &folder)
{
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i) {
        const time_point begun = std::chrono::steady_clock::now();
        (void)folder.perform({append_file{"bare", bytes(payloadBytes, 1)}, sync_file{"bare"}});
        times.push_back(millisecondsSince(begun));
    }
    return medianOf(times);
}

static recovered_log makeSingleReplica(replica_id self)
{
    recovered_log log;
    log.hardState.term = log_term(1);
    log.entries = {{log_index(1), log_term(1), entry_kind::Membership, {}, {{self, member_role::Voter, {}, {}, {}}}}};
    return log;
}

static void measureBatches(data_folder &folder, double bare)
{
    std::printf("%10s %14s %14s %18s\n", "batch", "median ms", "commits/s", "of a bare sync");
    for (const int batch : {1, 4, 16, 64, 256}) {
        replicated_log_options options;
        options.self = makeReplicaId(replica_number(1), initialDiskIncarnation);
        time_point now = std::chrono::steady_clock::now();
        auto created = replicated_log::create(options, makeSingleReplica(options.self), now);
        replicated_log log = std::move(valueOf(created));
        auto opened = log_store::open({});
        log_store store = std::move(valueOf(opened).store);
        now += std::chrono::seconds(10);
        for (const replicated_log_output &out : log.step(log_tick{}, now)) {
            store.add(out);
        }
        std::vector<double> times;
        for (int round = 0; round < rounds; ++round) {
            const time_point begun = std::chrono::steady_clock::now();
            int committed = 0;
            for (int i = 0; i < batch; ++i) {
                for (const replicated_log_output &out : log.step(log_proposal{log_request_token(1), bytes(payloadBytes, 1)}, now)) {
                    store.add(out);
                    committed += std::holds_alternative<entry_committed>(out) ? 1 : 0;
                }
            }
            (void)folder.perform(store.flush());
            times.push_back(millisecondsSince(begun));
            if (committed != batch) {
                std::printf("only %d of %d were committed\n", committed, batch);
            }
        }
        const double median = medianOf(times);
        std::printf("%10d %14.3f %14.0f %18.2f\n", batch, median, batch * 1'000 / median, median / bare);
    }
}

static void measureRecovery(const std::string &path)
{
    std::printf("%10s %14s %14s\n", "changes", "disk KiB", "recovery ms");
    for (const int changes : {100, 1'000, 10'000, 100'000}) {
        std::filesystem::remove_all(path);
        auto folder = data_folder::open(path);
        auto opened = log_store::open({});
        log_store store = std::move(valueOf(opened).store);
        for (int i = 1; i <= changes; ++i) {
            const fleet_command command{command_id("c" + std::to_string(i)), "bench", {}, put_zone{{availability_zone_id("zone"), zone_state::Serving}}};
            store.add(
                persist_entries{{{log_index(static_cast<std::uint64_t>(i)), log_term(1), entry_kind::Command, flatPayloadCodec().encodePayload(command), {}}}});
            if (i % 100 == 0) {
                (void)valueOf(folder)->perform(store.flush());
            }
        }
        const time_point begun = std::chrono::steady_clock::now();
        const auto files = valueOf(folder)->readAll();
        const auto recovered = log_store::open(valueOf(files));
        fleet_state fleet;
        for (const log_entry &each : valueOf(recovered).recovered.entries) {
            const auto payload = flatPayloadCodec().decodePayload(each.payload);
            (void)fleet.apply(std::get<fleet_command>(*payload), revision(each.index.value()));
        }
        std::printf("%10d %14zu %14.1f\n", changes, store.segmentBytes() / 1024, millisecondsSince(begun));
    }
}

int main(int argc, char **argv)
{
    const std::string path = argc > 1 ? argv[1] : std::filesystem::temp_directory_path() / "carawayloft-log-bench";
    std::filesystem::remove_all(path);
    {
        auto folder = data_folder::open(path);
        if (failed(folder)) {
            std::fprintf(stderr, "%s\n", describe(errorOf(folder)).c_str());
            return 1;
        }
        const double bare = bareSync(*valueOf(folder));
        std::printf("one bare append and fdatasync: %.3f ms (median of %d)\n", bare, rounds);
        measureBatches(*valueOf(folder), bare);
    }
    measureRecovery(path);
    std::filesystem::remove_all(path);
    return 0;
}
