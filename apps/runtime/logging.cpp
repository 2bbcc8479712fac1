#include "apps/runtime/logging.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace galenastage {
namespace {

std::string ProgramName = "galenastage";
log_format Format = log_format::KeyValue;

log4cplus::LogLevel levelOf(log_level Level) {
  switch (Level) {
  case log_level::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case log_level::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case log_level::Error:
    break;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

/// Quotes a value that would otherwise end early or forge a second line.
std::string quote(const std::string &Value) {
  const bool IsPlain =
      !Value.empty() && std::ranges::none_of(Value, [](unsigned char C) {
        return C <= ' ' || C == '"' || C == '=' || C == '\\' || C == 0x7f;
      });
  if (IsPlain)
    return Value;
  return nlohmann::json(Value).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

std::string formatKeyValue(const log_event &Event,
                           const std::vector<log_field> &Fields) {
  std::string Line = "event=" + std::to_string(Event.Number);
  Line += " name=" + std::string(Event.Name);
  for (const log_field &Field : Fields)
    Line += " " + Field.Key + "=" + quote(Field.Value);
  return Line;
}

std::string formatJson(const log_event &Event,
                       const std::vector<log_field> &Fields) {
  nlohmann::ordered_json Line = {{"event", Event.Number},
                                 {"level", name(Event.Level)},
                                 {"name", Event.Name},
                                 {"program", ProgramName}};
  for (const log_field &Field : Fields)
    Line[Field.Key] = Field.Value;
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void startLogging(const std::string &Program, log_format NewFormat) {
  static log4cplus::Initializer Initializer;
  ProgramName = Program;
  Format = NewFormat;
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  const char *Pattern =
      Format == log_format::Json
          ? "%m%n"
          : "%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p program=%c %m%n";
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  auto Logger = log4cplus::Logger::getInstance(Program);
  Logger.removeAllAppenders();
  Logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  Logger.addAppender(Appender);
}

void writeLog(const log_event &Event, const std::vector<log_field> &Fields) {
  static const auto Logger = log4cplus::Logger::getInstance(ProgramName);
  const std::string Line = Format == log_format::Json
                               ? formatJson(Event, Fields)
                               : formatKeyValue(Event, Fields);
  Logger.log(levelOf(Event.Level), Line);
}

void writeLog(const log_line &Line) { writeLog(*Line.Event, Line.Fields); }

} // namespace galenastage
