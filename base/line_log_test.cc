// Tests of the line log: format, budgets, and readers that stop reading.
#include "base/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "base/json.h"

namespace mimosa {
namespace {

struct Pipe {
  Pipe() { REQUIRE(pipe2(fds.data(), O_CLOEXEC) == 0); }
  ~Pipe() {
    for (const int fd : fds) close(fd);
  }
  // Returns all data that can be read without blocking.
  std::string Read() const {
    fcntl(fds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t n; (n = read(fds[0], buffer.data(), buffer.size())) > 0;)
      text.append(buffer.data(), static_cast<size_t>(n));
    return text;
  }
  std::array<int, 2> fds{};
};

TEST_CASE("a line with special characters is one valid JSON object") {
  Pipe pipe;
  ManualClock clock;
  LineLog::Options options;
  options.process = "entry-1";
  LineLog log(pipe.fds[1], &clock, options);
  log.Write(LogLine("request_failed")
                .Add("request", "a\"b\\c\n\x01")
                .Add("status", 502)
                .Add("held", true)
                .AddMillis("total_ms", std::chrono::milliseconds(7)));
  log.Flush();
  const std::string text = pipe.Read();
  REQUIRE(text.back() == '\n');
  const auto line = ParseJson(text);
  REQUIRE(line);
  CHECK((*line)["at"] == "entry-1");
  CHECK((*line)["event"] == "request_failed");
  CHECK((*line)["request"] == "a\"b\\c\n\x01");
  CHECK((*line)["status"].asInt() == 502);
  CHECK((*line)["held"].asBool());
  CHECK((*line)["total_ms"].asInt() == 7);
}

TEST_CASE("lines beyond the budget of their event are left out and counted") {
  Pipe pipe;
  ManualClock clock;
  clock.Set(MonoTime(std::chrono::seconds(1)));
  LineLog::Options options;
  options.lines_per_second = 10;
  options.burst = 5;
  LineLog log(pipe.fds[1], &clock, options);
  for (int i = 0; i < 100; ++i) log.Write(LogLine("a"));
  log.Write(LogLine("b"));
  log.Flush();
  const std::string text = pipe.Read();
  CHECK(std::count(text.begin(), text.end(), '\n') == 6);
  CHECK(log.lines_left_out() == 95);
  clock.Advance(std::chrono::seconds(1));
  log.Write(LogLine("a"));
  log.Flush();
  CHECK(pipe.Read().find("\"left_out\":95") != std::string::npos);
}

TEST_CASE("writing drops lines and doesn't block if the reader stops reading") {
  Pipe pipe;
  ManualClock clock;
  LineLog::Options options;
  options.lines_per_second = 1000000;
  options.burst = 1000000;
  options.max_buffered_bytes = 64U << 10;
  LineLog log(pipe.fds[1], &clock, options);
  const std::string filler(200, 'x');
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 20000; ++i) {
    log.Write(LogLine("a").Add("filler", filler));
    if (i % 10 == 0) log.Flush();
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  // A blocked write would never return. The 4.8 MB of lines take far less time
  // than the limit.
  CHECK(elapsed < std::chrono::seconds(20));
  CHECK(log.lines_left_out() > 15000);
  CHECK(log.buffered_bytes() <= options.max_buffered_bytes + 512);
  // Complete lines arrive when the reader reads again.
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += pipe.Read();
    log.Flush();
  }
  CHECK(log.buffered_bytes() == 0);
  CHECK(text.back() == '\n');
}

}  // namespace
}  // namespace mimosa
