#include "ends/event_log.h"

#include "codec/json_text.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>

namespace carawayloft {

namespace {

struct event_log_options {
    std::string process;
    log_format format = log_format::KeyValue;
};

event_log_options &options()
{
    static event_log_options current;
    return current;
}

log4cxx::LevelPtr levelOf(severity level)
{
    switch (level) {
    case severity::Debug:
        return log4cxx::Level::getDebug();
    case severity::Info:
        return log4cxx::Level::getInfo();
    case severity::Warning:
        return log4cxx::Level::getWarn();
    case severity::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

/** Whether the character may stand in a value without quotation marks. */
bool isPlain(char each)
{
    return each > ' ' && each <= '~' && each != '"' && each != '=';
}

std::string formatKeyValue(event_number event, const event_traits &traits, log_fields fields)
{
    std::string line = "event=" + std::to_string(static_cast<int>(event)) + " name=" + traits.name + " process=" + options().process;
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        const bool plain = !value.text().empty() && std::all_of(value.text().begin(), value.text().end(), isPlain);
        line += plain ? value.text() : jsonText(nlohmann::json(value.text()));
    }
    return line;
}

std::string formatJson(event_number event, const event_traits &traits, log_fields fields)
{
    nlohmann::ordered_json line{{"event", static_cast<int>(event)}, {"name", traits.name}, {"process", options().process}};
    for (const auto &[key, value] : fields) {
        line[std::string(key)] = value.text();
    }
    return jsonText(line);
}

} // namespace

void configureEventLog(const std::string &process, log_format format, severity threshold)
{
    options() = {process, format};
    const char *pattern = format == log_format::Json ? R"({"time":"%d{ISO8601}","level":"%p","entry":%m}%n)" : "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(log4cxx::LogString(pattern));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(levelOf(threshold));
}

void logEvent(event_number event, log_fields fields)
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
    const event_traits traits = traitsOf(event);
    const log4cxx::LevelPtr level = levelOf(traits.level);
    if (!logger->isEnabledFor(level)) {
        return;
    }
    const std::string line = options().format == log_format::Json ? formatJson(event, traits, fields) : formatKeyValue(event, traits, fields);
    logger->forcedLog(level, line);
}

} // namespace carawayloft
