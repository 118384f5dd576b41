// Tests who gets engine memory under twice the load that it serves, and what a
// ledger knows after losses and restarts.
#include "decide/memory_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kEngineMemory = 8000;
constexpr Tokens kRun{2000};
constexpr Duration kHold = seconds(1);

MemoryLedger::Engine MakeEngine(const std::string& id) {
  MemoryLedger::Engine engine;
  engine.id = BackEndId(id);
  engine.incarnation = 1;
  return engine;
}

// A service whose engines hold runs of kRun for kHold, in simulated time.
struct Load {
  explicit Load(int engines = 2, MemoryLedger::Options options = {})
      : ledger(Tokens(kEngineMemory), now, &random, options) {
    for (int i = 0; i < engines; ++i)
      listed.push_back(MakeEngine("e" + std::to_string(i)));
    ledger.SetEngines(listed);
    now += seconds(1);  // Past the ledger's first moment.
  }

  MemoryDemand MakeDemand(int rank, const std::string& customer = "c",
                          Tokens tokens = kRun) {
    MemoryDemand demand;
    demand.id = {"m", 1, ++serial};
    demand.rank = rank;
    demand.customer = CustomerId(customer);
    demand.tokens = tokens;
    demand.max_wait = seconds(5);
    demand.target_wait = seconds(1);
    demand.hold_time = kHold;
    return demand;
  }

  MemoryDecision Ask(const MemoryDemand& demand) {
    asked[demand.id.serial] = demand;
    const MemoryDecisions decisions = ledger.Request(demand, now);
    Record(decisions);
    return decisions.front();
  }

  void Record(const MemoryDecisions& decisions) {
    for (const MemoryDecision& decision : decisions) {
      const MemoryDemand& demand = asked.at(decision.id.serial);
      if (decision.result == MemoryDecision::Result::kGranted &&
          dead.count(decision.engine) > 0) {
        ++granted_at_dead;
        Record(ledger.OnEngineRefused(decision.id, /*unreachable=*/true, now));
      } else if (decision.result == MemoryDecision::Result::kGranted) {
        ends.emplace(now + kHold, decision.id);
        ++granted[demand.rank];
        ++granted_to[demand.customer.value()];
        order.push_back(decision.id.serial);
      } else if (decision.result == MemoryDecision::Result::kRefused) {
        ++refused[demand.rank];
        returns.push_back(now + decision.wait);
      }
    }
    for (const MemoryLedger::Engine& engine : listed)
      CHECK(ledger.GrantedAt(engine.id).count() <= kEngineMemory);
  }

  void Run(Duration duration) {
    const MonoTime end = now + duration;
    while (now < end) {
      now += milliseconds(10);
      while (!ends.empty() && ends.begin()->first <= now) {
        const MemoryClaimId id = ends.begin()->second;
        ends.erase(ends.begin());
        Record(ledger.Release(id, now));
      }
      if ((now.time_since_epoch() / milliseconds(10)) % 10 == 0)
        Record(ledger.Advance(now));
    }
  }

  MonoTime now{};
  SeededRandom random{7};
  std::vector<MemoryLedger::Engine> listed;
  MemoryLedger ledger;
  uint64_t serial = 0;
  std::set<BackEndId> dead;  // engines that can't be reached
  int granted_at_dead = 0;
  std::map<uint64_t, MemoryDemand> asked;
  std::multimap<MonoTime, MemoryClaimId> ends;
  std::map<int, int> granted;
  std::map<int, int> refused;
  std::map<std::string, int> granted_to;
  std::vector<uint64_t> order;
  std::vector<MonoTime> returns;
};

MemoryLedger::Options PatientOptions() {
  MemoryLedger::Options options;
  options.waiter_lifetime = seconds(60);
  return options;
}

TEST_CASE(
    "under twice the load no rank is served less than a less urgent one") {
  Load load(4, PatientOptions());
  // 16 runs a second fit. Each rank alone asks for two thirds of that.
  for (int i = 0; i < 1000; ++i) {
    load.Ask(load.MakeDemand(i % 3));
    load.Run(milliseconds(30));
  }
  CHECK(load.granted[0] > 300);
  CHECK(load.granted[0] >= load.granted[1]);
  CHECK(load.granted[1] >= load.granted[2]);
  CHECK(load.granted[2] > 10);
  CHECK(load.granted[0] + load.granted[1] + load.granted[2] > 440);
  CHECK(load.refused[2] > load.refused[0]);
}

