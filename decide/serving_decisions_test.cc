// Tests of back end selection, retry budget, reservation retries and event
// splitting, each under the load that it is meant for.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "decide/back_end_selector.h"
#include "decide/event_stream.h"
#include "decide/permit_issuer.h"
#include "decide/reservation_retry_policy.h"
#include "decide/retry_budget.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MonoTime At(int64_t ms) { return MonoTime(milliseconds(ms)); }

// --- Back end selection -----------------------------------------------------

BackEndEntry Engine(const std::string& id, EngineRole role,
                    const std::string& zone = "z") {
  BackEndEntry entry;
  entry.id = BackEndId(id);
  entry.service = ServiceId("s");
  entry.role = role;
  entry.zone = FailureDomain(zone);
  entry.slots = 48;
  return entry;
}

struct SelectorFixture {
  BackEndList list;
  SeededRandom random{7};
  BackEndSelector selector{&list, &random, BackEndSelector::Options{}};

  void Add(const BackEndEntry& entry) { list.Put(entry, At(0)); }
  SelectionQuery Query(EngineRole role) const {
    SelectionQuery query;
    query.service = ServiceId("s");
    query.role = role;
    query.preferred_zone = FailureDomain("z");
    query.kv_memory = Tokens(36000);
    query.work = {Tokens(3000), Tokens(4300)};
    return query;
  }
  std::string SelectId(EngineRole role, MonoTime now) {
    const BackEndEntry* entry = selector.SelectBackEnd(Query(role), now);
    return entry == nullptr ? "" : entry->id.value();
  }
};

// One back end, "cold", warms up, and has permits or not.
struct FakePermits : CallPermits {
  bool IsAvailable(const BackEndEntry& back_end, MonoTime) const override {
    return has_permit || back_end.id != BackEndId("cold");
  }
  MonoTime AvailableAt(const BackEndEntry&, MonoTime now) const override {
    return now;
  }
  bool IsWarmingUp(const BackEndEntry& back_end, MonoTime) const override {
    return back_end.id == BackEndId("cold");
  }
  void Take(const BackEndEntry&) override {}
  void Request(const BackEndEntry&) override { ++requests; }

  bool has_permit = false;
  int requests = 0;
};

TEST_CASE("a back end that warms up is left alone while others have room") {
  BackEndList list;
  SeededRandom random(7);
  FakePermits permits;
  BackEndSelector selector(&list, &random, {}, &permits);
  list.Put(Engine("cold", EngineRole::kDecode), At(0));
  list.Put(Engine("warm", EngineRole::kDecode), At(0));
  SelectionQuery query;
  query.service = ServiceId("s");
  query.role = EngineRole::kDecode;
  for (const bool has_permit : {false, true}) {
    permits.has_permit = has_permit;
    CHECK(selector.SelectBackEnd(query, At(0))->id == BackEndId("warm"));
  }
  CHECK(permits.requests == 0);
  // The warm one is full: the permit is used, or one is requested.
  for (int i = 0; i < 48; ++i)
    selector.OnCallStarted(Engine("warm", EngineRole::kDecode), WorkSize{});
  CHECK(selector.SelectBackEnd(query, At(0))->id == BackEndId("cold"));
  permits.has_permit = false;
  CHECK(selector.SelectBackEnd(query, At(0))->id == BackEndId("warm"));
  CHECK(permits.requests == 1);
}

TEST_CASE_METHOD(
    SelectorFixture,
    "draining back ends and other services or roles are not selected") {
  CHECK(SelectId(EngineRole::kDecode, At(0)).empty());
  Add(Engine("p", EngineRole::kPrefill));
  BackEndEntry leaving = Engine("d1", EngineRole::kDecode);
  leaving.draining = true;
  Add(leaving);
  BackEndEntry other = Engine("d2", EngineRole::kDecode);
  other.service = ServiceId("t");
  Add(other);
  CHECK(SelectId(EngineRole::kDecode, At(0)).empty());
  CHECK_FALSE(selector.HasBackEnd(ServiceId("s"), EngineRole::kDecode));
  CHECK(SelectId(EngineRole::kPrefill, At(0)) == "p");
}

TEST_CASE_METHOD(SelectorFixture,
                 "a back end that leaves is skipped until it starts again") {
  BackEndEntry engine = Engine("d", EngineRole::kDecode);
  engine.incarnation = 1;
  Add(engine);
  CHECK(SelectId(EngineRole::kDecode, At(0)) == "d");
  CHECK(selector.RecordLeaving(engine));
  CHECK_FALSE(selector.RecordLeaving(engine));
  CHECK(SelectId(EngineRole::kDecode, At(0)).empty());
  CHECK_FALSE(selector.HasBackEnd(ServiceId("s"), EngineRole::kDecode));
  // An outage of the store may remove the entry and bring it back.
  list.Remove(engine.id, At(1));
  Add(engine);
  CHECK(SelectId(EngineRole::kDecode, At(2)).empty());
  engine.incarnation = 2;
  Add(engine);
  CHECK(SelectId(EngineRole::kDecode, At(3)) == "d");
}

