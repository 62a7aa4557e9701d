#pragma once

#include "ends/frame_link.h"
#include "ends/timer_service.h"

#include <carawayloft/control/leader_finder.h>
#include <carawayloft/messages/control_traffic.h>

#include <asio/io_context.hpp>

namespace carawayloft {

/** A process's connection to the control leader; follows the leader when it changes. */
class control_session
{
public:
    using message_handler = std::function<void(peer_message)>;
    using revision_source = std::function<revision()>;

    control_session(asio::io_context &context,
                    timer_service &timers,
                    std::vector<endpoint> replicas,
                    hello ownHello,
                    revision_source revisionInForce,
                    message_handler onMessage,
                    duration leaderTimeout = leader_finder::defaultLeaderTimeout);
    ~control_session();

    /** Adds replicas among which to look for the leader; known ones are ignored. */
    void addReplicas(const std::vector<endpoint> &replicas);

    /** Takes the leader's list of all current replicas; the leader is also looked for among them. */
    void setListedReplicas(const std::vector<endpoint> &replicas);

    /** Sends to the leader; drops the message while no connection is open. */
    void execute(const send_to_control &out);

    void execute(const resubscribe &out);
    void execute(const revision_in_force &out);
    void execute(const revision_ignored &out);

private:
    void run(const leader_finder::input &in);
    void execute(const connect_to_control &out);
    void execute(const request_publications &out);
    void handleLinkEvent(const std::shared_ptr<frame_link> &link, link_event event);
    void handleMessage(peer_message message);

    asio::io_context &m_context;
    hello m_hello;
    revision_source m_revisionInForce;
    message_handler m_onMessage;
    leader_finder m_leaderFinder;
    std::shared_ptr<frame_link> m_link;
    timer_service::subscription m_tick;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/** A pipe's output that a control_session can execute. */
template<class Output>
concept control_output = requires(control_session session, const Output &out)
{
    session.execute(out);
};

} // namespace carawayloft
