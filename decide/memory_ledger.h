// Ledger of the KV memory of all decode engines of one service: which runs hold
// memory, which requests wait for it, and who is next.
//
// Model: a run holds, from its grant to its release, the memory that it will
// occupy when it ends, in whole blocks. The sum of the grants at an engine
// stays within its capacity, so runs that grow as expected don't displace each
// other. A request that finds no room waits. Requests that can still meet their
// latency target precede those that can't; then the more urgent rank precedes;
// within a rank, customers share by start-time fair queueing, so one that sends
// many times its share delays only itself; among equals the earliest target
// goes first. A share of the granted memory goes to the request that has waited
// longest, whatever its rank, so that no rank starves. A request that fits
// nowhere claims the engine with the most free memory, which nothing behind it
// may use: a large request isn't overtaken for ever by small ones.
//
// A request whose expected wait exceeds what its caller has left is refused at
// once. Refused callers are told to return one after the other, at the pace at
// which memory comes free.
//
// A grant ends with its release or, unless it is renewed, after its lifetime.
// The ledger is soft state: what it doesn't know of is passed in as memory used
// by others, and an engine that refuses a granted run gets none for a while.
//
// Load pattern covered: a burst of twice what the engines' memory holds, for
// some seconds, from requests of several ranks and customers, on hundreds of
// daemons that each see few of them; an owner that has just started.
#ifndef DECIDE_MEMORY_LEDGER_H_
#define DECIDE_MEMORY_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/site.h"

namespace mimosa {

enum class MemoryLedgerMode { kOff, kAuto, kOn };
// Parses "off", "auto" or "on"; returns nullopt for any other name.
std::optional<MemoryLedgerMode> ParseMemoryLedgerMode(std::string_view name);

// Returns whether the service's decode engines have a ledger: in mode kAuto, if
// its requests have more than one rank.
bool UsesMemoryLedger(const SiteConfig& config, const ServiceId& service,
                      MemoryLedgerMode mode);

// Identifies a request or grant: the start of a daemon, and a serial there.
struct MemoryClaimId {
  std::string member;
  uint64_t boot = 0;
  uint64_t serial = 0;

  friend bool operator==(const MemoryClaimId& a, const MemoryClaimId& b) {
    return a.serial == b.serial && a.boot == b.boot && a.member == b.member;
  }
  friend bool operator<(const MemoryClaimId& a, const MemoryClaimId& b) {
    return std::tie(a.member, a.boot, a.serial) <
           std::tie(b.member, b.boot, b.serial);
  }
};

struct MemoryDemand {
  MemoryClaimId id;
  int rank = 0;  // 0 is served first
  CustomerId customer;
  Tokens tokens;  // of the whole run
  // Time in which a grant is still useful, and in which it still meets the
  // latency target.
  Duration max_wait{};
  Duration target_wait{};
  Duration hold_time{};  // expected, from the grant to the release
  FailureDomain zone;    // of the caller's daemon
  std::set<BackEndId> excluded;
  std::optional<SoftwareVersion> software_version;
};

struct MemoryDecision {
  enum class Result { kGranted, kWaiting, kRefused };

