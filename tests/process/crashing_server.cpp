#include "process/crashing_server.h"

#include "process/http_call.h"
#include "process/raw_request.h"

#include <asio/executor_work_guard.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

namespace carawayloft::test_support {

static constexpr unsigned short port = 9000;
static constexpr std::chrono::milliseconds downTime{400};
static constexpr std::chrono::milliseconds workTime{20};
static constexpr std::chrono::milliseconds announcementPeriod{100};
static constexpr std::int64_t firstStart = 1'700'000'000'000;

crashing_server::crashing_server(options what)
    : m_options(std::move(what))
    , m_acceptor(m_context)
    , m_restart(m_context)
{
    listen();
    m_serving = std::thread([this] {
        const auto guard = asio::make_work_guard(m_context);
        m_context.run();
    });
    m_announcing = std::jthread([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            if (!m_down) {
                announce();
            }
            std::this_thread::sleep_for(announcementPeriod);
        }
    });
}

crashing_server::~crashing_server()
{
    m_announcing.request_stop();
    m_announcing.join();
    m_context.stop();
    m_serving.join();
}

void crashing_server::setAnswerHeader(const std::string &line)
{
    const std::lock_guard lock(m_lock);
    m_answerHeader = line;
}

void crashing_server::setRefusal(const std::string &line)
{
    const std::lock_guard lock(m_lock);
    m_refusal = line;
}

std::vector<crashing_server::arrival> crashing_server::arrivals() const
{
    const std::lock_guard lock(m_lock);
    return m_arrivals;
}

std::vector<std::chrono::steady_clock::time_point> crashing_server::crashes() const
{
    const std::lock_guard lock(m_lock);
    return m_crashes;
}

std::string crashing_server::id() const
{
    return m_options.name + "-" + std::to_string(m_life.load());
}

void crashing_server::listen()
{
    const asio::ip::tcp::endpoint address(asio::ip::make_address(m_options.ip), port);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    accept();
}

void crashing_server::accept()
{
    const auto one = std::make_shared<connection>(m_context);
    m_acceptor.async_accept(one->socket, [this, one](const std::error_code &failure) {
        if (failure) {
            return;
        }
        m_connections.insert(one);
        read(one);
        accept();
    });
}

void crashing_server::read(const std::shared_ptr<connection> &one)
{
    asio::async_read_until(one->socket, asio::dynamic_buffer(one->received), "\r\n\r\n", [this, one](const std::error_code &failure, std::size_t length) {
        if (failure) {
            m_connections.erase(one);
            return;
        }
        serve(one, length);
    });
}

/** Requests have no body. */
void crashing_server::serve(const std::shared_ptr<connection> &one, std::size_t headLength)
{
    const std::string head = one->received.substr(0, headLength);
    one->received.erase(0, headLength);
    const bool poisonous = !m_options.poison.empty() && head.find(m_options.poison + ":") != std::string::npos;
    {
        const std::lock_guard lock(m_lock);
        m_arrivals.push_back({std::chrono::steady_clock::now(), poisonous});
    }
    one->timer.expires_after(workTime);
    one->timer.async_wait([this, one, head, poisonous](const std::error_code &failure) {
        if (!failure) {
            poisonous ? crash() : answer(one, head);
        }
    });
}

void crashing_server::answer(const std::shared_ptr<connection> &one, const std::string &head)
{
    const std::string requestId = requestIdLine(head);
    std::string first = "HTTP/1.1 200 OK\r\nX-Carawayloft-Response-Seal: seal\r\n";
    std::string further;
    {
        const std::lock_guard lock(m_lock);
        further = m_answerHeader.empty() ? std::string() : m_answerHeader + "\r\n";
        if (!m_refusal.empty()) {
            first = "HTTP/1.1 503 Service Unavailable\r\nX-Carawayloft-Not-Executed: 1\r\n" + m_refusal + "\r\n";
        }
    }
    const auto bytes = std::make_shared<std::string>(first + "Content-Length: 2\r\n" + requestId + further + "\r\nok");
    asio::async_write(one->socket, asio::buffer(*bytes), [this, one, bytes](const std::error_code &failure, std::size_t) {
        if (failure) {
            m_connections.erase(one);
            return;
        }
        read(one);
    });
}

void crashing_server::crash()
{
    if (m_down) {
        return;
    }
    m_down = true;
    {
        const std::lock_guard lock(m_lock);
        m_crashes.push_back(std::chrono::steady_clock::now());
    }
    std::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &each : m_connections) {
        each->timer.cancel();
        each->socket.close(ignored);
    }
    m_connections.clear();
    m_restart.expires_after(downTime);
    m_restart.async_wait([this](const std::error_code &failure) {
        if (!failure) {
            ++m_life;
            listen();
            m_down = false;
        }
    });
}

void crashing_server::announce()
{
    http_question question;
    question.method = "PUT";
    question.url = "http://" + m_options.control + "/-/instances/" + id();
    question.headers = {"Content-Type: application/json"};
    question.body = nlohmann::json{{"service", "records"},
                                   {"address", m_options.ip + ":" + std::to_string(port)},
                                   {"zone", "mid-a"},
                                   {"version", "v1"},
                                   {"slots", 48},
                                   {"state", "ready"},
                                   {"coldLeftMs", 0},
                                   {"born", firstStart + m_life.load()},
                                   {"sequence", ++m_announcements}}
                        .dump();
    question.timeoutMs = 1'000;
    ask(question);
}

} // namespace carawayloft::test_support
