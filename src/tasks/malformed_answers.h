#pragma once

#include "ends/event_quota.h"

#include <string>

namespace carawayloft {

class metrics;
struct http_failed;

/** Counts and logs the answers to one task's calls that were no HTTP, so that operators find the servers that sent them. */
class malformed_answers
{
public:
    explicit malformed_answers(metrics &counters);

    /** Takes every failed call; @p server is the id or address of the server, @p request what it was asked. */
    void record(const http_failed &failure, const std::string &server, const std::string &request);

private:
    metrics &m_metrics;
    event_quota m_quota;
};

} // namespace carawayloft
