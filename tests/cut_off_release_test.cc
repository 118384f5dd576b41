// Tests that no stream has events of two software versions if some daemons
// can't reach the store while engines of a new version replace the others, and
// the daemons that know of it are killed: daemons and engines as separate
// processes. Callers take their streams up at any daemon.
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "tests/versioned_site.h"

namespace mimosa::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kReleases = 3;
constexpr size_t kDaemons = 6;
// Of the daemons, the first ones are cut off from the store.
constexpr size_t kCutOff = 2;
constexpr int kDecodeEngines = 8;
constexpr int kPrefillEngines = 3;
constexpr milliseconds kCutBeforeRelease{1000};
// From the release to the kill of the daemons that know of it.
constexpr uint64_t kMinBeforeKillMs = 600;
constexpr uint64_t kMaxBeforeKillMs = 1500;
constexpr milliseconds kAway{2000};
constexpr milliseconds kCut{7000};
constexpr milliseconds kDrain = kCut - kCutBeforeRelease;
constexpr milliseconds kBetweenReleases{5000};

void Report(const std::string& what) {
  std::cout << "  " << UnixMillis() << " " << what << std::endl;
}

// Keeps the times of a series of steps, however long each of them takes.
class Schedule {
 public:
  // Sleeps until `duration` after the time at which the last step was due, the
  // construction at first.
  void SleepFor(milliseconds duration) {
    next_ += duration;
    std::this_thread::sleep_until(next_);
  }

 private:
  std::chrono::steady_clock::time_point next_ =
      std::chrono::steady_clock::now();
};

// Starts engines of `version`. The others drain.
void Release(VersionedSite* site, const std::string& version) {
  const size_t old_count = site->engines().size();
  for (int i = 0; i < kPrefillEngines; ++i)
    site->AddEngine(version + "-p" + std::to_string(i), "prefill", version);
  for (int i = 0; i < kDecodeEngines; ++i)
    site->AddEngine(version + "-d" + std::to_string(i), "decode", version);
  Json::Value draining;
  draining["draining"] = true;
  for (size_t i = 0; i < old_count; ++i)
    REQUIRE(
        PostJson(site->engines()[i]->port, "/debug/behave", draining).status ==
        200);
  Report(version + " is released");
}

// Ends the engines of other versions.
void EndOthers(VersionedSite* site, const std::string& version) {
  auto& engines = site->engines();
  for (auto it = engines.begin(); it != engines.end();) {
    if ((*it)->version == version) {
      ++it;
      continue;
    }
    (*it)->process->Terminate();
    (*it)->process->Wait();
    it = engines.erase(it);
  }
}

void PlayRelease(VersionedSite* site, const std::string& version) {
  Schedule schedule;
  for (size_t i = 0; i < kCutOff; ++i)
    site->daemon(i).store_proxy->SendCommand("mode cut");
  Report("two daemons are cut off from the store");
  schedule.SleepFor(kCutBeforeRelease);
  Release(site, version);
  const milliseconds before_kill(
      kMinBeforeKillMs +
      site->random().UniformInt(kMaxBeforeKillMs - kMinBeforeKillMs));
  schedule.SleepFor(before_kill);
  for (size_t i = kCutOff; i < kDaemons; ++i) site->daemon(i).process->Kill();
  Report("the other daemons are killed");
  schedule.SleepFor(kAway);
  for (size_t i = kCutOff; i < kDaemons; ++i) site->daemon(i).process->Start();
  Report("the other daemons are back");
  schedule.SleepFor(kDrain - before_kill - kAway);
  for (size_t i = 0; i < kCutOff; ++i)
    site->daemon(i).store_proxy->SendCommand("mode pass");
  Report("the store is reached again");
  EndOthers(site, version);
  schedule.SleepFor(kBetweenReleases);
}

TEST_CASE(
    "streams have one version while daemons cut off from the store outlive "
    "those that know of a release") {
  VersionedSite::Options options;
  options.daemons = static_cast<int>(kDaemons);
  options.decode_engines = kDecodeEngines;
  options.prefill_engines = kPrefillEngines;
  options.callers = 36;
  options.event_interval = milliseconds(83);
  options.deadline_ms = 14000;
  options.has_store_proxies = true;
  VersionedSite site(options);
  site.StartCallers();
  for (int i = 0; i < kReleases; ++i)
    PlayRelease(&site, "v" + std::to_string(i + 2));
  site.StopCallers();
  CheckStreams(&site, "releases unseen by two daemons");
}

}  // namespace
}  // namespace mimosa::testing