TEST_CASE_METHOD(SelectorFixture,
                 "an engine that rejects calls in a row is passed over") {
  const BackEndEntry engine = Engine("d", EngineRole::kDecode);
  Add(engine);
  const SelectionQuery query = Query(EngineRole::kDecode);
  const auto reject = [&](int64_t ms) {
    selector.OnCallStarted(engine, {});
    selector.OnCallEnded(engine, {}, CallOutcome::kRejected, At(ms));
  };
  reject(0);
  CHECK_FALSE(selector.RejectsMany(engine));
  CHECK_FALSE(selector.HasHealthyCandidate(query, At(99)));
  CHECK(selector.HasHealthyCandidate(query, At(100)));
  for (const int64_t ms : {1000, 2000, 3000, 4000, 5000, 10000}) reject(ms);
  CHECK(selector.RejectsMany(engine));
  CHECK_FALSE(selector.HasHealthyCandidate(query, At(11599)));
  CHECK(selector.HasHealthyCandidate(query, At(11600)));
  // As the only one it is still called.
  CHECK(SelectId(EngineRole::kDecode, At(11599)) == "d");
  selector.RecordAcceptance(engine, At(11600));
  CHECK_FALSE(selector.RejectsMany(engine));
  reject(12000);
  CHECK(selector.HasHealthyCandidate(query, At(12100)));
}

TEST_CASE_METHOD(SelectorFixture,
                 "calls go to engines that reject few, until the others are "
                 "forgiven") {
  const BackEndEntry rejecting = Engine("a", EngineRole::kDecode);
  const BackEndEntry accepting = Engine("b", EngineRole::kDecode);
  Add(rejecting);
  Add(accepting);
  // The other one is busier, though not as much as rejections cost.
  for (int i = 0; i < 10; ++i) selector.OnCallStarted(accepting, {});
  CHECK(SelectId(EngineRole::kDecode, At(0)) == "a");
  for (int i = 0; i < 9; ++i) {
    selector.OnCallStarted(rejecting, {});
    selector.OnCallEnded(rejecting, {}, CallOutcome::kRejected, At(0));
  }
  selector.RecordAcceptance(rejecting, At(0));
  CHECK(SelectId(EngineRole::kDecode, At(2000)) == "b");
  CHECK(SelectId(EngineRole::kDecode, At(20000)) == "a");
}

TEST_CASE_METHOD(
    SelectorFixture,
    "an engine was avoided for half a minute after one rejection") {
  const BackEndEntry engine = Engine("a", EngineRole::kDecode);
  Add(engine);
  Add(Engine("b", EngineRole::kDecode));
  selector.OnCallStarted(engine, {});
  selector.OnCallEnded(engine, {}, CallOutcome::kRejected, At(0));
  bool is_selected = false;
  for (int i = 0; i < 20; ++i)
    is_selected =
        is_selected || SelectId(EngineRole::kDecode, At(10000 + i)) == "a";
  CHECK(is_selected);
}

TEST_CASE_METHOD(
    SelectorFixture,
    "a back end in the pause that it asked for is never selected") {
  BackEndEntry engine = Engine("d", EngineRole::kDecode);
  engine.incarnation = 1;
  Add(engine);
  const SelectionQuery query = Query(EngineRole::kDecode);
  CHECK(selector.EndOfPauses(query, At(0)) == At(0));
  selector.OnCallStarted(engine, {});
  selector.RecordPause(engine, At(500));
  selector.RecordPause(engine, At(300));  // A shorter one changes nothing.
  selector.OnCallEnded(engine, {}, CallOutcome::kFull, At(0));
  // Not even as the only one, though it is a candidate for later.
  CHECK(SelectId(EngineRole::kDecode, At(499)).empty());
  CHECK(selector.HasCandidate(query));
  CHECK_FALSE(selector.HasHealthyCandidate(query, At(499)));
  CHECK(selector.EndOfPauses(query, At(1)) == At(500));
  CHECK(SelectId(EngineRole::kDecode, At(500)) == "d");
  Add(Engine("other", EngineRole::kDecode));
  CHECK(selector.EndOfPauses(query, At(1)) == At(1));
  // A new start knows nothing of the pause, and an old call of the former start
  // doesn't begin one.
  engine.incarnation = 2;
  Add(engine);
  list.Remove(BackEndId("other"), At(1));
  CHECK(SelectId(EngineRole::kDecode, At(1)) == "d");
  engine.incarnation = 1;
  selector.RecordPause(engine, At(900));
  CHECK(SelectId(EngineRole::kDecode, At(2)) == "d");
}

