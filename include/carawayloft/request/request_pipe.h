#pragma once

#include <carawayloft/order/published_fleet.h>
#include <carawayloft/request/account_limiter.h>
#include <carawayloft/request/request_pipe_messages.h>
#include <carawayloft/request/retry_budget.h>
#include <carawayloft/request/stream_assembler.h>

#include <map>
#include <optional>
#include <set>

namespace carawayloft {

struct request_pipe_options {
    availability_zone_id zone;
    route_policy policy = expected_wait_policy{};
    std::uint64_t seed = 1;
    duration defaultTimeLimit{120'000};
    std::size_t maxRequests = 20'000; /**< In flight at this entry. */
};

/**
 * The pipe from a caller to a group and back: identify, limit, claim, route, send, assemble. Owns the
 * state of every request in flight at one entry; has no socket and no clock.
 */
class request_pipe
{
public:
    using input = request_pipe_input;
    using output = request_pipe_output;

    explicit request_pipe(request_pipe_options options);

    std::vector<output> step(const input &in, time_point now);

    std::size_t inFlight() const
    {
        return m_flows.size();
    }
    bool isReady() const
    {
        return m_fleet.isConfirmed() && !m_stopping;
    }
    const fleet_state &fleet() const
    {
        return m_fleet.state();
    }

private:
    enum class stage : std::uint8_t {
        Claiming, /**< Waits for the claim's verdict. */
        Attempting, /**< Sent to a group. */
        Recording, /**< The answer is whole; its record is on the way to the agreed log. */
    };

    /** One request in flight. */
    struct flow {
        caller_request request;
        account_record account;
        bool idempotent = false;
        bool callerGone = false;
        time_point begun;
        time_point deadline;
        stage at = stage::Attempting;

        std::uint64_t claimCall = 0; /**< Number of the claim's last question; zero without a claim. */
        time_point askAgainAt;
        bool claimGranted = false;

        attempt_number attempt;
        routable_group group;
        time_point sentAt;
        std::optional<time_point> firstByteAt;
        duration waited{0}; /**< For a turn at the group, as its agent said. */
        std::set<group_id> excludedGroups;
        stream_assembler assembler;
        std::uint32_t creditOwed = 0; /**< Pieces that the caller took since the last grant. */
        bool answerStarted = false;
        std::uint32_t status = 0;
        std::string contentType;
        std::string body; /**< Collected when the answer is to be recorded. */
    };

    /** A claim's outcome that control has not acknowledged yet. */
    struct pending_close {
        close_claim claim;
        request_id waiting; /**< The request that waits for the acknowledgement, or zero. */
        time_point sendAgainAt;
        time_point giveUpAt;
    };

    void take(const caller_request &in);
    void take(const caller_disconnected &in);
    void take(const caller_consumed_chunk &in);
    void take(const agent_connected &in);
    void take(const agent_disconnected &in);
    void take(const agent_message &in);
    void take(const control_message &in);
    void take(const request_tick &in);
    void take(const request_stop &in);

    // Configuration.
    void publish(const published_fleet::input &in);
    void refreshGroups();

    // Identify and limit.
    std::optional<reject_request> admit(const caller_request &in, flow &fresh);
    const account_record *identify(const std::string &keyDigest) const;
    bool isIdempotent(const caller_request &in) const;

    // Claim.
    void askClaim(flow &flow);
    void decideClaim(const claim_call_reply &reply);
    void answerRecorded(flow &flow, const claim_reply &reply);
    void closeClaim(const flow &flow, claim_outcome outcome, bool callerWaits);
    void claimClosed(const claim_call_reply &reply);
    void sendCloses();

    // Route and send.
    void startAttempt(flow &flow);
    void routed(flow &flow, const route_chosen &route);
    void endAttempt(flow &flow, attempt_result outcome);
    void tryElsewhere(flow &flow, const std::string &reason, const reject_request &otherwise);

    // Assemble.
    void refused(const endpoint &agent, const request_refused &message);
    void assemble(const endpoint &agent, request_id request, const assembler_input &frame);
    void assembled(flow &flow, const assembler_output &out);
    void broken(flow &flow, bool noFrameReceived);
    void whole(flow &flow);

    // Ends.
    void reject(flow &flow, reject_request answer);
    void giveUp(flow &flow);
    void expire(flow &flow);
    void erase(request_id request);

    flow *find(request_id request);
    flow *find(request_id request, const endpoint &agent);

    template<class Output>
    void emit(Output output)
    {
        m_out.emplace_back(std::move(output));
    }

    request_pipe_options m_options;
    time_point m_now;
    wall_time m_wallNow;
    std::vector<output> m_out;
    published_fleet m_fleet;
    std::map<std::string, client_account_id> m_accountsByKey;
    account_limiter m_limiter;
    router m_router;
    retry_budget m_budget;
    std::map<request_id, flow> m_flows;
    std::set<endpoint> m_connected;
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, request_id> m_claimCalls;
    std::map<std::uint64_t, pending_close> m_closes;
    bool m_stopping = false;
    bool m_drainedReported = false;
};

static_assert(filter<request_pipe>);

} // namespace carawayloft
