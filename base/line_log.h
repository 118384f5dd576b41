// Structured log of single decisions, such as those about requests, written to
// standard output.
//
// Each line is one JSON object. Logging costs a request only the formatting of
// its line: lines go to a bounded buffer, which is written as fast as the
// reader accepts it. If the reader stops, lines are dropped and requests aren't
// delayed. Each event has a budget of lines per second. Lines beyond it are
// left out, and the next line of that event says how many ("left_out").
// base/logging.h is for rare lines about the process itself.
#ifndef BASE_LINE_LOG_H_
#define BASE_LINE_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace mimosa {

// Builder of one line: {"event":..., fields...}. Values are escaped.
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

// Writes log lines to a file descriptor without blocking.
class LineLog {
 public:
  struct Options {
    std::string process;  // process name, written in each line
    // Budget of each event. Lines beyond it are counted and left out.
    int lines_per_second = 20;
    // Lines of one event that may be written at once after an idle period.
    int burst = 60;
    size_t max_buffered_bytes = 256U << 10;
  };

  // Writes to `fd` and doesn't close it. `clock` is used for the budgets only.
  LineLog(int fd, const Clock* clock, const Options& options);
  ~LineLog();

  // Writes `line` if the budget of its event allows. Drops it if the buffer is
  // full.
  void Write(const LogLine& line);
  // Writes `line` regardless of budgets, for starts, stops, and the loss and
  // recovery of the store and the like. Drops it if the buffer is full.
  void WriteAlways(const LogLine& line);

  // Writes as much of the buffer as the reader accepts now. Never blocks.
  void Flush();

  uint64_t lines_left_out() const { return left_out_; }
  size_t buffered_bytes() const { return buffer_.size(); }

 private:
  struct Budget {
    double available_lines = 0;
    MonoTime updated_at{};
    uint64_t left_out = 0;  // lines since the last one that was written
  };

  void Append(const LogLine& line, uint64_t left_out);

  const int fd_;
  const Clock* const clock_;
  const Options options_;
  std::map<std::string, Budget> budgets_;
  std::string buffer_;
  // Lines of all events dropped because of a budget or a full buffer.
  uint64_t left_out_ = 0;
};

}  // namespace mimosa

#endif  // BASE_LINE_LOG_H_
