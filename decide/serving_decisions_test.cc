// Placement, repeats, waiting and events: each with the load that it answers.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "decide/back_end_selector.h"
#include "decide/event_stream.h"
#include "decide/reservation_retry_policy.h"
#include "decide/retry_budget.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MonoTime At(int64_t ms) { return MonoTime(milliseconds(ms)); }

// --- Placement --------------------------------------------------------------

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

struct ChoiceFixture {
  BackEndList list;
  SeededRandom random{7};
  BackEndSelector choice{&list, &random, BackEndSelector::Options{}};

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
  std::string Pick(EngineRole role, MonoTime now) {
    const BackEndEntry* entry = choice.SelectBackEnd(Query(role), now);
    return entry == nullptr ? "" : entry->id.value();
  }
};

TEST_CASE_METHOD(ChoiceFixture,
                 "draining, foreign and other roles get nothing") {
  CHECK(Pick(EngineRole::kDecode, At(0)).empty());
  Add(Engine("p", EngineRole::kPrefill));
  BackEndEntry leaving = Engine("d1", EngineRole::kDecode);
  leaving.draining = true;
  Add(leaving);
  BackEndEntry other = Engine("d2", EngineRole::kDecode);
  other.service = ServiceId("t");
  Add(other);
  CHECK(Pick(EngineRole::kDecode, At(0)).empty());
  CHECK_FALSE(choice.HasBackEnd(ServiceId("s"), EngineRole::kDecode));
  CHECK(Pick(EngineRole::kPrefill, At(0)) == "p");
}

TEST_CASE_METHOD(ChoiceFixture, "prompts spread by the tokens ahead of them") {
  for (const char* id : {"a", "b", "c"}) Add(Engine(id, EngineRole::kPrefill));
  std::map<std::string, int> got;
  for (int i = 0; i < 9; ++i) {
    const BackEndEntry engine =
        *choice.SelectBackEnd(Query(EngineRole::kPrefill), At(0));
    choice.OnCallStarted(engine, {Tokens(3000), Tokens(4300)});
    ++got[engine.id.value()];
  }
  for (const char* id : {"a", "b", "c"}) CHECK(got[id] == 3);
}

TEST_CASE_METHOD(ChoiceFixture,
                 "the own failure domain goes first, load before it") {
  Add(Engine("near", EngineRole::kPrefill, "z"));
  Add(Engine("far", EngineRole::kPrefill, "y"));
  CHECK(Pick(EngineRole::kPrefill, At(0)) == "near");
  choice.OnCallStarted(list.entries().at(BackEndId("near")).entry,
                       {Tokens(3000), Tokens(4300)});
  CHECK(Pick(EngineRole::kPrefill, At(0)) == "far");
}

TEST_CASE_METHOD(ChoiceFixture, "what peers have open counts") {
  Add(Engine("a", EngineRole::kDecode));
  Add(Engine("b", EngineRole::kDecode));
  choice.SetPeerLoad({{BackEndId("a"), {8, Tokens(34000)}}});
  for (int i = 0; i < 10; ++i) CHECK(Pick(EngineRole::kDecode, At(0)) == "b");
}

TEST_CASE_METHOD(ChoiceFixture,
                 "who fails is passed over, then tried with one call") {
  Add(Engine("bad", EngineRole::kDecode));
  Add(Engine("good", EngineRole::kDecode));
  const BackEndEntry bad = list.entries().at(BackEndId("bad")).entry;
  const WorkSize size{Tokens(3000), Tokens(4300)};
  choice.OnCallStarted(bad, size);
  choice.OnCallEnded(bad, size, CallOutcome::kFailed, At(0));
  for (int ms = 0; ms < 290; ms += 10)
    CHECK(Pick(EngineRole::kDecode, At(ms)) == "good");
  // Its pause is over, but its failure is remembered while another one is free.
  CHECK(Pick(EngineRole::kDecode, At(400)) == "good");
  CHECK(choice.GetObservedState(bad.id, At(400)).failures > 0.9);
  // Long after, it is as good as any.
  int picked = 0;
  for (int i = 0; i < 40; ++i)
    picked += Pick(EngineRole::kDecode, At(120000)) == "bad" ? 1 : 0;
  CHECK(picked > 5);
  // On trial: not a second call before the first has ended.
  choice.OnCallStarted(bad, size);
  for (int i = 0; i < 40; ++i)
    CHECK(Pick(EngineRole::kDecode, At(120001)) == "good");
  choice.OnCallEnded(bad, size, CallOutcome::kSuccess, At(120002));
  CHECK_FALSE(choice.GetObservedState(bad.id, At(120002)).in_backoff);
}

