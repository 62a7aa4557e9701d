#pragma once

#include <carawayloft/control/published_fleet.h>
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
    std::size_t maxRequests = 20'000; /**< In flight at this entry process. */
};

/**
 * Processes the requests of one entry process: authenticates the caller, applies the account limit, opens
 * a claim for a request that must not run twice, routes and dispatches the request to a group, and assembles
 * the answer. Owns the state of every request in flight; has no socket and no clock.
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
        return m_requests.size();
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
    enum class request_stage : std::uint8_t {
        Claiming, /**< Waiting for the verdict on its claim. */
        Attempting, /**< Dispatched to a group. */
        Recording, /**< The answer is complete; waiting until control has recorded it. */
    };

    /** State of one request in flight. */
    struct request_context {
        caller_request request;
        account_record account;
        bool idempotent = false;
        bool callerDisconnected = false;
        time_point arrivedAt;
        time_point deadline;
        request_stage stage = request_stage::Attempting;

        std::uint64_t claimCallId = 0; /**< Number of the latest open_claim_call; zero without a claim. */
        time_point claimRetryAt;
        bool claimGranted = false;

        attempt_number attempt;
        routable_group group;
        time_point sentAt;
        std::optional<time_point> firstByteAt;
        duration waited{0}; /**< Queueing time at the group, as reported by its agent. */
        std::set<group_id> excludedGroups; /**< Groups that refused this request or failed while running it. */
        stream_assembler assembler;
        std::uint32_t consumedChunks = 0; /**< Chunks consumed since the last credit grant. */
        bool answerStarted = false;
        std::uint32_t status = 0;
        std::string contentType;
        std::string body; /**< Buffered only when the answer is to be recorded. */
    };

    /** The outcome of a claim that control has not acknowledged yet. */
    struct pending_claim_close {
        close_claim claim;
        request_id waitingRequest; /**< The request that is answered after the acknowledgement; zero if there is none. */
        time_point resendAt;
        time_point giveUpAt;
    };

    void handle(const caller_request &in);
    void handle(const caller_disconnected &in);
    void handle(const caller_consumed_chunk &in);
    void handle(const agent_connected &in);
    void handle(const agent_disconnected &in);
    void handle(const agent_message &in);
    void handle(const control_message &in);
    void handle(const request_tick &in);
    void handle(const request_stop &in);

    // Configuration.
    void applyPublication(const published_fleet::input &in);
    void rebuildRoutingTable();

    // Authentication and limits.
    std::optional<reject_request> admit(const caller_request &in, request_context &context);
    const account_record *authenticate(const std::string &keyDigest) const;
    bool isIdempotent(const caller_request &in) const;

    // Claims.
    void openClaim(request_context &context);
    void handleOpenClaimReply(const claim_call_reply &reply);
    void replayRecordedAnswer(request_context &context, const claim_reply &reply);
    void closeClaim(const request_context &context, claim_outcome outcome, bool callerWaits);
    void handleCloseClaimReply(const claim_call_reply &reply);
    void resendClaimCloses();

    // Routing and dispatch.
    void startAttempt(request_context &context);
    void dispatch(request_context &context, const route_chosen &route);
    void endAttempt(request_context &context, attempt_result outcome);
    void retryOrReject(request_context &context, const std::string &reason, const reject_request &rejection);

    // Answers.
    void handleRefusal(const endpoint &agent, const request_refused &message);
    void assemble(const endpoint &agent, request_id request, const assembler_input &frame);
    void handleAssemblerOutput(request_context &context, const assembler_output &out);
    void handleBrokenAttempt(request_context &context, bool noFrameReceived);
    void finishAnswer(request_context &context);

    // End of a request.
    void reject(request_context &context, reject_request answer);
    void endWithUnknownOutcome(request_context &context);
    void expire(request_context &context);
    void erase(request_id request);

    request_context *find(request_id request);
    /** The request, if its current attempt runs at the group that @p agent leads; otherwise nullptr. */
    request_context *find(request_id request, const endpoint &agent);

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
    retry_budget m_retryBudget;
    std::map<request_id, request_context> m_requests;
    std::set<endpoint> m_connectedAgents;
    std::uint64_t m_nextCallId = 1;
    std::map<std::uint64_t, request_id> m_openClaimCalls; /**< By call number. */
    std::map<std::uint64_t, pending_claim_close> m_pendingClaimCloses; /**< By call number. */
    bool m_stopping = false;
    bool m_drainedReported = false;
};

static_assert(filter<request_pipe>);

} // namespace carawayloft
