// Fault soak: the real daemons and stand-ins as processes on loopback, under
// faults that a seed draws, in series and overlapping, while callers go on.
// What callers and backend servers saw is checked against what the daemons
// promise:
//   - each answer is the request's own, and a whole one is whole;
//   - what may not be repeated runs once;
//   - what was refused with a promise not to run has not run;
//   - no server sees a caller's key;
//   - daemons end only when they are told to;
//   - once the faults end, everything is served again and nothing stays behind
//     at the engines;
//   - under planned work alone nothing that was begun is cut.
//
//   MIMOSA_SEED            the first seed (printed)
//   MIMOSA_SOAK_SEEDS      how many, one after the other
//   MIMOSA_SOAK_SECONDS    length of each seed's faults
//   MIMOSA_SOAK_SCALE      size of the fleet: 1 is 10 servers and daemons
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "soak/soak_callers.h"
#include "soak/soak_fleet.h"

namespace mimosa::soak {
namespace {

using std::chrono::milliseconds;

int Number(const char* name, int otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

// Something that a seed does at a time.
struct Step {
  int at_ms = 0;
  std::string what;
  std::function<void()> act;
};

class Plan {
 public:
  Plan(Fleet* fleet, uint64_t seed, int length_ms)
      : fleet_(fleet), random_(seed), length_ms_(length_ms) {
    planned_only_ = seed % 4 == 0;
    const int faults = 4 + static_cast<int>(random_.UniformInt(6));
    for (int i = 0; i < faults; ++i) {
      if (planned_only_) {
        DrawPlanned();
      } else {
        Draw();
      }
    }
    std::stable_sort(
        steps_.begin(), steps_.end(),
        [](const Step& a, const Step& b) { return a.at_ms < b.at_ms; });
  }

  bool planned_only() const { return planned_only_; }

  void Play() {
    const auto start = std::chrono::steady_clock::now();
    for (const Step& step : steps_) {
      std::this_thread::sleep_until(start + milliseconds(step.at_ms));
      std::cout << "  " << step.at_ms << " ms " << step.what << std::endl;
      step.act();
    }
    std::this_thread::sleep_until(start + milliseconds(length_ms_));
  }

 private:
  int Time() { return static_cast<int>(random_.UniformInt(length_ms_)); }
  int Lasting() { return 200 + static_cast<int>(random_.UniformInt(2300)); }
  template <typename T>
  T* OneOf(std::vector<std::unique_ptr<T>>& all) {
    return all[random_.UniformInt(all.size())].get();
  }

  void Add(int at_ms, const std::string& what, std::function<void()> act) {
    steps_.push_back({at_ms, what, std::move(act)});
  }
  void AddSpan(const std::string& what, std::function<void()> begin,
               std::function<void()> end) {
    const int at = Time();
    Add(at, what, std::move(begin));
    Add(at + Lasting(), "end of " + what, std::move(end));
  }

  void DrawPlanned() {
    Fleet* const fleet = fleet_;
    switch (random_.UniformInt(4)) {
      case 0: {
        // A start takes a second at most; the next leaving daemon waits.
        EntryProcess* const entry = OneOf(fleet->entry_processes());
        const int at = Time();
        Add(at, "daemon leaves and starts again", [entry] {
          if (!entry->process().running()) return;
          entry->process().Terminate();
          entry->process().Wait();
          entry->process().Start();
          testing::Eventually([entry] { return entry->IsReady(); });
        });
        return;
      }
      case 1: {
        Server* const server = OneOf(fleet->servers());
        AddSpan(
            server->id() + " drains",
            [server] { server->SetBehavior("draining", true); },
            [server] { server->SetBehavior("draining", false); });
        return;
      }
      case 2: {
        EntryProcess* const entry = OneOf(fleet->entry_processes());
        Add(Time(), "daemon reloads",
            [entry] { entry->process().Signal(SIGHUP); });
        return;
      }
      default:
        Add(Time(), "new configuration", [fleet] { fleet->WriteConfig(); });
    }
  }

  void Draw() {
    if (random_.UniformInt(5) == 0) {
      DrawPlanned();
      return;
    }
    switch (random_.UniformInt(4)) {
      case 0:
        DrawDaemonFault();
        return;
      case 1:
        DrawServerFault();
        return;
      case 2:
        DrawLinkFault();
        return;
      default:
        DrawStoreFault();
    }
  }

  void DrawDaemonFault() {
    EntryProcess* const entry = OneOf(fleet_->entry_processes());
    if (random_.UniformInt(2) == 0) {
      AddSpan(
          "daemon killed", [entry] { entry->process().Kill(); },
          [entry] {
            if (!entry->process().running()) entry->process().Start();
          });
    } else {
      AddSpan(
          "daemon frozen", [entry] { entry->process().Pause(); },
          [entry] { entry->process().Resume(); });
    }
  }

  void DrawServerFault() {
    Fleet* const fleet = fleet_;
    Server* const server = OneOf(fleet->servers());
    const int runs = 1 + static_cast<int>(random_.UniformInt(4));
    const int delay = 100 + static_cast<int>(random_.UniformInt(900));
    switch (random_.UniformInt(4)) {
      case 0:
        AddSpan(
            server->id() + " killed",
            [server, fleet] {
              server->Kill();
              fleet->RemoveRecord(*server);
            },
            [server] {
              if (!server->process().running()) server->Start();
            });
        return;
      case 1:
        AddSpan(
            server->id() + " frozen", [server] { server->process().Pause(); },
            [server] { server->process().Resume(); });
        return;
      case 2:
        Add(Time(), server->id() + " breaks runs off",
            [server, runs] { server->SetBehavior("abort_runs", runs); });
        return;
      default:
        AddSpan(
            server->id() + " is slow",
            [server, delay] { server->SetBehavior("delay_ms", delay); },
            [server] { server->SetBehavior("delay_ms", 0); });
    }
  }

  void DrawLinkFault() {
    const bool to_store = random_.UniformInt(3) == 0;
    testing::Proxy* const proxy =
        to_store ? &OneOf(fleet_->entry_processes())->store_proxy()
                 : &OneOf(fleet_->servers())->proxy();
    const std::vector<std::string> faults = {
        "mode cut",         "mode blackhole",          "set delay_ms 150",
        "set drop_nth 2",   "set cut_after_down 120",  "set cut_after_up 300",
        "set jitter_ms 90", "set half_close_down 200", "set drop_percent 30"};
    const std::string& fault = faults[random_.UniformInt(faults.size())];
    AddSpan(
        std::string(to_store ? "way to the store: " : "way to a server: ") +
            fault,
        [proxy, fault] { proxy->SendCommand(fault); },
        [proxy] { proxy->SendCommand("reset"); });
  }

  void DrawStoreFault() {
    testing::StandIn* const store = &fleet_->store();
    const auto control = [store](const char* member, const Json::Value& value) {
      Json::Value members;
      members[member] = value;
      store->SetBehavior(members, "/debug/control");
    };
    switch (random_.UniformInt(4)) {
      case 0:
        AddSpan(
            "store down", [control] { control("outage", true); },
            [control] { control("outage", false); });
        return;
      case 1:
        AddSpan(
            "store busy", [control] { control("busy", true); },
            [control] { control("busy", false); });
        return;
      case 2:
        AddSpan(
            "store slow", [control] { control("slow_ms", 400); },
            [control] { control("slow_ms", 0); });
        return;
      default:
        Add(Time(), "store forgets its history and loses replies", [control] {
          control("compact", true);
          control("lose_replies", 2);
        });
    }
  }

  Fleet* const fleet_;
  SeededRandom random_;
  const int length_ms_;
  bool planned_only_ = false;
  std::vector<Step> steps_;
};

bool Promised(const Outcome& outcome) {
  return !outcome.has_seal && (outcome.status == 408 || outcome.status == 421 ||
                               outcome.status == 429 || outcome.status == 503);
}

void CheckRuns(Fleet* fleet, const std::vector<Outcome>& outcomes,
               bool planned_only) {
  std::map<std::string, int64_t> runs;
  for (auto& server : fleet->servers()) {
    server->Kill();  // collects what ran since its start
    for (const auto& [id, count] : server->runs()) runs[id] += count;
    CHECK(server->foreign() == 0);
  }
  int served = 0;
  for (const Outcome& outcome : outcomes) {
    const auto run = runs.find(outcome.id);
    const int64_t count = run == runs.end() ? 0 : run->second;
    served += outcome.status == 200 && outcome.complete ? 1 : 0;
    INFO(outcome.kind << " " << outcome.id << ": " << outcome.status
                      << (outcome.complete ? " whole" : " not whole")
                      << ", ran " << count << " times");
    if (outcome.kind == "book" || outcome.kind == "letter") CHECK(count <= 1);
    if (Promised(outcome)) CHECK(count == 0);
    if (planned_only && count > 0) CHECK(outcome.complete);
  }
  std::cout << "  " << outcomes.size() << " requests, " << served << " served"
            << std::endl;
  CHECK(served > 0);
}

void RunSeed(uint64_t seed) {
  const int scale = Number("MIMOSA_SOAK_SCALE", 1);
  std::cout << "soak seed " << seed << std::endl;
  INFO("soak seed " << seed);
  Fleet fleet(scale);
  Plan plan(&fleet, seed, Number("MIMOSA_SOAK_SECONDS", 6) * 1000);
  std::vector<uint16_t> ports;
  for (const auto& entry : fleet.entry_processes())
    ports.push_back(entry->port());
  Callers callers(ports, seed, 8 * scale);
  plan.Play();
  for (const auto& entry : fleet.entry_processes()) {
    // Those that were killed are started again by the plan's own step, or
    // below; none may have ended by itself.
    if (entry->process().running()) continue;
    const auto code = entry->process().Wait();
    INFO("a daemon ended with " << code.value_or(0));
    CHECK(code == -SIGKILL);
  }
  fleet.ClearFaults();
  CHECK(testing::Eventually([&] { return fleet.ServesAllKinds(); }));
  callers.Stop();
  for (const std::string& wrong : callers.invalid_responses()) {
    INFO(wrong);
    CHECK(wrong.empty());
  }
  CHECK(testing::Eventually([&] {
    return std::all_of(
        fleet.servers().begin(), fleet.servers().end(), [](const auto& server) {
          const Json::Value journal = server->GetJournal();
          return !server->is_engine() || (journal["used"].asInt64() == 0 &&
                                          journal["handles"].asInt64() == 0 &&
                                          journal["rooms"].asInt64() == 0);
        });
  }));
  CheckRuns(&fleet, callers.outcomes(), plan.planned_only());
}

// Seeds that failed once.
TEST_CASE("former failures") {
  // A run broke off behind its last event, and the stand-in that went on with
  // it made one more.
  RunSeed(2);
}

TEST_CASE("seeds drawn for this run") {
  const uint64_t first = testing::Seed();
  const int count = Number("MIMOSA_SOAK_SEEDS", 2);
  for (int i = 0; i < count; ++i) RunSeed(first + static_cast<uint64_t>(i));
}

}  // namespace
}  // namespace mimosa::soak
