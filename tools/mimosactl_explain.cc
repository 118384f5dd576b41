// Translates status pages and log lines into text.
#include "tools/mimosactl_explain.h"

#include <algorithm>
#include <istream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

int64_t IntMember(const Json::Value& line, const char* name) {
  const Json::Value& value = line[name];
  return value.isNumeric() ? value.asInt64() : 0;
}

// Explains the "why" values of the daemons' log lines. Unknown values are
// returned as they are.
std::string ExplainReason(const std::string& reason) {
  static const std::map<std::string, std::string> kReasons = {
      {"over_allotment",
       "the customer had used up its rate limit across the fleet"},
      {"engines_full",
       "no decode engine had free memory within the time the caller could "
       "wait"},
      {"no_decode_engine", "no listed decode engine accepts work"},
      {"no_back_end", "no listed backend server accepts work"},
      {"no_configuration", "this daemon had no configuration yet"},
      {"no_service", "the route's service isn't in the configuration"},
      {"back_ends_full",
       "every backend server that was tried reported that it was full"},
      {"no_route", "no route of the configuration matches host and path"},
      {"unknown_key", "no customer of the configuration has this key"},
      {"leaving", "this daemon was shutting down"},
      {"retry_budget", "the fleet's retry budget was exhausted"},
      {"lost",
       "the backend server's response was lost, and the request may have "
       "run"},
      {"stream_lost",
       "the engine's stream broke and could not be resumed on another "
       "engine"},
      {"engine_failed", "the engine that resumed the stream failed"},
      {"timeout", "the request's deadline passed"},
      {"caller_gone", "the caller closed its connection"},
      {"answered", "the backend server's response was relayed"},
  };
  const auto found = kReasons.find(reason);
  return found == kReasons.end() ? reason : found->second;
}

std::string ExplainLine(const Json::Value& line) {
  const std::string event = StringMember(line, "event");
  std::ostringstream text;
  if (event == "allotment_spent") {
    text << "customer " << StringMember(line, "customer")
         << " is over its rate: level " << IntMember(line, "level")
         << ", usage report of the other daemons "
         << IntMember(line, "report_age_ms") << " ms old";
  } else if (event == "call_lost") {
    text << "the call to " << StringMember(line, "back_end") << " was lost ("
         << StringMember(line, "loss") << ")";
  } else if (event == "request_refused" || event == "request_failed" ||
             event == "request_answered") {
    text << "ended with " << IntMember(line, "status") << ": "
         << ExplainReason(StringMember(line, "why"));
    if (IntMember(line, "calls") > 0)
      text << "; " << IntMember(line, "calls") << " calls, last to "
           << StringMember(line, "back_end") << ", memory reserved after "
           << IntMember(line, "room_ms") << " ms, prefill after "
           << IntMember(line, "prefill_ms") << ", first event after "
           << IntMember(line, "first_ms") << ", end after "
           << IntMember(line, "total_ms");
    if (IntMember(line, "retry_after_ms") > 0)
      text << "; told to retry after " << IntMember(line, "retry_after_ms")
           << " ms";
  } else if (event == "back_end_removed") {
    text << StringMember(line, "back_end") << " was removed from the list"
         << (line["held"].isBool() && line["held"].asBool()
                 ? " (removal deferred: the store was unreachable)"
                 : "");
  } else if (event == "back_end_changed") {
    text << StringMember(line, "back_end") << " was listed as "
         << StringMember(line, "role")
         << (line["draining"].isBool() && line["draining"].asBool()
                 ? ", draining"
                 : "");
  } else {
    text << event;
  }
  return text.str();
}

}  // namespace

std::string DescribeDaemon(const Json::Value& status) {
  std::ostringstream text;
  text << StringMember(status, "name") << ": "
       << (status["ready"].asBool() ? "ready" : "not ready")
       << (status["leaving"].asBool() ? ", leaving" : "") << ", "
       << IntMember(status, "running") << " requests, configuration "
       << IntMember(status, "configuration_version") << ", store "
       << (status["store_lost"].asBool() ? "lost, " : "")
       << IntMember(status, "store_age_ms") << " ms ago, "
       << IntMember(status, "members") << " daemons, usage aggregated by "
       << StringMember(status, "collector") << "\n";
  for (const Json::Value& item : status["back_ends"]) {
    text << "  " << StringMember(item, "id") << "  "
         << StringMember(item, "service") << "  " << StringMember(item, "role")
         << "  " << IntMember(item, "open_calls") << "+"
         << IntMember(item, "calls_of_others") << " calls";
    if (item["evacuated"].asBool()) text << ", evacuated";
    if (item["draining"].asBool()) text << ", draining";
    if (item["changes_role"].asBool()) text << ", changes its role";
    if (item["held"].asBool()) text << ", missing since a store outage";
    if (item["passed_over"].asBool())
      text << ", in backoff, last failure: "
           << StringMember(item, "last_failure");
    text << "\n";
  }
  for (const Json::Value& item : status["customers"])
    text << "  customer " << StringMember(item, "id") << ": rate "
         << IntMember(item, "rate") << ", level " << IntMember(item, "level")
         << "\n";
  return text.str();
}

void RequestExplainer::ReadLog(std::istream* log) {
  for (std::string text; std::getline(*log, text);) {
    // Skips a prefix that a log collector may have added.
    const size_t brace = text.find('{');
    if (brace == std::string::npos) continue;
    const auto line = ParseJson(text.substr(brace));
    if (!line || !line->isObject()) continue;
    const std::string event = StringMember(*line, "event");
    const bool change =
        event == "back_end_removed" || event == "back_end_changed";
    const bool about_request =
        !id_.empty() && StringMember(*line, "request") == id_;
    if (!about_request && !change) continue;
    (about_request ? request_entries_ : back_end_changes_)
        .push_back({IntMember(*line, "ms"), StringMember(*line, "at"),
                    ExplainLine(*line), *line});
  }
}

std::vector<LogEntry> RequestExplainer::Timeline() const {
  std::vector<LogEntry> entries = request_entries_;
  // Pairs of daemon and back end.
  std::set<std::pair<std::string, std::string>> called_back_ends;
  for (const LogEntry& entry : request_entries_)
    called_back_ends.insert(
        {entry.daemon, StringMember(entry.fields, "back_end")});
  for (const LogEntry& change : back_end_changes_) {
    const bool is_near =
        std::any_of(request_entries_.begin(), request_entries_.end(),
                    [&change](const LogEntry& entry) {
                      return std::abs(entry.unix_ms - change.unix_ms) <=
                             kBackEndChangeWindowMs;
                    });
    if (is_near &&
        called_back_ends.count(
            {change.daemon, StringMember(change.fields, "back_end")}) != 0)
      entries.push_back(change);
  }
  std::stable_sort(entries.begin(), entries.end(),
                   [](const LogEntry& a, const LogEntry& b) {
                     return a.unix_ms < b.unix_ms;
                   });
  return entries;
}

}  // namespace mimosa
