// Counts what arrives at backend servers beyond the first arrival of each
// request, and compares it with a retry budget.
#ifndef TESTS_RETRY_COUNT_H_
#define TESTS_RETRY_COUNT_H_

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mimosa::testing {

// A request that has reached a stand-in server.
struct Arrival {
  std::string request;  // id
  int64_t ms = 0;       // by the clock of NowMs()
  bool accepted_prefill = false;
};

// Returns the time by the clock of the stand-ins, in milliseconds.
int64_t NowMs();

// Returns the arrivals of a server's journal.
std::vector<Arrival> ReadArrivals(const Json::Value& journal);

struct RetryBound {
  double ratio = 0;  // of the callers' requests
  double slack = 0;  // retries beyond that
  int64_t window_ms = 0;
};

// Compares the retries of every window with the requests of that window, the
// one before it or the one half a window before it, whichever has most. The
// first arrival of each request, and its first prefill that was accepted, are
// no retries. `requests`: when callers sent them. Returns a description of the
// window that exceeds the bound most; empty if none does.
std::string FindExcessRetries(const std::vector<int64_t>& requests,
                              const std::vector<Arrival>& arrivals,
                              const RetryBound& bound);
// Returns when the retries arrived.
std::vector<int64_t> FindRetries(const std::vector<Arrival>& arrivals);

}  // namespace mimosa::testing

#endif  // TESTS_RETRY_COUNT_H_
