// Sends load to an entry, or straight to a backend server, and reports what callers saw as JSON.

#include "ends/http_client.h"
#include "ends/timer_service.h"

#include <carawayloft/core/overloaded.h>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>

using namespace carawayloft;

namespace {

struct load_options {
    std::string url;
    std::string key;
    std::string model;
    std::string method;
    unsigned tokens = 1;
    unsigned callers = 1; /**< Requests that are always in flight. */
    double rate = 0; /**< Requests a second, however many are in flight; zero for a fixed number of callers. */
    duration length{0};
};

/** What was seen of one request. */
struct sample {
    time_point begun;
    time_point last;
    bool started = false;
};

class load_generator
{
public:
    load_generator(asio::io_context &context, timer_service &timers, http_client &client, load_options options)
        : m_context(context)
        , m_timers(timers)
        , m_client(client)
        , m_options(std::move(options))
    {
    }

    void start()
    {
        m_begun = std::chrono::steady_clock::now();
        m_end = m_timers.after(m_options.length, [this](time_point) { m_ended = true; });
        if (m_options.rate > 0) {
            m_arrivals = m_timers.every(duration(1), [this](time_point now) { arrive(now); });
            return;
        }
        for (unsigned i = 0; i < m_options.callers; ++i) {
            send();
        }
    }

    nlohmann::ordered_json report()
    {
        const double seconds = std::chrono::duration<double>(m_lastEnd - m_begun).count();
        return {{"answered", m_answered},
                {"failed", m_failed},
                {"statuses", m_statuses},
                {"per_second", static_cast<double>(m_answered) / seconds},
                {"first_byte_ms", quantiles(m_firstByte)},
                {"between_pieces_ms", quantiles(m_between)},
                {"total_ms", quantiles(m_total)}};
    }

private:
    static nlohmann::ordered_json quantiles(std::vector<double> &values)
    {
        std::sort(values.begin(), values.end());
        const auto at = [&](double share) { return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]; };
        return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}, {"count", values.size()}};
    }

    static double milliseconds(time_point from, time_point to)
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

    void arrive(time_point now)
    {
        const double due = std::chrono::duration<double>(now - m_begun).count() * m_options.rate;
        while (!m_ended && static_cast<double>(m_sent) < due) {
            send();
        }
        finishIfDone();
    }

    http_call makeCall() const
    {
        http_call call{
            m_options.method, m_options.url, {{"Authorization", "Bearer " + m_options.key}, {"Content-Type", "application/json"}}, {}, duration(60'000)};
        if (!m_options.model.empty()) {
            call.body = nlohmann::json{{"model", m_options.model},
                                       {"stream", true},
                                       {"max_tokens", m_options.tokens},
                                       {"messages", {{{"role", "user"}, {"content", "load " + std::to_string(m_sent)}}}}}
                            .dump();
        }
        return call;
    }

    void send()
    {
        ++m_sent;
        ++m_inFlight;
        auto one = std::make_shared<sample>();
        one->begun = std::chrono::steady_clock::now();
        m_client.start(makeCall(), [this, one](const http_event &event) { take(*one, event); });
    }

    void take(sample &one, const http_event &event)
    {
        const time_point now = std::chrono::steady_clock::now();
        std::visit(overloaded{
                       [&](const http_started &started) { ++m_statuses[std::to_string(started.status)]; },
                       [&](const http_received &) {
                           one.started ? m_between.push_back(milliseconds(one.last, now)) : m_firstByte.push_back(milliseconds(one.begun, now));
                           one.started = true;
                           one.last = now;
                       },
                       [&](const http_finished &) {
                           ++m_answered;
                           m_total.push_back(milliseconds(one.begun, now));
                           ended(now);
                       },
                       [&](const http_failed &) {
                           ++m_failed;
                           ended(now);
                       },
                   },
                   event);
    }

    void ended(time_point now)
    {
        m_lastEnd = now;
        --m_inFlight;
        if (!m_ended && m_options.rate <= 0) {
            send();
        }
        finishIfDone();
    }

    void finishIfDone()
    {
        if (m_ended && m_inFlight == 0) {
            m_context.stop();
        }
    }

    asio::io_context &m_context;
    timer_service &m_timers;
    http_client &m_client;
    load_options m_options;
    timer_service::subscription m_end;
    timer_service::subscription m_arrivals;
    time_point m_begun;
    time_point m_lastEnd;
    bool m_ended = false;
    std::uint64_t m_sent = 0;
    std::uint64_t m_inFlight = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_failed = 0;
    std::map<std::string, std::uint64_t> m_statuses;
    std::vector<double> m_firstByte;
    std::vector<double> m_between;
    std::vector<double> m_total;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    TCLAP::CmdLine line("Sends load and reports what callers saw.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> url("", "url", "Where to send.", true, "", "URL", line);
    TCLAP::ValueArg<std::string> key("", "key", "Bearer key.", false, "", "key", line);
    TCLAP::ValueArg<std::string> model("", "model", "Model to ask for streams; empty for plain calls.", false, "", "name", line);
    TCLAP::ValueArg<std::string> method("", "method", "HTTP method.", false, "POST", "method", line);
    TCLAP::ValueArg<unsigned> tokens("", "tokens", "Tokens of an answer.", false, 20, "number", line);
    TCLAP::ValueArg<unsigned> callers("", "callers", "Requests always in flight.", false, 8, "number", line);
    TCLAP::ValueArg<double> rate("", "rate", "Requests a second; zero for a fixed number in flight.", false, 0, "number", line);
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "Length of the run.", false, 5, "s", line);
    line.parse(argc, argv);

    asio::io_context context(1);
    timer_service timers(context);
    const std::unique_ptr<http_client> client = http_client::create(context);
    load_generator generator(context,
                             timers,
                             *client,
                             {url.getValue(),
                              key.getValue(),
                              model.getValue(),
                              method.getValue(),
                              tokens.getValue(),
                              callers.getValue(),
                              rate.getValue(),
                              std::chrono::seconds(seconds.getValue())});
    generator.start();
    context.run();
    std::cout << generator.report().dump(2) << '\n';
    return 0;
}
