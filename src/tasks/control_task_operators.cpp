#include "tasks/control_task.h"

#include "codec/openai_codec.h"
#include "codec/operator_codec.h"
#include "ends/clock.h"
#include "ends/event_log.h"
#include "tasks/task_identity.h"

#include <carawayloft/control/voting.h>
#include <carawayloft/core/overloaded.h>

#include <charconv>

#include <algorithm>

namespace carawayloft {

static constexpr std::string_view apiPrefix = "/v1/";
static constexpr std::string_view planPrefix = "/v1/plans/";
static constexpr std::string_view claimPath = "/v1/claim";

static http_response jsonResponse(std::uint32_t status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

static std::uint32_t httpStatus(error_kind kind)
{
    switch (kind) {
    case error_kind::UnknownZone:
    case error_kind::UnknownHost:
    case error_kind::UnknownGroup:
    case error_kind::UnknownService:
    case error_kind::UnknownPlan:
    case error_kind::UnknownClaim:
    case error_kind::UnknownQuarantine:
        return 404;
    case error_kind::RevisionConflict:
    case error_kind::PlanConflict:
    case error_kind::HostAlreadyAssigned:
    case error_kind::NoServiceLeft:
        return 409;
    case error_kind::NotLeader:
    case error_kind::NotReady:
    case error_kind::DiskFull:
    case error_kind::DiskFailed:
        return 503;
    default:
        return 400;
    }
}

void control_task::respondError(http_exchange &exchange, const error &failure)
{
    exchange.respond(jsonResponse(httpStatus(failure.kind), encodeError(failure)));
}

endpoint control_task::leaderHttp() const
{
    const log_member *leader = m_pipe ? m_pipe->log().liveLeader(monotonicNow()) : nullptr;
    return leader == nullptr || leader->replica == m_self ? endpoint() : leader->http;
}

void control_task::serve(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    if (request.path == "/healthz" || request.path == "/readyz") {
        const bool ready = request.path == "/healthz" || (m_pipe && !m_stopping && m_pipe->log().leader().value() != 0);
        exchange->respond({ready ? 200U : 503U, {{"Content-Type", "text/plain"}}, ready ? "ok\n" : "not ready\n"});
    } else if (request.path == "/metrics") {
        exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, renderMetrics()});
    } else if (isWaitingForDisk()) {
        respondError(*exchange, {error_kind::DiskFull, "the disk of this control replica is full", "send the request to another control replica"});
    } else if (m_frontEnd != nullptr && serveFrontEnd(request, exchange)) {
        return;
    } else if (!m_pipe) {
        respondError(*exchange,
                     {error_kind::NotReady,
                      "this control replica is not a member of the replicated log yet",
                      "wait until it has reached every other control replica once"});
    } else if (m_pipe->log().role() != log_role::Leader) {
        redirectToLeader(request, *exchange);
    } else if (request.path == "/v1/commands" && request.method == "POST") {
        serveCommand(request, exchange);
    } else if (request.method == "GET" && request.path.starts_with(apiPrefix)) {
        serveRead(request, exchange);
    } else {
        respondError(
            *exchange,
            {error_kind::InvalidRequest, request.method + " " + request.path + " is not served", "use the carawayloft tool, or see docs/OPERATIONS.md"});
    }
}

std::uint32_t control_task::redirectToLeader(const http_request &request, http_exchange &exchange) const
{
    const endpoint leader = leaderHttp();
    http_response response = jsonResponse(
        leader.value().empty() ? 503 : 307, encodeError({error_kind::NotLeader, "this control replica is not the leader", "send the request to the leader"}));
    if (!leader.value().empty()) {
        response.headers.emplace("Location", "http://" + leader.value() + request.path + request.queryPart());
    }
    exchange.respond(response);
    return response.status;
}

operator_request_token
control_task::addWaitingRequest(const std::shared_ptr<http_exchange> &exchange, std::function<http_response(revision)> makeResponse, std::string subject)
{
    m_lastOperatorToken = next(m_lastOperatorToken);
    m_waitingRequests.emplace(m_lastOperatorToken, waiting_request{exchange, std::move(makeResponse), std::move(subject), monotonicNow()});
    return m_lastOperatorToken;
}

static http_response answerRead(const http_request &request, const control_pipe &pipe)
{
    result<std::string> body = std::string();
    if (request.path == "/v1/status") {
        body = encodeStatus(pipe, monotonicNow());
    } else if (request.path.starts_with(planPrefix)) {
        std::uint64_t number = 0;
        std::from_chars(request.path.data() + planPrefix.size(), request.path.data() + request.path.size(), number);
        body = encodePlan(plan_id(number), pipe);
    } else if (request.path == claimPath) {
        body = encodeClaim(client_account_id(request.parameter("account")), idempotency_key(request.parameter("key")), pipe);
    } else {
        body = encodeList(request.path.substr(apiPrefix.size()), pipe, wallNow());
    }
    return failed(body) ? jsonResponse(httpStatus(errorOf(body).kind), encodeError(errorOf(body))) : jsonResponse(200, valueOf(body));
}

