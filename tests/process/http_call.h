#pragma once

#include <functional>
#include <future>
#include <map>
#include <string>
#include <vector>

namespace carawayloft::test_support {

struct http_answer {
    int status = 0; /**< Zero when there was no answer at all. */
    std::map<std::string, std::string> headers; /**< By lower-case name. */
    std::string body;
    bool whole = false; /**< False when the connection was cut in the answer. */
    bool neverConnected = false; /**< Nobody took the connection. */
};

struct http_question {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::string body;
    long timeoutMs = 30'000;
    std::function<void(const std::string &bytes)> onBytes; /**< Called as the answer arrives. */
};

http_answer ask(const http_question &question);

/** Asks on a thread of its own. */
std::future<http_answer> askLater(http_question question);

} // namespace carawayloft::test_support
