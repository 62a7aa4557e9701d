#include "cli/control_client.h"

#include <curl/curl.h>

#include <memory>

namespace carawayloft::cli {

static constexpr long connectTimeoutMs = 1'000;
static constexpr long timeoutMs = 5'000;

/** Longest answer of a control replica; the largest holds the whole state. */
static constexpr std::size_t maxAnswerBytes = std::size_t{64} << 20U;

/** Rounds over all replicas while an election is under way, and the pause between them. */
static constexpr int rounds = 20;
static constexpr int roundPauseMs = 250;

static constexpr long leastServerError = 500;
static constexpr long leastError = 400;

namespace {

struct http_answer {
    long status = 0;
    std::string body;
};

} // namespace

/** Appends to the body of the answer; a longer one than maxAnswerBytes ends the call. */
static std::size_t collect(const char *bytes, std::size_t size, std::size_t count, void *user)
{
    auto &body = *static_cast<std::string *>(user);
    if (body.size() + size * count > maxAnswerBytes) {
        return 0;
    }
    body.append(bytes, size * count);
    return size * count;
}

static result<http_answer> fetch(const std::string &url, const std::string *body)
{
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), &curl_easy_cleanup);
    http_answer answer;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy.get(), CURLOPT_FOLLOWLOCATION, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_POSTREDIR, static_cast<long>(CURL_REDIR_POST_ALL));
    curl_easy_setopt(easy.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &collect);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &answer.body);
    if (body != nullptr) {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body->c_str());
    }
    const CURLcode code = curl_easy_perform(easy.get());
    if (code != CURLE_OK) {
        return error{error_kind::ConnectionFailed, url + ": " + curl_easy_strerror(code), "check --control and that the control replicas run"};
    }
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &answer.status);
    return answer;
}

control_client::control_client(std::vector<std::string> replicas)
    : m_replicas(std::move(replicas))
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

result<nlohmann::ordered_json> control_client::get(const std::string &path) const
{
    return ask(path, nullptr);
}

result<nlohmann::ordered_json> control_client::post(const std::string &path, const nlohmann::ordered_json &body) const
{
    const std::string text = body.dump();
    return ask(path, &text);
}

static error errorIn(const nlohmann::ordered_json &json)
{
    const auto found = json.is_object() ? json.find("error") : json.end();
    const std::string message = found == json.end() ? "control answered with an error" : found->value("message", std::string());
    return {error_kind::InvalidRequest, message, {}};
}

result<nlohmann::ordered_json> control_client::ask(const std::string &path, const std::string *body) const
{
    error last{error_kind::ConnectionFailed, "no control replica was named", "set --control or CARAWAYLOFT_CONTROL to IP:port of the replicas"};
    for (int round = 0; round < rounds; ++round) {
        for (const std::string &replica : m_replicas) {
            // A command carries its id, so asking again gets the first answer.
            const result<http_answer> answer = fetch(std::string("http://").append(replica).append(path), body);
            if (failed(answer)) {
                last = errorOf(answer);
                continue;
            }
            auto json = nlohmann::ordered_json::parse(valueOf(answer).body, nullptr, false);
            if (valueOf(answer).status < leastError && !json.is_discarded()) {
                return json;
            }
            last = errorIn(json);
            if (valueOf(answer).status < leastServerError) {
                return last;
            }
        }
        const std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)> multi(curl_multi_init(), &curl_multi_cleanup);
        curl_multi_poll(multi.get(), nullptr, 0, roundPauseMs, nullptr);
    }
    return last;
}

std::string escapeQuery(const std::string &text)
{
    const std::unique_ptr<char, decltype(&curl_free)> escaped(curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size())), &curl_free);
    return escaped.get();
}

} // namespace carawayloft::cli
