#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace carawayloft::test_support {

/** A backend server that announces itself to control, reads every call in full and answers none. */
class silent_server
{
public:
    silent_server(const std::string &service, const std::string &address, const std::string &control);
    ~silent_server();

    silent_server(const silent_server &) = delete;
    silent_server &operator=(const silent_server &) = delete;

    /** The most bytes that calls on connections open at the same time have sent. */
    std::size_t peakHeldBytes() const
    {
        return m_peakHeld;
    }

private:
    struct connection {
        explicit connection(asio::io_context &context)
            : socket(context)
        {
        }
        asio::ip::tcp::socket socket;
        std::array<char, 65'536> part{};
        std::size_t held = 0;
    };

    void accept();
    void read(const std::shared_ptr<connection> &one);

    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_held = 0;
    std::atomic<std::size_t> m_peakHeld = 0;
    std::thread m_serving;
    std::jthread m_announcing;
};

} // namespace carawayloft::test_support
