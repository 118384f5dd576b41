// Seeded random histories of a fleet of real drivers in virtual time, against
// an omniscient reference:
//  - no term is held (by its holder's clock) once its record is ended or gone;
//  - no slot is owned by two members at once;
//  - the net tokens admitted to a customer, each at its admission, never exceed
//    burst + rate * window, whatever the window, with no slack.
// The same checks must fail on each of the mutants below.
//
// MIMOSA_HISTORIES: how many histories; MIMOSA_SEED: the first seed.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "router/fleet_limiter.h"
#include "router/fleet_manager.h"
#include "tests/virtual_fleet.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrant = seconds(3);
constexpr int kSlots = 8;
constexpr double kMaxDrift = 1.0 / kClockDriftInverse;

// Terms and owners are looked at each so many events.
constexpr uint64_t kCheckEvery = 16;

enum class Mutant {
  kNone,
  kTermIgnored,          // the holder doesn't look at its deadline
  kWitnessForgets,       // a witness agrees to any end
  kEndWithoutWitnesses,  // members are ended on mere silence
  kFullAfterTakeOver,    // a new home starts at the burst
  kAllotmentOutlives,    // allotments live on after the home's term
  kNoExpiry,             // allotments never end at the daemon
};

struct Customer {
  CustomerId id;
  BucketLimits limits;
};

struct Admission {
  MonoTime at;  // real time
  int64_t tokens;
  int64_t refunded = 0;
};

struct Daemon {
  Daemon(VirtualTimeSimulator* world, VirtualPlatform* platform,
         VirtualNetwork* network, const std::string& name,
         const Endpoint& address, uint64_t seed, const Mutant mutant,
         const BucketLimitsLookup& limits_of)
      : random(seed),
        loop(world, seconds(random.UniformInt(1000)),
             (2 * random.UniformDouble() - 1) * kMaxDrift),
        kv(platform, &loop),
        bus(network, &loop, address),
        fleet(&loop, &kv, &bus, &random, Options(name, address, mutant)),
        limits(&loop, &fleet, &bus, LimitsOf(mutant), limits_of) {
    fleet.SetSlotStateHandler(&limits);
    fleet.Start();
  }

  static FleetOptions Options(const std::string& name, const Endpoint& address,
                              Mutant mutant) {
    FleetOptions options;
    options.name = name;
    options.peer_address = address;
    options.failure_domain = FailureDomain(name.substr(0, 1));
    options.region = "r";
    options.deployment = "d";
    options.lease_duration = kGrant;
    options.slot_count = kSlots;
    if (mutant == Mutant::kTermIgnored) options.disabled_mechanisms = {"term"};
    return options;
  }
  static FleetLimiterOptions LimitsOf(Mutant mutant) {
    FleetLimiterOptions options;
    options.lease_duration = kGrant;
    options.slot_count = kSlots;
    if (mutant == Mutant::kNoExpiry)
      options.disabled_mechanisms = {"allotment-expiry"};
    return options;
  }

  SeededRandom random;
  VirtualLoop loop;
  VirtualKvStore kv;
  VirtualBus bus;
  FleetManager fleet;
  FleetLimiter limits;
  Endpoint address;
  std::vector<std::unique_ptr<PendingCharge>> pending;
};

struct Totals {
  uint64_t admitted = 0;
  uint64_t refused = 0;
  uint64_t refunds = 0;
  uint64_t ended = 0;
  uint64_t take_overs = 0;
  uint64_t platform_calls = 0;
  uint64_t peer_calls = 0;
};

class History {
 public:
  History(uint64_t seed, Mutant mutant)
      : mutant_(mutant),
        random_(seed),
        keen_(seed % 2 == 1),
        platform_(&world_, &random_, &weather_),
        network_{&world_, &random_, &weather_, {}, {}, nullptr, 0} {
    for (int i = 0; i < 3; ++i) {
      const int64_t rate = 100 + static_cast<int64_t>(random_.UniformInt(2000));
      const int64_t burst =
          rate / 2 + static_cast<int64_t>(random_.UniformInt(4 * rate));
      customers_.push_back(
          {CustomerId("c" + std::to_string(i)), {rate, burst}});
    }
    platform_.on_put = [this](const std::string& key, std::string* value) {
      OnPut(key, value);
    };
    platform_.on_delete = [this](const std::string& key) { OnOver(key); };
    ApplyNetworkMutant();
    world_.SetEventHook([this] { CheckSome(); });
  }