TEST_CASE_METHOD(ChoiceFixture,
                 "a quarter dark in a burst: few calls are lost") {
  // 12 engines, 3 dark. Each call to a dark one fails 200 ms later.
  for (int i = 0; i < 12; ++i)
    Add(Engine("e" + std::to_string(i), EngineRole::kDecode));
  const auto dark = [](const BackEndId& id) {
    return id.value() == "e1" || id.value() == "e5" || id.value() == "e9";
  };
  const WorkSize size{Tokens(3000), Tokens(4300)};
  std::deque<std::pair<int, BackEndEntry>> running;  // by end
  int lost = 0;
  for (int ms = 0; ms < 4000; ms += 25) {  // 40 a second
    while (!running.empty() && running.front().first <= ms) {
      const BackEndEntry engine = running.front().second;
      running.pop_front();
      choice.OnCallEnded(
          engine, size,
          dark(engine.id) ? CallOutcome::kFailed : CallOutcome::kSuccess,
          At(ms));
    }
    const BackEndEntry engine =
        *choice.SelectBackEnd(Query(EngineRole::kDecode), At(ms));
    lost += dark(engine.id) ? 1 : 0;
    choice.OnCallStarted(engine, size);
    running.emplace_back(ms + 200, engine);
  }
  // Each dark engine may cost what is sent before the first failure, 200 ms at
  // a twelfth of 40 a second, and a few trials: 5 % of 160 calls in all.
  CHECK(lost <= 8);
}

TEST_CASE_METHOD(ChoiceFixture,
                 "if all are passed over, the first one back is used") {
  Add(Engine("a", EngineRole::kDecode));
  const BackEndEntry a = list.entries().at(BackEndId("a")).entry;
  choice.OnCallStarted(a, {});
  choice.OnCallEnded(a, {}, CallOutcome::kFailed, At(0));
  CHECK(Pick(EngineRole::kDecode, At(1)) == "a");
  CHECK_FALSE(
      choice.HasHealthyBackEnd(ServiceId("s"), EngineRole::kDecode, At(1)));
  CHECK(
      choice.HasHealthyBackEnd(ServiceId("s"), EngineRole::kDecode, At(1000)));
}

TEST_CASE_METHOD(ChoiceFixture, "a new incarnation is another engine") {
  Add(Engine("a", EngineRole::kDecode));
  const BackEndEntry former = list.entries().at(BackEndId("a")).entry;
  choice.OnCallStarted(former, {});
  BackEndEntry reborn = former;
  reborn.incarnation = 2;
  Add(reborn);
  CHECK(Pick(EngineRole::kDecode, At(1)) == "a");
  choice.OnCallEnded(former, {}, CallOutcome::kFailed, At(2));
  CHECK(choice.GetObservedState(BackEndId("a"), At(2)).failures == 0);
  CHECK(choice.GetObservedState(BackEndId("a"), At(2)).open_calls == 0);
}

TEST_CASE_METHOD(ChoiceFixture,
                 "room is asked for only where the known runs leave it") {
  Add(Engine("a", EngineRole::kDecode));
  Add(Engine("b", EngineRole::kDecode));
  SelectionQuery query = Query(EngineRole::kDecode);
  query.require_free_memory = true;
  choice.SetPeerLoad({{BackEndId("a"), {7, Tokens(34000)}}});
  for (int i = 0; i < 10; ++i)
    CHECK(choice.SelectBackEnd(query, At(0))->id == BackEndId("b"));
  // The other one has failed: nobody is asked, least of all the failed one.
  const BackEndEntry b = list.entries().at(BackEndId("b")).entry;
  choice.OnCallStarted(b, {});
  choice.OnCallEnded(b, {}, CallOutcome::kUnreachable, At(0));
  CHECK(choice.SelectBackEnd(query, At(10)) == nullptr);
}

