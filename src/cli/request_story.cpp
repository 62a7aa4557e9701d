#include "cli/request_story.h"

#include "codec/json_text.h"
#include "core/event.h"

#include <algorithm>
#include <set>

namespace carawayloft {

static constexpr std::string_view jsonBegin = R"({"time":)";

static std::optional<log_line> parseLine(const std::string &text)
{
    const std::size_t begin = text.find(jsonBegin);
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const nlohmann::json parsed = nlohmann::json::parse(text.substr(begin), nullptr, false);
    if (!parsed.is_object() || !parsed.contains("entry") || !parsed["entry"].is_object()) {
        return std::nullopt;
    }
    log_line line;
    line.time = parsed.value("time", std::string());
    for (const auto &[key, value] : parsed["entry"].items()) {
        if (key == "event" && value.is_number_integer()) {
            line.event = value.get<int>();
        } else if (key == "name" && value.is_string()) {
            line.name = value.get<std::string>();
        } else if (key == "process" && value.is_string()) {
            line.process = value.get<std::string>();
        } else {
            line.fields[key] = value.is_string() ? value.get<std::string>() : jsonText(value);
        }
    }
    return line;
}

std::vector<log_line> readLogLines(std::istream &in)
{
    std::vector<log_line> lines;
    for (std::string text; std::getline(in, text);) {
        if (std::optional<log_line> line = parseLine(text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

static std::string fieldOf(const log_line &line, const std::string &name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string() : found->second;
}

/** How much a line says of why a request ended as it did; the greatest decides, the latest among equals. */
static int weightOf(const log_line &line)
{
    switch (static_cast<event_number>(line.event)) {
    case event_number::RequestRejected:
    case event_number::RequestOutcomeUnknown:
    case event_number::AnswerCut:
        return 4;
    case event_number::CallerGone:
        return 3;
    case event_number::CallRepeated:
        return 2;
    case event_number::RequestEnded:
        return 1;
    default:
        return 0;
    }
}

request_story tellStory(const std::string &request, const std::vector<log_line> &lines)
{
    request_story story;
    std::set<std::string> met;
    for (const log_line &line : lines) {
        if (fieldOf(line, "request") == request) {
            story.lines.push_back(line);
            met.insert({fieldOf(line, "group"), fieldOf(line, "backend"), fieldOf(line, "from")});
        }
    }
    met.erase("");
    met.erase("0");
    if (story.lines.empty()) {
        return story;
    }
    const auto byTime = [](const log_line &one, const log_line &other) { return one.time < other.time; };
    const auto [first, last] = std::minmax_element(story.lines.begin(), story.lines.end(), byTime);
    const std::string from = first->time;
    const std::string to = last->time;
    for (const log_line &line : lines) {
        const bool concerns = met.contains(fieldOf(line, "group")) || met.contains(fieldOf(line, "backend"));
        if (fieldOf(line, "request").empty() && concerns && line.time >= from && line.time <= to) {
            story.lines.push_back(line);
        }
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), byTime);
    for (std::size_t i = 0; i < story.lines.size(); ++i) {
        if (weightOf(story.lines[i]) >= weightOf(story.lines[story.deciding])) {
            story.deciding = i;
        }
    }
    return story;
}

} // namespace carawayloft
