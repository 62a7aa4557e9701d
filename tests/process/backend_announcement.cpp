#include "process/backend_announcement.h"

#include "process/http_call.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace carawayloft::test_support {

static constexpr std::chrono::milliseconds announcementPeriod{100};

void announce(const std::string &control, const backend_announcement &what)
{
    http_question question;
    question.method = "PUT";
    question.url = "http://" + control + "/-/instances/" + what.name;
    question.body = nlohmann::json{{"service", what.service},
                                   {"address", what.address},
                                   {"zone", "z-1"},
                                   {"domain", "d-1"},
                                   {"state", "ready"},
                                   {"sequence", what.sequence},
                                   {"born", 1'700'000'000'000}}
                        .dump();
    question.timeoutMs = 1'000;
    ask(question);
}

repeated_announcement::repeated_announcement(const std::string &control, const backend_announcement &what)
    : m_thread([control, next = what](const std::stop_token &stop) mutable {
        while (!stop.stop_requested()) {
            ++next.sequence;
            announce(control, next);
            std::this_thread::sleep_for(announcementPeriod);
        }
    })
{
}

} // namespace carawayloft::test_support
