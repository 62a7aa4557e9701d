#pragma once

#include "ends/frame_link.h"

#include <asio/io_context.hpp>

namespace carawayloft {

/** Accepts frame connections at one address; each link reports to the same handler. */
class frame_listener
{
public:
    /** Fails with InvalidSettings when @p at cannot be listened on. */
    static result<std::unique_ptr<frame_listener>> create(asio::io_context &context, const endpoint &at, hello own, link_handler handle);

    void close();

private:
    frame_listener(asio::io_context &context, hello own, link_handler handle);

    void acceptNext();

    asio::ip::tcp::acceptor m_acceptor;
    hello m_own;
    link_handler m_handle;
};

} // namespace carawayloft
