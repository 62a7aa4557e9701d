#include "process/scripted_server.h"

#include "ends/frame_link.h"
#include "process/raw_request.h"

#include <carawayloft/core/result.h>

#include <asio/executor_work_guard.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace carawayloft::test_support {

scripted_server::scripted_server(options what)
    : m_options(std::move(what))
    , m_acceptor(m_context, valueOf(parseEndpoint(endpoint(m_options.address))))
    , m_announcing(m_options.control, {m_options.name, m_options.service, m_options.address})
{
    accept();
    m_serving = std::thread([this] {
        const auto guard = asio::make_work_guard(m_context);
        m_context.run();
    });
}

scripted_server::~scripted_server()
{
    m_context.stop();
    m_serving.join();
}

void scripted_server::setAnswer(const std::string &bytes, bool closes)
{
    const std::lock_guard lock(m_lock);
    m_answer = bytes;
    m_closes = closes;
}

void scripted_server::accept()
{
    const auto one = std::make_shared<connection>(m_context);
    m_acceptor.async_accept(one->socket, [this, one](const std::error_code &failure) {
        if (!failure) {
            read(one);
            accept();
        }
    });
}

void scripted_server::read(const std::shared_ptr<connection> &one)
{
    asio::async_read_until(one->socket, asio::dynamic_buffer(one->received), "\r\n\r\n", [this, one](const std::error_code &failure, std::size_t length) {
        if (!failure) {
            const std::string head = one->received.substr(0, length);
            one->received.clear(); // Callers of these tests wait for an answer before they send more, and the bodies of orders are not looked at.
            ++m_requests;
            answer(one, head);
        }
    });
}

void scripted_server::answer(const std::shared_ptr<connection> &one, const std::string &requestHead)
{
    bool closes = false;
    {
        const std::lock_guard lock(m_lock);
        one->sending = m_answer;
        closes = m_closes;
    }
    const std::size_t lastHead = one->sending.rfind("HTTP/");
    const std::size_t lineEnd = one->sending.find('\n', lastHead == std::string::npos ? 0 : lastHead);
    one->sending.insert(lineEnd + 1, "X-Carawayloft-Response-Seal: seal\r\n" + requestIdLine(requestHead));
    asio::async_write(one->socket, asio::buffer(one->sending), [this, one, closes](const std::error_code &failure, std::size_t) {
        if (!failure && !closes) {
            read(one);
        }
    });
}

} // namespace carawayloft::test_support