  // Empty: all held. Else what did not.
  const std::string& Run(Totals* totals) {
    const size_t size = 1 + random_.UniformInt(8);
    for (size_t i = 0; i < size; ++i) {
      AddDaemon(std::string(1, static_cast<char>('a' + i)));
    }
    const MonoTime end = world_.now() + seconds(20 + random_.UniformInt(40));
    ScheduleFault();
    ScheduleCharge();
    if (keen_) EnterPhase(Phase::kSteady);
    while (world_.now() < end && fault_.empty()) {
      world_.RunUntil(world_.now() + milliseconds(100));
    }
    CheckBuckets();
    totals_.platform_calls = platform_.calls;
    totals_.peer_calls = network_.calls;
    Add(totals);
    return fault_;
  }

 private:
  void Add(Totals* totals) const {
    totals->admitted += totals_.admitted;
    totals->refused += totals_.refused;
    totals->refunds += totals_.refunds;
    totals->ended += totals_.ended;
    totals->take_overs += totals_.take_overs;
    totals->platform_calls += totals_.platform_calls;
    totals->peer_calls += totals_.peer_calls;
  }

  void Fail(const std::string& what) {
    if (fault_.empty()) {
      fault_ =
          what + " at " +
          std::to_string(ToMillis(world_.now().time_since_epoch()) - 3600000) +
          " ms";
    }
  }

  // --- Mutants ---------------------------------------------------------------

  void ApplyNetworkMutant() {
    network_.on_reply = [this](const std::string& method,
                               google::protobuf::Message* reply) {
      if (mutant_ == Mutant::kWitnessForgets && method == "fleet.end") {
        static_cast<wire::EndReply*>(reply)->set_agreed(true);
      }
      if (mutant_ == Mutant::kAllotmentOutlives && method == "limits.allot") {
        auto* allotments = static_cast<wire::AllotmentReply*>(reply);
        for (auto& item : *allotments->mutable_items()) {
          item.set_lifetime_ms(item.lifetime_ms() * 20);
        }
      }
    };
  }

  void EndOnSilence() {
    // Anyone whose process is paused now is ended without a question.
    for (const auto& daemon : daemons_) {
      if (!daemon->loop.paused() || daemon->loop.killed()) continue;
      const std::string key = "d/fleet/members/" + daemon->fleet.self().value();
      const KvResult there = platform_.Get(key);
      wire::MemberRecord record;
      if (there.status != KvStatus::kOk ||
          !FromJson(there.record.value, false, &record) || record.ended()) {
        continue;
      }
      record.set_ended(true);
      platform_.Put(key, ToJson(record), there.record.revision, "");
    }
  }

  // --- The reference ---------------------------------------------------------

  void OnPut(const std::string& key, std::string* value) {
    if (key == "d/fleet/slots") {
      ++totals_.take_overs;
      wire::SlotTable table;
      if (mutant_ != Mutant::kFullAfterTakeOver ||
          !FromJson(*value, false, &table)) {
        return;
      }
      for (auto& start : *table.mutable_start()) {
        if (start.empty()) start = kInitiallyFull;
      }
      *value = ToJson(table);
      return;
    }
    wire::MemberRecord record;
    if (FromJson(*value, false, &record) && record.ended()) OnOver(key);
  }

  void OnOver(const std::string& key) {
    ++totals_.ended;
    over_.insert(key.substr(key.rfind('/') + 1));
  }

  bool Runs(const Daemon& daemon) const {
    return !daemon.loop.killed() && !daemon.loop.paused();
  }

