// Words for status pages and log lines.
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

int64_t Number(const Json::Value& line, const char* name) {
  const Json::Value& value = line[name];
  return value.isNumeric() ? value.asInt64() : 0;
}

// What the daemon's words for its decisions mean.
std::string Reason(const std::string& why) {
  static const std::map<std::string, std::string> kReasons = {
      {"over_allotment", "the customer had used up its rate over the fleet"},
      {"engines_full", "no decode engine had room while its caller would wait"},
      {"no_decode_engine", "no decode engine is listed that takes work"},
      {"no_back_end", "no backend server is listed that takes work"},
      {"no_configuration", "this daemon had no configuration yet"},
      {"no_service", "the route's service isn't in the configuration"},
      {"back_ends_full", "each backend server asked said that it was full"},
      {"no_route", "no route of the configuration fits host and path"},
      {"unknown_key", "no customer of the configuration holds the key"},
      {"leaving", "this daemon was leaving"},
      {"retry_budget", "the fleet had no budget left for another attempt"},
      {"lost", "the backend server's answer was lost after it may have run"},
      {"stream_lost",
       "the engine's stream broke and could not go on elsewhere"},
      {"engine_failed", "the engine that went on with the stream failed"},
      {"timeout", "its time was over"},
      {"caller_gone", "the caller closed its connection"},
      {"answered", "the backend server's own answer was passed on"},
  };
  const auto found = kReasons.find(why);
  return found == kReasons.end() ? why : found->second;
}

std::string Meaning(const Json::Value& line) {
  const std::string event = StringMember(line, "event");
  std::ostringstream text;
  if (event == "allotment_spent") {
    text << "customer " << StringMember(line, "customer")
         << " is over its rate: level " << Number(line, "level")
         << ", the others' usage " << Number(line, "report_age_ms")
         << " ms old";
  } else if (event == "call_lost") {
    text << "the call to " << StringMember(line, "back_end") << " was lost ("
         << StringMember(line, "loss") << ")";
  } else if (event == "request_refused" || event == "request_failed" ||
             event == "request_answered") {
    text << "ended with " << Number(line, "status") << ": "
         << Reason(StringMember(line, "why"));
    if (Number(line, "calls") > 0)
      text << "; " << Number(line, "calls") << " calls, last to "
           << StringMember(line, "back_end") << ", room after "
           << Number(line, "room_ms") << " ms, prefill after "
           << Number(line, "prefill_ms") << ", first event after "
           << Number(line, "first_ms") << ", end after "
           << Number(line, "total_ms");
    if (Number(line, "retry_after_ms") > 0)
      text << "; told to come back in " << Number(line, "retry_after_ms")
           << " ms";
  } else if (event == "back_end_removed") {
    text << StringMember(line, "back_end") << " left the list"
         << (line["held"].isBool() && line["held"].asBool()
                 ? " (held: the store was away)"
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
       << Number(status, "running") << " requests, configuration "
       << Number(status, "configuration_version") << ", store "
       << (status["store_lost"].asBool() ? "lost, " : "")
       << Number(status, "store_age_ms") << " ms ago, "
       << Number(status, "members") << " daemons, usage added up by "
       << StringMember(status, "collector") << "\n";
  for (const Json::Value& item : status["back_ends"]) {
    text << "  " << StringMember(item, "id") << "  "
         << StringMember(item, "service") << "  " << StringMember(item, "role")
         << "  " << Number(item, "open_calls") << "+"
         << Number(item, "calls_of_others") << " calls";
    if (item["draining"].asBool()) text << ", draining";
    if (item["changes_role"].asBool()) text << ", changes its role";
    if (item["held"].asBool()) text << ", missing since a store outage";
    if (item["passed_over"].asBool())
      text << ", passed over: " << StringMember(item, "last_failure");
    text << "\n";
  }
  for (const Json::Value& item : status["customers"])
    text << "  customer " << StringMember(item, "id") << ": rate "
         << Number(item, "rate") << ", level " << Number(item, "level") << "\n";
  return text.str();
}

void RequestExplainer::ReadLog(std::istream* log) {
  for (std::string text; std::getline(*log, text);) {
    // A prefix, as collectors of logs add it, is passed over.
    const size_t brace = text.find('{');
    if (brace == std::string::npos) continue;
    const auto line = ParseJson(text.substr(brace));
    if (!line || !line->isObject()) continue;
    const std::string event = StringMember(*line, "event");
    const bool change =
        event == "back_end_removed" || event == "back_end_changed";
    const bool own = !id_.empty() && StringMember(*line, "request") == id_;
    if (!own && !change) continue;
    (own ? request_entries_ : back_end_changes_)
        .push_back({Number(*line, "ms"), StringMember(*line, "at"),
                    Meaning(*line), *line});
  }
}

std::vector<LogEntry> RequestExplainer::Timeline() const {
  std::vector<LogEntry> steps = request_entries_;
  std::set<std::pair<std::string, std::string>> asked;  // daemon, back end
  for (const LogEntry& step : request_entries_)
    asked.insert({step.daemon, StringMember(step.fields, "back_end")});
  for (const LogEntry& change : back_end_changes_) {
    const bool near =
        std::any_of(request_entries_.begin(), request_entries_.end(),
                    [&change](const LogEntry& step) {
                      return std::abs(step.unix_ms - change.unix_ms) <=
                             kBackEndChangeWindowMs;
                    });
    if (near && asked.count({change.daemon,
                             StringMember(change.fields, "back_end")}) != 0)
      steps.push_back(change);
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const LogEntry& a, const LogEntry& b) {
                     return a.unix_ms < b.unix_ms;
                   });
  return steps;
}

}  // namespace mimosa
