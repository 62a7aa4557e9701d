#include <carawayloft/request/request_pipe.h>

#include <carawayloft/core/overloaded.h>

#include <algorithm>

namespace carawayloft {

/** What a caller is told to wait while this entry cannot serve. */
static constexpr duration notReadyRetryAfter{1'000};

static reject_request refusal(request_id request, std::uint32_t status, error why, duration retryAfter = duration(0))
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
    std::visit([this](const auto &each) { take(each); }, in);
    if (m_stopping && m_flows.empty() && m_closes.empty() && !m_drainedReported) {
        m_drainedReported = true;
        emit(requests_drained{});
    }
    return std::move(m_out);
}

request_pipe::flow *request_pipe::find(request_id request)
{
    const auto found = m_flows.find(request);
    return found == m_flows.end() ? nullptr : &found->second;
}

request_pipe::flow *request_pipe::find(request_id request, const endpoint &agent)
{
    flow *found = find(request);
    return found != nullptr && found->at == stage::Attempting && found->group.lead == agent ? found : nullptr;
}

const account_record *request_pipe::identify(const std::string &keyDigest) const
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

std::optional<reject_request> request_pipe::admit(const caller_request &in, flow &fresh)
{
    if (m_stopping) {
        return refusal(in.request, 503, {error_kind::Stopping, "this entry is stopping", "send the request again to another entry"}, notReadyRetryAfter);
    }
    if (!m_fleet.isConfirmed()) {
        return refusal(in.request, 503, {error_kind::NotReady, "this entry has no confirmed configuration yet", "send the request again"}, notReadyRetryAfter);
    }
    const account_record *account = identify(in.keyDigest);
    if (account == nullptr) {
        return refusal(
            in.request, 401, {error_kind::Unauthorized, "the key names no client account", "send 'Authorization: Bearer KEY' with the account's key"});
    }
    const auto service = m_fleet.state().services().find(in.service);
    if (service == m_fleet.state().services().end() || service->second.kind != in.kind) {
        const bool model = in.kind == service_kind::Model;
        return refusal(in.request,
                       404,
                       {error_kind::UnknownService,
                        (model ? "model '" : "service '") + in.service.value() + "' is not known",
                        model ? "choose one of GET /v1/models" : "check the path: /services/SERVICE/PATH"});
    }
    if (m_flows.size() >= m_options.maxRequests) {
        return refusal(in.request, 503, {error_kind::Overloaded, "this entry is full", "send the request again later"}, notReadyRetryAfter);
    }
    const auto limited = m_limiter.step(account_request_arrived{in.request, account->account, account->maxInFlight}, m_now);
    if (const auto *over = std::get_if<account_over_limit>(&limited.front())) {
        return refusal(
            in.request,
            429,
            {error_kind::Overloaded, "client account '" + account->account.value() + "' has its limit of requests in flight", "send the request again later"},
            over->retryAfter);
    }
    fresh.account = *account;
    fresh.idempotent = isIdempotent(in);
    return std::nullopt;
}

void request_pipe::take(const caller_request &in)
{
    flow fresh;
    if (const auto refused = admit(in, fresh)) {
        emit(*refused);
        return;
    }
    fresh.request = in;
    fresh.begun = m_now;
    fresh.deadline = m_now + (in.timeLimit.count() > 0 ? in.timeLimit : m_options.defaultTimeLimit);
    m_wallNow = std::max(m_wallNow, in.receivedAt);
    flow &placed = m_flows.emplace(in.request, std::move(fresh)).first->second;
    if (!placed.idempotent && !in.key.value().empty()) {
        placed.at = stage::Claiming;
        askClaim(placed);
    } else {
        startAttempt(placed);
    }
}

void request_pipe::take(const caller_disconnected &in)
{
    flow *gone = find(in.request);
    if (gone == nullptr) {
        return;
    }
    gone->callerGone = true;
    if (gone->at == stage::Claiming && !gone->claimGranted) {
        closeClaim(*gone, claim_outcome::DidNotRun, false);
        erase(in.request);
    } else if (gone->idempotent) {
        emit(send_to_agent{gone->group.lead, cancel_request{in.request, gone->attempt}});
        endAttempt(*gone, attempt_result::Cancelled);
        erase(in.request);
    }
    // A request that may run once only goes on to its end, so that its outcome is recorded.
}

void request_pipe::take(const request_stop &)
{
    m_stopping = true;
}

void request_pipe::take(const request_tick &in)
{
    m_wallNow = in.wallNow;
    std::vector<request_id> due;
    for (auto &[request, flow] : m_flows) {
        if (m_now >= flow.deadline) {
            due.push_back(request);
        } else if (flow.at == stage::Claiming && m_now >= flow.askAgainAt) {
            askClaim(flow);
        }
    }
    for (const request_id &request : due) {
        expire(*find(request));
    }
    sendCloses();
}

void request_pipe::expire(flow &late)
{
    const error why{error_kind::Overloaded, "the request's deadline has passed", "allow more time or send the request again later"};
    if (late.at == stage::Claiming) {
        closeClaim(late, claim_outcome::DidNotRun, false);
        reject(late, {late.request.request, 504, why, run_outcome::DidNotRun, {}});
        return;
    }
    if (late.at == stage::Recording) {
        whole(late);
        return;
    }
    if (late.idempotent) {
        emit(send_to_agent{late.group.lead, cancel_request{late.request.request, late.attempt}});
    }
    endAttempt(late, late.firstByteAt ? attempt_result::Cancelled : attempt_result::Failed);
    giveUp(late);
}

/** Ends a request that was sent and whose outcome will not be known here. */
void request_pipe::giveUp(flow &context)
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
                    "the request was sent and its outcome is not known",
                    context.idempotent ? "send the request again" : "look up what became of it before sending it again"};
    reject(context, {request, 504, why, run_outcome::Unknown, {}});
}