TEST_CASE_METHOD(SelectorFixture,
                 "a selected back end is looked at once more before a call") {
  BackEndEntry engine = Engine("d", EngineRole::kDecode);
  engine.incarnation = 1;
  Add(engine);
  TrafficBoundaries boundaries;
  BackEndSelector bounded(&list, &random, {}, nullptr, &boundaries);
  const BackEndEntry* const selected =
      bounded.SelectBackEnd(Query(EngineRole::kDecode), At(0));
  REQUIRE(selected != nullptr);
  const BackEndEntry chosen = *selected;
  const auto obstacle = [&](CallPurpose purpose, int64_t ms) {
    return bounded.FindObstacle(chosen, purpose, At(ms));
  };
  CHECK(obstacle(CallPurpose::kWork, 0) == CallObstacle::kNone);
  CHECK(obstacle(CallPurpose::kControl, 0) == CallObstacle::kNone);
  auto expected = CallObstacle::kNone;
  bool stops_control_calls = true;
  SECTION("it drains") {
    engine.draining = true;
    Add(engine);
    expected = CallObstacle::kLeaving;
    stops_control_calls = false;
  }
  SECTION("it says that it is about to terminate") {
    bounded.RecordLeaving(engine);
    expected = CallObstacle::kLeaving;
    stops_control_calls = false;
  }
  SECTION("it is to change its role") {
    bounded.SetRoleChanges({{engine.id, EngineRole::kPrefill}});
    expected = CallObstacle::kChangingRole;
    stops_control_calls = false;
  }
  SECTION("it has changed its role") {
    engine.role = EngineRole::kPrefill;
    Add(engine);
    expected = CallObstacle::kChangingRole;
    stops_control_calls = false;
  }
  SECTION("it is removed") {
    list.Remove(engine.id, At(1));
    expected = CallObstacle::kUnlisted;
  }
  SECTION("it starts again") {
    engine.incarnation = 2;
    Add(engine);
    expected = CallObstacle::kRestarted;
  }
  SECTION("its failure domain is evacuated") {
    boundaries.SetEvacuated({engine.zone}, At(1));
    expected = CallObstacle::kEvacuated;
  }
  SECTION("it asks for a pause, until that is over") {
    bounded.RecordPause(engine, At(500));
    CHECK(obstacle(CallPurpose::kWork, 500) == CallObstacle::kNone);
    expected = CallObstacle::kPausing;
  }
  SECTION("its record is missing since an outage: it may be there") {
    list.OnStoreLost();
    list.Remove(engine.id, At(1));
    stops_control_calls = false;
  }
  CHECK(obstacle(CallPurpose::kWork, 2) == expected);
  CHECK(obstacle(CallPurpose::kControl, 2) ==
        (stops_control_calls ? expected : CallObstacle::kNone));
  // A back end that is selected now has no obstacle.
  const BackEndEntry* const again =
      bounded.SelectBackEnd(Query(EngineRole::kDecode), At(2));
  if (expected == CallObstacle::kNone || expected == CallObstacle::kRestarted) {
    REQUIRE(again != nullptr);
    CHECK(bounded.FindObstacle(*again, CallPurpose::kWork, At(2)) ==
          CallObstacle::kNone);
  } else {
    CHECK(again == nullptr);
  }
}

TEST_CASE_METHOD(SelectorFixture,
                 "prefills are spread by the prompt tokens queued ahead") {
  for (const char* id : {"a", "b", "c"}) Add(Engine(id, EngineRole::kPrefill));
  std::map<std::string, int> got;
  for (int i = 0; i < 9; ++i) {
    const BackEndEntry engine =
        *selector.SelectBackEnd(Query(EngineRole::kPrefill), At(0));
    selector.OnCallStarted(engine, {Tokens(3000), Tokens(4300)});
    ++got[engine.id.value()];
  }
  for (const char* id : {"a", "b", "c"}) CHECK(got[id] == 3);
}

TEST_CASE_METHOD(SelectorFixture,
                 "the preferred failure domain is chosen unless it is loaded") {
  Add(Engine("near", EngineRole::kPrefill, "z"));
  Add(Engine("far", EngineRole::kPrefill, "y"));
  CHECK(SelectId(EngineRole::kPrefill, At(0)) == "near");
  selector.OnCallStarted(list.entries().at(BackEndId("near")).entry,
                         {Tokens(3000), Tokens(4300)});
  CHECK(SelectId(EngineRole::kPrefill, At(0)) == "far");
}

TEST_CASE_METHOD(SelectorFixture, "the open work of peers counts as load") {
  Add(Engine("a", EngineRole::kDecode));
  Add(Engine("b", EngineRole::kDecode));
  selector.SetPeerLoad({{BackEndId("a"), {8, Tokens(34000)}}});
  for (int i = 0; i < 10; ++i)
    CHECK(SelectId(EngineRole::kDecode, At(0)) == "b");
}

