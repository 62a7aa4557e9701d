#pragma once

#include "ends/http_client.h"
#include "ends/timer_service.h"

#include <nlohmann/json.hpp>

#include <asio/io_context.hpp>

#include <string>

namespace carawayloft::fake {

/** What a fake backend server says of itself. */
struct announcement {
    std::string url;
    std::string service;
    std::string kind;
    unsigned coldLimit = 1;
    unsigned warmLimit = 1;
    bool checksFencing = false;
    bool leaving = false;
};

/** Announces a fake backend server to the agent beside it, again and again. */
class announcer
{
public:
    announcer(asio::io_context &context, timer_service &timers, std::string agentUrl, announcement what);

    void setLeaving(bool leaving);

private:
    void announce();

    std::string m_agentUrl;
    announcement m_what;
    std::unique_ptr<http_client> m_client;
    timer_service::subscription m_tick;
};

/** Runs @p context until SIGTERM. */
void runUntilTerminated(asio::io_context &context);

} // namespace carawayloft::fake
