// Tests of the speeds of engines: what one slow moment, a lasting change, a
// restart, lost and repeated reports do to them, and how a fleet of daemons
// with old views uses them.
#include "decide/engine_speeds.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "decide/back_end_selector.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BackEndEntry Engine(int number, int64_t incarnation = 1) {
  BackEndEntry entry;
  entry.id = BackEndId("e" + std::to_string(number));
  entry.service = ServiceId("s");
  entry.role = EngineRole::kPrefill;
  entry.zone = FailureDomain("z");
  entry.slots = 48;
  entry.incarnation = incarnation;
  return entry;
}

double TrueSpeed(int engine) { return engine % 3 == 2 ? 1.7 : 0.7; }

// Daemons that measure engines of 33 tokens per millisecond times their speed
// and report to an aggregator.
struct SpeedFixture {
  static constexpr int kEngines = 9;
  SpeedFixture() {
    for (int i = 0; i < kEngines; ++i) list.Put(Engine(i), now);
  }

  void Prefill(int engine, double speed, double slow = 1) {
    meter.RecordPrefill(Engine(engine), Tokens(3000),
                        FromSeconds(0.091 / speed * slow), true, now);
  }
  void Report() {
    now += milliseconds(200);
    ++serial;
    estimates.AddReport("d", 1, serial, meter.RecentSums(serial, 32, now), now);
  }
  // Each engine is measured `count` times. A share of 0.15 is taken in moments
  // 2.5 times as slow.
  void MeasureAll(int count) {
    for (int n = 0; n < count; ++n) {
      for (int i = 0; i < kEngines; ++i)
        Prefill(i, TrueSpeed(i), random.UniformDouble() < 0.15 ? 2.5 : 1);
      Report();
    }
  }
  double SpeedOf(int engine) {
    const auto speeds = estimates.Speeds(list, now, &changes);
    const auto found = speeds.find(Engine(engine).id);
    return found == speeds.end() ? 1 : found->second.prefill;
  }

  MonoTime now = MonoTime(seconds(1000));
  SeededRandom random{3};
  BackEndList list;
  EngineSpeedMeter meter;
  EngineSpeedEstimates estimates;
  std::vector<EngineSpeedEstimates::ClassChange> changes;
  uint64_t serial = 0;
};

TEST_CASE_METHOD(SpeedFixture, "speeds are learned in spite of slow moments") {
  MeasureAll(5);
  CHECK(SpeedOf(2) == 1);  // too few measurements
  MeasureAll(40);
  for (int i = 0; i < kEngines; ++i) {
    INFO("engine " << i);
    CHECK(SpeedOf(i) == Approx(TrueSpeed(i) / 0.7).epsilon(0.25));
  }
  CHECK(SpeedOf(2) > 2 * SpeedOf(0));
}

TEST_CASE_METHOD(SpeedFixture,
                 "a slow moment changes nothing, a lasting change does") {
  MeasureAll(40);
  const double before = SpeedOf(2);
  changes.clear();
  for (int n = 0; n < 3; ++n) Prefill(2, 1.7, 2.5);
  Report();
  CHECK(SpeedOf(2) > 0.85 * before);
  CHECK(changes.empty());
  for (int n = 0; n < 30; ++n) {
    Prefill(2, 1.7, 4);
    Report();
  }
  CHECK(SpeedOf(2) < 0.75);
  REQUIRE(changes.size() == 1);
  CHECK(std::string(changes[0].speed_class) == "slower");
}

TEST_CASE_METHOD(SpeedFixture, "engines that hardly differ are alike") {
  for (int n = 0; n < 40; ++n) {
    for (int i = 0; i < kEngines; ++i) Prefill(i, 1 + 0.02 * (i % 5));
    Report();
  }
  for (int i = 0; i < kEngines; ++i) CHECK(SpeedOf(i) == 1);
}

