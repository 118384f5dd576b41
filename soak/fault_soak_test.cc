// Fault soak test: real daemons and stand-ins run as processes on loopback and
// serve callers while random faults, successive and overlapping, are injected.
// The observations of callers and backend servers are checked against the
// daemons' guarantees:
//   - each response belongs to its request, and a response that ends normally
//     is complete;
//   - all events of a stream, also of one that its caller takes up again, are
//     of one software version (every third seed has engines of two, and in
//     many seeds engines come back under their ids at another one);
//   - a request that must not be retried runs at most once;
//   - a request that was refused as not executed has not run;
//   - no engine that the daemons reach is at work on a stream for over 400 ms
//     after the stream went on at another engine, also if its caller took it
//     up;
//   - the retries of all daemons stay within the retry budget in every window;
//   - no backend server receives a caller's API key;
//   - no daemon exits unless the test stops it;
//   - once the faults end, every kind of request is served again, and no
//     memory, handles or reservations remain at the engines;
//   - a daemon that is stopped ends with code 0 within its grace time, also if
//     signals, restarts and changes overlap;
//   - planned maintenance alone truncates no request that has started, except a
//     stream that was sent before the daemon refuses streams and whose engine
//     is still at work at the end of the grace time; such a stream goes on at
//     another daemon;
//   - planned maintenance alone leaves no request without an answer that the
//     daemon had time to read.
//
// Among the faults are late copies of servers' responses, a store that comes
// back from an older copy, engines that fall silent or lose responses, servers
// that are killed while they send without framing, and engines that come back
// at another software version before the store lists them so.
//
//   MIMOSA_SEED            first seed (printed)
//   MIMOSA_SOAK_SEEDS      number of seeds, run one after the other
//   MIMOSA_SOAK_SECONDS    duration of the fault injection per seed
//   MIMOSA_SOAK_SCALE      fleet size; 1 is 10 servers and daemons
//   MIMOSA_SOAK_LOGS       folder that keeps the daemons' logs
#include <signal.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/random.h"
#include "soak/soak_callers.h"
#include "soak/soak_fleet.h"

namespace mimosa::soak {
namespace {

using std::chrono::milliseconds;

int IntFromEnvironment(const char* name, int default_value) {
  const char* const text = std::getenv(name);
  return text == nullptr ? default_value : std::atoi(text);
}

// Seeds the generator of limits and crashing prompts.
constexpr uint64_t kNeedsSeedOffset = 1U << 20;
// Seeds the generator of servers that reject or reset requests.
constexpr uint64_t kRejectionsSeedOffset = 1U << 23;
// Seeds the generator of late copies of responses and of a store that comes
// back from an older copy.
constexpr uint64_t kCopiesSeedOffset = 1U << 24;
// Seeds the generator of engines that fall silent or lose responses.
constexpr uint64_t kSilenceSeedOffset = 1U << 25;
// Seeds the generator of servers that are killed in the middle of responses
// without framing.
constexpr uint64_t kKillsSeedOffset = 1U << 26;
// Seeds the generator of engines that restart at another software version.
constexpr uint64_t kRestartsSeedOffset = uint64_t{1} << 40U;
// Seeds the generator of versions that daemons cut off from the store miss.
constexpr uint64_t kUnseenVersionsSeedOffset = uint64_t{1} << 41U;
// Ends the ids of requests that take a stream up.
constexpr char kTakeUpMark[] = "-again";
// Of the daemons' settings, which are the defaults.
constexpr testing::RetryBound kRetryBound{0.2, 50, 10000};
// Seeds the generator of series of signals and of slow streams.
constexpr uint64_t kSignalsSeedOffset = 1U << 22;

// An action at a given time after the start of the fault injection.
struct Step {
  int at_ms = 0;
  std::string description;
  std::function<void()> action;
};

// Draws a series of faults and maintenance actions from a seed and executes
// it. Every fourth seed has planned maintenance only. In every fifth of the
// others, engines fall silent and lose responses all the time, and daemons may
// retry from the beginning.
class FaultPlan {
 public:
  FaultPlan(Fleet* fleet, uint64_t seed, int length_ms)
      : fleet_(fleet),
        random_(seed),
        ends_random_(~seed),
        needs_random_(seed + kNeedsSeedOffset),
        signals_random_(seed + kSignalsSeedOffset),
        length_ms_(length_ms) {
    maintenance_only_ = seed % 4 == 0;
    needs_retries_ = !maintenance_only_ && seed % 5 == 0;
    const int faults = 4 + static_cast<int>(random_.UniformInt(6));
    for (int i = 0; i < faults; ++i) {
      if (maintenance_only_) {
        DrawMaintenance();
      } else {
        DrawStep();
      }
    }
    DrawResponseEnds();
    DrawNeeds();
    DrawSignals();
    DrawSlowStreams();
    DrawRejections(seed + kRejectionsSeedOffset);
    DrawCopies(seed + kCopiesSeedOffset);
    DrawSilence(seed + kSilenceSeedOffset);
    DrawKills(seed + kKillsSeedOffset);
    DrawRestarts(seed + kRestartsSeedOffset);
    DrawUnseenVersions(seed + kUnseenVersionsSeedOffset);
    std::stable_sort(
        steps_.begin(), steps_.end(),
        [](const Step& a, const Step& b) { return a.at_ms < b.at_ms; });
  }

