#include "json_log.hpp"

#include "bounded_appender.hpp"
#include "json_text.hpp"
#include "result_code.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>
#include <optional>

namespace agateledge
{

namespace
{

std::optional<log4cplus::LogLevel> parse_level(std::string_view level)
{
    if (level == "debug")
    {
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    if (level == "info")
    {
        return log4cplus::INFO_LOG_LEVEL;
    }
    if (level == "warning")
    {
        return log4cplus::WARN_LOG_LEVEL;
    }
    if (level == "error")
    {
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return std::nullopt;
}

log4cplus::LogLevel to_log4cplus(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

char const *name_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

log4cplus::Logger &root_logger()
{
    static log4cplus::Initializer const initializer;
    static log4cplus::Logger logger = log4cplus::Logger::getRoot();
    return logger;
}

} // namespace

absl::Status start_log(std::string_view level, int descriptor)
{
    auto &logger = root_logger();
    logger.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(new bounded_appender(descriptor));
    // The message is a JSON object without its opening brace; the layout adds
    // the brace and the time.
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "{\"time\":\"%d{%Y-%m-%dT%H:%M:%S.%q}Z\",%m%n"));
    logger.addAppender(appender);
    return set_log_level(level);
}

absl::Status set_log_level(std::string_view level)
{
    auto const parsed = parse_level(level);
    if (!parsed)
    {
        return make_status(result_code::settings_invalid,
                           "log level \"" + std::string(level) +
                               "\" is not one of debug, info, warning, error");
    }
    root_logger().setLogLevel(*parsed);
    return absl::OkStatus();
}

std::string log_entry_to_json(std::string const &daemon, log_entry const &entry)
{
    Json::Value out;
    for (auto const &[name, value] : entry.fields)
    {
        out[name] = value;
    }
    out["daemon"] = daemon;
    out["level"] = name_of(entry.level);
    out["event"] = entry.event;
    return json_to_text(out);
}

void write_log_line(std::string const &daemon, log_entry const &entry)
{
    auto &logger = root_logger();
    auto const level = to_log4cplus(entry.level);
    if (logger.isEnabledFor(level))
    {
        logger.forcedLog(level, log_entry_to_json(daemon, entry).substr(1));
    }
}

} // namespace agateledge
