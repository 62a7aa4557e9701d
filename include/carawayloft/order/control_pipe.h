#pragma once

#include <carawayloft/order/control_pipe_messages.h>
#include <carawayloft/order/log_payload.h>
#include <carawayloft/order/publisher.h>
#include <carawayloft/placement/availability_meter.h>

#include <map>

namespace carawayloft {

struct control_pipe_options {
    replica_id self;
    payload_codec codec{};
    placer_options placement;
    plan_costs costs;
    std::uint64_t entriesToCompact = 10'000; /**< Entries behind the last snapshot that lead to another. */
    std::size_t bytesToCompact = std::size_t{64} << 20U; /**< The same in bytes of their payloads. */
};

/**
 * The pipe from a change to every process: validate, order in the agreed log, apply, publish; and from
 * the observed state to the next change: registry, placer, plans. Has no socket, disk or clock.
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
    /** Who waits for a proposal or a read. */
    struct claim_caller {
        link_id link;
        std::uint64_t call = 0;
    };
    struct subscriber_start {
        link_id link;
        revision from;
    };
    struct own_change {
    };
    struct nobody {
    };
    using waiter = std::variant<nobody, own_change, claim_caller, subscriber_start, operator_request_token>;

    control_pipe(control_pipe_options options, replicated_log log);

    void take(const control_tick &in);
    void take(const replica_message &in);
    void take(const link_connected &in);
    void take(const link_lost &in);
    void take(const link_message &in);
    void take(const operator_change &in);
    void take(const operator_intent &in);
    void take(const operator_claim_settlement &in);
    void take(const operator_read &in);
    void take(const control_stop &in);

    void fromLink(link_id link, const subscribe &message);
    void fromLink(link_id link, const confirm_revision &message);
    void fromLink(link_id link, const lease_renewal &message);
    void fromLink(link_id link, const announce_host &message);
    void fromLink(link_id link, const open_claim_call &message);
    void fromLink(link_id link, const close_claim_call &message);
    void fromLink(link_id link, const join_request &message);
    template<class Message>
    void fromLink(link_id, const Message &)
    {
    }

    // Order.
    void runLog(const replicated_log_input &in);
    void handle(const entry_committed &out);
    void handle(const snapshot_installed &out);
    void handle(const read_ready &out);
    void handle(const log_request_failed &out);
    void handle(const role_changed &out);
    void handle(const send_log_message &out);
    template<class Persist>
    void handle(const Persist &out)
    {
        emit(out);
    }
    void propose(const log_payload &payload, waiter who);
    void read(waiter who);
    std::optional<waiter> takeWaiter(log_request_token token);

    // Apply and publish.
    void apply(const fleet_command &command, log_index at, const std::optional<waiter> &who);
    void apply(const open_claim &claim, log_index at, const std::optional<waiter> &who);
    void apply(const close_claim &claim, log_index at, const std::optional<waiter> &who);
    void answerClaim(const std::optional<waiter> &who, const claim_reply &reply);
    void runPublisher(const publisher_input &in);
    void compact();

    // Place.
    void place();
    bool leads() const
    {
        return m_log.role() == log_role::Leader;
    }
    void redirect(link_id link);

    template<class Output>
    void emit(Output output)
    {
        m_out.emplace_back(std::move(output));
    }

    control_pipe_options m_options;
    replicated_log m_log;
    time_point m_now;
    wall_time m_wallNow;
    std::vector<output> m_out;

    fleet_state m_fleet;
    claim_table m_claims;
    log_index m_applied;
    std::size_t m_bytesApplied = 0; /**< Of payloads behind the last snapshot. */
    lease_registry m_leases;
    placer m_placer;
    plan_runner m_plans;
    availability_meter m_measures;
    publisher m_publisher;

    std::uint64_t m_nextToken = 1;
    std::map<log_request_token, waiter> m_waiters;
    std::size_t m_ownChanges = 0; /**< Proposals of the placer that have not been decided. */
    time_point m_placeDue;
    bool m_stopping = false;
    bool m_drainedReported = false;
    time_point m_stopBefore;
};

static_assert(filter<control_pipe>);

} // namespace carawayloft