  bool maintenance_only() const { return maintenance_only_; }
  // Whether the daemons should be able to retry before Execute().
  bool needs_retries() const { return needs_retries_; }
  // Whether engines restart at another software version.
  bool changes_versions() const { return changes_versions_; }

  // Whether the server was paused or had a faulty link between these times, by
  // the clock of NowMs().
  bool WasOutOfReach(const std::string& server, int64_t from_ms,
                     int64_t to_ms) const {
    const auto faults = faults_of_servers_.find(server);
    if (faults == faults_of_servers_.end()) return false;
    return std::any_of(faults->second.begin(), faults->second.end(),
                       [=](const auto& fault) {
                         return fault.first <= to_ms && fault.second >= from_ms;
                       });
  }

  // Whether the store is away for a while.
  bool takes_store_away() const { return takes_store_away_; }

  void Execute() {
    const auto start = Clock::now();
    auto step = steps_.begin();
    for (;;) {
      for (; step != steps_.end() &&
             Clock::now() >= start + milliseconds(step->at_ms);
           ++step) {
        std::cout << "  " << step->at_ms << " ms " << step->description
                  << std::endl;
        step->action();
        Supervise();
      }
      const bool stopping = Supervise();
      if (step == steps_.end() && !stopping &&
          Clock::now() >= start + milliseconds(length_ms_))
        return;
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

 private:
  // Returns whether a daemon is stopping.
  bool Supervise() {
    bool stopping = false;
    for (const auto& entry : fleet_->entry_processes()) {
      entry->Supervise();
      stopping = stopping || entry->stopping();
    }
    return stopping;
  }

  int DrawTime() { return static_cast<int>(random_.UniformInt(length_ms_)); }
  int DrawDuration() {
    return 200 + static_cast<int>(random_.UniformInt(2300));
  }
  template <typename T>
  T* DrawOne(std::vector<std::unique_ptr<T>>& all) {
    return all[random_.UniformInt(all.size())].get();
  }

  void AddStep(int at_ms, const std::string& description,
               std::function<void()> action) {
    steps_.push_back({at_ms, description, std::move(action)});
  }
  void AddSpan(const std::string& description, std::function<void()> begin,
               std::function<void()> end) {
    const int at = DrawTime();
    AddStep(at, description, std::move(begin));
    AddStep(at + DrawDuration(), "end of " + description, std::move(end));
  }

  // A fault because of which daemons don't reach the server.
  void AddSpanOutOfReach(const Server& server, const std::string& description,
                         const std::function<void()>& begin,
                         const std::function<void()>& end) {
    auto* const faults = &faults_of_servers_[server.id()];
    const auto index = std::make_shared<size_t>();
    AddSpan(
        description,
        [faults, index, begin] {
          *index = faults->size();
          faults->emplace_back(testing::NowMs(),
                               std::numeric_limits<int64_t>::max());
          begin();
        },
        [faults, index, end] {
          end();
          faults->at(*index).second = testing::NowMs();
        });
  }

  void DrawMaintenance() {
    Fleet* const fleet = fleet_;
    switch (random_.UniformInt(4)) {
      case 0: {
        EntryProcess* const entry = DrawOne(fleet->entry_processes());
        const int at = DrawTime();
        AddStep(at, "daemon shuts down and restarts",
                [entry] { entry->Stop(); });
        return;
      }
      case 1: {
        Server* const server = DrawOne(fleet->servers());
        AddSpan(
            server->id() + " drains",
            [server] { server->SetBehavior("draining", true); },
            [server] { server->SetBehavior("draining", false); });
        return;
      }
      case 2: {
        EntryProcess* const entry = DrawOne(fleet->entry_processes());
        AddStep(DrawTime(), "daemon reloads", [entry] { entry->Reload(); });
        return;
      }
      default:
        AddStep(DrawTime(), "new configuration",
                [fleet] { fleet->WriteConfig(); });
    }
  }

  void DrawStep() {
    if (random_.UniformInt(5) == 0) {
      DrawMaintenance();
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
    EntryProcess* const entry = DrawOne(fleet_->entry_processes());
    if (random_.UniformInt(2) == 0) {
      AddSpan(
          "daemon killed", [entry] { entry->Kill(); },
          [entry] { entry->StartIfDown(); });
    } else {
      AddSpan(
          "daemon paused", [entry] { entry->Pause(); },
          [entry] { entry->Resume(); });
    }
  }

  void DrawServerFault() {
    Fleet* const fleet = fleet_;
    Server* const server = DrawOne(fleet->servers());
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
        AddSpanOutOfReach(
            *server, server->id() + " paused",
            [server] { server->process().Pause(); },
            [server] { server->process().Resume(); });
        return;
      case 2:
        AddStep(DrawTime(), server->id() + " aborts runs",
                [server, runs] { server->SetBehavior("abort_runs", runs); });
        return;
      default:
        AddSpan(
            server->id() + " is slow",
            [server, delay] { server->SetBehavior("delay_ms", delay); },
            [server] { server->SetBehavior("delay_ms", 0); });
    }
  }

  // Servers whose streams have no framing for a while, and abort runs meanwhile
  // unless there is only maintenance. Drawn by a generator of its own, so that
  // seeds play the other steps as they did before this kind existed.
  void DrawResponseEnds() {
    for (uint64_t i = ends_random_.UniformInt(3); i > 0; --i) {
      Server* const server =
          fleet_->servers()[ends_random_.UniformInt(fleet_->servers().size())]
              .get();
      const auto at = static_cast<int>(ends_random_.UniformInt(length_ms_));
      const auto duration =
          500 + static_cast<int>(ends_random_.UniformInt(3000));
      AddStep(at, server->id() + " sends streams without framing",
              [server] { server->SetBehavior("unframed", true); });
      AddStep(at + duration, "end of streams without framing",
              [server] { server->SetBehavior("unframed", false); });
      if (maintenance_only_) continue;
      const int pause = 600 + static_cast<int>(ends_random_.UniformInt(1500));
      AddStep(at + duration, server->id() + " asks for a pause",
              [server, pause] { server->SetBehavior("pause_ms", pause); });
      AddStep(at + duration / 2, server->id() + " aborts runs",
              [server] { server->SetBehavior("abort_runs", 2); });
    }
  }

  // Servers that name limits, and servers that a part of some callers' prompts,
  // or a request that they repeat, crashes from some time on. Drawn by a
  // generator of its own, too.
  void DrawNeeds() {
    const auto& servers = fleet_->servers();
    for (uint64_t i = needs_random_.UniformInt(4); i > 0; --i) {
      Server* const server =
          servers[needs_random_.UniformInt(servers.size())].get();
      const auto at = static_cast<int>(needs_random_.UniformInt(length_ms_));
      const auto duration =
          500 + static_cast<int>(needs_random_.UniformInt(3000));
      const auto limit = static_cast<int>(needs_random_.UniformInt(20));
      AddStep(at, server->id() + " names a limit",
              [server, limit] { server->SetBehavior("limit", limit); });
      AddStep(at + duration, server->id() + " names no limit",
              [server] { server->SetBehavior("limit", -1); });
    }
    if (maintenance_only_ || needs_random_.UniformInt(2) == 0) return;
    const auto at = static_cast<int>(needs_random_.UniformInt(length_ms_ / 2));
    AddStep(at, "prompts and repeated requests crash servers", [this] {
      for (const auto& server : fleet_->servers()) {
        if (server->is_engine()) {
          server->SetBehavior("crash_part", kCrashingPart);
        } else {
          server->SetBehavior("crash_target", kCrashingTarget);
        }
      }
    });
  }

  // Series of signals, restarts and changes that overlap. Drawn by a generator
  // of its own, too.
  void DrawSignals() {
    const auto draw = [this](uint64_t below) {
      return static_cast<int>(signals_random_.UniformInt(below));
    };
    Fleet* const fleet = fleet_;
    for (int i = 2 + draw(3); i > 0; --i) {
      const int at = draw(length_ms_);
      auto& entries = fleet->entry_processes();
      EntryProcess* const entry = entries[draw(entries.size())].get();
      const auto stop = [entry] { entry->Stop(); };
      switch (draw(7)) {
        case 0:
          for (const auto& one : entries) {
            if (draw(3) == 0) continue;
            AddStep(at + draw(400), "daemons stop together",
                    [one = one.get()] { one->Stop(); });
          }
          break;
        case 1:
          AddStep(at, "daemon stops", stop);
          AddStep(at + draw(4000), "SIGTERM again", stop);
          break;
        case 2:
          AddStep(at, "daemon stops", stop);
          AddStep(at + draw(4000), "SIGHUP while leaving",
                  [entry] { entry->Reload(); });
          break;
        case 3:
          AddStep(at, "SIGTERM during a reload", [entry] {
            entry->Reload();
            entry->Stop();
          });
          break;
        case 4: {
          const milliseconds delay(draw(400));
          AddStep(at, "daemon stops, and again while it starts",
                  [entry, delay] { entry->StopAgainAfterStart(delay); });
          break;
        }
        case 5:
          AddStep(at, "daemon stops", stop);
          for (int j = 0; j < 4; ++j) {
            AddStep(at + draw(4000), "new configuration meanwhile",
                    [fleet] { fleet->WriteConfig(); });
          }
          break;
        default:
          takes_store_away_ = true;
          AddStep(at - draw(500), "store away",
                  [fleet] { SetStoreOutage(fleet, true); });
          AddStep(at, "daemon stops", stop);
          AddStep(at + draw(4000), "store back",
                  [fleet] { SetStoreOutage(fleet, false); });
      }
    }
  }

  // Engines that are slow for a moment, as seen from the callers of streams.
  void DrawSlowStreams() {
    const auto& servers = fleet_->servers();
    for (uint64_t i = signals_random_.UniformInt(3); i > 0; --i) {
      Server* const server =
          servers[signals_random_.UniformInt(servers.size())].get();
      const auto at = static_cast<int>(signals_random_.UniformInt(length_ms_));
      const int gap = 200 + static_cast<int>(signals_random_.UniformInt(600));
      AddStep(at, server->id() + " streams slowly",
              [server, gap] { server->SetBehavior("gap_ms", gap); });
      AddStep(at + 1200, server->id() + " streams as before", [server] {
        server->SetBehavior("gap_ms", Json::Int64(kEventInterval.count()));
      });
    }
  }

  // Most servers of both services reject or reset most requests for a while.
  // Drawn by a generator of its own, too.
  void DrawRejections(uint64_t seed) {
    SeededRandom random(seed);
    if (maintenance_only_ || random.UniformInt(2) == 0) return;
    const auto at = static_cast<int>(random.UniformInt(length_ms_));
    const auto duration = 1000 + static_cast<int>(random.UniformInt(4000));
    const char* const how =
        random.UniformInt(2) == 0 ? "reject_percent" : "reset_percent";
    for (const auto& server : fleet_->servers()) {
      const auto percent = static_cast<int>(50 + random.UniformInt(50));
      if (random.UniformInt(5) == 0) continue;
      AddStep(at, server->id() + " has " + how + " " + std::to_string(percent),
              [server = server.get(), how, percent] {
                server->SetBehavior(how, percent);
              });
      AddStep(at + duration, server->id() + " serves all again",
              [server = server.get(), how] { server->SetBehavior(how, 0); });
    }
  }

  // Responses of servers that arrive again late, and a store that comes back
  // from an older copy, after which the operator writes again. Drawn by a
  // generator of its own, too.
  void DrawCopies(uint64_t seed) {
    SeededRandom random(seed);
    if (maintenance_only_) return;
    Fleet* const fleet = fleet_;
    if (random.UniformInt(3) != 0) {
      const auto at = static_cast<int>(random.UniformInt(length_ms_));
      const auto duration = 1000 + static_cast<int>(random.UniformInt(5000));
      const bool has_id = random.UniformInt(2) == 0;
      const std::string percent = std::to_string(1 + random.UniformInt(60));
      AddStep(at, percent + " % of responses come again late", [=] {
        for (const auto& server : fleet->servers()) {
          server->SetBehavior("id_in_rejections", has_id);
          server->proxy().SendCommand("set repeat_percent " + percent);
        }
      });
      AddStep(at + duration, "no response comes again", [fleet] {
        for (const auto& server : fleet->servers())
          server->proxy().SendCommand("set repeat_percent -1");
      });
    }
    if (random.UniformInt(2) == 0) return;
    const auto at = static_cast<int>(random.UniformInt(length_ms_));
    const auto age = 500 + static_cast<int>(random.UniformInt(3000));
    const auto away = 100 + static_cast<int>(random.UniformInt(1500));
    const auto control = [fleet](const char* name, bool value) {
      Json::Value members;
      members[name] = value;
      fleet->store().SetBehavior(members, "/debug/control");
    };
    AddStep(at, "store copied", [=] { control("save_copy", true); });
    AddStep(at + age, "store away", [=] { control("outage", true); });
    AddStep(at + age + away, "store back from the copy", [=] {
      control("restore_copy", true);
      fleet->WriteConfig();
      control("outage", false);
    });
  }

  // Engines that preempt runs in the middle of their streams, or lose their
  // responses. Drawn by a generator of its own, too.
  void DrawSilence(uint64_t seed) {
    SeededRandom random(seed);
    if (maintenance_only_) return;
    Fleet* const fleet = fleet_;
    const auto draw = [&random](uint64_t below) {
      return static_cast<int>(random.UniformInt(below));
    };
    for (const char* how : {"preempt_percent", "lose_percent"}) {
      const bool is_left_out = draw(4) == 0;
      if (is_left_out && !needs_retries_) continue;
      const int at = needs_retries_ ? 0 : draw(length_ms_);
      const int duration = needs_retries_ ? length_ms_ : 1000 + draw(4000);
      const int percent = 10 + draw(40);
      const int silence = 400 + draw(2500);
      AddStep(at,
              std::string("engines have ") + how + " " +
                  std::to_string(percent) + " for " + std::to_string(silence) +
                  " ms",
              [=] {
                for (const auto& server : fleet->servers()) {
                  server->SetBehavior("preempt_ms", silence);
                  server->SetBehavior(how, percent);
                }
              });
      AddStep(at + duration, std::string("engines have no ") + how, [=] {
        for (const auto& server : fleet->servers()) server->SetBehavior(how, 0);
      });
    }
  }

  // Servers that send without framing and are killed meanwhile, several times
  // in a row. Each time they are back under their ids at once, or after a
  // while. Drawn by a generator of its own, too.
  void DrawKills(uint64_t seed) {
    SeededRandom random(seed);
    if (maintenance_only_) return;
    const auto draw = [&random](uint64_t below) {
      return static_cast<int>(random.UniformInt(below));
    };
    for (int i = draw(4); i > 0; --i) {
      Server* const server =
          fleet_->servers()[draw(fleet_->servers().size())].get();
      int at = draw(length_ms_);
      AddStep(at, server->id() + " sends without framing",
              [server] { server->SetBehavior("unframed", true); });
      for (int j = 1 + draw(3); j > 0; --j) {
        at += 200 + draw(1000);
        AddStep(at, server->id() + " killed without framing",
                [server] { server->Kill(); });
        if (draw(2) == 0) at += 100 + draw(1500);
        AddStep(at, server->id() + " back without framing",
                [server] { server->StartUnframed(); });
      }
      AddStep(at + 200 + draw(1000), server->id() + " sends with framing",
              [server] { server->SetBehavior("unframed", false); });
    }
  }

  // Engines that are killed and come back under their ids at the other software
  // version, several times in a row, some as the store goes away. The store
  // lists the earlier processes for a while, and engines may withhold reports.
  // Drawn by a generator of its own, too.
  void DrawRestarts(uint64_t seed) {
    constexpr std::array<int, 3> kMaxDelaysMs = {0, 400, 3000};
    SeededRandom random(seed);
    changes_versions_ = !maintenance_only_ && random.UniformInt(3) != 0;
    if (!changes_versions_) return;
    const auto draw = [&random](uint64_t below) {
      return static_cast<int>(random.UniformInt(below));
    };
    std::vector<Server*> engines;
    for (const auto& server : fleet_->servers())
      if (server->is_engine()) engines.push_back(server.get());
    std::vector<int> outages;
    for (const Step& step : steps_)
      if (step.description == "store down" || step.description == "store away")
        outages.push_back(step.at_ms);
    const int engines_of_scale_1 = 5;
    const int series =
        (2 + draw(3)) * static_cast<int>(engines.size()) / engines_of_scale_1;
    for (int i = 0; i < series; ++i) {
      Server* const engine = engines[draw(engines.size())];
      const int max_delay = kMaxDelaysMs[draw(kMaxDelaysMs.size())];
      int at = draw(length_ms_);
      if (!outages.empty() && draw(2) == 0) at = outages[draw(outages.size())];
      for (int j = 1 + draw(4); j > 0; --j) {
        const milliseconds delay(draw(max_delay + 1));
        AddStep(at, engine->id() + " killed before it changes its version",
                [engine] { engine->Kill(); });
        at += draw(8) == 0 ? 200 + draw(1500) : 20 + draw(180);
        AddStep(at,
                engine->id() + " back at the other version, listed after " +
                    std::to_string(delay.count()) + " ms",
                [this, engine, delay] {
                  engine->StartAtOtherVersion(delay, withheld_reports_);
                });
        at += 200 + draw(1200);
      }
    }
    if (draw(2) == 0) return;
    const char* const how =
        draw(2) == 0 ? "lose_reports_percent" : "reject_reports_percent";
    const int percent = 20 + draw(81);
    const int at = draw(length_ms_);
    const auto withhold = [this, engines, how](int share) {
      withheld_reports_[how] = share;
      for (Server* const engine : engines) engine->SetBehavior(how, share);
    };
    AddStep(at,
            std::string("engines have ") + how + " " + std::to_string(percent),
            [withhold, percent] { withhold(percent); });
    AddStep(at + 1000 + draw(4000), std::string("engines have no ") + how,
            [withhold] { withhold(0); });
  }

  // Some daemons can't reach the store while engines come back at the other
  // software version, and the daemons that know of it are killed. Drawn by a
  // generator of its own, too.
  void DrawUnseenVersions(uint64_t seed) {
    SeededRandom random(seed);
    if (!changes_versions_ || random.UniformInt(2) == 0) return;
    const auto draw = [&random](uint64_t below) {
      return static_cast<int>(random.UniformInt(below));
    };
    auto& entries = fleet_->entry_processes();
    const auto cut_off = 1 + random.UniformInt(entries.size() - 1);
    const int at = draw(length_ms_);
    for (size_t i = 0; i < entries.size(); ++i) {
      EntryProcess* const entry = entries[i].get();
      if (i < cut_off) {
        AddStep(at, "daemon loses the store",
                [entry] { entry->store_proxy().SendCommand("mode cut"); });
        AddStep(at + 3000 + draw(4000), "daemon reaches the store again",
                [entry] { entry->store_proxy().SendCommand("reset"); });
      } else {
        const int killed_at = at + 1000 + draw(1500);
        AddStep(killed_at, "daemon that knows the versions killed",
                [entry] { entry->Kill(); });
        AddStep(killed_at + 300 + draw(1700), "daemon back",
                [entry] { entry->StartIfDown(); });
      }
    }
    for (const auto& server : fleet_->servers()) {
      if (!server->is_engine() || draw(2) == 0) continue;
      const int killed_at = at + 300 + draw(300);
      AddStep(killed_at, server->id() + " killed before it changes its version",
              [server = server.get()] { server->Kill(); });
      AddStep(killed_at + 50, server->id() + " back at the other version",
              [this, server = server.get()] {
                server->StartAtOtherVersion(milliseconds(0), withheld_reports_);
              });
    }
  }

  static void SetStoreOutage(Fleet* fleet, bool outage) {
    Json::Value members;
    members["outage"] = outage;
    fleet->store().SetBehavior(members, "/debug/control");
  }

  void DrawLinkFault() {
    const bool to_store = random_.UniformInt(3) == 0;
    EntryProcess* const entry =
        to_store ? DrawOne(fleet_->entry_processes()) : nullptr;
    Server* const server = to_store ? nullptr : DrawOne(fleet_->servers());
    testing::Proxy* const proxy =
        to_store ? &entry->store_proxy() : &server->proxy();
    const std::vector<std::string> faults = {
        "mode cut",         "mode blackhole",          "set delay_ms 150",
        "set drop_nth 2",   "set cut_after_down 120",  "set cut_after_up 300",
        "set jitter_ms 90", "set half_close_down 200", "set drop_percent 30"};
    const std::string& fault = faults[random_.UniformInt(faults.size())];
    const std::string description =
        std::string(to_store ? "link to the store: " : "link to a server: ") +
        fault;
    const auto begin = [proxy, fault] { proxy->SendCommand(fault); };
    const auto end = [proxy] { proxy->SendCommand("reset"); };
    if (to_store) {
      AddSpan(description, begin, end);
    } else {
      AddSpanOutOfReach(*server, description, begin, end);
    }
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
        AddStep(DrawTime(), "store compacts its history and loses replies",
                [control] {
                  control("compact", true);
                  control("lose_replies", 2);
                });
    }
  }

  Fleet* const fleet_;
  SeededRandom random_;
  SeededRandom ends_random_;
  SeededRandom needs_random_;
  SeededRandom signals_random_;
  const int length_ms_;
  bool maintenance_only_ = false;
  bool takes_store_away_ = false;
  bool needs_retries_ = false;
  bool changes_versions_ = false;
  // What restarted engines behave like.
  Json::Value withheld_reports_{Json::objectValue};
  // Begins and ends of the times in which daemons may not reach a server.
  std::map<std::string, std::vector<std::pair<int64_t, int64_t>>>
      faults_of_servers_;
  std::vector<Step> steps_;
};

// Returns whether the response promises that the request has not been executed.
bool PromisesNotExecuted(const Outcome& outcome) {
  return !outcome.has_seal && (outcome.status == 408 || outcome.status == 421 ||
                               outcome.status == 429 || outcome.status == 503);
}

// Returns whether the daemon that took the request was stopped, and the engine
// of the stream was still at work in the last sixth of the grace time, on a
// request that was sent no later than three seconds after SIGTERM.
bool OutlastsGraceTime(const Fleet& fleet, const Outcome& outcome) {
  constexpr milliseconds kStreamsUntil{3000};
  constexpr milliseconds kEndSlack{1000};
  if (outcome.events == 0 || outcome.status != 200 || outcome.has_all_events)
    return false;
  for (const auto& entry : fleet.entry_processes()) {
    if (entry->port() != outcome.port) continue;
    for (const Clock::time_point stop : entry->stops()) {
      if (outcome.sent <= stop + kStreamsUntil &&
          outcome.last_data >= stop + kGraceTime * 5 / 6 &&
          outcome.end <= stop + kGraceTime + kEndSlack)
        return true;
    }
  }
  return false;
}

// Describes when the request was sent and ended, as seen from the SIGTERM
// before its end.
std::string DescribeTimes(const Fleet& fleet, const Outcome& outcome) {
  const auto text = [](Clock::duration duration) {
    return std::to_string(
               std::chrono::duration_cast<milliseconds>(duration).count()) +
           " ms";
  };
  std::string times = "took " + text(outcome.end - outcome.sent);
  for (const auto& entry : fleet.entry_processes()) {
    if (entry->port() != outcome.port) continue;
    for (const Clock::time_point stop : entry->stops()) {
      if (outcome.end < stop) continue;
      times += "; SIGTERM: sent " + text(outcome.sent - stop) + ", ended " +
               text(outcome.end - stop) + " after it";
    }
  }
  return times;
}

void CheckRuns(Fleet* fleet, const std::vector<Outcome>& outcomes,
               bool maintenance_only) {
  // A request that the daemon can't have read before it closed the connection.
  constexpr milliseconds kUnreadSlack{200};
  std::map<std::string, int64_t> runs;
  for (auto& server : fleet->servers()) {
    server->Kill();  // collects the runs since the last start
    for (const auto& [id, count] : server->runs()) runs[id] += count;
    CHECK(server->requests_with_api_key() == 0);
  }
  int served = 0;
  int outlasting = 0;
  for (const Outcome& outcome : outcomes) {
    const auto run = runs.find(outcome.id);
    const int64_t count = run == runs.end() ? 0 : run->second;
    served += outcome.status == 200 && outcome.complete ? 1 : 0;
    INFO(outcome.kind << " " << outcome.id << ": " << outcome.status
                      << (outcome.complete ? " complete" : " incomplete")
                      << ", ran " << count << " times, " << outcome.events
                      << " events, " << DescribeTimes(*fleet, outcome));
    if (outcome.kind == "book" || outcome.kind == "letter") CHECK(count <= 1);
    if (PromisesNotExecuted(outcome)) CHECK(count == 0);
    if (!maintenance_only) continue;
    if (count > 0 && OutlastsGraceTime(*fleet, outcome)) {
      ++outlasting;
    } else if (count > 0) {
      CHECK(outcome.complete);
    } else if (!outcome.behind_end &&
               outcome.end - outcome.sent > kUnreadSlack) {
      CHECK(outcome.complete);
    }
  }
  std::cout << "  " << outcomes.size() << " requests, " << served << " served, "
            << outlasting << " outlasted a daemon" << std::endl;
  CHECK(served > 0);
}

// Compares the retries at the servers of each service with the callers'
// requests for it. Requests that no caller has recorded count when they
// arrived.
void CheckRetries(const Fleet& fleet, const std::vector<Outcome>& outcomes) {
  const auto now = Clock::now();
  const int64_t now_ms = testing::NowMs();
  for (const bool is_model : {true, false}) {
    std::vector<testing::Arrival> arrivals;
    for (const auto& server : fleet.servers()) {
      if (server->is_engine() != is_model) continue;
      arrivals.insert(arrivals.end(), server->arrivals().begin(),
                      server->arrivals().end());
    }
    std::map<std::string, int64_t> requests;
    for (const testing::Arrival& arrival : arrivals) {
      const auto [it, is_new] = requests.emplace(arrival.request, arrival.ms);
      it->second = std::min(it->second, arrival.ms);
    }
    for (const Outcome& outcome : outcomes) {
      const bool is_model_request =
          outcome.kind == "letter" || outcome.kind == "note";
      if (is_model_request != is_model) continue;
      requests[outcome.id] =
          now_ms -
          std::chrono::duration_cast<milliseconds>(now - outcome.sent).count();
    }
    std::vector<int64_t> sent;
    sent.reserve(requests.size());
    for (const auto& [id, ms] : requests) sent.push_back(ms);
    std::cout << "  " << (is_model ? "engines" : "plain servers") << ": "
              << testing::FindRetries(arrivals).size() << " retries"
              << std::endl;
    CHECK(testing::FindExcessRetries(sent, arrivals, kRetryBound) == "");
  }
}

// Returns the lines of the daemons' logs that name the request, or one that
// takes up its stream. The clock of spans is that of NowMs(); the first line
// says how far that of the logs is ahead.
std::string ReadLogLines(const Fleet& fleet, const std::string& request) {
  const int64_t unix_ms =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::string found =
      "logs are " + std::to_string(unix_ms - testing::NowMs()) + " ms ahead\n";
  for (const auto& entry : fleet.entry_processes()) {
    std::istringstream output(entry->Output());
    for (std::string line; std::getline(output, line);)
      if (line.find('"' + request + '"') != std::string::npos ||
          line.find('"' + request + kTakeUpMark) != std::string::npos)
        found += line + "\n";
  }
  return found;
}

// Checks that no engine worked on a stream for long that had gone on at another
// engine. Counts as one request with those that take up its stream.
void CheckOverlaps(const Fleet& fleet, const FaultPlan& plan) {
  std::vector<testing::RunSpan> spans;
  for (const auto& server : fleet.servers())
    for (testing::RunSpan span : server->spans()) {
      span.request.resize(
          std::min(span.request.size(), span.request.find(kTakeUpMark)));
      spans.push_back(std::move(span));
    }
  int excused = 0;
  for (const testing::RunOverlap& overlap : testing::FindOverlaps(spans)) {
    if (plan.WasOutOfReach(overlap.earlier.server, overlap.earlier.begin_ms,
                           overlap.earlier.end_ms)) {
      ++excused;
      continue;
    }
    INFO(overlap.Describe());
    INFO(ReadLogLines(fleet, overlap.earlier.request));
    CHECK(overlap.later.server.empty());
  }
  std::cout << "  " << excused << " overlaps at engines out of reach"
            << std::endl;
}

// Appends the daemons' logs to files in MIMOSA_SOAK_LOGS, if that is set.
void KeepLogs(const Fleet& fleet, uint64_t seed) {
  const char* const folder = std::getenv("MIMOSA_SOAK_LOGS");
  if (folder == nullptr) return;
  for (const auto& entry : fleet.entry_processes()) {
    std::ofstream(std::string(folder) + "/" + std::to_string(seed) + "-" +
                  std::to_string(entry->port()) + ".log")
        << entry->Output();
  }
}

void RunSeed(uint64_t seed) {
  const int scale = IntFromEnvironment("MIMOSA_SOAK_SCALE", 1);
  std::cout << "soak seed " << seed << std::endl;
  INFO("soak seed " << seed);
  Fleet fleet(scale, /*mixed_versions=*/seed % 3 == 0);
  FaultPlan plan(&fleet, seed,
                 IntFromEnvironment("MIMOSA_SOAK_SECONDS", 6) * 1000);
  if (plan.needs_retries()) fleet.AwaitRetryShares();
  std::vector<uint16_t> ports;
  for (const auto& entry : fleet.entry_processes())
    ports.push_back(entry->port());
  Callers callers(ports, seed, 16 * scale, plan.changes_versions());
  plan.Execute();
  for (const auto& entry : fleet.entry_processes()) {
    // A killed daemon is restarted by a step of the plan or by the recovery
    // below. No daemon may have exited by itself.
    if (entry->running()) continue;
    const int code = entry->Wait();
    INFO("a daemon exited with code " << code);
    CHECK(code == -SIGKILL);
  }
  fleet.ClearFaults();
  CHECK(testing::Eventually([&] { return fleet.ServesAllKinds(); }));
  callers.Stop();
  std::cout << "  " << callers.taken_up() << " streams taken up, "
            << callers.went_on() << " of them went on" << std::endl;
  for (const auto& entry : fleet.entry_processes()) {
    for (const std::string& failure : entry->failed_stops()) {
      INFO("a stopped daemon " << failure);
      CHECK(failure.empty());
    }
  }
  if (plan.maintenance_only() && !plan.takes_store_away()) {
    for (const std::string& stream : callers.lost_streams()) {
      INFO("a stream goes on nowhere: " << stream);
      CHECK(stream.empty());
    }
  }
  for (const std::string& violation : callers.invalid_responses()) {
    INFO(violation);
    CHECK(violation.empty());
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
  CheckRuns(&fleet, callers.outcomes(), plan.maintenance_only());
  CheckRetries(fleet, callers.outcomes());
  CheckOverlaps(fleet, plan);
  KeepLogs(fleet, seed);
}

// Regression test for seeds that found a fault.
TEST_CASE("seeds that failed before keep all guarantees") {
  // A run was aborted after its last event, and the stand-in that resumed the
  // run sent one event too many.
  RunSeed(2);
  // A request that was read behind another one got no answer after SIGTERM.
  RunSeed(4);
  // The fault proxy passed data on behind a gap.
  RunSeed(70021);
}

// The same for a seed that waits until daemons may retry.
TEST_CASE("silent engines keep all guarantees", "[silence]") {
  // A silent run was restored after its request had been sent to another
  // engine.
  RunSeed(95165);
}

TEST_CASE("newly drawn seeds keep all guarantees") {
  const uint64_t first = testing::Seed();
  const int count = IntFromEnvironment("MIMOSA_SOAK_SEEDS", 2);
  for (int i = 0; i < count; ++i) RunSeed(first + static_cast<uint64_t>(i));
}

}  // namespace
}  // namespace mimosa::soak
