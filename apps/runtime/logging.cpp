#include "apps/runtime/logging.hpp"

#include "apps/runtime/process.hpp"
#include "core/log_rate_limiter.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace galenastage {
namespace {

// A write of up to PIPE_BUF bytes to a pipe that polls as writable is atomic
// and doesn't block (POSIX guarantees 512 bytes, Linux 4,096); longer lines are
// truncated.
constexpr std::size_t MaxLineBytes = 4'096;

/// Writes a line if that doesn't block; returns whether it was written.
bool writeWithoutBlocking(std::string Line) {
  if (Line.size() > MaxLineBytes) {
    Line.resize(MaxLineBytes - 1);
    Line.push_back('\n');
  }
  pollfd Poll{STDOUT_FILENO, POLLOUT, 0};
  const bool HasRoom = ::poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT);
  return HasRoom && ::write(STDOUT_FILENO, Line.data(), Line.size()) ==
                        static_cast<ssize_t>(Line.size());
}

/// Writes lines formatted by log4cplus without blocking, and records drops.
class bounded_appender : public log4cplus::Appender {
public:
  ~bounded_appender() override { destructorImpl(); }
  void close() override { closed = true; }

  bool WasDropped = false; // whether the last line was dropped

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::ostringstream Line;
    layout->formatAndAppend(Line, Event);
    WasDropped = !writeWithoutBlocking(Line.str());
  }
};

std::mutex Mutex; // guards Budget, Output and NextSummary
log_rate_limiter Budget;
log4cplus::helpers::SharedObjectPtr<bounded_appender> Output;
instant NextSummary{};
constexpr milliseconds SummaryInterval{1'000}; // between summaries of drops

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

/// Quotes a value with characters that would end it early or could forge
/// another field or line.
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
  Output = new bounded_appender;
  const log4cplus::SharedAppenderPtr Appender(Output.get());
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

namespace {

/// Writes one line regardless of the rate limit; false when it was dropped.
bool writeLine(const log_event &Event, const std::vector<log_field> &Fields) {
  static const auto Logger = log4cplus::Logger::getInstance(ProgramName);
  const std::string Line = Format == log_format::Json
                               ? formatJson(Event, Fields)
                               : formatKeyValue(Event, Fields);
  if (Output)
    Output->WasDropped = false;
  Logger.log(levelOf(Event.Level), Line);
  return !Output || !Output->WasDropped;
}

void writeSummary(instant Now) {
  if (Now < NextSummary)
    return;
  NextSummary = Now + SummaryInterval;
  std::vector<log_field> Fields;
  std::map<int, std::uint64_t> Dropped = Budget.takeDropped();
  Fields.reserve(Dropped.size());
  for (const auto &[Number, Count] : Dropped)
    Fields.push_back(
        {"event_" + std::to_string(Number), std::to_string(Count)});
  if (!Fields.empty() && !writeLine(events::LinesDropped, Fields))
    Budget.noteDropped(events::LinesDropped.Number);
}

} // namespace

void writeLog(const log_event &Event, const std::vector<log_field> &Fields) {
  const instant Now = readClock();
  const std::lock_guard Lock(Mutex);
  writeSummary(Now);
  if (Budget.tryTake(Event.Number, Now) && !writeLine(Event, Fields))
    Budget.noteDropped(Event.Number);
}

void writeLog(const log_line &Line) { writeLog(*Line.Event, Line.Fields); }

std::uint64_t droppedLogLines() {
  const std::lock_guard Lock(Mutex);
  return Budget.totalDropped();
}

} // namespace galenastage
