// Tests that mimosactl explains a request from log lines and describes a
// daemon's status.
#include "tools/mimosactl_explain.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "base/json.h"

namespace mimosa {
namespace {

// Log lines as daemons write them, one of them with the prefix of a log
// collector.
constexpr char kLog[] =
    R"(12.1 entry-1 {"ms":1000,"at":"entry-1","event":"back_end_removed","back_end":"i-1","held":false,"revision":9}
no line of a daemon { at all
{"ms":1100,"at":"entry-1","event":"call_lost","request":"r1","back_end":"i-1","loss":"no_answer"}
{"ms":1101,"at":"entry-1","event":"request_failed","request":"r1","back_end":"i-1","status":502,"why":"lost","calls":1,"total_ms":31}
{"ms":1102,"at":"entry-1","event":"request_answered","request":"r2","status":200,"why":"answered"}
{"ms":1090,"at":"entry-2","event":"back_end_removed","back_end":"i-1","revision":9}
{"ms":9000,"at":"entry-1","event":"back_end_changed","back_end":"i-1","role":"plain","draining":false}
{"ms":1200,"at":"entry-1","event":"request_refused","request":"r3","status":429,"why":"over_allotment","retry_after_ms":800}
)";

std::vector<LogEntry> TimelineOf(const std::string& id) {
  std::istringstream log(kLog);
  RequestExplainer explainer(id);
  explainer.ReadLog(&log);
  return explainer.Timeline();
}

TEST_CASE(
    "a lost response is shown together with the removal of its back end") {
  const auto entries = TimelineOf("r1");
  REQUIRE(entries.size() == 3);
  CHECK(entries[0].meaning == "i-1 was removed from the list");
  CHECK(entries[0].daemon == "entry-1");
  CHECK(entries[1].meaning == "the call to i-1 was lost (no_answer)");
  CHECK(entries[2].meaning.find("ended with 502: the backend server's response "
                                "was lost, and the request may have run") == 0);
}

TEST_CASE("a refusal shows its reason and its retry delay") {
  const auto entries = TimelineOf("r3");
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].meaning ==
        "ended with 429: the customer had used up its rate limit across "
        "the fleet; told to retry after 800 ms");
}

TEST_CASE("an unknown or empty request id yields no log entries") {
  CHECK(TimelineOf("r9").empty());
  CHECK(TimelineOf("").empty());
}

TEST_CASE("DescribeDaemon formats the status page as text") {
  const auto status = ParseJson(R"({"name":"entry-1","ready":true,
      "leaving":false,"running":3,"members":2,"collector":"entry-2",
      "store_lost":true,"store_age_ms":1500,"configuration_version":7,
      "back_ends":[{"id":"i-1","service":"llm","role":"decode","open_calls":2,
        "calls_of_others":5,"passed_over":true,"last_failure":"unreachable"},
        {"id":"i-2","service":"llm","role":"prefill","changes_role":true}],
      "customers":[{"id":"guild","rate":100,"level":-7}]})");
  REQUIRE(status);
  CHECK(DescribeDaemon(*status) ==
        "entry-1: ready, 3 requests, configuration 7, store lost, 1500 ms ago, "
        "2 daemons, usage aggregated by entry-2\n"
        "  i-1  llm  decode  2+5 calls, in backoff, last failure: "
        "unreachable\n"
        "  i-2  llm  prefill  0+0 calls, changes its role\n"
        "  customer guild: rate 100, level -7\n");
  CHECK(DescribeDaemon(Json::Value(Json::objectValue)).find("not ready") !=
        std::string::npos);
}

}  // namespace
}  // namespace mimosa