  MemoryClaimId id;
  Result result = Result::kRefused;
  // Of the grant.
  BackEndId engine;
  int64_t incarnation = 0;
  // kWaiting: the expected wait. kRefused: when the caller should return.
  Duration wait{};
};
using MemoryDecisions = std::vector<MemoryDecision>;

class MemoryLedger {
 public:
  struct Options {
    int64_t block_tokens = 16;
    // Share of an engine's memory that is granted.
    double capacity_share = 1;
    // The same while the ledger is young: grants of an earlier owner may not
    // have been reported yet.
    double young_share = 0.6;
    Duration young_time = std::chrono::milliseconds(300);
    // Share of the granted memory that goes to the request that has waited
    // longest, and the wait from which that applies.
    double oldest_share = 0.125;
    Duration oldest_min_wait = std::chrono::milliseconds(500);
    // Tokens by which a customer may exceed its share of its rank.
    int64_t share_slack = 16384;
    // An engine that refused a grant gets none for this long, doubled with each
    // refusal in a row up to the maximum.
    Duration refusal_pause = std::chrono::milliseconds(100);
    Duration max_refusal_pause = std::chrono::milliseconds(800);
    // The same for an engine that couldn't be reached. After the pause it gets
    // one grant, and more if that isn't refused within probe_time.
    Duration unreachable_pause = std::chrono::milliseconds(400);
    Duration max_unreachable_pause = std::chrono::milliseconds(3200);
    Duration probe_time = std::chrono::milliseconds(300);
    // Limits of the time after which a refused caller should return.
    Duration min_retry_after = std::chrono::milliseconds(1000);
    Duration max_retry_after = std::chrono::milliseconds(4500);
    // Callers honor a Retry-After of up to this share of their time.
    double max_retry_share = 0.33;
    // A waiting request that is not repeated for this long is dropped.
    Duration waiter_lifetime = std::chrono::milliseconds(1500);
    Duration min_grant_lifetime = std::chrono::seconds(3);
    size_t max_waiting = 4096;
    size_t max_grants = 65536;
  };

  struct Engine {
    BackEndId id;
    int64_t incarnation = 0;
    FailureDomain zone;
    SoftwareVersion software_version;
    int slots = 0;             // runs at once; 0: no limit
    bool is_available = true;  // may get new runs
    Tokens used_by_others;     // not granted by this ledger
  };

  MemoryLedger(Tokens engine_memory, MonoTime now, RandomSource* random,
               const Options& options)
      : engine_memory_(engine_memory),
        random_(random),
        options_(options),
        started_at_(now) {}

  // Replaces the engines. Grants at engines or incarnations that are not listed
  // end.
  void SetEngines(const std::vector<Engine>& engines);

  // The first decision is that of `demand`. A repeated demand that waits or is
  // granted keeps its state, which is returned again.
  MemoryDecisions Request(const MemoryDemand& demand, MonoTime now);
  // Ends a grant or withdraws a waiting request.
  MemoryDecisions Release(const MemoryClaimId& id, MonoTime now);
  // The engine refused the granted run, or couldn't be reached.
  MemoryDecisions OnEngineRefused(const MemoryClaimId& id, bool unreachable,
                                  MonoTime now);
  // Renews a grant, with its present size, or enters one that is not known
  // here.
  void Renew(const MemoryClaimId& id, const BackEndId& engine,
             int64_t incarnation, Tokens tokens, Duration hold_time,
             MonoTime now);
  // Ends all that the member holds or waits for, except under `boot`.
  MemoryDecisions DropMember(const std::string& member,
                             std::optional<uint64_t> except_boot, MonoTime now);
  // Ends what has expired, and grants what has come free.
  MemoryDecisions Advance(MonoTime now);

  // Tokens granted at an engine.
  Tokens GrantedAt(const BackEndId& engine) const;
  // The most tokens that were granted at the engine at once in the last second
  // or two.
  Tokens RecentlyGrantedAt(const BackEndId& engine) const;
  Tokens granted() const { return Tokens(granted_tokens_); }
  Tokens capacity(MonoTime now) const;
  size_t grant_count() const { return grants_.size(); }
  size_t waiting_count() const { return waiting_.size(); }
  size_t engine_count() const { return engines_.size(); }
  // Waiting requests by rank.
  std::map<int, int> WaitingByRank() const;
  bool idle() const { return grants_.empty() && waiting_.empty(); }
  MonoTime started_at() const { return started_at_; }
  MonoTime last_used() const { return last_used_; }