// --- Repeats ----------------------------------------------------------------

// Repeats and requests in every window against the bound, whatever the order.
TEST_CASE("no window of the fleet has more repeats than its bound") {
  RetryBudget::Options options;
  options.ratio = 0.2;
  options.slack = 56;
  options.window = seconds(10);
  const ServiceId service("s");
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SeededRandom random(seed);
    constexpr int kDaemons = 4;
    std::vector<RetryBudget> fleet(kDaemons, RetryBudget(options));
    for (RetryBudget& budget : fleet) budget.SetMemberCount(kDaemons);
    std::vector<int> requests;
    std::vector<int> repeats;
    for (int ms = 0; ms < 40000; ++ms) {
      RetryBudget& budget = fleet[random.Below(kDaemons)];
      // Calm, a burst, and a calm after it; every request asks for repeats.
      const uint64_t load = ms > 15000 && ms < 20000 ? 60 : 15;
      if (random.Below(1000) >= load) continue;
      budget.RecordRequest(service, At(ms));
      requests.push_back(ms);
      for (int i = 0; i < 2; ++i)
        if (budget.TryAcquireRetry(service, At(ms))) repeats.push_back(ms);
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
      CHECK(double(within(repeats)) <= bound);
    }
  }
}

// --- Waiting ----------------------------------------------------------------

WaitingRequest Waiting(int waited_ms, int left_ms) {
  WaitingRequest waiting;
  waiting.waited = milliseconds(waited_ms);
  waiting.time_left = milliseconds(left_ms);
  waiting.target_latency = milliseconds(900);
  waiting.time_to_first_event = milliseconds(200);
  waiting.run_time = milliseconds(3600);
  return waiting;
}

TEST_CASE("late requests ask less often than those that can be in time") {
  SeededRandom random(1);
  const ReservationRetryPolicy wait(ReservationRetryPolicy::Options{}, &random);
  for (int i = 0; i < 100; ++i) {
    const auto eager = wait.NextRetryDelay(Waiting(300, 13700));
    const auto late = wait.NextRetryDelay(Waiting(1000, 13000));
    REQUIRE(eager);
    REQUIRE(late);
    CHECK(*eager < *late);
  }
}

TEST_CASE("what can't be finished or waits for long is turned away") {
  SeededRandom random(1);
  const ReservationRetryPolicy wait(ReservationRetryPolicy::Options{}, &random);
  CHECK_FALSE(wait.NextRetryDelay(Waiting(100, 3700)));
  CHECK(wait.NextRetryDelay(Waiting(100, 3900)));
  CHECK_FALSE(wait.NextRetryDelay(Waiting(5700, 8300)));
}

TEST_CASE("a caller is told before it leaves for want of a first event") {
  SeededRandom random(1);
  const ReservationRetryPolicy wait(ReservationRetryPolicy::Options{}, &random);
  WaitingRequest waiting = Waiting(3000, 11000);
  waiting.first_event_timeout = milliseconds(3600);
  CHECK(wait.NextRetryDelay(waiting));
  waiting = Waiting(3100, 10900);  // 200 ms to the first event, 10 % to spare
  waiting.first_event_timeout = milliseconds(3600);
  CHECK_FALSE(wait.NextRetryDelay(waiting));
}

TEST_CASE("those turned away together don't return together") {
  SeededRandom random(1);
  const ReservationRetryPolicy wait(ReservationRetryPolicy::Options{}, &random);
  Duration least = seconds(100);
  Duration most{};
  for (int i = 0; i < 200; ++i) {
    const Duration after = wait.RetryAfter(Waiting(5700, 8300));
    least = std::min(least, after);
    most = std::max(most, after);
    CHECK(after <= milliseconds(8300) / 3);
  }
  CHECK(most - least > seconds(1));
  // Short of time: within the third that callers follow.
  CHECK(wait.RetryAfter(Waiting(0, 300)) <= milliseconds(100));
}

