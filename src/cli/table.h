#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace carawayloft::cli {

/** Prints @p rows, a list of objects, with a column for each of @p columns. */
void printTable(std::ostream &out, const std::vector<std::string> &columns, const nlohmann::ordered_json &rows);

} // namespace carawayloft::cli