TEST_CASE("a customer that sends many times its share delays only itself") {
  MemoryLedger::Options options = PatientOptions();
  options.share_slack = 2 * kRun.count();
  Load load(4, options);
  for (int i = 0; i < 600; ++i) {
    load.Ask(load.MakeDemand(0, i % 6 == 0 ? "modest" : "hot"));
    load.Run(milliseconds(30));
  }
  CHECK(load.granted_to["modest"] > 95);
  CHECK(load.granted_to["hot"] > 150);
}

TEST_CASE("among equals the one with the least time left goes first") {
  Load load(1);
  for (int i = 0; i < 4; ++i) load.Ask(load.MakeDemand(0));
  MemoryDemand patient = load.MakeDemand(0);
  MemoryDemand urgent = load.MakeDemand(0);
  urgent.target_wait = milliseconds(1500);
  patient.target_wait = milliseconds(2000);
  load.Ask(patient);
  load.Ask(urgent);
  load.Run(kHold + milliseconds(20));
  REQUIRE(load.order.size() >= 6);
  CHECK(load.order[4] == urgent.id.serial);
}

TEST_CASE("a large request isn't overtaken for ever by small ones") {
  Load load(1, PatientOptions());
  for (int i = 0; i < 4; ++i) {
    load.Ask(load.MakeDemand(0));
    load.Run(milliseconds(250));
  }
  MemoryDemand large = load.MakeDemand(0, "large", Tokens(7000));
  large.target_wait = milliseconds(1500);
  load.Ask(large);
  for (int i = 0; i < 100; ++i) {
    MemoryDemand small = load.MakeDemand(0, "small");
    small.target_wait = milliseconds(1500);
    load.Ask(small);
    load.Run(milliseconds(50));
  }
  const auto at =
      std::find(load.order.begin(), load.order.end(), large.id.serial);
  REQUIRE(at != load.order.end());
  CHECK(at - load.order.begin() < 8);
}

TEST_CASE("a request larger than an engine gets a whole one") {
  Load load(1);
  const MemoryDecision decision =
      load.Ask(load.MakeDemand(0, "c", Tokens(3 * kEngineMemory)));
  CHECK(decision.result == MemoryDecision::Result::kGranted);
  CHECK(load.ledger.GrantedAt(BackEndId("e0")).count() == kEngineMemory);
}

TEST_CASE("who can't be served in time is refused at once, to return in turn") {
  Load load(2, PatientOptions());
  int answered = 0;
  for (int i = 0; i < 200; ++i) {
    MemoryDemand demand = load.MakeDemand(0);
    demand.max_wait = seconds(2);
    if (load.Ask(demand).result == MemoryDecision::Result::kRefused) ++answered;
  }
  // 8 fit now, and some 16 within their callers' time.
  CHECK(answered > 150);
  CHECK(load.ledger.waiting_count() >= 8);
  std::sort(load.returns.begin(), load.returns.end());
  CHECK(load.returns.front() - load.now >= seconds(1));
  CHECK(load.returns.back() - load.now <= milliseconds(4500));
  // No tenth of a second gets a fifth of them.
  for (size_t i = 0; i + 40 < load.returns.size(); ++i)
    CHECK(load.returns[i + 40] - load.returns[i] > milliseconds(100));
}

TEST_CASE(
    "a request that waits is refused before its caller has waited in vain") {
  Load load(1, PatientOptions());
  for (int i = 0; i < 4; ++i) load.Ask(load.MakeDemand(0));
  MemoryDemand demand = load.MakeDemand(2);
  demand.max_wait = milliseconds(1500);
  CHECK(load.Ask(demand).result == MemoryDecision::Result::kWaiting);
  for (int i = 0; i < 60; ++i) {
    load.Ask(load.MakeDemand(0));
    load.Run(milliseconds(50));
  }
  CHECK(load.refused[2] + load.granted[2] == 1);
}

TEST_CASE("a new owner starts from what is known and with less") {
  MemoryLedger::Options options;
  SeededRandom random{7};
  MemoryLedger ledger(Tokens(kEngineMemory), MonoTime{}, &random, options);
  std::vector<MemoryLedger::Engine> engines{MakeEngine("e0"), MakeEngine("e1")};
  engines[0].used_by_others = Tokens(kEngineMemory);
  ledger.SetEngines(engines);
  Load load;
  int granted = 0;
  for (int i = 0; i < 10; ++i) {
    const MemoryDecision decision =
        ledger.Request(load.MakeDemand(0), MonoTime{}).front();
    if (decision.result != MemoryDecision::Result::kGranted) continue;
    ++granted;
    CHECK(decision.engine == BackEndId("e1"));
  }
  CHECK(granted == 2);  // 0.6 of one engine.
  // Holdings that daemons report count at once; then the queue gets the rest.
  const MonoTime later = MonoTime{} + seconds(1);
  engines[0].used_by_others = Tokens(0);
  ledger.SetEngines(engines);
  for (uint64_t i = 1; i <= 4; ++i)
    ledger.Renew({"other", 1, i}, BackEndId("e0"), 1, kRun, kHold, later);
  CHECK(ledger.GrantedAt(BackEndId("e0")).count() == kEngineMemory);
  for (const MemoryDecision& decision : ledger.Advance(later))
    if (decision.result == MemoryDecision::Result::kGranted)
      CHECK(decision.engine == BackEndId("e1"));
  CHECK(ledger.GrantedAt(BackEndId("e1")).count() == kEngineMemory);
}