struct Served {
  int asked = 0;
  int in_time = 0;
  int served = 0;
};

// 60 rooms and runs of 3 s serve 20 a second. 12.5 a second come, and 40 during
// a burst of five seconds.
Served PlayBurst(const ReservationRetryPolicy& wait) {
  constexpr size_t kRooms = 60;
  constexpr int kRunMs = 3000;
  struct One {
    int arrived;
    int ask_at;
  };
  std::vector<One> waiting;
  std::vector<int> ends;  // of running ones
  Served out;
  for (int ms = 0; ms < 20000; ++ms) {
    ends.erase(std::remove(ends.begin(), ends.end(), ms), ends.end());
    const bool burst = ms >= 3000 && ms < 8000;
    if (ms % (burst ? 25 : 80) == 0) {
      waiting.push_back({ms, ms});
      ++out.asked;
    }
    std::vector<One> still;
    for (One& one : waiting) {
      const int waited = ms - one.arrived;
      if (one.ask_at <= ms && ends.size() < kRooms) {
        ends.push_back(ms + kRunMs);
        ++out.served;
        out.in_time += waited + 200 <= 900 ? 1 : 0;
        continue;
      }
      if (one.ask_at <= ms) {
        const auto pause = wait.NextRetryDelay(Waiting(waited, 14000 - waited));
        if (!pause) continue;  // turned away
        one.ask_at = ms + std::max<int>(1, int(ToMillis(*pause)));
      }
      still.push_back(one);
    }
    waiting = std::move(still);
  }
  return out;
}

// The burst brings 100 more than can be served in it: of 388 at most 288 can be
// in time. After it 7.5 a second find room beside the fresh ones: 42 in the 5.6
// s that a request waits at most.
TEST_CASE(
    "in a burst the fresh are in time, and the late are served after it") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    SeededRandom random(seed);
    const Served chosen = PlayBurst(
        ReservationRetryPolicy(ReservationRetryPolicy::Options{}, &random));
    ReservationRetryPolicy::Options alike;
    alike.late_retry_delay = alike.in_time_retry_delay;
    const Served naive = PlayBurst(ReservationRetryPolicy(alike, &random));
    INFO("seed " << seed << ": asked " << chosen.asked << ", in time "
                 << chosen.in_time << ", served " << chosen.served
                 << "; alike: in time " << naive.in_time);
    CHECK(chosen.in_time >= 288 * 85 / 100);
    CHECK(chosen.served >= 288 + 42);
    CHECK(chosen.in_time > naive.in_time);
  }
}

// --- Events -----------------------------------------------------------------

TEST_CASE("only whole events come out, however the bytes are cut") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid: 3\ndata: c\n\n"
      "id: 4\ndata: unfin";
  const std::string whole = stream.substr(0, stream.find("id: 4"));
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    SseEventSplitter cutter;
    const std::string first = cutter.Feed(stream.substr(0, cut));
    const std::string out = first + cutter.Feed(stream.substr(cut));
    INFO("cut at " << cut);
    CHECK(out == whole);
    CHECK(cutter.last_id() == 3);
    CHECK(cutter.event_count() == 3);
    CHECK(cutter.partial_event() == "id: 4\ndata: unfin");
    cutter.DropPartialEvent();
    CHECK(cutter.Feed("id: 4\ndata: d\n\n") == "id: 4\ndata: d\n\n");
    CHECK(cutter.last_id() == 4);
  }
}

TEST_CASE("an event without end is noticed") {
  SseEventSplitter cutter;
  cutter.Feed(std::string(SseEventSplitter::kMaxEventBytes, 'x'));
  CHECK_FALSE(cutter.event_too_long());
  cutter.Feed("x");
  CHECK(cutter.event_too_long());
}

}  // namespace
}  // namespace mimosa
