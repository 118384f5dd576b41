// Structured log of state changes: one JSON object per line on standard error,
// through log4cxx. Events of single requests are counted (base/metrics.h) and
// not logged, since a line would cost more than the request itself. Lines never
// contain keys, secrets or bodies.
#ifndef BASE_LOGGING_H_
#define BASE_LOGGING_H_

#include <json/value.h>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace mimosa {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// Returns the level named "error", "warn", "info" or "debug"; kInfo for any
// other name.
LogLevel LogLevelFromName(std::string_view name);

// Must be called once, before the first LogEvent(). Lines of `level` and above
// are then written to standard error with the name `program`; without the call
// nothing is written.
void ConfigureLogging(const std::string& program, LogLevel level);

using LogField = std::pair<const char*, Json::Value>;

// Writes {"time","level","program","event", fields...}. `event` is in the past
// tense and in snake case: LogEvent(kInfo, "member_ended", {{"member", id}}).
void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields = {});

namespace detail {

// Returns the line that LogEvent() writes at `unix_ms` of the wall clock.
std::string FormatLogLine(int64_t unix_ms, LogLevel level,
                          const std::string& program, std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace detail
}  // namespace mimosa

#endif  // BASE_LOGGING_H_