  // After each event; a paused process decides nothing.
  void CheckSome() {
    if (++events_ % kCheckEvery != 0) return;
    std::map<int, const Daemon*> owners;
    for (const auto& daemon : daemons_) {
      if (!Runs(*daemon)) continue;
      const bool held = daemon->loop.Now() < daemon->fleet.LeaseDeadline();
      if (held && over_.count(daemon->fleet.self().value()) > 0) {
        Fail("term held after its end by " + daemon->fleet.self().value());
      }
      for (int slot = 0; slot < kSlots; ++slot) {
        if (!daemon->fleet.OwnsSlot(slot)) continue;
        if (!owners.emplace(slot, daemon.get()).second) {
          Fail("slot " + std::to_string(slot) + " owned twice");
        }
      }
    }
  }

  // A bucket that takes the net tokens at their admission never runs dry. That
  // is the bound over all windows at once. In micro-tokens.
  void CheckBuckets() {
    for (const Customer& customer : customers_) {
      const BucketLimits& limits = customer.limits;
      const int64_t full = limits.burst * 1000000;
      int64_t level = full;
      MonoTime last{};
      for (const Admission& admission : admitted_[customer.id]) {
        const Duration gap = admission.at - last;
        level = gap > seconds(3600)
                    ? full
                    : std::min(full, level + limits.rate * gap.count());
        last = admission.at;
        level -= (admission.tokens - admission.refunded) * 1000000;
        if (level < 0) {
          Fail("bucket of " + customer.id.value() + " overdrawn by " +
               std::to_string(-level / 1000000) + " of rate " +
               std::to_string(limits.rate) + " burst " +
               std::to_string(limits.burst));
          return;
        }
      }
    }
  }

  // --- Load ------------------------------------------------------------------

  void ScheduleCharge() {
    world_.ScheduleAt(world_.now() + Duration(random_.UniformInt(20000)),
                      [this] {
                        if (phase_ != Phase::kQuiet) ChargeSomewhere();
                        ScheduleCharge();
                      });
  }

  // Demand within the rate builds up stocks, then the buckets fill up while
  // nobody calls, then all call at once.
  enum class Phase { kSteady, kQuiet, kFlood };
  void EnterPhase(Phase phase) {
    phase_ = phase;
    const Phase next = phase == Phase::kSteady  ? Phase::kQuiet
                       : phase == Phase::kQuiet ? Phase::kFlood
                                                : Phase::kSteady;
    const uint64_t longest = phase == Phase::kFlood ? 3000 : 8000;
    world_.ScheduleAt(
        world_.now() + milliseconds(500 + random_.UniformInt(longest)),
        [this, next] { EnterPhase(next); });
  }

  int64_t ChargeSize(const BucketLimits& limits) {
    if (!keen_) {
      const auto part = static_cast<int64_t>(1 + random_.UniformInt(20));
      return 1 +
             static_cast<int64_t>(random_.UniformInt(limits.burst / part + 1));
    }
    if (phase_ == Phase::kFlood) {
      return 1 +
             limits.burst / static_cast<int64_t>(5 + random_.UniformInt(100));
    }
    return 1 + limits.rate / 40;  // some 30 charges a second and customer
  }

  void ChargeSomewhere() {
    // Uneven balancing: the first daemons get most.
    const size_t pick =
        random_.UniformInt(1 + random_.UniformInt(daemons_.size()));
    Daemon* daemon = daemons_[pick].get();
    if (!Runs(*daemon)) return;
    const Customer& customer =
        customers_[random_.UniformInt(customers_.size())];
    const int64_t tokens = ChargeSize(customer.limits);
    const bool patient = random_.UniformInt(3) == 0;
    const MonoTime until =
        daemon->loop.Now() + (patient ? seconds(8) : seconds(0));
    daemon->pending.push_back(daemon->limits.Charge(
        customer.id, Tokens(tokens), until,
        [this, daemon, tokens, id = customer.id](const ChargeResult& result) {
          OnDecided(daemon, id, tokens, result);
        }));
    if (daemon->pending.size() > 20) {
      daemon->pending.erase(daemon->pending.begin());  // gives up on it
    }
  }

