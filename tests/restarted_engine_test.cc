// Tests that no stream has events of two software versions while engines are
// restarted under their ids at another version: daemons and engines as separate
// processes. The store lists the earlier process of a restarted engine for a
// while. Callers break streams off and take them up at any daemon, and all
// events that name another version than the first one of their stream count.
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>

#include "tests/versioned_site.h"

namespace mimosa::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kRestarts = 24;
// Between a restart and the next one.
constexpr milliseconds kRestartInterval{500};
// How long a restarted engine is away.
constexpr uint64_t kMinAwayMs = 20;
constexpr uint64_t kMaxAwayMs = 200;

// Restarts engines one after the other, each time at the other version. The
// store lists the new process up to `max_delay` after its start.
void RestartEngines(VersionedSite* site, milliseconds max_delay) {
  for (int i = 0; i < kRestarts; ++i) {
    VersionedSite::Engine& engine =
        *site->engines()[site->random().UniformInt(site->engines().size())];
    engine.process->Kill();
    std::this_thread::sleep_for(milliseconds(
        kMinAwayMs + site->random().UniformInt(kMaxAwayMs - kMinAwayMs)));
    const milliseconds delay(site->random().UniformInt(
        static_cast<uint64_t>(max_delay.count()) + 1));
    engine.version = engine.version == "v1" ? "v2" : "v1";
    std::cout << "  " << UnixMillis() << " " << engine.id << " starts at "
              << engine.version << ", to be listed after " << delay.count()
              << " ms" << std::endl;
    site->StartEngine(&engine, delay);
    std::this_thread::sleep_for(kRestartInterval);
  }
}

void PlayRestarts(const std::string& title, milliseconds max_delay) {
  VersionedSite site({});
  site.StartCallers();
  RestartEngines(&site, max_delay);
  site.StopCallers();
  CheckStreams(&site, title);
}

TEST_CASE("streams have one version while engines restart at another one") {
  PlayRestarts("listed at once", milliseconds(0));
}

TEST_CASE("streams have one version while restarted engines are listed late",
          "[late]") {
  PlayRestarts("listed up to 0.4 s late", milliseconds(400));
}

TEST_CASE("streams have one version while restarted engines are listed in 3 s",
          "[later]") {
  PlayRestarts("listed up to 3 s late", milliseconds(3000));
}

}  // namespace
}  // namespace mimosa::testing
