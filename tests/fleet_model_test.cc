// Simulates a fleet of real FleetManagers and FleetLimiters in virtual time,
// with seeded random faults. A checker that sees the state of all daemons
// verifies:
//  - no member lease is held (by its holder's clock) once its record is marked
//    as ended or deleted;
//  - no slot is owned by two members at once;
//  - the net tokens admitted to a customer, each counted at its admission,
//    never exceed burst + rate * window, for any window and with no slack.
// The same checks must fail on each of the mutants below.
//
// The environment variable MIMOSA_HISTORIES is the number of simulated runs,
// MIMOSA_SEED the first seed.
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

constexpr Duration kLeaseDuration = seconds(3);
constexpr int kSlots = 8;
constexpr double kMaxDrift = 1.0 / kClockDriftInverse;

// Leases and slot owners are checked once per this many events.
constexpr uint64_t kEventsPerCheck = 16;

enum class Mutant {
  kNone,
  kLeaseIgnored,            // the holder ignores its lease deadline
  kWitnessAlwaysVotes,      // a witness votes for any eviction
  kEvictionWithoutVotes,    // silent members are evicted without votes
  kFullAfterTakeover,       // a new bucket owner starts at the burst
  kAllotmentOutlivesLease,  // allotments outlive the bucket owner's lease
  kNoAllotmentExpiry,       // allotments never expire at the daemon
};

struct Customer {
  CustomerId id;
  BucketLimits limits;
};

struct Admission {
  MonoTime at;  // in real time
  int64_t tokens;
  int64_t refunded = 0;
};

struct Daemon {
  Daemon(VirtualTimeSimulator* simulator, VirtualPlatform* platform,
         VirtualNetwork* network, const std::string& name,
         const Endpoint& address, uint64_t seed, const Mutant mutant,
         const BucketLimitsLookup& limits_of)
      : random(seed),
        loop(simulator, seconds(random.UniformInt(1000)),
             (2 * random.UniformDouble() - 1) * kMaxDrift),
        kv(platform, &loop),
        bus(network, &loop, address),
        fleet(&loop, &kv, &bus, &random, Options(name, address, mutant)),
        limits(&loop, &fleet, &bus, LimiterOptions(mutant), limits_of) {
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
    options.lease_duration = kLeaseDuration;
    options.slot_count = kSlots;
    if (mutant == Mutant::kLeaseIgnored) options.disabled_mechanisms = {"term"};
    return options;
  }
  static FleetLimiterOptions LimiterOptions(Mutant mutant) {
    FleetLimiterOptions options;
    options.lease_duration = kLeaseDuration;
    options.slot_count = kSlots;
    if (mutant == Mutant::kNoAllotmentExpiry)
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
  uint64_t ended_members = 0;
  uint64_t slot_table_writes = 0;
  uint64_t platform_calls = 0;
  uint64_t peer_calls = 0;
};

class SimulatedRun {
 public:
  SimulatedRun(uint64_t seed, Mutant mutant)
      : mutant_(mutant),
        random_(seed),
        low_slack_(seed % 2 == 1),
        platform_(&simulator_, &random_, &injected_faults_),
        network_{&simulator_, &random_, &injected_faults_, {}, {}, nullptr, 0} {
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
    platform_.on_delete = [this](const std::string& key) {
      OnMemberEnded(key);
    };
    ApplyNetworkMutant();
    simulator_.SetEventHook([this] { CheckInvariants(); });
  }

  // Returns the first violated invariant, or an empty string.
  const std::string& Run(Totals* totals) {
    const size_t size = 1 + random_.UniformInt(8);
    for (size_t i = 0; i < size; ++i) {
      AddDaemon(std::string(1, static_cast<char>('a' + i)));
    }
    const MonoTime end =
        simulator_.now() + seconds(20 + random_.UniformInt(40));
    ScheduleFault();
    ScheduleCharge();
    if (low_slack_) EnterPhase(Phase::kSteady);
    while (simulator_.now() < end && violation_.empty()) {
      simulator_.RunUntil(simulator_.now() + milliseconds(100));
    }
    CheckBuckets();
    totals_.platform_calls = platform_.calls;
    totals_.peer_calls = network_.calls;
    AddTotalsTo(totals);
    return violation_;
  }

 private:
  void AddTotalsTo(Totals* totals) const {
    totals->admitted += totals_.admitted;
    totals->refused += totals_.refused;
    totals->refunds += totals_.refunds;
    totals->ended_members += totals_.ended_members;
    totals->slot_table_writes += totals_.slot_table_writes;
    totals->platform_calls += totals_.platform_calls;
    totals->peer_calls += totals_.peer_calls;
  }

