#pragma once

#include <carawayloft/core/result.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace carawayloft::cli {

/** Asks control over HTTP; tries each replica in turn and follows to the leader. */
class control_client
{
public:
    explicit control_client(std::vector<std::string> replicas);

    /** Fails with the error that control answered, or with ConnectionFailed when no replica did. */
    result<nlohmann::ordered_json> get(const std::string &path) const;
    result<nlohmann::ordered_json> post(const std::string &path, const nlohmann::ordered_json &body) const;

private:
    result<nlohmann::ordered_json> ask(const std::string &path, const std::string *body) const;

    std::vector<std::string> m_replicas;
};

/** Text made safe as a part of a URL's query. */
std::string escapeQuery(const std::string &text);

} // namespace carawayloft::cli
