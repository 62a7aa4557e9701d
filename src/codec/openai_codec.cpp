#include "codec/openai_codec.h"

#include "codec/json_text.h"
#include "ends/digest.h"

namespace carawayloft {

/** Bytes of a prompt's beginning that engines are assumed to cache as one. */
static constexpr std::size_t prefixBytes = 256;

/** Nesting deeper than this is refused before it is parsed. */
static constexpr int maxNesting = 64;

static bool isTooDeep(const std::string &body)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < body.size(); ++i) {
        const char c = body[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            if (++depth > maxNesting) {
                return true;
            }
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return false;
}

result<chat_request> decodeChatRequest(const std::string &body)
{
    const auto json = isTooDeep(body) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        return error{error_kind::InvalidRequest, "the body is no JSON object", "send a chat completion request as JSON"};
    }
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string() || model->get_ref<const std::string &>().empty()) {
        return error{error_kind::InvalidRequest, "the body names no model", "set \"model\" to one of GET /v1/models"};
    }
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array()) {
        return error{error_kind::InvalidRequest, "the body has no list of messages", "set \"messages\" to a list"};
    }
    const auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean()) {
        return error{error_kind::InvalidRequest, "\"stream\" is neither true nor false", "set it to true or false, or leave it out"};
    }
    const std::string prompt = jsonText(*messages).substr(0, prefixBytes);
    return chat_request{service_id(model->get<std::string>()), stream != json.end() && stream->get<bool>(), fastDigest(prompt)};
}

std::string encodeModels(const std::vector<service_id> &models)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const service_id &each : models) {
        list.push_back({{"id", each.value()}, {"object", "model"}, {"created", 0}, {"owned_by", "carawayloft"}});
    }
    return jsonText(nlohmann::ordered_json{{"object", "list"}, {"data", list}});
}

std::string encodeError(const error &why)
{
    return jsonText(nlohmann::ordered_json{{"error", {{"message", describe(why)}, {"type", name(why.kind)}, {"param", nullptr}, {"code", name(why.kind)}}}});
}

} // namespace carawayloft
