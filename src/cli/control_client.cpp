#include "cli/control_client.h"

#include "codec/json_text.h"
#include "ends/http_client.h"

#include <carawayloft/core/http_status.h>
#include <carawayloft/core/overloaded.h>

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <thread>
#include <utility>

namespace carawayloft::cli {

static constexpr duration callTimeout{5'000};

/** Longest answer of a control replica; the largest holds the whole state. */
static constexpr std::size_t maxAnswerBytes = std::size_t{64} << 20U;

/** Replicas may send a call on while the leader changes. */
static constexpr int maxRedirects = 5;

/** Rounds over all replicas while an election is under way, and the pause between them. */
static constexpr int rounds = 20;
static constexpr std::chrono::milliseconds roundPause{250};

static constexpr std::uint32_t leastError = 400;

namespace {

struct http_answer {
    std::uint32_t status = 0;
    std::string location; /**< Where a redirect sends the call; empty otherwise. */
    std::string body;
};

} // namespace

/** Makes one call and waits for its end. */
static result<http_answer> perform(const http_call &call)
{
    asio::io_context context;
    const std::unique_ptr<http_client> client = http_client::create(context);
    http_answer answer;
    std::optional<error> failure = error{error_kind::ConnectionFailed, "the call has not ended", {}};
    client->start(call, [&](const http_event &event) {
        std::visit(overloaded{
                       [&](const http_started &head) {
                           answer.status = head.status;
                           const auto location = head.headers.find("Location");
                           answer.location = location == head.headers.end() ? std::string() : location->second;
                       },
                       [&](const http_received &received) { answer.body += received.bytes; },
                       [&](const http_finished &) {
                           failure.reset();
                           context.stop();
                       },
                       [&](const http_failed &failed) {
                           failure = failed.why;
                           context.stop();
                       },
                   },
                   event);
    });
    context.run();
    if (failure) {
        return error{failure->kind, call.url + ": " + failure->what, "check --control and that the control replicas run"};
    }
    return answer;
}

static result<http_answer> fetch(const std::string &url, const std::string *body)
{
    http_call call;
    call.url = url;
    call.timeout = callTimeout;
    call.maxBodyBytes = maxAnswerBytes;
    if (body != nullptr) {
        call.method = "POST";
        call.headers.emplace("Content-Type", "application/json");
        call.body = *body;
    }
    result<http_answer> answer = perform(call);
    for (int i = 0; i < maxRedirects && !failed(answer) && valueOf(answer).status == http_status::temporaryRedirect; ++i) {
        call.url = valueOf(answer).location;
        if (!call.url.starts_with("http://")) {
            return error{error_kind::MalformedAnswer, url + ": the redirect names no HTTP address", "check the control replica there"};
        }
        answer = perform(call);
    }
    return answer;
}

control_client::control_client(std::vector<std::string> replicas)
    : m_replicas(std::move(replicas))
{
}

result<nlohmann::ordered_json> control_client::get(const std::string &path) const
{
    return ask(path, nullptr);
}

result<nlohmann::ordered_json> control_client::post(const std::string &path, const nlohmann::ordered_json &body) const
{
    const std::string text = jsonText(body);
    return ask(path, &text);
}

/** What an answer says of its error: a text, or an object with a message. */
static std::string messageOf(const nlohmann::ordered_json &failure)
{
    if (failure.is_string()) {
        return failure.get<std::string>();
    }
    const auto message = failure.is_object() ? failure.find("message") : failure.end();
    return message != failure.end() && message->is_string() ? message->get<std::string>() : "control answered with an error";
}

static error errorIn(const nlohmann::ordered_json &json)
{
    return {error_kind::InvalidRequest, messageOf(json.is_object() && json.contains("error") ? json["error"] : nlohmann::ordered_json()), {}};
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
            if (valueOf(answer).status < http_status::temporaryRedirect && !json.is_discarded()) {
                return json;
            }
            last = errorIn(json);
            if (valueOf(answer).status >= leastError && valueOf(answer).status < http_status::internalServerError) {
                return last;
            }
        }
        std::this_thread::sleep_for(roundPause);
    }
    return last;
}

std::string escapeQuery(const std::string &text)
{
    const std::unique_ptr<char, decltype(&curl_free)> escaped(curl_easy_escape(nullptr, text.c_str(), static_cast<int>(text.size())), &curl_free);
    return escaped.get();
}

} // namespace carawayloft::cli
