#include "process/silent_server.h"

#include "ends/frame_link.h"
#include "process/backend_announcement.h"

#include <carawayloft/core/result.h>

#include <asio/executor_work_guard.hpp>

#include <algorithm>

namespace carawayloft::test_support {

static constexpr std::chrono::milliseconds announcementPeriod{100};

silent_server::silent_server(const std::string &service, const std::string &address, const std::string &control)
    : m_acceptor(m_context, valueOf(parseEndpoint(endpoint(address))))
{
    accept();
    m_serving = std::thread([this] {
        const auto guard = asio::make_work_guard(m_context);
        m_context.run();
    });
    m_announcing = std::jthread([service, address, control](const std::stop_token &stop) {
        for (int sequence = 1; !stop.stop_requested(); ++sequence) {
            announce(control, {service + "-silent", service, address, sequence});
            std::this_thread::sleep_for(announcementPeriod);
        }
    });
}

silent_server::~silent_server()
{
    m_announcing.request_stop();
    m_announcing.join();
    m_context.stop();
    m_serving.join();
}

void silent_server::accept()
{
    const auto one = std::make_shared<connection>(m_context);
    m_acceptor.async_accept(one->socket, [this, one](const std::error_code &failure) {
        if (failure) {
            return;
        }
        read(one);
        accept();
    });
}

void silent_server::read(const std::shared_ptr<connection> &one)
{
    one->socket.async_read_some(asio::buffer(one->part), [this, one](const std::error_code &ended, std::size_t bytes) {
        if (ended) {
            m_held -= one->held;
            return;
        }
        one->held += bytes;
        m_held += bytes;
        m_peakHeld = std::max(m_peakHeld.load(), m_held);
        read(one);
    });
}

} // namespace carawayloft::test_support
