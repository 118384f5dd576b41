// Tests that no engine is still at work on a stream for long after the stream
// went on at another engine: a daemon and engines as separate processes. The
// engines fall silent in the middle of streams, and the responses of others are
// lost, so that runs that are to replace a silent one fail in many ways. What
// counts is when the engines were at work.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "tests/client.h"
#include "tests/entry_site.h"
#include "tests/harness.h"
#include "tests/run_spans.h"

namespace mimosa::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kKey[] = "key-one";
constexpr int kDeadlineMs = 5000;
constexpr int kTargetLatencyMs = 300;
constexpr int kTargetGapMs = 100;
constexpr int kEventIntervalMs = 50;
constexpr int kCallers = 8;
constexpr int kRequestsOfCaller = 12;

// How the engines behave, beside their event interval.
struct Faults {
  int preempt_percent = 0;
  int preempt_ms = 0;
  int lose_percent = 0;
  int reject_percent = 0;
  int reset_percent = 0;
  int events = 0;
};

// A daemon that may retry much, two prefill engines and five decode engines.
class Site {
 public:
  Site() : store_("standin-platform", {}) {
    REQUIRE(Eventually(
        [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
    PutRecord(store_.port(), "op/config",
              WriteJson(MakeSiteConfig(
                  1, kKey, {kDeadlineMs, kTargetLatencyMs, kTargetGapMs})));
    for (const char* id : {"p1", "p2"}) AddEngine(id, "prefill");
    for (const char* id : {"d1", "d2", "d3", "d4", "d5"})
      AddEngine(id, "decode");
    settings_.Write("entry-0", Loopback(store_.port()), 8000,
                    "MIMOSA_RETRY_BUDGET_RATIO=1\n"
                    "MIMOSA_RETRY_BUDGET_SLACK=2000\n");
    daemon_ = std::make_unique<Process>("tools/mimosa-entry", settings_.args());
    REQUIRE(Eventually([&] { return Send(); }));
    REQUIRE(Eventually(
        [&] {
          return GetJson(settings_.control_port(),
                         "/status")["retry_share_established"]
              .asBool();
        },
        Seconds(60)));
  }

  void SetFaults(const Faults& faults) {
    Json::Value members;
    members["gap_ms"] = kEventIntervalMs;
    members["events"] = faults.events;
    members["preempt_percent"] = faults.preempt_percent;
    members["preempt_ms"] = faults.preempt_ms;
    members["lose_percent"] = faults.lose_percent;
    members["reject_percent"] = faults.reject_percent;
    members["reset_percent"] = faults.reset_percent;
    for (const auto& engine : engines_)
      if (engine->id[0] == 'd')
        PostJson(engine->port, "/debug/behave", members);
  }

  // Has callers send resumable streams, and waits for their ends. Returns the
  // number of complete ones.
  int Play() {
    std::atomic<int> complete{0};
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i)
      callers.emplace_back([&] {
        for (int sent = 0; sent < kRequestsOfCaller; ++sent)
          if (Send()) ++complete;
      });
    for (std::thread& caller : callers) caller.join();
    return complete;
  }

  std::vector<RunSpan> ReadSpans() const {
    std::vector<RunSpan> all;
    for (const auto& engine : engines_) {
      const std::vector<RunSpan> spans =
          ReadRunSpans(GetJson(engine->port, "/debug/journal"), engine->id);
      all.insert(all.end(), spans.begin(), spans.end());
    }
    return all;
  }

 private:
  struct Engine {
    std::string id;
    uint16_t port = FreePort();
    std::unique_ptr<Process> process;
  };

  void AddEngine(const std::string& id, const std::string& stage) {
    auto engine = std::make_unique<Engine>();
    engine->id = id;
    engine->process = std::make_unique<Process>(
        "standins/standin-site-server",
        SiteServerArgs(id, "llm", stage, engine->port, store_.port()));
    engines_.push_back(std::move(engine));
  }
  // Sends a request for a stream. Returns whether that was complete.
  bool Send() {
    // A request that repeats another could be taken for one that crashes
    // engines.
    const std::string id = "r" + std::to_string(++serial_);
    const Reply reply =
        Call(settings_.listen_port(),
             MakeSiteRequest("/note/" + id, id, kKey, "body", kDeadlineMs));
    return reply.status == 200 && reply.complete;
  }

  StandIn store_;
  std::vector<std::unique_ptr<Engine>> engines_;
  EntrySettingsFile settings_;
  std::unique_ptr<Process> daemon_;
  std::atomic<int> serial_{0};
};

// Number of requests that ran at more than one engine.
int CountResumed(const std::vector<RunSpan>& spans) {
  std::map<std::string, std::set<std::string>> servers;
  for (const RunSpan& span : spans) servers[span.request].insert(span.server);
  return static_cast<int>(
      std::count_if(servers.begin(), servers.end(),
                    [](const auto& entry) { return entry.second.size() > 1; }));
}

// Guards against a silent run that goes on although the request has gone on at
// another engine, whose response is then lost or too late.
TEST_CASE("no engine works on for long on a stream that went on elsewhere") {
  Site site;
  const std::vector<Faults> kinds = {
      // Silent for longer than a replacement whose response is lost takes.
      {45, 2000, 35, 0, 0, 8},
      // Silent for a little longer than it takes to send a replacement.
      {45, 300, 35, 0, 0, 20},
      // Engines that reject or reset replacements, too.
      {45, 1500, 20, 20, 20, 8},
  };
  for (const Faults& faults : kinds) {
    CAPTURE(faults.preempt_ms, faults.reject_percent);
    site.SetFaults(faults);
    const int complete = site.Play();
    const std::vector<RunSpan> spans = site.ReadSpans();
    std::cout << complete << " of " << kCallers * kRequestsOfCaller
              << " streams complete; " << CountResumed(spans)
              << " ran at several engines so far" << std::endl;
    CHECK(complete > 0);
    CHECK(CountResumed(spans) > 0);
    for (const RunOverlap& overlap : FindOverlaps(spans)) {
      INFO(overlap.Describe());
      CHECK(overlap.later.server.empty());
    }
  }
}

// Within a millisecond, an engine breaks a run off and another goes on.
TEST_CASE("runs that begin in the same millisecond are told apart") {
  RunSpan broken_off{"r", "d1", 1000, 1000, 1000200, 0};
  RunSpan long_run{"r", "d2", 1000, 1833, 1000600, 0};
  CHECK(FindOverlaps({broken_off, long_run}).empty());
  broken_off.begin_us = 1000800;
  CHECK(FindOverlaps({broken_off, long_run}).size() == 1);
  broken_off.begin_us = long_run.begin_us;  // Either may be the later one.
  CHECK(FindOverlaps({broken_off, long_run}).size() == 1);
}

// Tells a late end of a run that a daemon caused from one that the engine did.
TEST_CASE("an engine says how long it stood still while it was at work") {
  StandIn store("standin-platform", {});
  const uint16_t port = FreePort();
  Process engine("standins/standin-site-server",
                 SiteServerArgs("d1", "llm", "decode", port, store.port()));
  Json::Value members;
  members["gap_ms"] = kEventIntervalMs;
  members["events"] = 10;
  REQUIRE(Eventually(
      [&] { return PostJson(port, "/debug/behave", members).status == 200; }));
  const auto read_spans = [&] {
    return ReadRunSpans(GetJson(port, "/debug/journal"), "d1");
  };
  for (const int64_t pause_ms : {0, 400}) {
    const size_t before = read_spans().size();
    Connection caller(port);
    const std::string id = "r" + std::to_string(pause_ms);
    REQUIRE(caller.Send(
        MakeSiteRequest("/note/" + id, id, kKey, "body", kDeadlineMs)));
    REQUIRE(Eventually([&] { return read_spans().size() == before + 1; }));
    if (pause_ms > 0) {
      engine.Pause();
      std::this_thread::sleep_for(milliseconds(pause_ms));
      engine.Resume();
    }
    CHECK(caller.ReadReply(Seconds(5)).complete);
    const RunSpan span = read_spans().back();
    CHECK(span.stall_ms >= pause_ms - 20);
    CHECK(span.stall_ms < pause_ms + 1000);
  }
}

}  // namespace
}  // namespace mimosa::testing