TEST_CASE_METHOD(SelectorFixture,
                 "a failed engine is skipped, then probed with one call") {
  Add(Engine("bad", EngineRole::kDecode));
  Add(Engine("good", EngineRole::kDecode));
  const BackEndEntry bad = list.entries().at(BackEndId("bad")).entry;
  const WorkSize size{Tokens(3000), Tokens(4300)};
  selector.OnCallStarted(bad, size);
  selector.OnCallEnded(bad, size, CallOutcome::kFailed, At(0));
  for (int ms = 0; ms < 290; ms += 10)
    CHECK(SelectId(EngineRole::kDecode, At(ms)) == "good");
  // The backoff is over, but the failure still counts while another engine is
  // free.
  CHECK(SelectId(EngineRole::kDecode, At(400)) == "good");
  CHECK(selector.GetObservedState(bad.id, At(400)).failures > 0.9);
  // Long after the failure, the engine is as good as any other.
  int picked = 0;
  for (int i = 0; i < 40; ++i)
    picked += SelectId(EngineRole::kDecode, At(120000)) == "bad" ? 1 : 0;
  CHECK(picked > 5);
  // After a failure, no second call starts before the first one has ended.
  selector.OnCallStarted(bad, size);
  for (int i = 0; i < 40; ++i)
    CHECK(SelectId(EngineRole::kDecode, At(120001)) == "good");
  selector.OnCallEnded(bad, size, CallOutcome::kSuccess, At(120002));
  CHECK_FALSE(selector.GetObservedState(bad.id, At(120002)).in_backoff);
}

TEST_CASE_METHOD(
    SelectorFixture,
    "few calls are lost if a quarter of the engines stop answering") {
  // 3 of 12 engines don't respond; each call to one of them fails after 200 ms.
  for (int i = 0; i < 12; ++i)
    Add(Engine("e" + std::to_string(i), EngineRole::kDecode));
  const auto unresponsive = [](const BackEndId& id) {
    return id.value() == "e1" || id.value() == "e5" || id.value() == "e9";
  };
  const WorkSize size{Tokens(3000), Tokens(4300)};
  std::deque<std::pair<int, BackEndEntry>> running;  // by end time
  int lost = 0;
  for (int ms = 0; ms < 4000; ms += 25) {  // 40 calls per second
    while (!running.empty() && running.front().first <= ms) {
      const BackEndEntry engine = running.front().second;
      running.pop_front();
      selector.OnCallEnded(engine, size,
                           unresponsive(engine.id) ? CallOutcome::kFailed
                                                   : CallOutcome::kSuccess,
                           At(ms));
    }
    const BackEndEntry engine =
        *selector.SelectBackEnd(Query(EngineRole::kDecode), At(ms));
    lost += unresponsive(engine.id) ? 1 : 0;
    selector.OnCallStarted(engine, size);
    running.emplace_back(ms + 200, engine);
  }
  // Each of the failing engines may receive the calls sent before the first
  // failure (200 ms at a twelfth of 40 per second) and a few probes: 5 % of the
  // 160 calls in all.
  CHECK(lost <= 8);
}

TEST_CASE_METHOD(
    SelectorFixture,
    "if all engines are in backoff, the first to leave it is used") {
  Add(Engine("a", EngineRole::kDecode));
  const BackEndEntry a = list.entries().at(BackEndId("a")).entry;
  selector.OnCallStarted(a, {});
  selector.OnCallEnded(a, {}, CallOutcome::kFailed, At(0));
  CHECK(SelectId(EngineRole::kDecode, At(1)) == "a");
  SelectionQuery query;
  query.service = ServiceId("s");
  query.role = EngineRole::kDecode;
  CHECK(selector.HasCandidate(query));
  CHECK_FALSE(selector.HasHealthyCandidate(query, At(1)));
  CHECK(selector.HasHealthyCandidate(query, At(1000)));
}

TEST_CASE_METHOD(SelectorFixture,
                 "only back ends of the wanted software version are selected") {
  for (const char* id : {"a", "b", "c"}) {
    BackEndEntry engine = Engine(id, EngineRole::kDecode);
    engine.software_version =
        SoftwareVersion(id == std::string("c") ? "2" : "1");
    Add(engine);
  }
  SelectionQuery query;
  query.service = ServiceId("s");
  query.role = EngineRole::kDecode;
  query.software_version = SoftwareVersion("2");
  for (int i = 0; i < 20; ++i)
    CHECK(selector.SelectBackEnd(query, At(0))->id == BackEndId("c"));
  const std::set<BackEndId> tried = {BackEndId("c")};
  query.exclude = &tried;
  CHECK_FALSE(selector.HasCandidate(query));
  CHECK(selector.SelectBackEnd(query, At(0)) == nullptr);
  query.software_version = SoftwareVersion("1");
  CHECK(selector.HasCandidate(query));
}

TEST_CASE_METHOD(SelectorFixture,
                 "a new incarnation starts without calls or failures") {
  Add(Engine("a", EngineRole::kDecode));
  const BackEndEntry former = list.entries().at(BackEndId("a")).entry;
  selector.OnCallStarted(former, {});
  BackEndEntry restarted = former;
  restarted.incarnation = 2;
  Add(restarted);
  CHECK(SelectId(EngineRole::kDecode, At(1)) == "a");
  selector.OnCallEnded(former, {}, CallOutcome::kFailed, At(2));
  CHECK(selector.GetObservedState(BackEndId("a"), At(2)).failures == 0);
  CHECK(selector.GetObservedState(BackEndId("a"), At(2)).open_calls == 0);
}

