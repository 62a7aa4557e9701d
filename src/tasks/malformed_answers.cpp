#include "tasks/malformed_answers.h"

#include "ends/clock.h"
#include "ends/event_log.h"
#include "ends/http_client.h"
#include "ends/metrics.h"

namespace carawayloft {

malformed_answers::malformed_answers(metrics &counters)
    : m_metrics(counters)
{
}

void malformed_answers::record(const http_failed &failure, const std::string &server, const std::string &request)
{
    if (!failure.malformed) {
        return;
    }
    const char *fault = name(*failure.malformed);
    m_metrics.count("carawayloft_malformed_answers_total", std::string("fault=\"") + fault + "\"");
    if (const auto omitted = m_quota.admit(monotonicNow())) {
        logEvent(event_number::MalformedAnswer, {{"request", request}, {"backend", server}, {"fault", fault}, {"omitted", *omitted}});
    }
}

} // namespace carawayloft
