// Logging with log4cxx, which filters by level and writes the lines. The JSON
// is formatted here, since log4cxx's JSON layout writes all fields as strings.
#include "base/logging.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr char kLoggerName[] = "mimosa";

struct LoggingState {
  bool configured = false;
  std::string program;
};

LoggingState& State() {
  static LoggingState state;
  return state;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "?";
}

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

// Formats a time such as "2026-12-03T21:24:00.123Z".
std::string UtcTime(int64_t unix_ms) {
  constexpr int64_t kMillisPerSecond = 1000;
  const std::time_t seconds = unix_ms / kMillisPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char date[32];
  (void)std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  char text[48];
  (void)std::snprintf(text, sizeof(text), "%s.%03dZ", date,
                      static_cast<int>(unix_ms % kMillisPerSecond));
  return text;
}

int64_t WallClockMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

LogLevel LogLevelFromName(std::string_view name) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kWarn, LogLevel::kError})
    if (name == LevelName(level)) return level;
  return LogLevel::kInfo;
}

void ConfigureLogging(const std::string& program, LogLevel level) {
  State().program = program;
  State().configured = true;
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(kLoggerName);
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->setLevel(ToLog4cxx(level));
  logger->addAppender(appender);
}

void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!State().configured) return;
  static const log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger(kLoggerName);
  const log4cxx::LevelPtr log4cxx_level = ToLog4cxx(level);
  if (!logger->isEnabledFor(log4cxx_level)) return;
  logger->forcedLog(log4cxx_level,
                    detail::FormatLogLine(WallClockMillis(), level,
                                          State().program, event, fields));
}

namespace detail {

std::string FormatLogLine(int64_t unix_ms, LogLevel level,
                          const std::string& program, std::string_view event,
                          std::initializer_list<LogField> fields) {
  Json::Value line(Json::objectValue);
  for (const auto& [name, value] : fields) line[name] = value;
  line["time"] = UtcTime(unix_ms);
  line["level"] = LevelName(level);
  line["program"] = program;
  line["event"] = std::string(event);
  return WriteJson(line);
}

}  // namespace detail
}  // namespace mimosa
