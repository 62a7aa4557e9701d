#include "process/endless_server.h"

#include "ends/frame_link.h"
#include "process/raw_request.h"

#include <carawayloft/core/result.h>

#include <asio/executor_work_guard.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace carawayloft::test_support {

static constexpr std::size_t blockBytes = std::size_t{64} << 10U;

/** What precedes the part without end. */
static std::string beginning(endless_answer form, const std::string &requestHead)
{
    const std::string ok = "HTTP/1.1 200 OK\r\nX-Carawayloft-Response-Seal: seal\r\n" + requestIdLine(requestHead);
    switch (form) {
    case endless_answer::HeaderLines:
        return ok;
    case endless_answer::OneHeaderLine:
        return ok + "X-Long: ";
    case endless_answer::NoLineEnd:
        return {};
    case endless_answer::ChunkedBody:
        return ok + "Transfer-Encoding: chunked\r\n\r\n";
    case endless_answer::LongBody:
        return ok + "Content-Length: 1000000000000\r\n\r\n";
    case endless_answer::UnframedBody:
        return ok + "\r\n";
    case endless_answer::Events:
        return ok + "Content-Type: text/event-stream\r\n\r\n";
    }
    return {};
}

/** One of the blocks that follow each other without end. */
static std::string block(endless_answer form, std::size_t number)
{
    switch (form) {
    case endless_answer::HeaderLines:
        return "X-Line-" + std::to_string(number) + ": " + std::string(1'000, 'x') + "\r\n";
    case endless_answer::ChunkedBody:
        return "10000\r\n" + std::string(blockBytes, 'x') + "\r\n";
    case endless_answer::Events:
        return "id: " + std::to_string(number) + "\ndata: " + std::string(blockBytes, 'x') + "\n\n";
    default:
        return std::string(blockBytes, 'x');
    }
}

endless_server::endless_server(options what)
    : m_options(std::move(what))
    , m_acceptor(m_context, valueOf(parseEndpoint(endpoint(m_options.address))))
    , m_announcing(m_options.control, {m_options.service + "-endless", m_options.service, m_options.address})
{
    accept();
    m_serving = std::thread([this] {
        const auto guard = asio::make_work_guard(m_context);
        m_context.run();
    });
}

endless_server::~endless_server()
{
    m_context.stop();
    m_serving.join();
}

void endless_server::accept()
{
    const auto one = std::make_shared<connection>(m_context);
    m_acceptor.async_accept(one->socket, [this, one](const std::error_code &failure) {
        if (failure) {
            return;
        }
        asio::async_read_until(one->socket, asio::dynamic_buffer(one->received), "\r\n\r\n", [this, one](const std::error_code &ended, std::size_t) {
            if (!ended) {
                send(one, beginning(m_options.form, one->received));
            }
        });
        accept();
    });
}

void endless_server::send(const std::shared_ptr<connection> &one, std::string bytes)
{
    one->sending = std::move(bytes);
    asio::async_write(one->socket, asio::buffer(one->sending), [this, one](const std::error_code &ended, std::size_t count) {
        m_sent += count;
        if (!ended) {
            send(one, block(m_options.form, ++one->blocks));
        }
    });
}

} // namespace carawayloft::test_support
