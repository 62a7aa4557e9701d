#include <carawayloft/gateway/gateway_pipe.h>

#include "support/service_builder.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

using namespace carawayloft;
using namespace carawayloft::test_support;

// Guards against a server whose answers are malformed or have no end and that goes on getting requests: by the limit on the
// requests to the other server, which the callers then wait for, or since a call that ran into its deadline counted for nothing.

namespace {

constexpr std::size_t callers = 4;
constexpr duration pauseOfCallers{50};
constexpr duration workTime{20};
constexpr duration faultyTime{20'000};
constexpr duration tickPeriod{20};

/** With it one server takes 23 requests a second, and the callers send 57. */
constexpr double tightLimit = 14.0;

/** What the faulty server does with a request. */
enum class fault {
    BreaksOff, /**< The client ends the call: no head that it accepts. */
    EndlessBody, /**< More than a gateway keeps. */
    Trickle, /**< A head, then a byte now and then, until the time limit of the request. */
};

struct fault_case {
    fault kind = fault::BreaksOff;
    double coldRequestsPerSecond = 0.0;
};

/** Callers in a closed loop before one gateway, one faulty server and one sound one. */
class MalformedAnswers : public ::testing::TestWithParam<fault_case>
{
protected:
    struct outcome {
        std::size_t answered = 0;
        std::map<std::uint32_t, std::size_t> rejected;
        std::map<backend_id, std::size_t> sent;
    };

    struct pending {
        call_backend call;
        time_point at; /**< When the server does its next thing. */
    };

    MalformedAnswers()
        : m_pipe({availability_zone_id("mid-a"), {0.2, 300.0, duration(10'000), 1.5, 5.0}, 1})
    {
        configuration_fields fields = makeFields();
        fields.services[1].coldRequestsPerSecond = GetParam().coldRequestsPerSecond;
        step(configuration_in_force{
            std::make_shared<const service_configuration>(std::get<service_configuration>(service_configuration::create(std::move(fields))))});
        step(control_message{publish_snapshot{fleet_snapshot{}}});
        publish_fleet view;
        view.snapshot = true;
        for (const char *id : {"faulty", "sound"}) {
            backend_record record;
            record.backend = backend_id(id);
            record.service = plainService;
            record.address = endpoint("127.0.0.1:9000");
            record.zone = availability_zone_id("mid-a");
            view.backends.push_back(record);
        }
        step(control_message{view});
        for (const time_point ready = m_now + duration(11'000); m_now < ready; m_now += tickPeriod) {
            step(request_tick{}); // The gateway has its share of the retry slack after one window.
            grant();
        }
    }

    void step(const gateway_pipe_input &in)
    {
        for (const gateway_pipe_output &each : m_pipe.step(in, m_now)) {
            std::visit([this](const auto &out) { execute(out); }, each);
        }
    }

    template<class Output>
    void execute(const Output &)
    {
    }

    void execute(const send_to_control &out)
    {
        if (const auto *report = std::get_if<gateway_report>(&out.message)) {
            m_reported.push_back(report->round);
        }
    }

    void execute(const call_backend &out)
    {
        ++m_outcome.sent[out.backend];
        m_pending[out.call] = {out, m_now + (out.backend == backend_id("faulty") ? duration(5) : workTime)};
    }

    void execute(const cancel_call &out)
    {
        m_pending.erase(out.call);
    }

    void execute(const send_whole_answer &out)
    {
        ++m_outcome.answered;
        end(out.request);
    }

    void execute(const reject_request &out)
    {
        ++m_outcome.rejected[out.status];
        end(out.request);
    }

    void end(const request_id &request)
    {
        for (std::size_t i = 0; i < callers; ++i) {
            if (m_asked[i] == request) {
                m_asked[i] = {};
                m_nextAt[i] = m_now + pauseOfCallers;
            }
        }
    }

    void ask(std::size_t caller)
    {
        gateway_request request;
        request.request = request_id(++m_requests);
        request.name = "r" + std::to_string(m_requests);
        request.host = "ledger.example";
        request.path = "/records/x";
        request.key = knownKey;
        request.timeLimit = duration(4'000);
        m_asked[caller] = request.request;
        step(request);
    }

    void serve(const backend_call_id &id, const pending &one)
    {
        if (one.call.backend == backend_id("sound")) {
            m_pending.erase(id);
            step(backend_answer_started{id, 200, false, false, false, false});
            step(backend_bytes_received{id, "ok"});
            step(backend_answer_finished{id});
            return;
        }
        switch (GetParam().kind) {
        case fault::BreaksOff:
            m_pending.erase(id);
            step(backend_call_failed{id, false, "the head of the answer is too long"});
            return;
        case fault::EndlessBody:
            if (one.at == m_now) {
                m_pending[id].at = m_now + duration(1);
            }
            if (m_begun.insert(id).second) {
                step(backend_answer_started{id, 200, false, false, false, false});
            }
            step(backend_bytes_received{id, std::string(std::size_t{1} << 20U, 'x')});
            return;
        case fault::Trickle:
            m_pending[id].at = m_now + duration(100);
            if (m_begun.insert(id).second) {
                step(backend_answer_started{id, 200, false, false, false, false});
            }
            step(backend_bytes_received{id, "x"});
            return;
        }
    }

    void grant()
    {
        for (const std::uint64_t round : std::exchange(m_reported, {})) {
            step(control_message{gateway_grant{round, revision(), duration(3'000), 1, {}, {}, {}}});
        }
    }

    void run(duration length)
    {
        for (const time_point end = m_now + length; m_now < end; m_now += duration(1)) {
            if (m_now.time_since_epoch() % tickPeriod == duration(0)) {
                step(request_tick{});
            }
            grant();
            for (const auto &[id, one] : std::map<backend_call_id, pending>(m_pending)) {
                if (m_now >= one.at && m_pending.contains(id)) {
                    serve(id, one);
                }
            }
            for (std::size_t i = 0; i < callers; ++i) {
                if (m_asked[i] == request_id() && m_now >= m_nextAt[i]) {
                    ask(i);
                }
            }
        }
    }

    gateway_pipe m_pipe;
    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_requests = 0;
    std::vector<std::uint64_t> m_reported;
    std::map<backend_call_id, pending> m_pending;
    std::set<backend_call_id> m_begun;
    std::array<request_id, callers> m_asked{};
    std::array<time_point, callers> m_nextAt{};
    outcome m_outcome;
};

} // namespace

TEST_P(MalformedAnswers, CountAsFailuresOfTheirServer)
{
    run(faultyTime);
    const std::size_t faulty = m_outcome.sent[backend_id("faulty")];
    const std::size_t broken = m_outcome.rejected[502] + m_outcome.rejected[504];
    RecordProperty("faulty", std::to_string(faulty));
    RecordProperty("answered", std::to_string(m_outcome.answered));
    RecordProperty("broken", std::to_string(broken));
    RecordProperty("rejected", std::to_string(m_outcome.rejected[503]));
    EXPECT_LE(faulty, 10U);
    // A body that trickles is known to be broken only when the time of its caller is over.
    EXPECT_LE(broken, GetParam().kind == fault::Trickle ? callers : 0U);
    // The sound server alone takes what the callers send, unless its limit is below that.
    if (GetParam().coldRequestsPerSecond != tightLimit) {
        EXPECT_EQ(m_outcome.rejected[503], 0U);
        EXPECT_GE(m_outcome.answered, 800U);
    }
}

INSTANTIATE_TEST_SUITE_P(Forms,
                         MalformedAnswers,
                         ::testing::Values(fault_case{fault::BreaksOff, 0.0},
                                           fault_case{fault::BreaksOff, tightLimit},
                                           fault_case{fault::BreaksOff, 34.0},
                                           fault_case{fault::EndlessBody, 0.0},
                                           fault_case{fault::EndlessBody, 34.0},
                                           fault_case{fault::Trickle, 0.0},
                                           fault_case{fault::Trickle, 34.0}));
