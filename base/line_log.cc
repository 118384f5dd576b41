// Formatting, rate limiting and non-blocking writing of log lines.
#include "base/line_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <utility>

namespace mimosa {
namespace {

// PIPE_BUF on Linux: a write of at most this size doesn't block if poll()
// reports the pipe as writable.
constexpr size_t kMaxWriteBytes = 4096;

void AppendEscaped(std::string_view text, std::string* out) {
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      *out += '\\';
      *out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      std::array<char, 8> code{};
      std::snprintf(code.data(), code.size(), "\\u%04x", c);
      *out += code.data();
    } else {
      *out += c;
    }
  }
}

int64_t UnixMillis() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  constexpr int64_t kMillisPerSecond = 1000;
  constexpr int64_t kNanosPerMilli = 1000000;
  return ts.tv_sec * kMillisPerSecond + ts.tv_nsec / kNanosPerMilli;
}

}  // namespace

LogLine::LogLine(std::string_view event) : event_(event) {}

void LogLine::AppendName(std::string_view name) {
  fields_ += ",\"";
  fields_ += name;
  fields_ += "\":";
}

LogLine& LogLine::Add(std::string_view name, std::string_view value) {
  AppendName(name);
  fields_ += '"';
  AppendEscaped(value, &fields_);
  fields_ += '"';
  return *this;
}

LogLine& LogLine::Add(std::string_view name, int64_t value) {
  AppendName(name);
  fields_ += std::to_string(value);
  return *this;
}

LogLine& LogLine::Add(std::string_view name, bool value) {
  AppendName(name);
  fields_ += value ? "true" : "false";
  return *this;
}

LineLog::LineLog(int fd, const Clock* clock, const Options& options)
    : fd_(fd), clock_(clock), options_(options) {}

LineLog::~LineLog() { Flush(); }

void LineLog::Write(const LogLine& line) {
  Budget& budget = budgets_[line.event()];
  const MonoTime now = clock_->Now();
  const double burst = options_.burst;
  if (budget.updated_at == MonoTime{}) {
    budget.available_lines = burst;
  } else {
    budget.available_lines = std::min(
        burst, budget.available_lines + ToSeconds(now - budget.updated_at) *
                                            options_.lines_per_second);
  }
  budget.updated_at = now;
  if (budget.available_lines < 1) {
    ++budget.left_out;
    ++left_out_;
    return;
  }
  budget.available_lines -= 1;
  Append(line, std::exchange(budget.left_out, 0));
}

void LineLog::WriteAlways(const LogLine& line) { Append(line, 0); }

void LineLog::Append(const LogLine& line, uint64_t left_out) {
  if (buffer_.size() > options_.max_buffered_bytes) Flush();
  if (buffer_.size() > options_.max_buffered_bytes) {
    ++left_out_;
    return;
  }
  buffer_ += "{\"ms\":" + std::to_string(UnixMillis()) + ",\"at\":\"";
  AppendEscaped(options_.process, &buffer_);
  buffer_ += "\",\"event\":\"" + line.event() + "\"" + line.fields();
  if (left_out > 0) buffer_ += ",\"left_out\":" + std::to_string(left_out);
  buffer_ += "}\n";
}

void LineLog::Flush() {
  size_t written = 0;
  while (written < buffer_.size()) {
    pollfd writable{fd_, POLLOUT, 0};
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) break;
    const size_t chunk_bytes =
        std::min(buffer_.size() - written, kMaxWriteBytes);
    const ssize_t n = write(fd_, buffer_.data() + written, chunk_bytes);
    if (n <= 0) break;
    written += static_cast<size_t>(n);
  }
  buffer_.erase(0, written);
}

}  // namespace mimosa
