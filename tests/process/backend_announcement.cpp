#include "process/backend_announcement.h"

#include "process/http_call.h"

#include <nlohmann/json.hpp>

namespace carawayloft::test_support {

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

} // namespace carawayloft::test_support
