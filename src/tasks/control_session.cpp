#include "tasks/control_session.h"

#include "ends/clock.h"
#include "ends/event_log.h"

#include <carawayloft/core/overloaded.h>

namespace carawayloft {

static constexpr duration tickPeriod{50};

control_session::control_session(asio::io_context &context,
                                 timer_service &timers,
                                 std::vector<endpoint> replicas,
                                 hello ownHello,
                                 revision_source revisionInForce,
                                 message_handler onMessage,
                                 duration leaderTimeout)
    : m_context(context)
    , m_hello(std::move(ownHello))
    , m_revisionInForce(std::move(revisionInForce))
    , m_onMessage(std::move(onMessage))
    , m_leaderFinder(std::move(replicas), leaderTimeout)
    , m_tick(timers.every(tickPeriod, [this](time_point) { run(finder_tick{}); }))
{
}

control_session::~control_session()
{
    if (m_link) {
        m_link->close();
    }
}

void control_session::run(const leader_finder::input &in)
{
    for (const leader_finder::output &each : m_leaderFinder.step(in, monotonicNow())) {
        std::visit([this](const auto &out) { execute(out); }, each);
    }
}

void control_session::addReplicas(const std::vector<endpoint> &replicas)
{
    run(replicas_discovered{replicas});
}

void control_session::setListedReplicas(const std::vector<endpoint> &replicas)
{
    run(replicas_listed{replicas});
}

void control_session::execute(const connect_to_control &out)
{
    if (m_link) {
        m_link->close();
    }
    m_link = frame_link::connect(
        m_context.get_executor(), out.replica, m_hello, [this, alive = std::weak_ptr<int>(m_alive)](const std::shared_ptr<frame_link> &link, link_event event) {
            if (!alive.expired() && link == m_link) {
                handleLinkEvent(link, std::move(event));
            }
        });
}

void control_session::execute(const request_publications &)
{
    execute(resubscribe{m_revisionInForce()});
}

void control_session::execute(const resubscribe &out)
{
    execute(send_to_control{subscribe{out.from}});
}

void control_session::execute(const send_to_control &out)
{
    if (m_link && m_link->isOpen()) {
        m_link->send(out.message);
    }
}

void control_session::execute(const revision_in_force &out)
{
    logEvent(event_number::RevisionInForce, {{"revision", out.at}});
}

void control_session::execute(const revision_ignored &out)
{
    logEvent(event_number::RevisionIgnored, {{"revision", out.at}, {"in_force", out.inForce}});
}

void control_session::handleLinkEvent(const std::shared_ptr<frame_link> &, link_event event)
{
    std::visit(overloaded{
                   [&](const link_opened &opened) {
                       logEvent(event_number::LinkOpened, {{"peer", opened.peer.process}, {"role", "control"}});
                       run(control_connected{});
                   },
                   [&](link_received &each) { handleMessage(std::move(each.message)); },
                   [&](const link_closed &closed) {
                       if (closed.everOpened) {
                           logEvent(event_number::LinkClosed, {{"role", "control"}, {"reason", describe(closed.why)}});
                       }
                       run(control_disconnected{});
                   },
               },
               event);
}

void control_session::handleMessage(peer_message message)
{
    if (const auto *redirect = std::get_if<not_leader>(&message)) {
        run(leader_redirect{redirect->leader});
        return;
    }
    run(leader_message_received{});
    m_onMessage(std::move(message));
}

} // namespace carawayloft
