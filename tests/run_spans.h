// Reads from backend servers when they were at work on which request, and finds
// requests that went on at one engine while another was still at work on them.
#ifndef TESTS_RUN_SPANS_H_
#define TESTS_RUN_SPANS_H_

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mimosa::testing {

// The longest time that an engine may still be at work on a request after the
// request went on at another engine.
inline constexpr int64_t kMaxOverlapMs = 400;

// The time in which a backend server was at work on a request.
struct RunSpan {
  std::string request;   // id
  std::string server;    // id
  int64_t begin_ms = 0;  // by the clock of NowMs()
  int64_t end_ms = 0;    // the present if the run goes on
  // Orders runs that begin in the same millisecond.
  int64_t begin_us = 0;
  int64_t stall_ms = 0;  // longest time that the server's loop stood still
};

// Returns the runs of the journal of `server`.
std::vector<RunSpan> ReadRunSpans(const Json::Value& journal,
                                  const std::string& server);

// A run that went on for too long after its request had begun at another
// server.
struct RunOverlap {
  RunSpan earlier;
  RunSpan later;

  std::string Describe() const;
};

std::vector<RunOverlap> FindOverlaps(const std::vector<RunSpan>& spans);

}  // namespace mimosa::testing

#endif  // TESTS_RUN_SPANS_H_