void control_task::serveRead(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    run(operator_read{addWaitingRequest(exchange, [this, request](revision) { return answerRead(request, *m_pipe); })});
}

void control_task::serveCommand(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    if (m_folder->freeBytes() < m_settings.replica->minFreeBytes) {
        logEvent(event_number::DiskSpaceLow, {{"free_bytes", m_folder->freeBytes()}});
        respondError(*exchange, {error_kind::DiskFull, "the disk of the control leader is full", "free space under its data folder"});
        return;
    }
    result<operator_command> command = decodeOperatorCommand(request.body);
    if (failed(command)) {
        respondError(*exchange, errorOf(command));
        return;
    }
    const operator_request_token token = addWaitingRequest(exchange, [](revision at) { return jsonResponse(200, encodeAccepted(at)); });
    std::visit(
        [&](auto &each) {
            each.token = token;
            run(each);
        },
        valueOf(command));
}

void control_task::execute(const operator_reply &out)
{
    const auto found = m_waitingRequests.find(out.token);
    if (found == m_waitingRequests.end()) {
        return;
    }
    const waiting_request waiting = std::move(found->second);
    m_waitingRequests.erase(found);
    if (!waiting.subject.empty()) {
        logEvent(event_number::OperatorRequestAnswered,
                 {{"subject", waiting.subject},
                  {"status", failed(out.outcome) ? httpStatus(errorOf(out.outcome).kind) : 200U},
                  {"reason", failed(out.outcome) ? describe(errorOf(out.outcome)) : std::string()},
                  {"after_ms", std::chrono::duration_cast<duration>(monotonicNow() - waiting.receivedAt).count()}});
    }
    if (failed(out.outcome)) {
        respondError(*waiting.exchange, errorOf(out.outcome));
    } else {
        waiting.exchange->respond(waiting.makeResponse(valueOf(out.outcome)));
    }
}

std::string control_task::renderMetrics()
{
    m_metrics.setGauge("carawayloft_http_connections", {}, static_cast<double>(m_http->connections()));
    m_metrics.setGauge("carawayloft_http_held_bytes", {}, static_cast<double>(m_http->heldBytes()));
    if (m_pipe) {
        m_metrics.setGauge("carawayloft_leads", {}, m_pipe->log().role() == log_role::Leader ? 1 : 0);
        m_metrics.setGauge("carawayloft_revision", {}, static_cast<double>(m_pipe->fleet().at().value()));
        m_metrics.setGauge("carawayloft_log_index", {}, static_cast<double>(m_pipe->log().lastIndex().value()));
        const auto &members = m_pipe->log().members();
        const auto count = [&](member_role role) {
            return static_cast<double>(std::count_if(members.begin(), members.end(), [&](const log_member &each) { return each.role == role; }));
        };
        const auto own = std::find_if(members.begin(), members.end(), [this](const log_member &each) { return each.replica == m_self; });
        const std::size_t ownHalfVotes = own == members.end() ? 0 : halfVotesOf(own->role);
        m_metrics.setGauge("carawayloft_log_own_votes", {}, static_cast<double>(ownHalfVotes) / static_cast<double>(halfVotesOf(member_role::Voter)));
        m_metrics.setGauge("carawayloft_log_voters", {}, count(member_role::Voter));
        m_metrics.setGauge("carawayloft_log_half_voters", {}, count(member_role::HalfVoter));
        m_metrics.setGauge("carawayloft_log_learners", {}, count(member_role::Learner));
        m_metrics.setGauge("carawayloft_log_bytes", {}, static_cast<double>(m_store.segmentBytes()));
        m_metrics.setGauge("carawayloft_claims", {}, static_cast<double>(m_pipe->claims().size()));
        m_metrics.setGauge("carawayloft_subscribers", {}, static_cast<double>(m_pipe->published().subscribers()));
        m_metrics.setGauge("carawayloft_quarantined_traits", {}, static_cast<double>(m_pipe->fleet().quarantine().size()));
        m_metrics.setGauge("carawayloft_departures", {}, static_cast<double>(m_pipe->fleet().departures().size()));
        for (const auto &[service, measured] : m_pipe->measured().services()) {
            const std::string label = "service=\"" + service.value() + "\"";
            m_metrics.setGauge("carawayloft_groups", label, static_cast<double>(measured.groups));
            m_metrics.setGauge("carawayloft_groups_serving", label, static_cast<double>(measured.serving));
            m_metrics.setGauge("carawayloft_hosts_stranded", label, static_cast<double>(measured.stranded));
            m_metrics.setGauge("carawayloft_group_downtime_seconds", label, std::chrono::duration<double>(measured.groupDowntime).count());
            m_metrics.setGauge("carawayloft_zone_move_seconds", label, std::chrono::duration<double>(measured.zoneMoveTime).count());
            m_metrics.setGauge("carawayloft_zone_move_served_seconds", label, std::chrono::duration<double>(measured.zoneMoveServedTime).count());
        }
    }
    return m_metrics.render();
}

} // namespace carawayloft