void request_pipe::reject(flow &flow, reject_request answer)
{
    const request_id request = flow.request.request;
    if (!flow.callerGone) {
        emit(std::move(answer));
    }
    erase(request);
}

void request_pipe::erase(request_id request)
{
    m_limiter.step(account_request_ended{request}, m_now);
    m_flows.erase(request);
}

void request_pipe::take(const control_message &in)
{
    std::visit(overloaded{
                   [&](const publish_snapshot &message) { publish(message); },
                   [&](const publish_change &message) { publish(message); },
                   [&](const claim_call_reply &message) {
                       decideClaim(message);
                       claimClosed(message);
                   },
                   [](const auto &) {},
               },
               in.message);
}

void request_pipe::publish(const published_fleet::input &in)
{
    const revision before = m_fleet.state().at();
    for (const published_fleet::output &each : m_fleet.step(in, m_now)) {
        std::visit([this](const auto &out) { emit(out); }, each);
    }
    if (m_fleet.state().at() != before) {
        refreshGroups();
    }
}

void request_pipe::refreshGroups()
{
    const fleet_state &fleet = m_fleet.state();
    m_accountsByKey.clear();
    for (const auto &[account, record] : fleet.accounts()) {
        m_accountsByKey.emplace(record.keyDigest, account);
    }
    groups_changed groups;
    std::set<endpoint> wanted;
    for (const auto &[group, record] : fleet.groups()) {
        const host_record *lead = fleet.host(record.hosts.front());
        if (lead == nullptr) {
            continue;
        }
        wanted.insert(lead->agent);
        const bool takesWork = record.state == group_state::Active && fleet.acceptsWork(lead->zone) && !lead->leaving;
        if (takesWork && m_connected.contains(lead->agent)) {
            groups.groups.push_back({group, record.epoch, record.service, lead->zone, lead->agent, lead->warmLimit});
        }
    }
    m_router.step(groups, m_now);
    emit(set_agent_connections{{wanted.begin(), wanted.end()}});
}

} // namespace carawayloft
