// What mimosactl says of the entry daemons: what one believes, from its status
// page, and what became of a request, from its log lines.
#ifndef TOOLS_MIMOSACTL_EXPLAIN_H_
#define TOOLS_MIMOSACTL_EXPLAIN_H_

#include <json/value.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace mimosa {

// A daemon's status page as text: a line for itself, one a backend server with
// the reason why it is passed over, one a customer.
std::string DescribeDaemon(const Json::Value& status);

// One line of a daemon's log, and what it means.
struct LogEntry {
  int64_t unix_ms = 0;  // the daemon's time of day
  std::string daemon;
  std::string meaning;
  Json::Value fields;
};

// The steps of the request `id`, in order of time, with those about the back
// ends that it was sent to (removal, change) at most `kNearbyMs` from them.
// Lines that aren't a daemon's are passed over.
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
