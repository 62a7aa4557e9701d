#pragma once

#include "process/backend_announcement.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace carawayloft::test_support {

/**
 * A backend server that announces itself to control and answers every call, orders too, with the same bytes. The id of the
 * request and a seal are added behind the status line. A connection serves one request after the other until its caller closes.
 */
class scripted_server
{
public:
    struct options {
        std::string name;
        std::string service;
        std::string address;
        std::string control; /**< Address of the control replica. */
    };

    explicit scripted_server(options what);
    ~scripted_server();

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    /** Answers with @p bytes from now on; closes the connection behind each answer if @p closes. */
    void setAnswer(const std::string &bytes, bool closes);

    /** Requests that came so far. */
    std::size_t requests() const
    {
        return m_requests;
    }

private:
    struct connection {
        explicit connection(asio::io_context &context)
            : socket(context)
        {
        }
        asio::ip::tcp::socket socket;
        std::string received;
        std::string sending;
    };

    void accept();
    void read(const std::shared_ptr<connection> &one);
    void answer(const std::shared_ptr<connection> &one, const std::string &requestHead);

    options m_options;
    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_requests = 0;
    std::mutex m_lock;
    std::string m_answer;
    bool m_closes = false;
    std::thread m_serving;
    repeated_announcement m_announcing;
};

} // namespace carawayloft::test_support
