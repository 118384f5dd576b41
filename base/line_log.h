// Structured lines about single decisions, written to standard output.
//
// One JSON object a line. A line costs a request nothing but its formatting: it
// goes to a bounded buffer that is written when the reader takes it, and a
// reader that stops reading costs lines, never requests. Each kind of event has
// a budget of lines a second; what is over is left out, and the next line of
// that kind says how many were. base/logging.h is for rare lines about the
// process itself.
#ifndef BASE_LINE_LOG_H_
#define BASE_LINE_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace mimosa {

// One line under construction: {"event":..., fields...}. Values are escaped.
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  LogLine& Add(std::string_view name, std::string_view value);
  LogLine& Add(std::string_view name, const char* value) {
    return Add(name, std::string_view(value));
  }
  LogLine& Add(std::string_view name, int64_t value);
  LogLine& Add(std::string_view name, int value) {
    return Add(name, static_cast<int64_t>(value));
  }
  LogLine& Add(std::string_view name, size_t value) {
    return Add(name, static_cast<int64_t>(value));
  }
  LogLine& Add(std::string_view name, bool value);
  LogLine& AddMillis(std::string_view name, Duration value) {
    return Add(name, ToMillis(value));
  }

  const std::string& event() const { return event_; }
  const std::string& fields() const { return fields_; }

 private:
  void AppendName(std::string_view name);

  std::string event_;
  std::string fields_;
};

class LineLog {
 public:
  struct Options {
    std::string process;  // named in each line
    // Lines of one event in a second; what is over is counted and left out.
    int lines_per_second = 20;
    // Lines of one event that may be written at once after a quiet time.
    int burst = 60;
    size_t max_buffered_bytes = 256U << 10;
  };

  // Writes to `fd`, which isn't closed. `clock` is for the budgets only.
  LineLog(int fd, const Clock* clock, const Options& options);
  ~LineLog();

  // Within its budget; the newest is lost if the buffer is full.
  void Write(const LogLine& line);
  // Without budget: for starts, stops and what is lost or regained.
  void WriteAlways(const LogLine& line);

  // Writes what the reader takes now. Never blocks.
  void Flush();

  uint64_t lines_left_out() const { return left_out_; }
  size_t buffered_bytes() const { return buffer_.size(); }

 private:
  struct Budget {
    double available_lines = 0;
    MonoTime updated_at{};
    uint64_t left_out = 0;  // since the last line that was written
  };

  void Append(const LogLine& line, uint64_t left_out);

  const int fd_;
  const Clock* const clock_;
  const Options options_;
  std::map<std::string, Budget> budgets_;
  std::string buffer_;
  uint64_t left_out_ = 0;  // over budget or without room, of all events
};

}  // namespace mimosa

#endif  // BASE_LINE_LOG_H_
