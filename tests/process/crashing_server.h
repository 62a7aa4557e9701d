#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace carawayloft::test_support {

/**
 * A plain backend server that announces itself to control. A request whose prompt holds the poisonous part crashes it
 * once it begins to answer: every connection ends, and it returns after a while under another id.
 */
class crashing_server
{
public:
    struct options {
        std::string name;
        std::string ip;
        std::string control; /**< Address of the control replica. */
        std::string poison; /**< Part of a prompt; empty if nothing crashes the server. */
    };
    struct arrival {
        std::chrono::steady_clock::time_point at;
        bool poisonous = false;
    };

    explicit crashing_server(options what);
    ~crashing_server();

    crashing_server(const crashing_server &) = delete;
    crashing_server &operator=(const crashing_server &) = delete;

    /** Adds a header line to every answer from now on; none if it is empty. */
    void setAnswerHeader(const std::string &line);

    /** Rejects every request from now on without running it, with this header line; accepts them again if it is empty. */
    void setRefusal(const std::string &line);

    std::vector<arrival> arrivals() const;

    std::vector<std::chrono::steady_clock::time_point> crashes() const;

private:
    struct connection {
        explicit connection(asio::io_context &context)
            : socket(context)
            , timer(context)
        {
        }
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::string received;
    };

    void listen();
    void accept();
    void read(const std::shared_ptr<connection> &one);
    void serve(const std::shared_ptr<connection> &one, std::size_t headLength);
    void answer(const std::shared_ptr<connection> &one, const std::string &head);
    void crash();
    void announce();
    std::string id() const;

    options m_options;
    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_restart;
    std::set<std::shared_ptr<connection>> m_connections;
    std::atomic<unsigned> m_life = 1; /**< Number of starts; zero is never announced. */
    std::atomic<bool> m_down = false;
    std::uint64_t m_announcements = 0;
    mutable std::mutex m_lock;
    std::string m_answerHeader;
    std::string m_refusal;
    std::vector<arrival> m_arrivals;
    std::vector<std::chrono::steady_clock::time_point> m_crashes;
    std::thread m_serving;
    std::jthread m_announcing;
};

} // namespace carawayloft::test_support
