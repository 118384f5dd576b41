// Describes the state of an entry daemon from its status page, and how a
// request was handled from the daemons' log lines.
#ifndef TOOLS_MIMOSACTL_EXPLAIN_H_
#define TOOLS_MIMOSACTL_EXPLAIN_H_

#include <json/value.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace mimosa {

// Formats a daemon's status page as text: one line for the daemon, one per
// backend server, with the last failure of each server in backoff, and one per
// customer.
std::string DescribeDaemon(const Json::Value& status);

// Holds one line of a daemon's log and its explanation.
struct LogEntry {
  int64_t unix_ms = 0;  // Unix time by the daemon's clock
  std::string daemon;
  std::string meaning;
  Json::Value fields;
};

// Collects the log lines about request `id`, in order of time, and the removals
// and changes of the back ends that it was sent to, if they happened within
// `kBackEndChangeWindowMs` of one of its lines. Lines that aren't from a daemon
// are skipped.
class RequestExplainer {
 public:
  static constexpr int64_t kBackEndChangeWindowMs = 2000;

  explicit RequestExplainer(std::string id) : id_(std::move(id)) {}

  void ReadLog(std::istream* log);
  std::vector<LogEntry> Timeline() const;

 private:
  const std::string id_;
  std::vector<LogEntry> request_entries_;
  std::vector<LogEntry> back_end_changes_;
};

}  // namespace mimosa

#endif  // TOOLS_MIMOSACTL_EXPLAIN_H_
