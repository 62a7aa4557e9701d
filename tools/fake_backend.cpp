#include "fake_backend.h"

#include <asio/signal_set.hpp>

#include <csignal>

namespace carawayloft::fake {

static constexpr duration announcePeriod{500};
static constexpr duration announceTimeout{500};

announcer::announcer(asio::io_context &context, timer_service &timers, std::string agentUrl, announcement what)
    : m_agentUrl(std::move(agentUrl))
    , m_what(std::move(what))
    , m_client(http_client::create(context))
    , m_tick(timers.every(announcePeriod, [this](time_point) { announce(); }))
{
    announce();
}

void announcer::setLeaving(bool leaving)
{
    m_what.leaving = leaving;
    announce();
}

void announcer::announce()
{
    const nlohmann::json body{{"url", m_what.url},
                              {"service", m_what.service},
                              {"kind", m_what.kind},
                              {"cold_limit", m_what.coldLimit},
                              {"warm_limit", m_what.warmLimit},
                              {"checks_fencing", m_what.checksFencing},
                              {"leaving", m_what.leaving}};
    m_client->start({"POST", m_agentUrl + "/announce", {{"Content-Type", "application/json"}}, body.dump(), announceTimeout}, [](const http_event &) {});
}

void runUntilTerminated(asio::io_context &context)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code &, int) { context.stop(); });
    context.run();
}

} // namespace carawayloft::fake