// A former incarnation is listed once more by a store that comes back from an
// older copy, or called once more for a reservation that it has granted.
TEST_CASE_METHOD(SelectorFixture,
                 "calls and pauses of an incarnation stay its own") {
  BackEndEntry former = Engine("a", EngineRole::kDecode);
  former.incarnation = 1;
  BackEndEntry current = former;
  current.incarnation = 2;
  Add(current);
  SelectionQuery query = Query(EngineRole::kDecode);
  query.require_free_memory = true;
  const auto fill = [&] {
    int runs = 0;
    for (; runs < 100 && selector.SelectBackEnd(query, At(0)) != nullptr;
         ++runs)
      selector.OnCallStarted(current, query.work);
    return runs;
  };
  const int most_runs = fill();
  CHECK(most_runs == 8);
  selector.RecordPause(current, At(500));
  std::function<void()> use_former;
  SECTION("an older copy of the store lists the former one") {
    use_former = [&] {
      Add(former);
      selector.SelectBackEnd(query, At(0));
      Add(current);
    };
  }
  SECTION("a call to the former one begins") {
    use_former = [&] {
      selector.OnCallStarted(former, query.work);
      selector.OnCallEnded(former, query.work, CallOutcome::kUnknown, At(0));
    };
  }
  use_former();
  CHECK(selector.SelectBackEnd(query, At(0)) == nullptr);
  CHECK(selector.FindObstacle(current, CallPurpose::kWork, At(499)) ==
        CallObstacle::kPausing);
  CHECK(selector.GetObservedState(current.id, At(0)).open_calls == most_runs);
  for (int i = 0; i < most_runs; ++i)
    selector.OnCallEnded(current, query.work, CallOutcome::kSuccess, At(0));
  CHECK(selector.GetObservedState(current.id, At(0)).open_calls == 0);
  int runs = 0;
  for (; runs < 100 && selector.SelectBackEnd(query, At(500)) != nullptr;
       ++runs)
    selector.OnCallStarted(current, query.work);
  CHECK(runs == most_runs);
}

TEST_CASE_METHOD(SelectorFixture,
                 "failures of a former incarnation say nothing of the next") {
  BackEndEntry engine = Engine("a", EngineRole::kDecode);
  engine.incarnation = 1;
  Add(engine);
  selector.OnCallStarted(engine, {});
  selector.OnCallEnded(engine, {}, CallOutcome::kFailed, At(0));
  const SelectionQuery query = Query(EngineRole::kDecode);
  CHECK_FALSE(selector.HasHealthyCandidate(query, At(1)));
  engine.incarnation = 2;
  Add(engine);
  CHECK(selector.HasHealthyCandidate(query, At(1)));
}

TEST_CASE_METHOD(
    SelectorFixture,
    "a reservation is tried only where the known runs leave memory") {
  Add(Engine("a", EngineRole::kDecode));
  Add(Engine("b", EngineRole::kDecode));
  SelectionQuery query = Query(EngineRole::kDecode);
  query.require_free_memory = true;
  selector.SetPeerLoad({{BackEndId("a"), {7, Tokens(34000)}}});
  for (int i = 0; i < 10; ++i)
    CHECK(selector.SelectBackEnd(query, At(0))->id == BackEndId("b"));
  // The other engine has failed: none is selected, least of all the failed one.
  const BackEndEntry b = list.entries().at(BackEndId("b")).entry;
  selector.OnCallStarted(b, {});
  selector.OnCallEnded(b, {}, CallOutcome::kUnreachable, At(0));
  CHECK(selector.SelectBackEnd(query, At(10)) == nullptr);
}

// --- Retry budget -----------------------------------------------------------

// Compares the retries and requests of every window with the limit.
TEST_CASE("the fleet's retries stay within the limit in every window") {
  RetryBudget::Options options;
  options.ratio = 0.2;
  options.slack = 56;
  options.window = seconds(10);
  const ServiceId service("s");
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SeededRandom random(seed);
    constexpr int kDaemons = 4;
    EvenShare share("0", EvenShare::Options{});
    for (int i = 0; i < kDaemons; ++i)
      share.OnMember(std::to_string(i), MonoTime(seconds(-100)));
    for (int64_t s = -90; s < 0; s += 10) share.OnContact(At(s * 1000));
    std::vector<RetryBudget> fleet(kDaemons, RetryBudget(options, &share));
    std::vector<int> requests;
    std::vector<int> retries;
    for (int ms = 0; ms < 40000; ++ms) {
      share.OnContact(At(ms));
      RetryBudget& budget = fleet[random.UniformInt(kDaemons)];
      // Low load, a burst, and low load again; every request asks for two
      // retries.
      const uint64_t load = ms > 15000 && ms < 20000 ? 60 : 15;
      if (random.UniformInt(1000) >= load) continue;
      budget.RecordRequest(service, At(ms));
      requests.push_back(ms);
      for (int i = 0; i < 2; ++i)
        if (budget.TryAcquireRetry(service, At(ms))) retries.push_back(ms);
    }
    for (int from = 0; from <= 30000; from += 100) {
      const auto within = [from](const std::vector<int>& times) {
        return std::count_if(times.begin(), times.end(), [from](int ms) {
          return ms >= from && ms < from + 10000;
        });
      };
      const auto before = std::count_if(
          requests.begin(), requests.end(),
          [from](int ms) { return ms >= from - 10000 && ms < from; });
      const double bound =
          0.2 * double(std::max(within(requests), before)) + 56;
      INFO("seed " << seed << " window from " << from);
      CHECK(double(within(retries)) <= bound);
    }
  }
}

