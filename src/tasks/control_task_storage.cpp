#include "tasks/control_task.h"

#include "ends/clock.h"
#include "ends/event_log.h"
#include "ends/handler_guard.h"

#include <carawayloft/core/overloaded.h>

#include <asio/post.hpp>

// Steps of the control pipe, and the storing of what they need stored before anything else of them is executed.

namespace carawayloft {

/** Interval at which a full disk is tried again, and the time after which the process ends. */
static constexpr duration diskRetryPeriod{100};
static constexpr duration maxDiskWait{30'000};

/** What this replica holds of the log may differ from that of the others after half a step; what it has stored does not. */
static error unfinishedStep()
{
    return {error_kind::Internal,
            "a step of the replicated log was not finished",
            "report event 121 before this one; the replica reads its log again at its next start"};
}

void control_task::run(const control_pipe_input &in)
{
    if (m_failed) {
        return;
    }
    if (isWaitingForDisk()) {
        // The log bears the loss of messages and ticks, but not of anything else.
        if (!std::holds_alternative<replica_message>(in) && !std::holds_alternative<control_tick>(in)) {
            m_deferredInputs.push_back(in);
        }
        return;
    }
    std::vector<control_pipe_output> outputs;
    if (!runGuarded("replicated log", [&] { outputs = m_pipe->step(in, monotonicNow()); })) {
        stopOnFailure(unfinishedStep());
        return;
    }
    m_pendingOutputs.insert(m_pendingOutputs.end(), std::make_move_iterator(outputs.begin()), std::make_move_iterator(outputs.end()));
    if (!m_pendingOutputs.empty() && !m_flushPosted) {
        m_flushPosted = true;
        asio::post(m_context, [this] { flush(); });
    }
}

void control_task::flush()
{
    m_flushPosted = false;
    m_unstoredOutputs = std::exchange(m_pendingOutputs, {});
    if (runGuarded("log store", [this] { m_diskOperations = operationsOf(m_unstoredOutputs); })) {
        store();
    } else {
        stopOnFailure(unfinishedStep());
    }
}

std::vector<disk_operation> control_task::operationsOf(const std::vector<control_pipe_output> &outputs)
{
    for (const control_pipe_output &each : outputs) {
        std::visit(overloaded{
                       [this](const persist_hard_state &out) { m_store.add(out); },
                       [this](const persist_entries &out) { m_store.add(out); },
                       [this](const persist_snapshot &out) { m_store.add(out); },
                       [](const auto &) {},
                   },
                   each);
    }
    return m_store.flush();
}

/** Performs the disk operations, and then executes the outputs that rely on them. While the disk is full, nothing else happens: the replica is as good as
 * silent. */
void control_task::store()
{
    if (!m_diskOperations.empty()) {
        const time_point start = monotonicNow();
        if (status stored = m_folder->perform(m_diskOperations); failed(stored)) {
            handleDiskFailure(errorOf(stored));
            return;
        }
        m_metrics.observe("carawayloft_log_sync_seconds", {}, monotonicNow() - start);
    }
    if (isWaitingForDisk()) {
        logEvent(event_number::DiskWritable, {{"waited_ms", std::chrono::duration_cast<duration>(monotonicNow() - *m_diskFullSince).count()}});
        m_diskFullSince.reset();
    }
    for (const control_pipe_output &each : std::exchange(m_unstoredOutputs, {})) {
        runGuarded("output of control", [&] { std::visit([this](const auto &out) { execute(out); }, each); });
    }
    m_publishedRevision = m_pipe->fleet().at();
    runGuarded("fleet configuration", [this] { updateFleetConfiguration(); });
    for (const control_pipe_input &each : std::exchange(m_deferredInputs, {})) {
        run(each);
    }
}

void control_task::handleDiskFailure(const error &failure)
{
    const time_point now = monotonicNow();
    if (failure.kind != error_kind::DiskFull || (isWaitingForDisk() && now >= *m_diskFullSince + maxDiskWait)) {
        stopOnFailure(failure);
        return;
    }
    if (!isWaitingForDisk()) {
        m_diskFullSince = now;
        logEvent(event_number::DiskFull, {{"reason", failure.what}});
    }
    m_diskTimer = m_timers.after(diskRetryPeriod, [this](time_point) { store(); });
}

void control_task::stopOnFailure(const error &failure)
{
    m_failed = true;
    logEvent(event_number::ReplicaStopped, {{"kind", name(failure.kind)}, {"reason", describe(failure)}});
    m_onEnded(false);
}

} // namespace carawayloft
