#include <carawayloft/request/request_pipe.h>

#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** Retry delay sent to a caller while this entry process cannot accept requests. */
static constexpr duration unavailableRetryAfter{1'000};

static reject_request makeRejection(request_id request, std::uint32_t status, error why, duration retryAfter = duration(0))
{
    return {request, status, std::move(why), run_outcome::DidNotRun, retryAfter};
}

request_pipe::request_pipe(request_pipe_options options)
    : m_options(std::move(options))
    , m_router(m_options.zone, m_options.policy, m_options.seed)
{
}

std::vector<request_pipe::output> request_pipe::step(const input &in, time_point now)
{
    m_now = now;
    m_out.clear();
    std::visit([this](const auto &each) { handle(each); }, in);
    if (m_stopping && m_requests.empty() && m_pendingClaimCloses.empty() && !m_drainedReported) {
        m_drainedReported = true;
        emit(requests_drained{});
    }
    return std::move(m_out);
}

request_pipe::request_context *request_pipe::find(request_id request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

request_pipe::request_context *request_pipe::find(request_id request, const endpoint &agent)
{
    request_context *found = find(request);
    return found != nullptr && found->stage == request_stage::Attempting && found->group.leadAgent == agent ? found : nullptr;
}

const account_record *request_pipe::authenticate(const std::string &keyDigest) const
{
    const auto account = m_accountsByKey.find(keyDigest);
    return account == m_accountsByKey.end() ? nullptr : &m_fleet.state().accounts().at(account->second);
}

bool request_pipe::isIdempotent(const caller_request &in) const
{
    if (in.kind == service_kind::Model || in.method == "GET" || in.method == "HEAD") {
        return true;
    }
    const auto service = m_fleet.state().services().find(in.service);
    const auto &methods = service->second.idempotentMethods;
    return std::find(methods.begin(), methods.end(), in.method) != methods.end();
}

std::optional<reject_request> request_pipe::admit(const caller_request &in, request_context &context)
{
    if (m_stopping) {
        return makeRejection(in.request,
                             503,
                             {error_kind::Stopping, "this entry process is stopping", "send the request again to another entry process"},
                             unavailableRetryAfter);
    }
    if (!m_fleet.isConfirmed()) {
        return makeRejection(
            in.request, 503, {error_kind::NotReady, "this entry process has no confirmed configuration yet", "send the request again"}, unavailableRetryAfter);
    }
    const account_record *account = authenticate(in.keyDigest);
    if (account == nullptr) {
        return makeRejection(
            in.request,
            401,
            {error_kind::Unauthorized, "the bearer key belongs to no client account", "send 'Authorization: Bearer KEY' with the account's key"});
    }
    const auto service = m_fleet.state().services().find(in.service);
    if (service == m_fleet.state().services().end() || service->second.kind != in.kind) {
        const bool model = in.kind == service_kind::Model;
        return makeRejection(in.request,
                             404,
                             {error_kind::UnknownService,
                              (model ? "model '" : "service '") + in.service.value() + "' is not known",
                              model ? "choose one of GET /v1/models" : "check the path: /services/SERVICE/PATH"});
    }
    if (m_requests.size() >= m_options.maxRequests) {
        return makeRejection(in.request,
                             503,
                             {error_kind::Overloaded, "this entry process has reached its limit of requests in flight", "send the request again later"},
                             unavailableRetryAfter);
    }
    const auto limited = m_limiter.step(account_request_arrived{in.request, account->account, account->maxInFlight}, m_now);
    if (const auto *over = std::get_if<account_over_limit>(&limited.front())) {
        return makeRejection(in.request,
                             429,
                             {error_kind::Overloaded,
                              "client account '" + account->account.value() + "' has reached its limit of requests in flight",
                              "send the request again later"},
                             over->retryAfter);
    }
    context.account = *account;
    context.idempotent = isIdempotent(in);
    return std::nullopt;
}

void request_pipe::handle(const caller_request &in)
{
    request_context context;
    if (const auto rejection = admit(in, context)) {
        emit(*rejection);
        return;
    }
    context.request = in;
    context.arrivedAt = m_now;
    context.deadline = m_now + (in.timeLimit.count() > 0 ? in.timeLimit : m_options.defaultTimeLimit);
    m_wallNow = std::max(m_wallNow, in.receivedAt);
    request_context &stored = m_requests.emplace(in.request, std::move(context)).first->second;
    if (!stored.idempotent && !in.key.value().empty()) {
        stored.stage = request_stage::Claiming;
        openClaim(stored);
    } else {
        startAttempt(stored);
    }
}

void request_pipe::handle(const caller_disconnected &in)
{
    request_context *context = find(in.request);
    if (context == nullptr) {
        return;
    }
    context->callerDisconnected = true;
    if (context->stage == request_stage::Claiming && !context->claimGranted) {
        closeClaim(*context, claim_outcome::DidNotRun, false);
        erase(in.request);
    } else if (context->idempotent) {
        emit(send_to_agent{context->group.leadAgent, cancel_request{in.request, context->attempt}});
        endAttempt(*context, attempt_result::Cancelled);
        erase(in.request);
    }
    // A dispatched request that must not run twice is not cancelled: it runs to its end so that its outcome is recorded.
}

void request_pipe::handle(const request_stop &)
{
    m_stopping = true;
}

void request_pipe::handle(const request_tick &in)
{
    m_wallNow = in.wallNow;
    std::vector<request_id> expired;
    for (auto &[request, context] : m_requests) {
        if (m_now >= context.deadline) {
            expired.push_back(request);
        } else if (context.stage == request_stage::Claiming && m_now >= context.claimRetryAt) {
            openClaim(context);
        }
    }
    for (const request_id &request : expired) {
        expire(*find(request));
    }
    resendClaimCloses();
}

void request_pipe::expire(request_context &context)
{
    const error why{error_kind::Overloaded, "the request's deadline has passed", "allow more time or send the request again later"};
    if (context.stage == request_stage::Claiming) {
        closeClaim(context, claim_outcome::DidNotRun, false);
        reject(context, {context.request.request, 504, why, run_outcome::DidNotRun, {}});
        return;
    }
    if (context.stage == request_stage::Recording) {
        finishAnswer(context);
        return;
    }
    if (context.idempotent) {
        emit(send_to_agent{context.group.leadAgent, cancel_request{context.request.request, context.attempt}});
    }
    endAttempt(context, context.firstByteAt ? attempt_result::Cancelled : attempt_result::Failed);
    endWithUnknownOutcome(context);
}

/** Ends a request that was dispatched and whose outcome cannot be determined. */
void request_pipe::endWithUnknownOutcome(request_context &context)
{
    if (context.claimGranted) {
        closeClaim(context, claim_outcome::Unknown, false);
    }
    const request_id request = context.request.request;
    if (context.answerStarted) {
        emit(abort_answer{request});
        erase(request);
        return;
    }
    const error why{error_kind::ConnectionFailed,
                    "the request was dispatched and its outcome is unknown",
                    context.idempotent ? "send the request again" : "check whether it ran before sending it again"};
    reject(context, {request, 504, why, run_outcome::Unknown, {}});
}

void request_pipe::reject(request_context &context, reject_request answer)
{
    const request_id request = context.request.request;
    if (context.answerStarted && !context.callerDisconnected) {
        emit(abort_answer{request}); // The caller has the head of another answer.
    } else if (!context.callerDisconnected) {
        emit(std::move(answer));
    }
    erase(request);
}

void request_pipe::erase(request_id request)
{
    m_limiter.step(account_request_ended{request}, m_now);
    m_requests.erase(request);
}

void request_pipe::handle(const control_message &in)
{
    std::visit(overloaded{
                   [&](const publish_snapshot &message) { applyPublication(message); },
                   [&](const publish_change &message) { applyPublication(message); },
                   [&](const claim_call_reply &message) {
                       handleOpenClaimReply(message);
                       handleCloseClaimReply(message);
                   },
                   [](const auto &) {},
               },
               in.message);
}

void request_pipe::applyPublication(const published_fleet::input &in)
{
    const revision before = m_fleet.state().at();
    for (const published_fleet::output &each : m_fleet.step(in, m_now)) {
        std::visit([this](const auto &out) { emit(out); }, each);
    }
    if (m_fleet.state().at() != before) {
        rebuildRoutingTable();
    }
}

void request_pipe::rebuildRoutingTable()
{
    const fleet_state &fleet = m_fleet.state();
    m_accountsByKey.clear();
    for (const auto &[account, record] : fleet.accounts()) {
        m_accountsByKey.emplace(record.keyDigest, account);
    }
    groups_changed groups;
    std::set<endpoint> leadAgents;
    for (const auto &[group, record] : fleet.groups()) {
        const host_record *lead = fleet.host(record.hosts.front());
        if (lead == nullptr) {
            continue;
        }
        leadAgents.insert(lead->agent);
        const bool acceptsRequests = record.state == group_state::Active && fleet.acceptsWork(lead->zone) && !lead->leaving;
        if (acceptsRequests && m_connectedAgents.contains(lead->agent)) {
            groups.groups.push_back({group, record.epoch, record.service, lead->zone, lead->agent, lead->warmLimit});
        }
    }
    m_router.step(groups, m_now);
    emit(set_agent_connections{{leadAgents.begin(), leadAgents.end()}});
}

} // namespace carawayloft
