#include "process/http_call.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>

namespace carawayloft::test_support {

namespace {

struct collector {
    const http_question &question;
    http_answer answer;
};

} // namespace

static std::size_t takeBytes(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &in = *static_cast<collector *>(user);
    const std::string piece(bytes, size * count);
    in.answer.body += piece;
    if (in.question.onBytes) {
        in.question.onBytes(piece);
    }
    return size * count;
}

static std::size_t takeHeader(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &in = *static_cast<collector *>(user);
    const std::string line(bytes, size * count);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        in.answer.headers[name] = line.substr(colon + 2, line.find_last_not_of("\r\n") - colon - 1);
    }
    return size * count;
}

http_answer ask(const http_question &question)
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialised;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), &curl_easy_cleanup);
    collector in{question, {}};
    curl_easy_setopt(easy.get(), CURLOPT_URL, question.url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, question.method.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, question.timeoutMs);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &takeBytes);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &in);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &takeHeader);
    curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &in);
    if (question.method == "POST" || question.method == "PUT") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, question.body.c_str());
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(question.body.size()));
    }
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string &each : question.headers) {
        headers = curl_slist_append(headers, each.c_str());
    }
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers);
    const CURLcode code = curl_easy_perform(easy.get());
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    in.answer.status = static_cast<int>(status);
    in.answer.whole = code == CURLE_OK;
    in.answer.neverConnected = code == CURLE_COULDNT_CONNECT;
    return in.answer;
}

std::future<http_answer> askLater(http_question question)
{
    return std::async(std::launch::async, [question = std::move(question)] { return ask(question); });
}

} // namespace carawayloft::test_support
