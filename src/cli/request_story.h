#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace carawayloft {

/** One line of a process's log. */
struct log_line {
    std::string time; /**< As logged; later times sort behind earlier ones. */
    std::string process;
    int event = 0;
    std::string name;
    std::map<std::string, std::string> fields; /**< Without those above. */
};

/** What the logs say of one request. */
struct request_story {
    std::vector<log_line> lines; /**< In the order of time. */
    std::size_t deciding = 0; /**< Place of the line that decided the outcome. */
};

/** Reads the lines in JSON form; others, and what stands before the JSON in a line, are passed over. */
std::vector<log_line> readLogLines(std::istream &in);

/** The lines that name the request, and those on the groups and backend servers that it met, about that time. */
request_story tellStory(const std::string &request, const std::vector<log_line> &lines);

} // namespace carawayloft