  void OnDecided(Daemon* daemon, const CustomerId& customer, int64_t tokens,
                 const ChargeResult& result) {
    if (!result.granted) {
      ++totals_.refused;
      return;
    }
    ++totals_.admitted;
    auto& admitted = admitted_[customer];
    const size_t index = admitted.size();
    admitted.push_back({world_.now(), tokens, 0});
    if (keen_ || random_.UniformInt(2) == 0) return;
    const auto unused = static_cast<int64_t>(random_.UniformInt(tokens + 1));
    const MonoTime charged_at = daemon->loop.Now();
    daemon->loop.RunAt(world_.now() + milliseconds(random_.UniformInt(10000)),
                       [this, daemon, customer, index, unused, charged_at] {
                         if (unused == 0) return;
                         ++totals_.refunds;
                         admitted_[customer][index].refunded = unused;
                         daemon->limits.Refund(customer, Tokens(unused),
                                               charged_at);
                       });
  }

  // --- Faults ----------------------------------------------------------------

  void AddDaemon(const std::string& name) {
    const Endpoint address{"10.0.0." + std::to_string(++next_ip_), 1};
    AddDaemonAt(name, address);
  }

  void AddDaemonAt(const std::string& name, const Endpoint& address) {
    platform_.vms.insert(address.ip);
    daemons_.push_back(std::make_unique<Daemon>(
        &world_, &platform_, &network_, name, address, random_.Next(), mutant_,
        [this](const CustomerId& id) { return LimitsOf(id); }));
    daemons_.back()->address = address;
    names_.push_back(name);
  }

  std::optional<BucketLimits> LimitsOf(const CustomerId& id) const {
    for (const Customer& customer : customers_) {
      if (customer.id == id) return customer.limits;
    }
    return std::nullopt;
  }

  void ScheduleFault() {
    world_.ScheduleAt(
        world_.now() + milliseconds(200 + random_.UniformInt(6000)), [this] {
          Fault();
          ScheduleFault();
        });
  }

  void Fault() {
    if (keen_) {
      KeenFault();
      return;
    }
    const size_t pick = random_.UniformInt(daemons_.size());
    Daemon* daemon = daemons_[pick].get();
    const Duration span = milliseconds(random_.UniformInt(12000));
    switch (random_.UniformInt(10)) {
      case 0:
      case 1:
      case 2:
        if (!Runs(*daemon)) return;
        daemon->loop.Pause();
        world_.ScheduleAt(world_.now() + span,
                          [daemon] { daemon->loop.Resume(); });
        if (mutant_ == Mutant::kEndWithoutWitnesses) {
          world_.ScheduleAt(world_.now() + milliseconds(100),
                            [this] { EndOnSilence(); });
        }
        return;
      case 3:
        Replace(pick, true);
        return;
      case 4:
        Replace(pick, false);
        return;
      case 5: {
        const auto pair = std::make_pair(
            daemon->address,
            daemons_[random_.UniformInt(daemons_.size())]->address);
        network_.blocked_links.insert(pair);
        world_.ScheduleAt(world_.now() + span,
                          [this, pair] { network_.blocked_links.erase(pair); });
        return;
      }
      case 6:
        weather_.platform_down = true;
        world_.ScheduleAt(world_.now() + 2 * span,
                          [this] { weather_.platform_down = false; });
        return;
      case 7:
        weather_.platform_reply_loss = random_.UniformInt(400);
        world_.ScheduleAt(world_.now() + span,
                          [this] { weather_.platform_reply_loss = 0; });
        return;
      case 8:
        weather_.message_loss = random_.UniformInt(200);
        weather_.request_duplication = random_.UniformInt(100);
        weather_.long_delay = random_.UniformInt(100);
        world_.ScheduleAt(world_.now() + span, [this] {
          weather_.message_loss = weather_.request_duplication =
              weather_.long_delay = 0;
        });
        return;
      default:
        if (Runs(*daemon)) daemon->fleet.LeaveGracefully([] {});
        return;
    }
  }

