#pragma once

#include <carawayloft/control/control_pipe_messages.h>
#include <carawayloft/control/log_payload.h>
#include <carawayloft/control/publisher.h>
#include <carawayloft/placement/availability_meter.h>

#include <map>

namespace carawayloft {

struct control_pipe_options {
    replica_id self;
    payload_codec codec{};
    placer_options placement;
    plan_costs costs;
    std::uint64_t entriesToCompact = 10'000; /**< Number of entries after the last snapshot that triggers the next one. */
    std::size_t bytesToCompact = std::size_t{64} << 20U; /**< Payload size of these entries that triggers the next snapshot. */
};

/**
 * The pipe of a control replica. It takes each change from its sender to every process: validate, append to the
 * replicated log, apply, publish. While it is the leader, it also proposes changes from the observed state by
 * way of the lease registry, the placer and the plan runner. It has no socket, disk or clock.
 */
class control_pipe
{
public:
    using input = control_pipe_input;
    using output = control_pipe_output;

    /** Fails when the recovered snapshot cannot be read. */
    static result<control_pipe> create(control_pipe_options options, replicated_log log, const log_snapshot &recovered);

    std::vector<output> step(const input &in, time_point now);

    const replicated_log &log() const
    {
        return m_log;
    }
    const fleet_state &fleet() const
    {
        return m_fleet;
    }
    const claim_table &claims() const
    {
        return m_claims;
    }
    const lease_registry &leases() const
    {
        return m_leases;
    }
    const availability_meter &measured() const
    {
        return m_measures;
    }
    const publisher &published() const
    {
        return m_publisher;
    }

private:
    /** Where a proposal or read came from, and thus who gets its outcome. */
    struct claim_call_origin {
        link_id link;
        std::uint64_t call = 0;
    };
    struct subscribe_origin {
        link_id link;
        revision from;
    };
    struct placement_origin {
    };
    struct no_origin {
    };
    using request_origin = std::variant<no_origin, placement_origin, claim_call_origin, subscribe_origin, operator_request_token>;

    control_pipe(control_pipe_options options, replicated_log log);

    void handleInput(const control_tick &in);
    void handleInput(const replica_message &in);
    void handleInput(const link_connected &in);
    void handleInput(const link_lost &in);
    void handleInput(const link_message &in);
    void handleInput(const operator_change &in);
    void handleInput(const operator_intent &in);
    void handleInput(const operator_claim_settlement &in);
    void handleInput(const operator_read &in);
    void handleInput(const member_described &in);
    void handleInput(const control_stop &in);

    void handleLinkMessage(link_id link, const subscribe &message);
    void handleLinkMessage(link_id link, const confirm_revision &message);
    void handleLinkMessage(link_id link, const lease_renewal &message);
    void handleLinkMessage(link_id link, const announce_host &message);
    void handleLinkMessage(link_id link, const open_claim_call &message);
    void handleLinkMessage(link_id link, const close_claim_call &message);
    void handleLinkMessage(link_id link, const join_request &message);
    template<class Message>
    void handleLinkMessage(link_id, const Message &)
    {
    }

    // Replicated log.
    void runLog(const replicated_log_input &in);
    void handleLogOutput(const entry_committed &out);
    void handleLogOutput(const snapshot_installed &out);
    void handleLogOutput(const read_ready &out);
    void handleLogOutput(const log_request_failed &out);
    void handleLogOutput(const role_changed &out);
    void handleLogOutput(const send_log_message &out);
    template<class Persist>
    void handleLogOutput(const Persist &out)
    {
        emit(out);
    }
    void propose(const log_payload &payload, request_origin origin);
    void read(request_origin origin);
    std::optional<request_origin> takeOrigin(log_request_token token);

    // Apply and publish.
    void apply(const fleet_command &command, log_index at, const std::optional<request_origin> &origin);
    void apply(const open_claim &claim, log_index at, const std::optional<request_origin> &origin);
    void apply(const close_claim &claim, log_index at, const std::optional<request_origin> &origin);
    void replyToClaimCall(const std::optional<request_origin> &origin, const claim_reply &reply);
    void runPublisher(const publisher_input &in);
    void compactIfDue();

    // Placement.
    void runPlacement();
    bool isLeader() const
    {
        return m_log.role() == log_role::Leader;
    }
    void redirect(link_id link);

    template<class Output>
    void emit(Output output)
    {
        m_outputs.emplace_back(std::move(output));
    }

    control_pipe_options m_options;
    replicated_log m_log;
    time_point m_now;
    wall_time m_wallNow;
    std::vector<output> m_outputs;

    fleet_state m_fleet;
    claim_table m_claims;
    log_index m_appliedIndex;
    std::size_t m_payloadBytesSinceSnapshot = 0; /**< Reset when a snapshot is taken. */
    lease_registry m_leases;
    placer m_placer;
    plan_runner m_plans;
    availability_meter m_measures;
    publisher m_publisher;

    std::uint64_t m_nextToken = 1;
    std::map<log_request_token, request_origin> m_pendingRequests;
    std::size_t m_pendingPlacementChanges = 0; /**< Proposals of the placer or plan runner that are not applied or failed yet. */
    time_point m_nextPlacement;
    bool m_stopping = false;
    bool m_drainedReported = false;
    time_point m_stopDeadline;
};

static_assert(filter<control_pipe>);

} // namespace carawayloft