// Each process spends all it may; requests come evenly, and all retries at the
// end of each second.
TEST_CASE("the retries of restarted processes stay within the limit") {
  RetryBudget::Options options;
  options.ratio = 0.2;
  options.slack = 40;
  options.window = seconds(10);
  const ServiceId service("s");
  for (const int gap_s : {2, 5, 9, 12}) {
    RetryBudget budget(options);  // Established.
    std::vector<int> retries;
    for (int64_t s = 0; s < 60; ++s) {
      const bool restarts = s >= 20 && (s - 20) % gap_s == 0 && s < 45;
      if (restarts) {
        budget = RetryBudget(options);
        budget.SetStart(At(s * 1000));
      }
      for (int i = 0; i < 100; ++i) budget.RecordRequest(service, At(s * 1000));
      while (s >= 19 && budget.TryAcquireRetry(service, At(s * 1000 + 999)))
        retries.push_back(static_cast<int>(s));
    }
    for (int from = 0; from <= 50; ++from) {
      const auto within =
          std::count_if(retries.begin(), retries.end(),
                        [from](int s) { return s >= from && s < from + 10; });
      INFO("restarts each " << gap_s << " s, window from " << from);
      CHECK(within <= 0.2 * 1000 + 40);
    }
  }
}

// --- Reservation retries ----------------------------------------------------

WaitingRequest Waiting(int waited_ms, int left_ms) {
  WaitingRequest waiting;
  waiting.waited = milliseconds(waited_ms);
  waiting.time_left = milliseconds(left_ms);
  waiting.target_latency = milliseconds(900);
  waiting.time_to_first_event = milliseconds(200);
  waiting.run_time = milliseconds(3600);
  return waiting;
}

TEST_CASE(
    "late requests retry less often than those that can meet the target") {
  SeededRandom random(1);
  const ReservationRetryPolicy policy(ReservationRetryPolicy::Options{},
                                      &random);
  for (int i = 0; i < 100; ++i) {
    const auto in_time = policy.NextRetryDelay(Waiting(300, 13700));
    const auto late = policy.NextRetryDelay(Waiting(1000, 13000));
    REQUIRE(in_time);
    REQUIRE(late);
    CHECK(*in_time < *late);
    WaitingRequest started = Waiting(1000, 13000);
    started.response_started = true;
    CHECK(*policy.NextRetryDelay(started) < *late);
    WaitingRequest taken_up = Waiting(1000, 13000);
    taken_up.resumes_stream = true;
    CHECK(*policy.NextRetryDelay(taken_up) < *late);
  }
}

TEST_CASE("a request that can't finish or has waited too long is rejected") {
  SeededRandom random(1);
  const ReservationRetryPolicy policy(ReservationRetryPolicy::Options{},
                                      &random);
  CHECK_FALSE(policy.NextRetryDelay(Waiting(100, 3700)));
  CHECK(policy.NextRetryDelay(Waiting(100, 3900)));
  CHECK_FALSE(policy.NextRetryDelay(Waiting(5700, 8300)));
}

TEST_CASE("a request is rejected before its first-event timeout") {
  SeededRandom random(1);
  const ReservationRetryPolicy policy(ReservationRetryPolicy::Options{},
                                      &random);
  WaitingRequest waiting = Waiting(3000, 11000);
  waiting.first_event_timeout = milliseconds(3600);
  CHECK(policy.NextRetryDelay(waiting));
  waiting = Waiting(3100, 10900);  // 200 ms to the first event, 10 % spare
  waiting.first_event_timeout = milliseconds(3600);
  CHECK_FALSE(policy.NextRetryDelay(waiting));
}

// Guards against streams that were ended, with time left, because their engine
// failed later than a first event would have been due.
TEST_CASE("a stream whose response has started waits until its deadline") {
  SeededRandom random(1);
  const ReservationRetryPolicy policy(ReservationRetryPolicy::Options{},
                                      &random);
  for (const int waited : {3100, 5700, 13000}) {
    WaitingRequest waiting = Waiting(waited, 14000 - waited);
    waiting.first_event_timeout = milliseconds(3600);
    REQUIRE_FALSE(policy.NextRetryDelay(waiting));
    // A stream that its caller takes up can still be refused as not run.
    waiting.resumes_stream = true;
    CHECK_FALSE(policy.NextRetryDelay(waiting));
    waiting.response_started = true;
    CHECK(policy.NextRetryDelay(waiting));
  }
  // No event would reach its caller any more: 200 ms to the next one.
  WaitingRequest ending = Waiting(13850, 150);
  ending.response_started = true;
  CHECK_FALSE(policy.NextRetryDelay(ending));
}

