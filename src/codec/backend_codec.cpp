#include "codec/backend_codec.h"

#include "codec/json_text.h"

namespace carawayloft {

static constexpr std::uint32_t mostConcurrentRequests = 100'000;

static error malformed(const std::string &what)
{
    return {error_kind::InvalidRequest, what, "see docs/OPERATIONS.md for what a backend server sends to its agent"};
}

template<class T>
static T valueOr(const nlohmann::json &object, const char *key, T fallback)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return fallback;
    }
    if constexpr (std::is_same_v<T, bool>) {
        return found->is_boolean() ? found->get<bool>() : fallback;
    } else if constexpr (std::is_integral_v<T>) {
        return found->is_number_unsigned() ? found->get<T>() : fallback;
    } else {
        return found->is_string() ? found->get<T>() : fallback;
    }
}

static bool isLimit(std::uint32_t limit)
{
    return limit >= 1 && limit <= mostConcurrentRequests;
}

result<announced_backend> decodeAnnouncement(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return malformed("the announcement is no JSON object");
    }
    announced_backend backend;
    backend.url = valueOr(json, "url", std::string());
    backend.announcement.service = service_id(valueOr(json, "service", std::string()));
    const std::string kind = valueOr(json, "kind", std::string());
    backend.announcement.kind = kind == "model" ? service_kind::Model : service_kind::Plain;
    backend.announcement.coldLimit = valueOr(json, "cold_limit", std::uint32_t{0});
    backend.announcement.warmLimit = valueOr(json, "warm_limit", std::uint32_t{0});
    backend.announcement.checksFencing = valueOr(json, "checks_fencing", false);
    backend.announcement.leaving = valueOr(json, "leaving", false);
    if (!backend.url.starts_with("http://") || backend.announcement.service.value().empty() || (kind != "model" && kind != "plain")) {
        return malformed("the announcement lacks url, service or kind");
    }
    const bool limitsGood = isLimit(backend.announcement.coldLimit) && isLimit(backend.announcement.warmLimit)
                            && backend.announcement.coldLimit <= backend.announcement.warmLimit;
    if (!limitsGood) {
        return malformed("cold_limit and warm_limit are not in order");
    }
    return backend;
}

result<backend_report> decodeLoadReport(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return malformed("the load report is no JSON object");
    }
    backend_report report;
    report.reachable = true;
    report.serverIncarnation = incarnation(valueOr(json, "incarnation", std::uint64_t{0}));
    report.cold = valueOr(json, "cold", false);
    report.cachedPrefix = valueOr(json, "cached_prefix", std::uint64_t{0});
    return report;
}

std::string encodeOrder(const send_serve_order &order)
{
    return jsonText(nlohmann::json{{"order", "load"}, {"service", order.service.value()}, {"fencing", order.epoch.value()}});
}

} // namespace carawayloft