  void RecordViolation(const std::string& what) {
    if (violation_.empty()) {
      violation_ =
          what + " at " +
          std::to_string(ToMillis(simulator_.now().time_since_epoch()) -
                         3600000) +
          " ms";
    }
  }

  // --- Mutants ---------------------------------------------------------------

  void ApplyNetworkMutant() {
    network_.on_reply = [this](const std::string& method,
                               google::protobuf::Message* reply) {
      if (mutant_ == Mutant::kWitnessAlwaysVotes && method == "fleet.end") {
        static_cast<wire::EndReply*>(reply)->set_agreed(true);
      }
      if (mutant_ == Mutant::kAllotmentOutlivesLease &&
          method == "limits.allot") {
        auto* allotments = static_cast<wire::AllotmentReply*>(reply);
        for (auto& item : *allotments->mutable_items()) {
          item.set_lifetime_ms(item.lifetime_ms() * 20);
        }
      }
    };
  }

  void EvictPausedMembers() {
    // Evicts each member whose process is paused now, without a vote.
    for (const auto& daemon : daemons_) {
      if (!daemon->loop.paused() || daemon->loop.killed()) continue;
      const std::string key = "d/fleet/members/" + daemon->fleet.self().value();
      const KvResult current = platform_.Get(key);
      wire::MemberRecord record;
      if (current.status != KvStatus::kOk ||
          !FromJson(current.record.value, false, &record) || record.ended()) {
        continue;
      }
      record.set_ended(true);
      platform_.Put(key, ToJson(record), current.record.revision, "");
    }
  }

  // --- Invariant checks ------------------------------------------------------