TEST_CASE("requests rejected together get different Retry-After times") {
  SeededRandom random(1);
  const ReservationRetryPolicy policy(ReservationRetryPolicy::Options{},
                                      &random);
  Duration shortest = seconds(100);
  Duration longest{};
  for (int i = 0; i < 200; ++i) {
    const Duration after = policy.RetryAfter(Waiting(5700, 8300));
    shortest = std::min(shortest, after);
    longest = std::max(longest, after);
    CHECK(after <= milliseconds(8300) / 3);
  }
  CHECK(longest - shortest > seconds(1));
  // Callers with little time left get a delay within the third that they honor.
  CHECK(policy.RetryAfter(Waiting(0, 300)) <= milliseconds(100));
}

struct BurstResult {
  int requests = 0;
  int in_time = 0;
  int served = 0;
};

// 60 reservations and runs of 3 s allow 20 requests per second. 12.5 per second
// arrive, and 40 during a burst of five seconds.
BurstResult SimulateBurst(const ReservationRetryPolicy& policy) {
  constexpr size_t kMaxRunning = 60;
  constexpr int kRunMs = 3000;
  struct Waiter {
    int arrived_ms;
    int retry_at;
  };
  std::vector<Waiter> waiting;
  std::vector<int> ends;  // end times of the running requests
  BurstResult result;
  for (int ms = 0; ms < 20000; ++ms) {
    ends.erase(std::remove(ends.begin(), ends.end(), ms), ends.end());
    const bool burst = ms >= 3000 && ms < 8000;
    if (ms % (burst ? 25 : 80) == 0) {
      waiting.push_back({ms, ms});
      ++result.requests;
    }
    std::vector<Waiter> still_waiting;
    for (Waiter& waiter : waiting) {
      const int waited = ms - waiter.arrived_ms;
      if (waiter.retry_at <= ms && ends.size() < kMaxRunning) {
        ends.push_back(ms + kRunMs);
        ++result.served;
        result.in_time += waited + 200 <= 900 ? 1 : 0;
        continue;
      }
      if (waiter.retry_at <= ms) {
        const auto delay =
            policy.NextRetryDelay(Waiting(waited, 14000 - waited));
        if (!delay) continue;  // rejected
        waiter.retry_at = ms + std::max<int>(1, int(ToMillis(*delay)));
      }
      still_waiting.push_back(waiter);
    }
    waiting = std::move(still_waiting);
  }
  return result;
}

// The burst brings 100 requests more than can be served during it, so at most
// 288 of 388 can be in time. After the burst, 7.5 per second can be served
// besides the new ones: 42 within the 5.6 s that a request waits at most.
TEST_CASE(
    "in a burst new requests meet their target, late ones are served after") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    SeededRandom random(seed);
    const BurstResult result = SimulateBurst(
        ReservationRetryPolicy(ReservationRetryPolicy::Options{}, &random));
    ReservationRetryPolicy::Options same_delay;
    same_delay.late_retry_delay = same_delay.in_time_retry_delay;
    const BurstResult naive =
        SimulateBurst(ReservationRetryPolicy(same_delay, &random));
    INFO("seed " << seed << ": requests " << result.requests << ", in time "
                 << result.in_time << ", served " << result.served
                 << "; same delay: in time " << naive.in_time);
    CHECK(result.in_time >= 288 * 85 / 100);
    CHECK(result.served >= 288 + 42);
    CHECK(result.in_time > naive.in_time);
  }
}

// --- Event splitting --------------------------------------------------------

TEST_CASE("only complete events are returned wherever the stream is split") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid: 3\ndata: c\n\n"
      "id: 4\ndata: unfin";
  const std::string complete_events = stream.substr(0, stream.find("id: 4"));
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseEventSplitter splitter;
    const std::string first = splitter.Feed(stream.substr(0, cut));
    const std::string result = first + splitter.Feed(stream.substr(cut));
    INFO("cut at " << cut);
    CHECK(result == complete_events);
    CHECK(splitter.last_id() == 3);
    CHECK(splitter.event_count() == 3);
    CHECK(splitter.partial_event() == "id: 4\ndata: unfin");
    splitter.DropPartialEvent();
    CHECK(splitter.Feed("id: 4\ndata: d\n\n") == "id: 4\ndata: d\n\n");
    CHECK(splitter.last_id() == 4);
  }
}

TEST_CASE("lines of a stream may end in LF, CRLF or CR") {
  for (const std::string eol : {"\n", "\r\n", "\r"}) {
    std::string complete;
    for (const char* line :
         {"id: 1", "data: a", "", ": comment", "", "id: 2", "data: b", ""})
      complete.append(line).append(eol);
    for (size_t cut = 0; cut <= complete.size(); ++cut) {
      SseEventSplitter splitter;
      std::string result = splitter.Feed(complete.substr(0, cut));
      result += splitter.Feed(complete.substr(cut));
      INFO("line ending of " << eol.size() << " bytes, cut at " << cut);
      CHECK(result + splitter.partial_event() == complete);
      CHECK(splitter.event_count() == 2);
      CHECK(splitter.last_id() == 2);
      CHECK_FALSE(splitter.inside_event());
    }
  }
}

