#pragma once

#include "codec/flat_codec.h"
#include "codec/names.h"

#include <nlohmann/json.hpp>

namespace carawayloft::json {

/** The JSON form of a reflectable struct, by the names of its fields; enumerations stand by name. */
template<class T>
nlohmann::ordered_json from(const T &value)
{
    if constexpr (flat::is_vector<T>::value) {
        nlohmann::ordered_json list = nlohmann::ordered_json::array();
        for (const auto &each : value) {
            list.push_back(from(each));
        }
        return list;
    } else if constexpr (flat::is_variant<T>::value) {
        return std::visit([](const auto &each) { return from(each); }, value);
    } else if constexpr (reflectable<T>) {
        nlohmann::ordered_json object = nlohmann::ordered_json::object();
        forEachField(value, [&](std::string_view name, const auto &member) { object[std::string(name)] = from(member); });
        return object;
    } else if constexpr (requires { nameOf(value); }) {
        return nameOf(value);
    } else if constexpr (std::is_same_v<T, bool>) {
        return value;
    } else {
        return flat::toWire(value);
    }
}

} // namespace carawayloft::json