TEST_CASE("growth counts, and grants end with holder, engine or lifetime") {
  Load load(1);
  const MemoryDemand first = load.MakeDemand(0);
  load.Ask(first);
  load.ledger.Renew(first.id, BackEndId("e0"), 1, Tokens(5000), kHold,
                    load.now);
  CHECK(load.ledger.GrantedAt(BackEndId("e0")) == Tokens(5008));
  const MemoryDemand second = load.MakeDemand(0);
  CHECK(load.Ask(second).result == MemoryDecision::Result::kGranted);
  CHECK(load.Ask(load.MakeDemand(0)).result ==
        MemoryDecision::Result::kWaiting);
  SECTION("the holder restarts") {
    load.ledger.DropMember("m", 2, load.now);
    CHECK(load.ledger.idle());
  }
  SECTION("the engine restarts") {
    load.listed[0].incarnation = 2;
    load.ledger.SetEngines(load.listed);
    CHECK(load.ledger.grant_count() == 0);
    CHECK(load.ledger.granted() == Tokens(0));
    load.ledger.Release(first.id, load.now);
    load.Record(load.ledger.Advance(load.now));
    CHECK(load.ledger.grant_count() == 1);
  }
  SECTION("nobody renews it") {
    load.now += seconds(4);
    load.ledger.Advance(load.now);
    CHECK(load.ledger.idle());
  }
}

TEST_CASE("repeated requests change nothing, and late releases neither") {
  Load load(1);
  const MemoryDemand demand = load.MakeDemand(0);
  load.Ask(demand);
  CHECK(load.ledger.Request(demand, load.now).front().result ==
        MemoryDecision::Result::kGranted);
  CHECK(load.ledger.granted() == kRun);
  load.ledger.Release(demand.id, load.now);
  load.ledger.Release(demand.id, load.now);
  load.ledger.Release({"m", 9, 9}, load.now);
  CHECK(load.ledger.granted() == Tokens(0));
}

TEST_CASE("an engine that refuses a grant gets none for a while") {
  Load load(1);
  const MemoryDemand demand = load.MakeDemand(0);
  load.Ask(demand);
  load.ledger.OnEngineRefused(demand.id, /*unreachable=*/false, load.now);
  CHECK(load.Ask(load.MakeDemand(0)).result ==
        MemoryDecision::Result::kWaiting);
  load.Run(milliseconds(210));
  CHECK(load.ledger.grant_count() == 1);
}

TEST_CASE(
    "an engine that can't be reached is probed by one request at a time") {
  Load load(2);
  load.dead.insert(BackEndId("e1"));  // It would be the emptier one.
  for (int i = 0; i < 100; ++i) {
    load.Ask(load.MakeDemand(0));
    load.Run(milliseconds(50));
  }
  CHECK(load.granted_at_dead >= 3);
  CHECK(load.granted_at_dead <= 6);
}

TEST_CASE("a ledger is used where requests have several ranks") {
  SiteService service;
  service.id = ServiceId("llm");
  service.engine = EngineSpec{};
  service.engine->kv_memory = Tokens(1000);
  service.engine->reservation_lifetime = seconds(2);
  SiteRoute one;
  one.traffic_split = {{service.id, 1}};
  SiteRoute two = one;
  SiteCustomer customer;
  const auto uses = [&](MemoryLedgerMode mode) {
    const SiteConfig config(1, {one, two}, {service}, {customer}, {});
    return UsesMemoryLedger(config, service.id, mode);
  };
  CHECK_FALSE(uses(MemoryLedgerMode::kAuto));
  CHECK(uses(MemoryLedgerMode::kOn));
  two.priority = 2;
  CHECK(uses(MemoryLedgerMode::kAuto));
  CHECK_FALSE(uses(MemoryLedgerMode::kOff));
  two.priority = 0;
  customer.priority = 3;
  CHECK(uses(MemoryLedgerMode::kAuto));
  service.engine->reservation_lifetime = Duration::zero();
  CHECK_FALSE(uses(MemoryLedgerMode::kOn));
}

}  // namespace
}  // namespace mimosa
