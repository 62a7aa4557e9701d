#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace carawayloft {

/** The text of a JSON value, for every writer: strings in it may hold any bytes, and what is not UTF-8 is replaced. */
template<class Json>
std::string jsonText(const Json &value, int indent = -1)
{
    return value.dump(indent, ' ', false, Json::error_handler_t::replace);
}

} // namespace carawayloft