  void OnPut(const std::string& key, std::string* value) {
    if (key == "d/fleet/slots") {
      ++totals_.slot_table_writes;
      wire::SlotTable table;
      if (mutant_ != Mutant::kFullAfterTakeover ||
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
    if (FromJson(*value, false, &record) && record.ended()) OnMemberEnded(key);
  }

  void OnMemberEnded(const std::string& key) {
    ++totals_.ended_members;
    ended_members_.insert(key.substr(key.rfind('/') + 1));
  }

  bool IsRunning(const Daemon& daemon) const {
    return !daemon.loop.killed() && !daemon.loop.paused();
  }

  // Runs after each event. Paused processes are skipped, since they decide
  // nothing.
  void CheckInvariants() {
    if (++events_ % kEventsPerCheck != 0) return;
    std::map<int, const Daemon*> owners;
    for (const auto& daemon : daemons_) {
      if (!IsRunning(*daemon)) continue;
      const bool held = daemon->loop.Now() < daemon->fleet.LeaseDeadline();
      if (held && ended_members_.count(daemon->fleet.self().value()) > 0) {
        RecordViolation("lease held after its end by " +
                        daemon->fleet.self().value());
      }
      for (int slot = 0; slot < kSlots; ++slot) {
        if (!daemon->fleet.OwnsSlot(slot)) continue;
        if (!owners.emplace(slot, daemon.get()).second) {
          RecordViolation("slot " + std::to_string(slot) + " owned twice");
        }
      }
    }
  }

  // A token bucket that is charged the net tokens at their admission never goes
  // below zero. That checks the bound for all windows at once. Levels are in
  // micro-tokens.
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
          RecordViolation("bucket of " + customer.id.value() +
                          " overdrawn by " + std::to_string(-level / 1000000) +
                          " of rate " + std::to_string(limits.rate) +
                          " burst " + std::to_string(limits.burst));
          return;
        }
      }
    }
  }

  // --- Load ------------------------------------------------------------------

  void ScheduleCharge() {
    simulator_.ScheduleAt(
        simulator_.now() + Duration(random_.UniformInt(20000)), [this] {
          if (phase_ != Phase::kQuiet) ChargeRandomDaemon();
          ScheduleCharge();
        });
  }

  // Demand within the rate builds up prefetched tokens, then the buckets fill
  // up while there are no calls, then all daemons call at once.
  enum class Phase { kSteady, kQuiet, kFlood };
  void EnterPhase(Phase phase) {
    phase_ = phase;
    const Phase next = phase == Phase::kSteady  ? Phase::kQuiet
                       : phase == Phase::kQuiet ? Phase::kFlood
                                                : Phase::kSteady;
    const uint64_t longest = phase == Phase::kFlood ? 3000 : 8000;
    simulator_.ScheduleAt(
        simulator_.now() + milliseconds(500 + random_.UniformInt(longest)),
        [this, next] { EnterPhase(next); });
  }

  int64_t ChargeSize(const BucketLimits& limits) {
    if (!low_slack_) {
      const auto part = static_cast<int64_t>(1 + random_.UniformInt(20));
      return 1 +
             static_cast<int64_t>(random_.UniformInt(limits.burst / part + 1));
    }
    if (phase_ == Phase::kFlood) {
      return 1 +
             limits.burst / static_cast<int64_t>(5 + random_.UniformInt(100));
    }
    return 1 + limits.rate / 40;  // about 30 charges per second and customer
  }

  void ChargeRandomDaemon() {
    // Uneven load balancing: the first daemons get most charges.
    const size_t pick =
        random_.UniformInt(1 + random_.UniformInt(daemons_.size()));
    Daemon* daemon = daemons_[pick].get();
    if (!IsRunning(*daemon)) return;
    const Customer& customer =
        customers_[random_.UniformInt(customers_.size())];
    const int64_t tokens = ChargeSize(customer.limits);
    const bool may_wait = random_.UniformInt(3) == 0;
    const MonoTime until =
        daemon->loop.Now() + (may_wait ? seconds(8) : seconds(0));
    daemon->pending.push_back(daemon->limits.Charge(
        customer.id, Tokens(tokens), until,
        [this, daemon, tokens, id = customer.id](const ChargeResult& result) {
          OnDecided(daemon, id, tokens, result);
        }));
    if (daemon->pending.size() > 20) {
      daemon->pending.erase(daemon->pending.begin());  // abandons the charge
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
    admitted.push_back({simulator_.now(), tokens, 0});
    if (low_slack_ || random_.UniformInt(2) == 0) return;
    const auto unused = static_cast<int64_t>(random_.UniformInt(tokens + 1));
    const MonoTime charged_at = daemon->loop.Now();
    daemon->loop.RunAt(
        simulator_.now() + milliseconds(random_.UniformInt(10000)),
        [this, daemon, customer, index, unused, charged_at] {
          if (unused == 0) return;
          ++totals_.refunds;
          admitted_[customer][index].refunded = unused;
          daemon->limits.Refund(customer, Tokens(unused), charged_at);
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
        &simulator_, &platform_, &network_, name, address, random_.Next(),
        mutant_, [this](const CustomerId& id) { return FindLimits(id); }));
    daemons_.back()->address = address;
    names_.push_back(name);
  }

  std::optional<BucketLimits> FindLimits(const CustomerId& id) const {
    for (const Customer& customer : customers_) {
      if (customer.id == id) return customer.limits;
    }
    return std::nullopt;
  }

  void ScheduleFault() {
    simulator_.ScheduleAt(
        simulator_.now() + milliseconds(200 + random_.UniformInt(6000)),
        [this] {
          InjectFault();
          ScheduleFault();
        });
  }

  void InjectFault() {
    if (low_slack_) {
      InjectLowSlackFault();
      return;
    }
    const size_t pick = random_.UniformInt(daemons_.size());
    Daemon* daemon = daemons_[pick].get();
    const Duration duration = milliseconds(random_.UniformInt(12000));
    switch (random_.UniformInt(10)) {
      case 0:
      case 1:
      case 2:
        if (!IsRunning(*daemon)) return;
        daemon->loop.Pause();
        simulator_.ScheduleAt(simulator_.now() + duration,
                              [daemon] { daemon->loop.Resume(); });
        if (mutant_ == Mutant::kEvictionWithoutVotes) {
          simulator_.ScheduleAt(simulator_.now() + milliseconds(100),
                                [this] { EvictPausedMembers(); });
        }
        return;
      case 3:
        ReplaceDaemon(pick, true);
        return;
      case 4:
        ReplaceDaemon(pick, false);
        return;
      case 5: {
        const auto pair = std::make_pair(
            daemon->address,
            daemons_[random_.UniformInt(daemons_.size())]->address);
        network_.blocked_links.insert(pair);
        simulator_.ScheduleAt(simulator_.now() + duration, [this, pair] {
          network_.blocked_links.erase(pair);
        });
        return;
      }
      case 6:
        injected_faults_.platform_down = true;
        simulator_.ScheduleAt(simulator_.now() + 2 * duration, [this] {
          injected_faults_.platform_down = false;
        });
        return;
      case 7:
        injected_faults_.platform_reply_loss = random_.UniformInt(400);
        simulator_.ScheduleAt(simulator_.now() + duration, [this] {
          injected_faults_.platform_reply_loss = 0;
        });
        return;
      case 8:
        injected_faults_.message_loss = random_.UniformInt(200);
        injected_faults_.request_duplication = random_.UniformInt(100);
        injected_faults_.long_delay = random_.UniformInt(100);
        simulator_.ScheduleAt(simulator_.now() + duration, [this] {
          injected_faults_.message_loss = injected_faults_.request_duplication =
              injected_faults_.long_delay = 0;
        });
        return;
      default:
        if (IsRunning(*daemon)) daemon->fleet.LeaveGracefully([] {});
        return;
    }
  }

  // Injects only faults that leave allotments behind, so that few tokens get
  // lost.
  void InjectLowSlackFault() {
    const size_t pick = random_.UniformInt(daemons_.size());
    Daemon* daemon = daemons_[pick].get();
    if (!IsRunning(*daemon)) return;
    if (random_.UniformInt(4) == 0) {
      ReplaceDaemon(pick, true);
      return;
    }
    daemon->loop.Pause();
    simulator_.ScheduleAt(
        simulator_.now() + milliseconds(random_.UniformInt(12000)),
        [daemon] { daemon->loop.Resume(); });
  }

  void ReplaceDaemon(size_t pick, bool same_address) {
    Daemon* daemon = daemons_[pick].get();
    if (daemon->loop.killed()) return;
    daemon->loop.Kill();
    network_.buses.erase(daemon->address);
    if (!same_address) platform_.vms.erase(daemon->address.ip);
    const std::string name = names_[pick];
    const Endpoint address = daemon->address;
    simulator_.ScheduleAt(
        simulator_.now() + milliseconds(random_.UniformInt(4000)),
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
  // True in every other run: small charges, no refunds and few lost tokens keep
  // the buckets close to empty, so that the slightest excess shows.
  const bool low_slack_;
  VirtualTimeSimulator simulator_;
  InjectedFaults injected_faults_;
  VirtualPlatform platform_;
  VirtualNetwork network_;
  std::vector<Customer> customers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;  // includes killed ones
  std::vector<std::string> names_;
  std::set<std::string> ended_members_;
  uint64_t events_ = 0;
  std::map<CustomerId, std::vector<Admission>> admitted_;
  int next_ip_ = 0;
  Phase phase_ = Phase::kFlood;
  std::string violation_;
  Totals totals_;
};

uint64_t FromEnvironment(const char* name, uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Simulates runs until one violates an invariant. Returns the number of runs
// and sets `violation`.
uint64_t RunUntilViolation(Mutant mutant, uint64_t limit,
                           std::string* violation) {
  Totals totals;
  for (uint64_t i = 0; i < limit; ++i) {
    SimulatedRun simulated_run(1000 + i, mutant);
    *violation = simulated_run.Run(&totals);
    if (!violation->empty()) return i + 1;
  }
  return limit;
}

TEST_CASE(
    "Leases, slots and buckets keep their invariants in all simulated runs") {
  const uint64_t seed = FromEnvironment("MIMOSA_SEED", 1);
  const uint64_t count = FromEnvironment("MIMOSA_HISTORIES", 300);
  Totals totals;
  for (uint64_t i = 0; i < count; ++i) {
    SimulatedRun simulated_run(seed + i, Mutant::kNone);
    const std::string violation = simulated_run.Run(&totals);
    INFO("seed " << seed + i);
    REQUIRE(violation == "");
  }
  std::cout << "histories " << count << " from seed " << seed << ": admitted "
            << totals.admitted << ", refused " << totals.refused << ", refunds "
            << totals.refunds << ", members ended " << totals.ended_members
            << ", slot table writes " << totals.slot_table_writes
            << ", platform calls " << totals.platform_calls << ", peer calls "
            << totals.peer_calls << "\n";
  CHECK(totals.admitted > 100 * count);
  CHECK(totals.ended_members > count);
}

TEST_CASE("The simulated runs detect each mutant") {
  const std::pair<Mutant, const char*> mutants[] = {
      {Mutant::kLeaseIgnored, "the holder ignores its lease deadline"},
      {Mutant::kWitnessAlwaysVotes, "witnesses vote for any eviction"},
      {Mutant::kEvictionWithoutVotes, "eviction without votes of witnesses"},
      {Mutant::kFullAfterTakeover, "a new bucket owner starts full"},
      {Mutant::kAllotmentOutlivesLease, "allotments outlive the lease"},
      {Mutant::kNoAllotmentExpiry, "allotments never expire at the daemon"},
  };
  for (const auto& [mutant, name] : mutants) {
    std::string violation;
    const uint64_t ran = RunUntilViolation(mutant, 200, &violation);
    std::cout << "mutant: " << name << ": history " << ran << ": " << violation
              << "\n";
    CHECK(violation != "");
  }
}

}  // namespace
}  // namespace mimosa
