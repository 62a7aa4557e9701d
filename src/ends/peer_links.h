#pragma once

#include "ends/frame_link.h"
#include "ends/timer_service.h"

#include <asio/io_context.hpp>

#include <map>
#include <set>

namespace carawayloft {

/** Keeps connections to a set of endpoints and makes lost ones again. */
class peer_links
{
public:
    using handler = std::function<void(const endpoint &, link_event)>;

    peer_links(asio::io_context &context, timer_service &timers, hello own, handler handle);
    ~peer_links();

    /** Connects to those that are new and leaves those that are no longer wanted. */
    void setWanted(const std::set<endpoint> &wanted);

    /** Connects to one more. */
    void add(const endpoint &peer);

    /** Sends if the connection stands; returns whether it does. */
    bool send(const endpoint &peer, const peer_message &message);

private:
    void connect(const endpoint &peer);
    void take(const endpoint &peer, const std::shared_ptr<frame_link> &link, link_event event);

    asio::io_context &m_context;
    timer_service &m_timers;
    hello m_own;
    handler m_handle;
    std::map<endpoint, std::shared_ptr<frame_link>> m_links;
    std::map<endpoint, timer_service::subscription> m_retries;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace carawayloft