 private:
  struct Grant {
    BackEndId engine;
    int64_t incarnation = 0;
    int64_t tokens = 0;  // in whole blocks
    MonoTime granted_at{};
    MonoTime expires_at{};
  };
  struct Waiter {
    MemoryDemand demand;
    int64_t tokens = 0;  // in whole blocks
    MonoTime arrived{};
    MonoTime start_by{};  // a later grant is useless
    MonoTime target{};    // a later grant misses the latency target
    MonoTime expires_at{};
  };
  struct EngineState {
    Engine engine;
    int64_t granted = 0;  // sum over the grants there
    int runs = 0;
    int refusals = 0;          // in a row
    bool unreachable = false;  // when it refused last
    MonoTime paused_until{};
    MonoTime probe_granted_at{};  // zero: none
    // The most that was granted at once in the current and previous period.
    int64_t peak = 0;
    int64_t previous_peak = 0;
  };
  // Fair queueing among the customers of one rank.
  struct RankShares {
    double virtual_time = 0;
    std::map<CustomerId, double> finish_tags;
  };

  int64_t InBlocks(Tokens tokens) const;
  int64_t CapacityOfEngine(MonoTime now) const;
  int64_t FreeAt(const EngineState& state, MonoTime now) const;
  static bool Admits(const EngineState& state, const MemoryDemand& demand);
  // Returns the tokens a second that come free.
  double TokensPerSecond() const;
  // The same for requests that miss their target, which get what others leave.
  double LateTokensPerSecond(MonoTime now) const;
  Duration ExpectedWait(const Waiter& waiter, MonoTime now) const;
  // Returns waiting requests, the next one first.
  std::vector<const Waiter*> InOrder(MonoTime now) const;
  Duration RetryAfter(const Waiter& waiter, MonoTime now);
  MemoryDecision Refuse(const Waiter& waiter, MonoTime now);
  double DemandPerSecond(MonoTime now) const;
  // The waiting request that is due for its share as the oldest one, if any.
  const Waiter* DueOldest(MonoTime now) const;
  // Tokens by which the customer has had more than its share of its rank.
  double LeadOf(const MemoryDemand& demand) const;
  void CountServed(const Waiter& waiter);
  // Starts a probe if the engine couldn't be reached.
  void RecordGrant(EngineState* state, MonoTime now) const;
  EngineState* ChooseEngine(const Waiter& waiter,
                            const std::set<BackEndId>& claimed, MonoTime now);
  MemoryDecision GrantTo(const Waiter& waiter, EngineState* engine,
                         MonoTime now);
  void GrantWaiting(MonoTime now, MemoryDecisions* decisions);
  // Grants to the waiter if there is room; else claims an engine for it.
  bool TryGrant(const MemoryClaimId& id, std::set<BackEndId>* claimed,
                MonoTime now, MemoryDecisions* decisions);
  void Enter(const MemoryClaimId& id, const Grant& grant);
  std::map<MemoryClaimId, Grant>::iterator EraseGrant(
      std::map<MemoryClaimId, Grant>::iterator grant);
  void RollPeaks(MonoTime now);

  const Tokens engine_memory_;
  RandomSource* const random_;
  const Options options_;
  const MonoTime started_at_;
  MonoTime last_used_{};
  std::map<BackEndId, EngineState> engines_;
  std::map<MemoryClaimId, Grant> grants_;
  int64_t granted_tokens_ = 0;  // sum over grants_
  std::map<MemoryClaimId, Waiter> waiting_;
  std::map<int, RankShares> shares_;
  // Of ended runs; until one has ended, as the last request expects.
  Duration mean_hold_time_ = std::chrono::seconds(1);
  bool hold_time_measured_ = false;
  double oldest_credit_ = 0;  // tokens due to the longest waiting request
  // Rate at which tokens are asked for by requests in time, decayed.
  double demand_per_second_ = 0;
  MonoTime demand_updated_{};
  MonoTime last_return_{};  // when the last refused caller should return
  MonoTime peaks_rolled_at_{};
};

}  // namespace mimosa

#endif  // DECIDE_MEMORY_LEDGER_H_
