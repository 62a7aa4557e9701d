#include "tasks/gateway_task.h"

#include "ends/event_log.h"

// Outputs of the pipe that are only logged and counted.

namespace carawayloft {

void gateway_task::execute(const backend_chosen &out)
{
    logEvent(event_number::RouteChosen,
             {{"request", callerRequestIdOf(out.request)},
              {"attempt", out.attempt},
              {"backend", out.backend},
              {"group", out.group},
              {"running", out.running},
              {"load_age_ms", out.loadAge.count()},
              {"configuration", out.version}});
}

void gateway_task::execute(const admission_refused &out)
{
    logEvent(event_number::AdmissionRefused,
             {{"request", callerRequestIdOf(out.request)},
              {"model", out.model},
              {"rank", out.rank},
              {"account", out.account},
              {"returning", out.isReturning ? 1 : 0},
              {"share", std::to_string(out.share)},
              {"capacity", std::to_string(out.capacity)},
              {"demand", std::to_string(out.demand)},
              {"slot", out.hasSlot ? 1 : 0}});
    m_metrics.count(
        "carawayloft_admission_refusals_total",
        "model=\"" + out.model.value() + "\",rank=\"" + std::to_string(out.rank.value()) + "\",returning=\"" + (out.isReturning ? "yes" : "no") + "\"");
}

void gateway_task::execute(const call_repeated &out)
{
    logEvent(event_number::CallRepeated,
             {{"request", callerRequestIdOf(out.request)},
              {"from", out.from},
              {"after", out.after ? std::to_string(out.after->value()) : std::string()},
              {"reason", out.reason}});
    m_metrics.count("carawayloft_calls_repeated_total");
}

void gateway_task::execute(const unanswered_call_lost &out)
{
    std::string traits;
    for (const request_trait &each : out.traits) {
        traits += (traits.empty() ? "" : ",") + each.value();
    }
    logEvent(event_number::UnansweredCallLost, {{"request", callerRequestIdOf(out.request)}, {"backend", out.backend}, {"traits", traits}});
    m_metrics.count("carawayloft_unanswered_calls_lost_total");
}

void gateway_task::execute(const backend_limit_observed &out)
{
    logEvent(event_number::BackendLimitObserved,
             {{"backend", out.backend}, {"requests_per_second", out.requestsPerSecond ? std::to_string(*out.requestsPerSecond) : std::string("none")}});
}

void gateway_task::execute(const backend_leaving_observed &out)
{
    logEvent(event_number::BackendLeavingObserved, {{"backend", out.backend}, {"started_at", out.startedAt}});
}

void gateway_task::execute(const backend_refusal_observed &out)
{
    logEvent(event_number::BackendRefusalObserved, {{"backend", out.backend}, {"length_ms", out.length.count()}});
    m_metrics.count("carawayloft_backend_refusals_total");
}

void gateway_task::execute(const group_suspended &out)
{
    logEvent(event_number::GroupSuspended, {{"group", out.group}, {"silence_ms", out.silence.count()}, {"moved", out.moved}, {"reason", out.reason}});
    m_metrics.count("carawayloft_group_suspensions_total");
}

void gateway_task::execute(const request_ended &out)
{
    logEvent(event_number::RequestEnded,
             {{"request", out.name},
              {"status", out.status},
              {"calls", out.calls},
              {"model", out.model},
              {"prompt_tokens", out.promptTokens},
              {"objective_ms", out.objective.count()},
              {"forecast_ms", out.forecast.count()},
              {"first_byte_ms", out.firstByte.count()},
              {"pause_ms", out.longestPause.count()},
              {"total_ms", out.total.count()},
              {"whole", out.whole ? 1 : 0}});
    m_metrics.count("carawayloft_requests_total", "status=\"" + std::to_string(out.status) + "\",whole=\"" + (out.whole ? "yes" : "no") + "\"");
    m_metrics.observe("carawayloft_first_byte_seconds", {}, out.firstByte);
    m_metrics.observe("carawayloft_request_seconds", {}, out.total);
    if (!out.model.value().empty()) {
        const std::string label = "model=\"" + out.model.value() + "\"";
        const bool onTime = out.whole && out.firstByte <= out.objective;
        m_metrics.count("carawayloft_model_requests_total", label + ",first_event=\"" + (onTime ? "on_time" : "late_or_none") + "\"");
        m_metrics.observe("carawayloft_model_first_event_seconds", label, out.firstByte);
        m_metrics.observe("carawayloft_model_first_event_forecast_seconds", label, out.forecast);
    }
}

void gateway_task::execute(const serving_lease_changed &out)
{
    logEvent(out.held ? event_number::ServiceRightGained : event_number::ServiceRightLost, {{"revision", out.at}});
}

} // namespace carawayloft
