// A small stand-in for a model engine: OpenAI-style HTTP, tokens that depend on the prompt and the
// position alone, cold start, cancel, resume at an offset, lagging load reports, fencing numbers.

#include "ends/digest.h"
#include "ends/http_server.h"
#include "fake_backend.h"

#include <tclap/CmdLine.h>

#include <deque>
#include <iostream>
#include <map>
#include <random>

using namespace carawayloft;

namespace {

struct engine_options {
    endpoint listen;
    unsigned tokens = 1;
    duration firstToken{0};
    duration perToken{0};
    duration weightLoad{0};
    duration coldTime{0};
    duration reportLag{0};
    bool checksFencing = false;
};

/** One answer being generated. */
struct generation {
    std::shared_ptr<http_exchange> exchange;
    std::string id;
    std::uint64_t seed = 0;
    unsigned position = 0;
    unsigned length = 0;
    bool stream = false;
    std::string text;
    unsigned untaken = 0;
    timer_service::subscription timer;
};

class fake_engine
{
public:
    fake_engine(timer_service &timers, fake::announcer &announcer, engine_options options)
        : m_timers(timers)
        , m_announcer(announcer)
        , m_options(options)
        , m_run(std::random_device()())
        , m_coldUntil(std::chrono::steady_clock::now() + options.coldTime)
    {
    }

