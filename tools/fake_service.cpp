// A small stand-in for a plain service such as checklist-records: runs each call and keeps a log of it.

#include "ends/http_server.h"
#include "fake_backend.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>

using namespace carawayloft;

namespace {

class fake_service
{
public:
    fake_service(timer_service &timers, fake::announcer &announcer, const std::string &logFile, duration delay)
        : m_timers(timers)
        , m_announcer(announcer)
        , m_log(logFile, std::ios::app)
        , m_delay(delay)
        , m_run(std::random_device()())
    {
    }

    void serve(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
    {
        if (request.path == "/load") {
            const nlohmann::json report{{"incarnation", m_run}, {"cold", false}, {"running", m_running.size()}};
            exchange->respond({200, {{"Content-Type", "application/json"}}, report.dump()});
        } else if (request.path == "/fake/leaving") {
            m_announcer.setLeaving(true);
            exchange->respond({200, {}, "leaving\n"});
        } else {
            runCall(request, exchange);
        }
    }

private:
    void runCall(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
    {
        const std::uint64_t number = ++m_calls;
        m_log << request.method << '\t' << request.path << '\t' << request.body << '\n' << std::flush;
        const nlohmann::json answer{{"entry", std::to_string(m_run) + "-" + std::to_string(number)}, {"method", request.method}, {"path", request.path}};
        m_running[number] = m_timers.after(m_delay, [this, number, exchange, answer](time_point) {
            exchange->respond({callStatus, {{"Content-Type", "application/json"}}, answer.dump()});
            m_running.erase(number);
        });
    }

    static constexpr std::uint32_t callStatus = 200;

    timer_service &m_timers;
    fake::announcer &m_announcer;
    std::ofstream m_log;
    duration m_delay;
    std::uint64_t m_run;
    std::uint64_t m_calls = 0;
    std::map<std::uint64_t, timer_service::subscription> m_running;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("A stand-in for a plain service that logs each call it ran.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Where to serve.", true, "", "IP:port", line);
    TCLAP::ValueArg<std::string> agent("", "agent", "URL of the agent beside it.", true, "", "URL", line);
    TCLAP::ValueArg<std::string> service("", "service", "Service that it serves.", false, "checklist-records", "name", line);
    TCLAP::ValueArg<std::string> log("", "calls-log", "File that gets a line for each call.", true, "", "file", line);
    TCLAP::ValueArg<unsigned> limit("", "limit", "Requests that it bears.", false, 64, "number", line);
    TCLAP::ValueArg<unsigned> delay("", "delay-ms", "Time that a call takes.", false, 1, "ms", line);
    line.parse(argc, argv);

    asio::io_context context(1);
    timer_service timers(context);
    fake::announcer announcer(
        context, timers, agent.getValue(), {"http://" + listen.getValue(), service.getValue(), "plain", limit.getValue(), limit.getValue(), false, false});
    fake_service backend(timers, announcer, log.getValue(), duration(delay.getValue()));
    auto server
        = http_server::create(context, endpoint(listen.getValue()), {}, [&](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
              backend.serve(request, exchange);
          });
    if (failed(server)) {
        std::cerr << describe(errorOf(server)) << '\n';
        return 1;
    }
    fake::runUntilTerminated(context);
    return 0;
}
