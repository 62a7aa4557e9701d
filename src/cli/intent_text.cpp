#include "cli/intent_text.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <optional>
#include <sstream>
#include <vector>

namespace carawayloft::cli {

static constexpr int daysInWeek = 7;

namespace {

/** Makes a time zone the process's own while it lives; the tool has one thread. */
class time_zone_scope
{
public:
    explicit time_zone_scope(const std::string &timeZone)
    {
        if (const char *before = std::getenv("TZ")) {
            m_before = before;
        }
        if (!timeZone.empty()) {
            setenv("TZ", timeZone.c_str(), 1);
        }
        tzset();
    }

    ~time_zone_scope()
    {
        m_before ? setenv("TZ", m_before->c_str(), 1) : unsetenv("TZ");
        tzset();
    }

    time_zone_scope(const time_zone_scope &) = delete;
    time_zone_scope &operator=(const time_zone_scope &) = delete;

private:
    std::optional<std::string> m_before;
};

struct time_of_day {
    int hour = 0;
    int minute = 0;
};

} // namespace

static error unclear(const std::string &what)
{
    return {error_kind::InvalidRequest, what, "write it as 'empty ZONE by Sunday noon' or 'empty ZONE by 2026-12-06 12:00 into ZONE'"};
}

static std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

static std::optional<time_of_day> parseTime(const std::string &text)
{
    if (text == "noon") {
        return time_of_day{12, 0};
    }
    if (text == "midnight") {
        return time_of_day{0, 0};
    }
    time_of_day time;
    char colon = 0;
    std::istringstream in(text);
    if (!(in >> time.hour >> colon >> time.minute) || colon != ':' || !in.eof() || time.hour < 0 || time.hour > 23 || time.minute < 0 || time.minute > 59) {
        return std::nullopt;
    }
    return time;
}

static std::optional<int> parseWeekday(const std::string &text)
{
    static constexpr std::array names{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"};
    const auto found = std::find(names.begin(), names.end(), text);
    return found == names.end() ? std::nullopt : std::optional(static_cast<int>(found - names.begin()));
}

static wall_time fromLocal(std::tm local)
{
    local.tm_isdst = -1;
    return wall_time(std::chrono::seconds(std::mktime(&local)));
}

static std::optional<wall_time> resolveDate(const std::string &date, const time_of_day &time)
{
    std::tm local{};
    std::istringstream in(date);
    char first = 0;
    char second = 0;
    int year = 0;
    if (!(in >> year >> first >> local.tm_mon >> second >> local.tm_mday) || first != '-' || second != '-' || !in.eof()) {
        return std::nullopt;
    }
    local.tm_year = year - 1900;
    local.tm_mon -= 1;
    local.tm_hour = time.hour;
    local.tm_min = time.minute;
    std::tm checked = local;
    checked.tm_isdst = -1;
    std::mktime(&checked);
    const bool exists = checked.tm_mon == local.tm_mon && checked.tm_mday == local.tm_mday;
    return exists ? std::optional(fromLocal(local)) : std::nullopt;
}

static wall_time resolveWeekday(int weekday, const time_of_day &time, wall_time now)
{
    const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    std::tm local{};
    localtime_r(&seconds, &local);
    local.tm_mday += (weekday - local.tm_wday + daysInWeek) % daysInWeek;
    local.tm_hour = time.hour;
    local.tm_min = time.minute;
    local.tm_sec = 0;
    const wall_time when = fromLocal(local);
    if (when > now) {
        return when;
    }
    local.tm_mday += daysInWeek;
    return fromLocal(local);
}

static bool isTimeZone(const std::string &name)
{
    const bool safe = name.find("..") == std::string::npos && !name.starts_with('/');
    return name.empty() || name == "UTC" || (safe && std::filesystem::is_regular_file("/usr/share/zoneinfo/" + name));
}

result<intent_text> parseIntent(const std::string &text, const std::string &timeZone, wall_time now)
{
    std::istringstream in(text);
    std::vector<std::string> words;
    for (std::string word; in >> word;) {
        words.push_back(word);
    }
    const bool hasInto = words.size() == 7 && lower(words[5]) == "into";
    if ((words.size() != 5 && !hasInto) || lower(words[0]) != "empty" || lower(words[2]) != "by") {
        return unclear("'" + text + "' is no intent");
    }
    if (!isTimeZone(timeZone)) {
        return error{error_kind::InvalidRequest, "'" + timeZone + "' is no time zone known here", "use an IANA name such as Europe/London, or install tzdata"};
    }
    const time_zone_scope scope(timeZone);
    const std::optional<time_of_day> time = parseTime(lower(words[4]));
    if (!time) {
        return unclear("'" + words[4] + "' is no time of day");
    }
    const std::optional<int> weekday = parseWeekday(lower(words[3]));
    const std::optional<wall_time> deadline = weekday ? std::optional(resolveWeekday(*weekday, *time, now)) : resolveDate(words[3], *time);
    if (!deadline) {
        return unclear("'" + words[3] + "' is no weekday and no date");
    }
    return intent_text{availability_zone_id(words[1]), availability_zone_id(hasInto ? words[6] : ""), *deadline};
}

std::string formatTime(wall_time when, const std::string &timeZone)
{
    const time_zone_scope scope(timeZone);
    const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(when.time_since_epoch()).count();
    std::tm local{};
    localtime_r(&seconds, &local);
    std::array<char, 64> text{};
    std::strftime(text.data(), text.size(), "%A %Y-%m-%d %H:%M %Z (UTC%z)", &local);
    return text.data();
}

} // namespace carawayloft::cli
