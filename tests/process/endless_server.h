#pragma once

#include "process/backend_announcement.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace carawayloft::test_support {

/** What a faulty server sends without end. */
enum class endless_answer {
    HeaderLines,
    OneHeaderLine,
    NoLineEnd,
    ChunkedBody,
    LongBody, /**< Of a stated length that no process can hold. */
    UnframedBody,
    Events, /**< Proper ones, in a stream. */
};

/** A backend server that announces itself to control and answers every call, orders too, with bytes without end until the caller closes. */
class endless_server
{
public:
    struct options {
        std::string service;
        std::string address;
        std::string control; /**< Address of the control replica. */
        endless_answer form = endless_answer::HeaderLines;
    };

    explicit endless_server(options what);
    ~endless_server();

    endless_server(const endless_server &) = delete;
    endless_server &operator=(const endless_server &) = delete;

    /** Bytes sent so far, to all callers. */
    std::size_t sentBytes() const
    {
        return m_sent;
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
        std::size_t blocks = 0; /**< Sent so far. */
    };

    void accept();
    void send(const std::shared_ptr<connection> &one, std::string bytes);

    options m_options;
    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_sent = 0;
    std::thread m_serving;
    repeated_announcement m_announcing;
};

} // namespace carawayloft::test_support