TEST_CASE_METHOD(SpeedFixture, "lost and repeated reports change nothing") {
  EngineSpeedEstimates others;
  for (int n = 0; n < 40; ++n) {
    for (int i = 0; i < kEngines; ++i) Prefill(i, TrueSpeed(i));
    Report();
    const auto sums = meter.RecentSums(serial, 32, now);
    if (n % 3 == 0) continue;  // lost on the way to the other one
    for (int repeats = 0; repeats < 3; ++repeats)
      others.AddReport("d", 1, serial, sums, now);
    others.AddReport("d", 1, serial - 1, {}, now);  // overtaken
  }
  const auto speeds = others.Speeds(list, now, &changes);
  REQUIRE(speeds.size() == kEngines);
  for (int i = 0; i < kEngines; ++i)
    CHECK(speeds.at(Engine(i).id).prefill == Approx(SpeedOf(i)).epsilon(0.05));
}

TEST_CASE_METHOD(SpeedFixture, "a new incarnation starts without a speed") {
  MeasureAll(40);
  CHECK(SpeedOf(2) > 1.5);
  list.Put(Engine(2, 2), now);
  CHECK(SpeedOf(2) == 1);
  now += seconds(70);
  CHECK(SpeedOf(5) == 1);  // measured too long ago
}

TEST_CASE_METHOD(SpeedFixture, "implausible sums and speeds are dropped") {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double log_sum : {nan, 1e300, -1e300, HUGE_VAL}) {
    EngineSpeedSums sums;
    sums.prefill = {10, log_sum};
    CHECK_FALSE(IsPlausible(sums));
    estimates.AddReport("d", 1, ++serial, {{Engine(0).id, sums}}, now);
  }
  EngineSpeedSums negative;
  negative.decode.samples = -3;
  CHECK_FALSE(IsPlausible(negative));
  CHECK(SpeedOf(0) == 1);
  EngineSpeedView view;
  for (const double speed : {nan, 0.0, -1.0, 1e9}) {
    view.Merge(Engine(0).id, {1, speed, 1, now});
    view.Merge(Engine(0).id, {1, 1, speed, now});
  }
  CHECK(view.speeds().empty());
}

TEST_CASE("the newest speed counts, in whatever order it comes") {
  const MonoTime now(seconds(100));
  const EngineSpeed older = {1, 0.5, 1, now};
  const EngineSpeed newer = {1, 2, 1, now + seconds(1)};
  EngineSpeedView a;
  a.Merge(Engine(0).id, older);
  a.Merge(Engine(0).id, newer);
  EngineSpeedView b;
  b.Merge(Engine(0).id, newer);
  b.Merge(Engine(0).id, older);
  b.Merge(Engine(0).id, newer);
  for (const EngineSpeedView* view : {&a, &b}) {
    REQUIRE(view->Find(Engine(0)) != nullptr);
    CHECK(view->Find(Engine(0))->prefill == 2);
    CHECK(view->Find(Engine(0, 2)) == nullptr);
  }
}