  // Only what leaves allotments behind, so that few tokens get lost.
  void KeenFault() {
    const size_t pick = random_.UniformInt(daemons_.size());
    Daemon* daemon = daemons_[pick].get();
    if (!Runs(*daemon)) return;
    if (random_.UniformInt(4) == 0) {
      Replace(pick, true);
      return;
    }
    daemon->loop.Pause();
    world_.ScheduleAt(world_.now() + milliseconds(random_.UniformInt(12000)),
                      [daemon] { daemon->loop.Resume(); });
  }

  void Replace(size_t pick, bool same_address) {
    Daemon* daemon = daemons_[pick].get();
    if (daemon->loop.killed()) return;
    daemon->loop.Kill();
    network_.buses.erase(daemon->address);
    if (!same_address) platform_.vms.erase(daemon->address.ip);
    const std::string name = names_[pick];
    const Endpoint address = daemon->address;
    world_.ScheduleAt(world_.now() + milliseconds(random_.UniformInt(4000)),
                      [this, name, address, same_address] {
                        if (same_address) {
                          AddDaemonAt(name, address);
                        } else {
                          AddDaemon(name);
                        }
                      });
  }

  const Mutant mutant_;
  SeededRandom random_;
  // Every other history: small charges, no refunds, few tokens lost, so that
  // the buckets are close to dry and the slightest excess shows.
  const bool keen_;
  VirtualTimeSimulator world_;
  InjectedFaults weather_;
  VirtualPlatform platform_;
  VirtualNetwork network_;
  std::vector<Customer> customers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;  // the killed ones too
  std::vector<std::string> names_;
  std::set<std::string> over_;
  uint64_t events_ = 0;
  std::map<CustomerId, std::vector<Admission>> admitted_;
  int next_ip_ = 0;
  Phase phase_ = Phase::kFlood;
  std::string fault_;
  Totals totals_;
};

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Histories until one fails; returns how many ran, and the failure.
uint64_t FirstFailure(Mutant mutant, uint64_t limit, std::string* fault) {
  Totals totals;
  for (uint64_t i = 0; i < limit; ++i) {
    History history(1000 + i, mutant);
    *fault = history.Run(&totals);
    if (!fault->empty()) return i + 1;
  }
  return limit;
}

TEST_CASE("Terms, slots and buckets hold in all histories") {
  const uint64_t seed = FromEnvironment("MIMOSA_SEED", 1);
  const uint64_t count = FromEnvironment("MIMOSA_HISTORIES", 300);
  Totals totals;
  for (uint64_t i = 0; i < count; ++i) {
    History history(seed + i, Mutant::kNone);
    const std::string fault = history.Run(&totals);
    INFO("seed " << seed + i);
    REQUIRE(fault == "");
  }
  std::cout << "histories " << count << " from seed " << seed << ": admitted "
            << totals.admitted << ", refused " << totals.refused << ", refunds "
            << totals.refunds << ", members ended " << totals.ended
            << ", slot table writes " << totals.take_overs
            << ", platform calls " << totals.platform_calls << ", peer calls "
            << totals.peer_calls << "\n";
  CHECK(totals.admitted > 100 * count);
  CHECK(totals.ended > count);
}

TEST_CASE("The histories find each mutant") {
  const std::pair<Mutant, const char*> mutants[] = {
      {Mutant::kTermIgnored, "the holder ignores its deadline"},
      {Mutant::kWitnessForgets, "witnesses agree to any end"},
      {Mutant::kEndWithoutWitnesses, "ended without asking witnesses"},
      {Mutant::kFullAfterTakeOver, "a new home starts full"},
      {Mutant::kAllotmentOutlives, "allotments outlive the term"},
      {Mutant::kNoExpiry, "allotments never end at the daemon"},
  };
  for (const auto& [mutant, name] : mutants) {
    std::string fault;
    const uint64_t ran = FirstFailure(mutant, 200, &fault);
    std::cout << "mutant: " << name << ": history " << ran << ": " << fault
              << "\n";
    CHECK(fault != "");
  }
}

}  // namespace
}  // namespace mimosa
