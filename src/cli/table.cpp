#include "cli/table.h"

#include "codec/json_text.h"

#include <algorithm>

namespace carawayloft::cli {

static constexpr std::size_t columnGap = 2;

static std::string cellOf(const nlohmann::ordered_json &row, const std::string &column)
{
    const auto found = row.find(column);
    if (found == row.end()) {
        return "-";
    }
    if (found->is_string()) {
        return found->get<std::string>();
    }
    if (!found->is_array()) {
        return jsonText(*found);
    }
    std::string text;
    for (const auto &each : *found) {
        text += (text.empty() ? "" : ",") + (each.is_string() ? each.get<std::string>() : jsonText(each));
    }
    return text;
}

void printTable(std::ostream &out, const std::vector<std::string> &columns, const nlohmann::ordered_json &rows)
{
    std::vector<std::vector<std::string>> lines{columns};
    for (const auto &row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string &column : columns) {
            line.push_back(cellOf(row, column));
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            const bool last = i + 1 == line.size();
            out << line[i] << (last ? std::string() : std::string(widths[i] - line[i].size() + columnGap, ' '));
        }
        out << '\n';
    }
}

} // namespace carawayloft::cli