// 80 daemons that learn of each other's calls every 0.8 s send 73 prompts a
// second to 18 prefill engines, of which `fast` are fast. Returns the times of
// the prefills in milliseconds, sorted.
std::vector<double> RunPrefills(int fast, bool know_speeds) {
  constexpr int kDaemons = 80;
  constexpr int kEngines = 18;
  constexpr int kPrompt = 3000;
  SeededRandom random{11};
  BackEndList list;
  const MonoTime start(seconds(1000));
  for (int i = 0; i < kEngines; ++i) list.Put(Engine(i), start);
  std::vector<std::unique_ptr<BackEndSelector>> daemons;
  for (int d = 0; d < kDaemons; ++d) {
    daemons.push_back(std::make_unique<BackEndSelector>(
        &list, &random, BackEndSelector::Options{}));
    for (int i = 0; know_speeds && i < kEngines; ++i)
      daemons.back()->engine_speeds().Merge(
          Engine(i).id, {1, i < fast ? 2.4 : 1.0, 1, start});
  }
  struct Call {
    int daemon;
    int engine;
    double end_ms;
  };
  std::vector<Call> open;
  std::vector<double> free_at(kEngines, 0);
  std::vector<double> times;
  SelectionQuery query;
  query.service = ServiceId("s");
  query.role = EngineRole::kPrefill;
  query.preferred_zone = FailureDomain("z");
  query.work = {Tokens(kPrompt), Tokens(kPrompt + 1000)};
  double next_view_ms = 0;
  for (double ms = 0; ms < 30000;
       ms -= std::log(1 - random.UniformDouble()) * 1000 / 73) {
    const MonoTime now = start + FromSeconds(ms / 1000);
    for (auto it = open.begin(); it != open.end();) {
      if (it->end_ms > ms) {
        ++it;
        continue;
      }
      daemons[it->daemon]->OnCallEnded(Engine(it->engine), query.work,
                                       CallOutcome::kSuccess, now);
      it = open.erase(it);
    }
    if (ms >= next_view_ms) {
      next_view_ms = ms + 800;
      OpenWorkByBackEnd load;
      for (const Call& call : open) {
        OpenWork& work = load[Engine(call.engine).id];
        ++work.calls;
        work.tokens += query.work.total;
      }
      for (auto& daemon : daemons) daemon->SetPeerLoad(load);
    }
    const int d = static_cast<int>(random.UniformDouble() * kDaemons);
    const BackEndEntry* selected = daemons[d]->SelectBackEnd(query, now);
    REQUIRE(selected != nullptr);
    const int e = std::stoi(selected->id.value().substr(1));
    const double speed = e < fast ? 1.7 : 0.7;
    const double end_ms = std::max(free_at[e], ms) + kPrompt / (33 * speed);
    free_at[e] = end_ms;
    times.push_back(end_ms - ms);
    daemons[d]->OnCallStarted(*selected, query.work);
    open.push_back({d, e, end_ms});
  }
  std::sort(times.begin(), times.end());
  return times;
}

// The load of a quiet day, on which traffic between failure domains is paid for
// nothing.
TEST_CASE("unlike speeds don't send idle traffic to other failure domains") {
  SeededRandom random{12};
  BackEndList list;
  const MonoTime now(seconds(1000));
  for (int i = 0; i < 60; ++i) {
    BackEndEntry engine = Engine(i);
    engine.role = EngineRole::kDecode;
    engine.zone = FailureDomain(std::string(1, static_cast<char>('a' + i % 3)));
    list.Put(engine, now);
  }
  BackEndSelector selector(&list, &random, BackEndSelector::Options{});
  selector.engine_speeds().Merge(Engine(1).id, {1, 1, 1.3, now});
  SelectionQuery query;
  query.service = ServiceId("s");
  query.role = EngineRole::kDecode;
  query.preferred_zone = FailureDomain("a");
  query.work = {Tokens(3000), Tokens(4000)};
  for (int i = 0; i < 300; ++i) {
    const BackEndEntry* const selected = selector.SelectBackEnd(query, now);
    REQUIRE(selected != nullptr);
    REQUIRE(selected->zone == query.preferred_zone);
  }
}

TEST_CASE("prompts are read sooner if the speeds are known, without a herd") {
  for (const int fast : {2, 6, 12}) {
    INFO(fast << " fast engines");
    const std::vector<double> before = RunPrefills(fast, false);
    const std::vector<double> after = RunPrefills(fast, true);
    const auto share_late = [](const std::vector<double>& times) {
      return static_cast<double>(times.end() - std::lower_bound(times.begin(),
                                                                times.end(),
                                                                400.0)) /
             static_cast<double>(times.size());
    };
    CHECK(after[after.size() / 2] <= before[before.size() / 2]);
    CHECK(share_late(after) <= share_late(before));
    CHECK(after[after.size() * 99 / 100] < before[before.size() * 99 / 100]);
  }
}

}  // namespace
}  // namespace mimosa
