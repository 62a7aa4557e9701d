#include "ends/peer_links.h"

#include <asio/post.hpp>

namespace carawayloft {

static constexpr duration reconnectDelay{200};

peer_links::peer_links(asio::io_context &context, timer_service &timers, hello own, handler handle)
    : m_context(context)
    , m_timers(timers)
    , m_own(std::move(own))
    , m_handle(std::move(handle))
{
}

peer_links::~peer_links()
{
    for (const auto &[peer, link] : m_links) {
        link->close();
    }
}

void peer_links::setWanted(const std::set<endpoint> &wanted)
{
    std::vector<endpoint> left;
    for (const auto &[peer, link] : m_links) {
        if (!wanted.contains(peer)) {
            left.push_back(peer);
        }
    }
    for (const endpoint &peer : left) {
        const std::shared_ptr<frame_link> link = m_links.at(peer);
        m_links.erase(peer);
        m_retries.erase(peer);
        const bool wasOpen = link->isOpen();
        link->close();
        if (wasOpen) {
            asio::post(m_context, [this, peer, alive = std::weak_ptr<int>(m_alive)] {
                if (!alive.expired()) {
                    m_handle(peer, link_closed{{error_kind::ConnectionFailed, "no longer wanted", {}}, true});
                }
            });
        }
    }
    for (const endpoint &peer : wanted) {
        add(peer);
    }
}

void peer_links::add(const endpoint &peer)
{
    if (!m_links.contains(peer)) {
        connect(peer);
    }
}

void peer_links::connect(const endpoint &peer)
{
    m_links[peer] = frame_link::connect(
        m_context.get_executor(), peer, m_own, [this, peer, alive = std::weak_ptr<int>(m_alive)](const std::shared_ptr<frame_link> &link, link_event event) {
            if (!alive.expired()) {
                take(peer, link, std::move(event));
            }
        });
}

void peer_links::take(const endpoint &peer, const std::shared_ptr<frame_link> &link, link_event event)
{
    const auto current = m_links.find(peer);
    if (current == m_links.end() || current->second != link) {
        return;
    }
    const auto *closed = std::get_if<link_closed>(&event);
    if (closed != nullptr) {
        m_retries[peer] = m_timers.after(reconnectDelay, [this, peer](time_point) { connect(peer); });
        if (!closed->everOpened) {
            return;
        }
    }
    m_handle(peer, std::move(event));
}

bool peer_links::send(const endpoint &peer, const peer_message &message)
{
    const auto found = m_links.find(peer);
    if (found == m_links.end() || !found->second->isOpen()) {
        return false;
    }
    found->second->send(message);
    return true;
}

} // namespace carawayloft
