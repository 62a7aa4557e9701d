#pragma once

#include <carawayloft/control/records.h>
#include <carawayloft/core/result.h>
#include <carawayloft/request/request_pipe_messages.h>

#include <string>

namespace carawayloft {

/** What the system needs to know of a chat completion request; the body is passed on as it is. */
struct chat_request {
    service_id model;
    bool stream = false;
    std::uint64_t prefixDigest = 0;
};

/** Fails with InvalidRequest on malformed JSON or a missing model. */
result<chat_request> decodeChatRequest(const std::string &body);

/** The body of GET /v1/models. */
std::string encodeModels(const std::vector<service_id> &models);

/** The JSON error of the OpenAI shape. */
std::string encodeError(const error &why);

} // namespace carawayloft
