// Structured log lines: one JSON object a line on standard error, through
// log4cxx, for changes of state only. What happens per request is counted
// (base/metrics.h), never logged: a line a request would cost more than the
// request. Lines never hold keys, secrets or bodies.
#ifndef BASE_LOGGING_H_
#define BASE_LOGGING_H_

#include <json/value.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace mimosa {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// "error", "warn", "info" or "debug"; anything else is kInfo.
LogLevel LogLevelFromName(std::string_view name);

// Once, before the first LogEvent: lines of `level` and above go to standard
// error and name `program`. Before it is called nothing is written.
void ConfigureLogging(const std::string& program, LogLevel level);

using LogField = std::pair<const char*, Json::Value>;

// Writes {"time","level","program","event", fields...}. `event` is in the past
// tense and in snake case: LogEvent(kInfo, "member_ended", {{"member", id}}).
void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields = {});

namespace detail {

// The line of LogEvent, for `unix_ms` of the wall clock.
std::string FormatLogLine(int64_t unix_ms, LogLevel level,
                          const std::string& program, std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace detail
}  // namespace mimosa

#endif  // BASE_LOGGING_H_