TEST_CASE("the ids of a stream increase over all its runs") {
  struct Case {
    std::optional<int64_t> last_id;
    std::vector<std::vector<int64_t>> runs;
    std::vector<int64_t> returned;
  };
  constexpr int64_t kLowest = std::numeric_limits<int64_t>::min();
  constexpr int64_t kHighest = std::numeric_limits<int64_t>::max();
  const std::vector<Case> cases = {
      {std::nullopt, {{1, 2, 3}}, {1, 2, 3}},
      {std::nullopt, {{7, 9, 20}}, {7, 9, 20}},
      {std::nullopt, {{1, 2, 2, 3}}, {1, 2}},
      {std::nullopt, {{5, 4, 6}}, {5}},
      {std::nullopt, {{1, 2}, {3, 4}}, {1, 2, 3, 4}},
      {std::nullopt, {{1, 2}, {2, 3}, {3}}, {1, 2, 3}},
      {std::nullopt, {{1, 2}, {1, 2, 3}}, {1, 2}},
      {std::nullopt, {{1, 2}, {4, 5}, {}, {3}}, {1, 2, 3}},
      {std::nullopt, {{10, 30, 40}, {60}}, {10, 30, 40, 60}},
      // The steps differ, so a longer one is no gap.
      {std::nullopt, {{10, 30, 40}, {61}}, {10, 30, 40, 61}},
      {std::nullopt, {{10, 30, 50}, {71}}, {10, 30, 50}},
      {std::nullopt, {{10, 30, 50}, {60}}, {10, 30, 50, 60}},
      // Of a single event no step is known.
      {std::nullopt, {{1}, {3, 4}, {5}}, {1, 3, 4, 5}},
      {2, {{3, 4}}, {3, 4}},
      {2, {{2, 3}}, {}},
      {2, {{1, 2, 3}}, {}},
      {2, {{9, 10}, {12}}, {9, 10}},
      {std::nullopt, {{kLowest, kHighest, kLowest}}, {kLowest, kHighest}},
  };
  const auto event = [](int64_t id) {
    return "id: " + std::to_string(id) + "\ndata: a\n\n";
  };
  for (const Case& c : cases) {
    std::string expected;
    for (const int64_t id : c.returned) expected += event(id);
    for (const bool at_once : {true, false}) {
      SseEventSplitter splitter(c.last_id);
      std::string returned;
      for (const auto& run : c.runs) {
        splitter.StartRun();
        std::string bytes;
        for (const int64_t id : run) bytes += event(id);
        for (size_t i = 0; i < bytes.size(); i += at_once ? bytes.size() : 1)
          returned +=
              splitter.Feed(bytes.substr(i, at_once ? bytes.size() : 1));
      }
      INFO("case " << &c - cases.data() << (at_once ? "" : ", byte by byte"));
      CHECK(returned == expected);
      CHECK(splitter.event_count() == static_cast<int64_t>(c.returned.size()));
    }
  }
}

TEST_CASE("a stream is truncated if it ends inside an event or has none") {
  const auto is_truncated = [](const std::string& stream, bool by_close) {
    SseEventSplitter splitter;
    splitter.Feed(stream);
    return IsTruncatedStream(splitter, by_close, splitter.event_count());
  };
  for (const bool by_close : {false, true}) {
    CHECK_FALSE(is_truncated("data: a\n\n", by_close));
    CHECK_FALSE(is_truncated("data: a\n\n: comm", by_close));
    CHECK_FALSE(is_truncated("data: a\r\n\r\n\n", by_close));
    CHECK(is_truncated("data: a\n\nd", by_close));
    CHECK(is_truncated("data: a\n\ndata: b\n", by_close));
    CHECK(is_truncated("data: a\n\n: c\nid: 2", by_close));
  }
  // The framing of an empty response proves that it is complete.
  CHECK_FALSE(is_truncated("", /*by_close=*/false));
  CHECK(is_truncated("", /*by_close=*/true));
}

TEST_CASE("an event above the size limit is reported") {
  SseEventSplitter splitter;
  splitter.Feed(std::string(SseEventSplitter::kMaxEventBytes, 'x'));
  CHECK_FALSE(splitter.event_too_long());
  splitter.Feed("x");
  CHECK(splitter.event_too_long());
}

// --- Permits ----------------------------------------------------------------

TEST_CASE("a limit of any size yields permits") {
  PermitIssuer issuer(0, At(0));
  issuer.SetRate(std::numeric_limits<double>::max(), At(0));
  CHECK(issuer.Issue(16, 1, At(1000)) == 16);
  CHECK(issuer.Issue(16, 1, At(2000)) == 16);
  CHECK(issuer.TimeUntil(16, At(3000)) == Duration::zero());
  issuer.SetRate(1e-300, At(3000));
  CHECK(issuer.Issue(std::numeric_limits<int>::max(), 1, At(4000)) > 0);
  CHECK(issuer.TimeUntil(1, At(5000)) <= kMaxDuration);
}

}  // namespace
}  // namespace mimosa