    void serve(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
    {
        if (request.path == "/v1/chat/completions") {
            generate(request, exchange);
        } else if (request.path == "/load") {
            reportLoad(*exchange);
        } else if (request.path == "/orders") {
            takeOrder(request, exchange);
        } else if (request.path == "/fake/cold") {
            m_coldUntil = std::chrono::steady_clock::now() + m_options.coldTime;
            exchange->respond({200, {}, "cold\n"});
        } else if (request.path == "/fake/leaving") {
            m_announcer.setLeaving(true);
            exchange->respond({200, {}, "leaving\n"});
        } else if (request.path == "/fake/stats") {
            exchange->respond({200, {{"Content-Type", "application/json"}}, stats().dump()});
        } else {
            exchange->respond({404, {}, "nothing here\n"});
        }
    }

private:
    static constexpr unsigned maxUntaken = 8;

    bool isCold() const
    {
        return std::chrono::steady_clock::now() < m_coldUntil;
    }

    nlohmann::json stats() const
    {
        return {{"running", m_running.size()},
                {"most_cold", m_mostCold},
                {"most_warm", m_mostWarm},
                {"generated", m_generated},
                {"cancelled", m_cancelled},
                {"fencing", m_fencing}};
    }

    void reportLoad(http_exchange &exchange)
    {
        const auto now = std::chrono::steady_clock::now();
        const nlohmann::json present{{"incarnation", m_run}, {"cold", isCold()}, {"running", m_running.size()}, {"cached_prefix", m_lastPrefix}};
        m_reports.emplace_back(now, present.dump());
        while (m_reports.size() > 1 && m_reports[1].first + m_options.reportLag <= now) {
            m_reports.pop_front();
        }
        exchange.respond({200, {{"Content-Type", "application/json"}}, m_reports.front().second});
    }

    void takeOrder(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
    {
        const auto order = nlohmann::json::parse(request.body, nullptr, false);
        const std::uint64_t fencing = order.is_object() ? order.value("fencing", std::uint64_t{0}) : 0;
        if (m_options.checksFencing && fencing < m_fencing) {
            exchange->respond({409, {}, "old fencing number\n"});
            return;
        }
        m_fencing = std::max(m_fencing, fencing);
        const std::uint64_t key = m_nextKey++;
        m_loads[key] = m_timers.after(m_options.weightLoad, [this, key, exchange](time_point) {
            m_loaded = true;
            exchange->respond({200, {}, "loaded\n"});
            m_loads.erase(key);
        });
    }

    void generate(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object() || !m_loaded) {
            exchange->respond({m_loaded ? 400U : 503U, {{"Content-Type", "application/json"}}, R"({"error":{"message":"not served"}})"});
            return;
        }
        const std::uint64_t key = m_nextKey++;
        generation &one = m_running[key];
        one.exchange = exchange;
        one.id = "chatcmpl-" + request.header("X-Request-Id");
        one.seed = fastDigest(body["messages"].dump());
        one.length = body.value("max_tokens", m_options.tokens);
        one.stream = body.value("stream", false);
        const std::string resume = request.header("X-Resume-Offset");
        one.position = resume.empty() ? 0 : static_cast<unsigned>(std::stoul(resume));
        m_lastPrefix = fastDigest(body["messages"].dump().substr(0, 256));
        unsigned &most = isCold() ? m_mostCold : m_mostWarm;
        most = std::max(most, static_cast<unsigned>(m_running.size()));
        exchange->onHangUp([this, key] {
            ++m_cancelled;
            m_running.erase(key);
        });
        one.timer = m_timers.after(m_options.firstToken, [this, key](time_point) { begin(key); });
    }

    void begin(std::uint64_t key)
    {
        generation &one = m_running.at(key);
        if (one.stream) {
            one.exchange->startStream({200, {{"Content-Type", "text/event-stream"}}, {}});
        }
        emitToken(key);
    }

    static std::string tokenOf(const generation &one)
    {
        return "t" + std::to_string((one.seed + one.position) % 1000) + "_" + std::to_string(one.position) + " ";
    }

    void emitToken(std::uint64_t key)
    {
        const auto found = m_running.find(key);
        if (found == m_running.end()) {
            return;
        }
        generation &one = found->second;
        if (one.position >= one.length) {
            finish(key);
            return;
        }
        if (one.stream) {
            const nlohmann::ordered_json event{{"id", one.id},
                                               {"object", "chat.completion.chunk"},
                                               {"choices", {{{"index", 0}, {"delta", {{"content", tokenOf(one)}}}, {"finish_reason", nullptr}}}}};
            ++one.untaken;
            one.exchange->write("data: " + event.dump() + "\n\n", [this, key] { taken(key); });
        } else {
            one.text += tokenOf(one);
        }
        ++one.position;
        schedule(key, one);
    }

    void schedule(std::uint64_t key, generation &one)
    {
        if (one.untaken < maxUntaken) {
            one.timer = m_timers.after(m_options.perToken, [this, key](time_point) { emitToken(key); });
        }
    }

    /** Goes on when a caller who did not take tokens takes them again. */
    void taken(std::uint64_t key)
    {
        const auto found = m_running.find(key);
        if (found != m_running.end() && found->second.untaken-- == maxUntaken) {
            schedule(key, found->second);
        }
    }

    void finish(std::uint64_t key)
    {
        const generation one = std::move(m_running.at(key));
        m_running.erase(key);
        ++m_generated;
        if (one.stream) {
            one.exchange->write("data: [DONE]\n\n", {});
            one.exchange->finish();
            return;
        }
        const nlohmann::ordered_json answer{
            {"id", one.id},
            {"object", "chat.completion"},
            {"choices", {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", one.text}}}, {"finish_reason", "stop"}}}}};
        one.exchange->respond({200, {{"Content-Type", "application/json"}}, answer.dump()});
    }

    timer_service &m_timers;
    fake::announcer &m_announcer;
    engine_options m_options;
    std::uint64_t m_run;
    time_point m_coldUntil;
    bool m_loaded = false;
    std::uint64_t m_fencing = 0;
    std::uint64_t m_nextKey = 1;
    std::map<std::uint64_t, generation> m_running;
    std::map<std::uint64_t, timer_service::subscription> m_loads;
    std::deque<std::pair<time_point, std::string>> m_reports;
    std::uint64_t m_lastPrefix = 0;
    unsigned m_mostCold = 0;
    unsigned m_mostWarm = 0;
    std::uint64_t m_generated = 0;
    std::uint64_t m_cancelled = 0;
};

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("A stand-in for a model engine.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "Where to serve.", true, "", "IP:port", line);
    TCLAP::ValueArg<std::string> agent("", "agent", "URL of the agent beside it.", true, "", "URL", line);
    TCLAP::ValueArg<std::string> service("", "service", "Model that it serves.", false, "drafting-models", "name", line);
    TCLAP::ValueArg<unsigned> cold("", "cold-limit", "Requests that it bears cold.", false, 2, "number", line);
    TCLAP::ValueArg<unsigned> warm("", "warm-limit", "Requests that it bears warm.", false, 16, "number", line);
    TCLAP::ValueArg<unsigned> tokens("", "tokens", "Tokens of an answer.", false, 20, "number", line);
    TCLAP::ValueArg<unsigned> firstToken("", "first-token-ms", "Time to the first token.", false, 20, "ms", line);
    TCLAP::ValueArg<unsigned> perToken("", "token-ms", "Time between tokens.", false, 10, "ms", line);
    TCLAP::ValueArg<unsigned> load("", "load-ms", "Time to load weights.", false, 200, "ms", line);
    TCLAP::ValueArg<unsigned> coldTime("", "cold-ms", "Length of a cold start.", false, 500, "ms", line);
    TCLAP::ValueArg<unsigned> lag("", "report-lag-ms", "Lag of load reports.", false, 100, "ms", line);
    TCLAP::SwitchArg fencing("", "checks-fencing", "Refuse orders with an old fencing number.", line);
    line.parse(argc, argv);

    asio::io_context context(1);
    timer_service timers(context);
    fake::announcer announcer(context,
                              timers,
                              agent.getValue(),
                              {"http://" + listen.getValue(), service.getValue(), "model", cold.getValue(), warm.getValue(), fencing.getValue(), false});
    engine_options options;
    options.tokens = tokens.getValue();
    options.firstToken = duration(firstToken.getValue());
    options.perToken = duration(perToken.getValue());
    options.weightLoad = duration(load.getValue());
    options.coldTime = duration(coldTime.getValue());
    options.reportLag = duration(lag.getValue());
    options.checksFencing = fencing.getValue();
    fake_engine engine(timers, announcer, options);
    auto server
        = http_server::create(context, endpoint(listen.getValue()), {}, [&](const http_request &request, const std::shared_ptr<http_exchange> &exchange) {
              engine.serve(request, exchange);
          });
    if (failed(server)) {
        std::cerr << describe(errorOf(server)) << '\n';
        return 1;
    }
    fake::runUntilTerminated(context);
    return 0;
}
