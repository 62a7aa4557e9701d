#pragma once

#include "ends/frame_link.h"
#include "ends/timer_service.h"

#include <carawayloft/messages/control_traffic.h>
#include <carawayloft/order/leader_finder.h>

#include <asio/io_context.hpp>

namespace carawayloft {

/** A process's connection to the leader of control, wherever that is at the time. */
class control_session
{
public:
    using handler = std::function<void(peer_message)>;
    using revision_source = std::function<revision()>;

    control_session(asio::io_context &context,
                    timer_service &timers,
                    std::vector<endpoint> replicas,
                    hello own,
                    revision_source inForce,
                    handler handle,
                    duration leaderTimeout = leader_finder::defaultLeaderTimeout);
    ~control_session();

    /** Adds replicas that were not known before. */
    void addReplicas(const std::vector<endpoint> &replicas);

    /** Sends to the leader if it is known and reached; else the message is dropped. */
    void execute(const send_to_control &out);

    void execute(const resubscribe &out);
    void execute(const revision_in_force &out);
    void execute(const revision_ignored &out);

private:
    void run(const leader_finder::input &in);
    void execute(const connect_to_control &out);
    void execute(const request_publications &out);
    void take(const std::shared_ptr<frame_link> &link, link_event event);
    void received(peer_message message);

    asio::io_context &m_context;
    hello m_own;
    revision_source m_inForce;
    handler m_handle;
    leader_finder m_finder;
    std::shared_ptr<frame_link> m_link;
    timer_service::subscription m_tick;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/** An output that a control session acts on. */
template<class Output>
concept control_output = requires(control_session session, const Output &out)
{
    session.execute(out);
};

} // namespace carawayloft
