// Drives the decision modules through one simulated run and computes the
// measurements.
#include "bench/rounds.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

#include "bench/engine_models.h"
#include "bench/virtual_loop.h"
#include "decide/engine_ledger.h"
#include "decide/engine_search.h"
#include "decide/prefix_index.h"

namespace mimosa::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time after which the ledgers of a failed router get new owners.
constexpr Duration kMemberLeaseDuration = seconds(3);
constexpr Duration kLedgerRebuildTime = seconds(1);
constexpr Duration kBalancerDetectionDelay = seconds(1);
constexpr Duration kEngineDowntime = seconds(20);
// Two missed load reports.
constexpr Duration kEngineDetectionDelay = seconds(2);
constexpr Duration kLinkStallTime = seconds(5);
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kRetryDelay = milliseconds(100);
constexpr Duration kLedgerExpiryInterval = milliseconds(100);
constexpr Duration kReservationLeaseDuration = seconds(60);
constexpr Duration kMeanDecodeTime = seconds(3);
// Same value as in router/fleet_reservation_client.cc.
constexpr Duration kMinPromptClassWait = milliseconds(500);
constexpr int kMaxAttempts = 3;
constexpr int kGreedyCustomer = 3;
constexpr double kGreedyFactor = 5;  // demand as a multiple of its rate
// Sum of the customers' rates, relative to the sustainable rate. The rates are
// oversubscribed because not all customers peak at the same time.
constexpr double kRateOversubscription = 1.6;
constexpr double kBurstSeconds = 10;

enum class Outcome { kOpen, kComplete, kRefused, kFailed };

// State of a simulated request.
struct Request {
  int64_t serial = 0;
  int customer = 0;
  int router = 0;
  int shared_prefix = 0;
  Tokens prompt_tokens;
  int64_t output_tokens = 0;
  bool patient = false;
  bool within_rate = false;
  MonoTime arrival;
  MonoTime first_token_target;
  MonoTime deadline;
  MonoTime charged_at;
  Pieces pieces;
  // Current attempt. Engine indexes are negative if there is none.
  int attempt = 0;
  std::set<int> excluded_decode_engines;
  int decode_engine = -1;
  int prefill_engine = -1;
  int64_t computed_tokens = 0;
  std::optional<EngineSearch> search;
  std::vector<int> candidates;
  SearchStage stage = SearchStage::kDecode;
  // Engine whose ledger has not yet replied to a reservation request.
  int requested_engine = -1;
  // Increases with each reservation request, so that a delayed request that has
  // been superseded is dropped.
  uint64_t reservation_serial = 0;
  // Final result.
  Outcome outcome = Outcome::kOpen;
  MonoTime first_token_at;
  MonoTime ended_at;
};

// Token bucket that determines whether a request is within the customer's rate.
class Bucket {
 public:
  Bucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}
  bool TrySpend(double tokens, MonoTime now) {
    level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - updated_at_));
    updated_at_ = now;
    if (level_ < tokens) return false;
    level_ -= tokens;
    return true;
  }

 private:
  const double rate_;
  const double burst_;
  double level_;
  MonoTime updated_at_{};
};

// The last summary that a router received from a ledger.
struct ReceivedSummary {
  LedgerSummary summary;
  MonoTime received_at{};
  bool received = false;
};

struct Router {
  bool alive = true;
  std::array<std::vector<ReceivedSummary>, 2> summaries;  // by stage and engine
  PrefixIndex prefix_index{1, 1000};
  std::unique_ptr<PlacementPolicy> placement_policy;
};

struct OwnedLedger {
  std::unique_ptr<EngineLedger> ledger;
  int owner = 0;  // negative if the owner failed and has no successor yet
};

CustomerId CustomerName(int customer) {
  return CustomerId("customer-" + std::to_string(customer));
}

int StageIndex(SearchStage stage) {
  return stage == SearchStage::kDecode ? 0 : 1;
}

class Simulation {
 public:
  Simulation(const Scenario& scenario, const Policies& policies, uint64_t seed);
  Measurements Run();

 private:
  class Candidates;

  void GenerateArrivals();
  Request* NewRequest();
  void Admit(Request* r);
  void BeginAttempt(Request* r);
  void StartSearch(Request* r, SearchStage stage);
  void ExecuteStep(Request* r, const SearchStep& step);
  void RequestReservation(Request* r, int engine, const SearchStep& step);
  void DeliverReplies(SearchStage stage, int engine,
                      const LedgerReplies& replies);
  void OnLedgerReply(Request* r, const LedgerReply& reply);
  void UseEngine(Request* r, int engine);
  LedgerRequest MakeLedgerRequest(const Request& r, SearchStage stage,
                                  bool may_wait) const;
  void StartPrefill(Request* r);
  void OnPrefilled(Request* r, int64_t computed_tokens);
  void QueueImport(Request* r, MonoTime evicted_at);
  void StartStream(Request* r);
  void StartImports(int engine);
  void EndAttempt(Request* r, bool retry);
  void ReleaseReservation(Request* r, SearchStage stage, int engine);
  void FinishRequest(Request* r, Outcome outcome);
  void ExpireReservations();
  void UpdateLoadReports();
  void InjectFault();
  void KillRouter();
  void ReassignLedgers();
  void KillEngine();
  Measurements ComputeMeasurements() const;
  void CountBySecond(Measurements* m) const;
  bool MeetsTargets(const Request& r) const;
  // Rate limit of the customer in tokens per second.
  double CustomerRate(int customer) const {
    return kRateOversubscription * kTrafficShares[customer] *
           SustainableRate(workload_) * mean_charge_;
  }
  SearchStage FirstStage() const {
    return policies_.prefill_first ? SearchStage::kPrefill
                                   : SearchStage::kDecode;
  }
  Duration Hop(const Request& r, int owner) const {
    return r.router == owner ? Duration(0) : workload_.one_way_latency;
  }
  OwnedLedger& LedgerOf(SearchStage stage, int engine) {
    return ledgers_[StageIndex(stage)][engine];
  }
  std::unique_ptr<EngineLedger> NewLedger(SearchStage stage) const;

  const Scenario scenario_;
  const Workload& workload_ = scenario_.workload;
  const Policies policies_;
  const bool uses_reservations_;
  SeededRandom arrivals_;  // draws of the callers: the same for all policies
  SeededRandom random_;    // draws of the policies
  VirtualLoop loop_;
  double mean_charge_;
  std::deque<Request> requests_;
  std::vector<Router> routers_;
  std::deque<PrefillModel> prefill_;
  std::deque<DecodeModel> decode_;
  std::array<std::vector<OwnedLedger>, 2> ledgers_;  // by stage and engine
  // Prefill results that wait for memory at a decode engine, by engine, with
  // the time at which the prefill engine evicts them.
  std::vector<std::deque<std::pair<Request*, MonoTime>>> pending_imports_;
  std::vector<Bucket> rate_buckets_;  // by customer
  std::unique_ptr<FleetLimiterModel> limiter_;
  std::array<std::vector<int64_t>, 2> reported_load_;  // by stage and engine
  int64_t computed_tokens_ = 0;
  int64_t wasted_tokens_ = 0;
  int64_t evicted_prefills_ = 0;
};

class Simulation::Candidates : public CandidateSource {
 public:
  Candidates(const Simulation* simulation, const Request* r)
      : simulation_(simulation), r_(r) {}
  size_t size() const override { return r_->candidates.size(); }
  PlacementCandidate At(size_t index) const override {
    const int engine = r_->candidates[index];
    const int stage = StageIndex(r_->stage);
    const Router& router = simulation_->routers_[r_->router];
    const ReceivedSummary& received = router.summaries[stage][engine];
    PlacementCandidate candidate;
    candidate.has_summary = received.received;
    candidate.capacity = received.summary.capacity;
    candidate.free = received.summary.free;
    candidate.queue_wait = received.summary.queue_wait;
    candidate.summary_age = simulation_->loop_.now() - received.received_at;
    candidate.running = simulation_->reported_load_[stage][engine];
    if (r_->stage == SearchStage::kPrefill && CachedAt(engine)) {
      candidate.cached_prefix =
          Tokens(simulation_->workload_.shared_prefix_tokens);
    }
    return candidate;
  }

 private:
  bool CachedAt(int engine) const {
    // The lookup changes the index because it moves the entry to the front of
    // the LRU list, which is part of the policy.
    auto& prefix_index =
        const_cast<Router&>(simulation_->routers_[r_->router]).prefix_index;
    const auto match = prefix_index.FindLongestPrefix(
        {static_cast<uint64_t>(r_->shared_prefix)});
    return match.engine == BackEndId(std::to_string(engine));
  }

  const Simulation* simulation_;
  const Request* r_;
};

Simulation::Simulation(const Scenario& scenario, const Policies& policies,
                       uint64_t seed)
    : scenario_(scenario),
      policies_(policies),
      uses_reservations_(MakePlacementPolicy(policies.placement)->reserves()),
      arrivals_(seed),
      random_(seed ^ 0x5eed),
      mean_charge_(MeanPromptTokens(workload_) +
                   static_cast<double>(workload_.output_tokens_max)),
      routers_(workload_.routers) {
  const std::array<int, 2> engines = {workload_.decode_engines,
                                      workload_.prefill_engines};
  for (Router& router : routers_) {
    router.placement_policy = MakePlacementPolicy(policies.placement);
    for (int s = 0; s < 2; ++s) router.summaries[s].resize(engines[s]);
  }
  for (const SearchStage stage :
       {SearchStage::kDecode, SearchStage::kPrefill}) {
    const int s = StageIndex(stage);
    reported_load_[s].resize(engines[s]);
    for (int e = 0; e < engines[s]; ++e) {
      ledgers_[s].push_back({NewLedger(stage), (e + s) % workload_.routers});
    }
  }
  for (int e = 0; e < engines[1]; ++e)
    prefill_.emplace_back(&loop_, &workload_);
  for (int e = 0; e < engines[0]; ++e) decode_.emplace_back(&loop_, &workload_);
  pending_imports_.resize(engines[0]);
  for (int e = 0; e < engines[0]; ++e) {
    decode_[e].on_memory_freed = [this, e] { StartImports(e); };
  }
  std::map<CustomerId, BucketLimits> limits;
  for (int customer = 0; customer < kCustomerCount; ++customer) {
    const double rate = CustomerRate(customer);
    rate_buckets_.emplace_back(rate, rate * kBurstSeconds);
    limits[CustomerName(customer)] = {
        static_cast<int64_t>(rate), static_cast<int64_t>(rate * kBurstSeconds)};
  }
  limiter_ = std::make_unique<FleetLimiterModel>(
      &loop_, policies.limits, workload_.routers, workload_.one_way_latency,
      [limits](const CustomerId& id) -> std::optional<BucketLimits> {
        return limits.at(id);
      });
}

// Fairness applies at the first stage only. A request that holds the first
// reservation and waits for the second keeps an engine idle, so the second
// stage is served in order of arrival.
std::unique_ptr<EngineLedger> Simulation::NewLedger(SearchStage stage) const {
  const bool decode = stage == SearchStage::kDecode;
  return std::make_unique<EngineLedger>(
      decode ? Units(static_cast<int64_t>(
                   static_cast<double>(workload_.decode_memory.count()) *
                   (1 + policies_.overcommit)))
             : Units(1),
      decode ? kMeanDecodeTime : Duration(milliseconds(500)),
      MakeRequestQueue(stage == FirstStage() ? policies_.queue
                                             : QueueKind::kFifo),
      MakeSheddingPolicy(policies_.shedding));
}

Measurements Simulation::Run() {
  GenerateArrivals();
  ExpireReservations();
  UpdateLoadReports();
  loop_.At(MonoTime(kFaultAt), [this] { InjectFault(); });
  loop_.RunUntil(MonoTime(kLastArrival + workload_.deadline));
  return ComputeMeasurements();
}

// --- Callers ----------------------------------------------------------------

void Simulation::GenerateArrivals() {
  if (loop_.now() > MonoTime(kLastArrival)) return;
  Request* r = NewRequest();
  const bool greedy = scenario_.fault == Fault::kGreedyCustomer;
  const double nominal = scenario_.load * SustainableRate(workload_);
  double total = nominal;
  const double extra = kGreedyFactor * kRateOversubscription *
                           kTrafficShares[kGreedyCustomer] *
                           SustainableRate(workload_) -
                       kTrafficShares[kGreedyCustomer] * nominal;
  if (greedy) total += extra;
  double draw = arrivals_.UniformDouble() * total;
  r->customer = kGreedyCustomer;
  if (!greedy || draw >= extra) {
    if (greedy) draw -= extra;
    draw /= nominal;
    r->customer = 0;
    while (r->customer < kCustomerCount - 1 &&
           draw >= kTrafficShares[r->customer]) {
      draw -= kTrafficShares[r->customer++];
    }
  }
  const double gap = -std::log(1 - arrivals_.UniformDouble()) / total;
  Admit(r);
  loop_.After(FromSeconds(gap), [this] { GenerateArrivals(); });
}

Request* Simulation::NewRequest() {
  Request& r = requests_.emplace_back();
  r.serial = static_cast<int64_t>(requests_.size()) - 1;
  r.shared_prefix =
      static_cast<int>(arrivals_.UniformInt(workload_.shared_prefix_count));
  r.prompt_tokens =
      Tokens(workload_.shared_prefix_tokens +
             BoundedExponential(workload_.unique_tokens_mean,
                                workload_.unique_tokens_max, &arrivals_));
  r.output_tokens = BoundedExponential(workload_.output_tokens_mean,
                                       workload_.output_tokens_max, &arrivals_);
  r.patient = arrivals_.UniformDouble() >= workload_.prompt_class_share;
  r.arrival = loop_.now();
  r.first_token_target =
      r.arrival + (r.patient ? workload_.patient_first_token_target
                             : workload_.prompt_first_token_target);
  r.deadline = r.arrival + workload_.deadline;
  r.pieces = PiecesFor(r.prompt_tokens + Tokens(workload_.output_tokens_max));
  r.router = static_cast<int>(arrivals_.UniformInt(workload_.routers));
  return &r;
}

void Simulation::Admit(Request* r) {
  // Half of a customer's traffic arrives over a single connection.
  if (arrivals_.UniformDouble() < 0.5)
    r->router = r->customer % workload_.routers;
  const double charge = static_cast<double>(r->prompt_tokens.count() +
                                            workload_.output_tokens_max);
  r->within_rate = rate_buckets_[r->customer].TrySpend(charge, loop_.now());
  if (!routers_[r->router].alive) {
    if (loop_.now() < MonoTime(kFaultAt + kBalancerDetectionDelay)) {
      FinishRequest(r, Outcome::kFailed);
      return;
    }
    r->router = (r->router + 1) % workload_.routers;
  }
  loop_.At(r->deadline, [this, r] {
    if (r->outcome != Outcome::kOpen) return;
    EndAttempt(r, /*retry=*/false);
    FinishRequest(r, Outcome::kFailed);
  });
  // As in the daemon, only a patient request may wait for tokens.
  limiter_->Charge(r->router, CustomerName(r->customer),
                   r->prompt_tokens + Tokens(workload_.output_tokens_max),
                   r->patient ? r->first_token_target : loop_.now(),
                   [this, r](bool granted) {
                     if (r->outcome != Outcome::kOpen) return;
                     r->charged_at = loop_.now();
                     if (granted) {
                       BeginAttempt(r);
                     } else {
                       FinishRequest(r, Outcome::kRefused);
                     }
                   });
}

// --- Placement --------------------------------------------------------------

void Simulation::BeginAttempt(Request* r) {
  ++r->attempt;
  r->computed_tokens = 0;
  StartSearch(r, FirstStage());
}

void Simulation::StartSearch(Request* r, SearchStage stage) {
  if (r->outcome != Outcome::kOpen) return;
  r->stage = stage;
  r->candidates.clear();
  const auto& ledgers = ledgers_[StageIndex(stage)];
  for (int e = 0; e < static_cast<int>(ledgers.size()); ++e) {
    if (uses_reservations_ && ledgers[e].owner < 0) continue;
    if (stage == SearchStage::kDecode &&
        r->excluded_decode_engines.count(e) > 0)
      continue;
    r->candidates.push_back(e);
  }
  Router& router = routers_[r->router];
  PlacementQuery query;
  if (stage == SearchStage::kPrefill) {
    query.prompt_tokens = r->prompt_tokens;
    query.prefill_per_token = workload_.prefill_per_token;
    std::vector<BackEndId> ids;
    for (const int e : r->candidates) ids.emplace_back(std::to_string(e));
    if (!ids.empty()) {
      query.preferred.push_back(RendezvousChoice(r->shared_prefix, ids));
    }
  }
  r->search.emplace(stage, router.placement_policy.get());
  ExecuteStep(r, r->search->Start(query, Candidates(this, r), &random_));
}

void Simulation::ExecuteStep(Request* r, const SearchStep& step) {
  switch (step.kind) {
    case SearchStep::Kind::kReserve:
      RequestReservation(r, r->candidates[step.engine], step);
      return;
    case SearchStep::Kind::kUseUnreserved:
      UseEngine(r, r->candidates[step.engine]);
      return;
    case SearchStep::Kind::kGiveUp:
      EndAttempt(r, /*retry=*/false);
      FinishRequest(r, Outcome::kRefused);
      return;
  }
}

void Simulation::RequestReservation(Request* r, int engine,
                                    const SearchStep& step) {
  r->requested_engine = engine;
  const uint64_t reservation_serial = ++r->reservation_serial;
  const SearchStage stage = r->stage;
  const Duration hop = Hop(*r, LedgerOf(stage, engine).owner);
  loop_.After(hop, [this, r, stage, engine, step, reservation_serial] {
    if (r->outcome != Outcome::kOpen ||
        reservation_serial != r->reservation_serial)
      return;
    OwnedLedger& owned = LedgerOf(stage, engine);
    if (owned.owner < 0) {
      loop_.After(kRetryDelay, [this, r, stage, reservation_serial] {
        if (reservation_serial == r->reservation_serial) StartSearch(r, stage);
      });
      return;
    }
    LedgerRequest ledger_request = MakeLedgerRequest(*r, stage, step.may_wait);
    if (step.max_wait < ledger_request.queued.start_by - loop_.now()) {
      ledger_request.queued.start_by = loop_.now() + step.max_wait;
    }
    DeliverReplies(stage, engine,
                   owned.ledger->Reserve(ledger_request, loop_.now()));
  });
}

LedgerRequest Simulation::MakeLedgerRequest(const Request& r, SearchStage stage,
                                            bool may_wait) const {
  const Duration prefill =
      workload_.prefill_per_token * r.prompt_tokens.count();
  LedgerRequest request;
  QueuedRequest& queued = request.queued;
  queued.request = RequestId(std::to_string(r.serial));
  queued.customer = CustomerId(std::to_string(r.customer));
  queued.patient = r.patient;
  const bool decode = stage == SearchStage::kDecode;
  queued.units = decode ? Units(r.pieces.count()) : Units(1);
  queued.cost = decode ? r.prompt_tokens + Tokens(workload_.output_tokens_max)
                       : r.prompt_tokens;
  queued.rate = Tokens(static_cast<int64_t>(CustomerRate(r.customer)));
  queued.target_start = r.first_token_target - prefill;
  queued.start_by = r.patient ? r.deadline - kMeanDecodeTime - prefill
                              : std::max(queued.target_start,
                                         r.arrival + kMinPromptClassWait);
  request.member = MemberId(std::to_string(r.router));
  request.lease_duration = kReservationLeaseDuration;
  request.may_wait = may_wait;
  return request;
}

void Simulation::DeliverReplies(SearchStage stage, int engine,
                                const LedgerReplies& replies) {
  const OwnedLedger& owned = LedgerOf(stage, engine);
  for (const LedgerReply& reply : replies) {
    Request* r = &requests_[std::stoll(reply.request.value())];
    const LedgerSummary summary = owned.ledger->Summary();
    loop_.After(Hop(*r, owned.owner), [this, r, stage, engine, reply, summary] {
      routers_[r->router].summaries[StageIndex(stage)][engine] = {
          summary, loop_.now(), true};
      const bool current = r->outcome == Outcome::kOpen && r->stage == stage &&
                           r->requested_engine == engine;
      if (current) {
        OnLedgerReply(r, reply);
      } else if (reply.result == LedgerResult::kGranted) {
        ReleaseReservation(r, stage, engine);
      }
    });
  }
}

void Simulation::OnLedgerReply(Request* r, const LedgerReply& reply) {
  const int engine = r->requested_engine;
  r->requested_engine = -1;
  ++r->reservation_serial;
  if (reply.result == LedgerResult::kGranted) {
    UseEngine(r, engine);
    return;
  }
  ExecuteStep(r, r->search->OnRefused(Candidates(this, r)));
}

void Simulation::UseEngine(Request* r, int engine) {
  if (r->stage == SearchStage::kDecode) {
    r->decode_engine = engine;
  } else {
    r->prefill_engine = engine;
    routers_[r->router].prefix_index.AddBlocks(
        {static_cast<uint64_t>(r->shared_prefix)},
        BackEndId(std::to_string(engine)));
  }
  if (r->stage == FirstStage()) {
    StartSearch(r, policies_.prefill_first ? SearchStage::kDecode
                                           : SearchStage::kPrefill);
  } else {
    StartPrefill(r);
  }
}

// --- Prefill, transfer, decode ----------------------------------------------

void Simulation::StartPrefill(Request* r) {
  loop_.After(workload_.one_way_latency, [this, r, attempt = r->attempt] {
    if (r->outcome != Outcome::kOpen || r->attempt != attempt) return;
    prefill_[r->prefill_engine].Submit({r->serial, r->shared_prefix,
                                        r->prompt_tokens.count(),
                                        [this, r](int64_t computed_tokens) {
                                          OnPrefilled(r, computed_tokens);
                                        }});
  });
}

void Simulation::OnPrefilled(Request* r, int64_t computed_tokens) {
  computed_tokens_ += computed_tokens;
  r->computed_tokens = computed_tokens;
  if (uses_reservations_)
    ReleaseReservation(r, SearchStage::kPrefill, r->prefill_engine);
  PrefillModel& from = prefill_[r->prefill_engine];
  DecodeModel& to = decode_[r->decode_engine];
  const MonoTime evicted_at = loop_.now() + workload_.prefill_result_ttl;
  const MonoTime start = std::max({loop_.now() + 2 * workload_.one_way_latency,
                                   from.link_free_at, to.link_free_at});
  if (start > evicted_at) {
    loop_.At(evicted_at, [this, r, attempt = r->attempt] {
      if (r->outcome != Outcome::kOpen || r->attempt != attempt) return;
      ++evicted_prefills_;
      EndAttempt(r, /*retry=*/true);
    });
    return;
  }
  const double time = static_cast<double>(r->prompt_tokens.count()) /
                      workload_.link_tokens_per_second;
  const MonoTime end = start + FromSeconds(time);
  from.link_free_at = end;
  to.link_free_at = end;
  loop_.At(end, [this, r, attempt = r->attempt, evicted_at] {
    if (r->outcome == Outcome::kOpen && r->attempt == attempt) {
      QueueImport(r, evicted_at);
    }
  });
}

void Simulation::QueueImport(Request* r, MonoTime evicted_at) {
  if (decode_[r->decode_engine].down()) {
    r->excluded_decode_engines.insert(r->decode_engine);
    EndAttempt(r, /*retry=*/true);
    return;
  }
  pending_imports_[r->decode_engine].emplace_back(r, evicted_at);
  StartImports(r->decode_engine);
  if (r->first_token_at != MonoTime{}) return;
  loop_.At(evicted_at, [this, r, attempt = r->attempt] {
    if (r->outcome != Outcome::kOpen || r->attempt != attempt) return;
    if (r->first_token_at != MonoTime{}) return;
    ++evicted_prefills_;
    EndAttempt(r, /*retry=*/true);
  });
}

void Simulation::StartImports(int engine) {
  auto& waiting = pending_imports_[engine];
  while (!waiting.empty()) {
    Request* r = waiting.front().first;
    const bool obsolete = r->outcome != Outcome::kOpen ||
                          r->decode_engine != engine ||
                          r->first_token_at != MonoTime{};
    if (!obsolete) {
      const bool started = decode_[engine].Start(
          r->serial, r->pieces, r->output_tokens, [this, r] {
            r->ended_at = loop_.now();
            EndAttempt(r, /*retry=*/false);
            FinishRequest(r, Outcome::kComplete);
          });
      if (!started) return;
      r->first_token_at = loop_.now() + decode_[engine].StepTime();
    }
    waiting.pop_front();
  }
}

// --- End of an attempt or a request -----------------------------------------

// Releases everything that the attempt holds. The prefill of a request whose
// response was not completed counts as wasted.
void Simulation::EndAttempt(Request* r, bool retry) {
  ++r->reservation_serial;
  if (r->ended_at == MonoTime{}) wasted_tokens_ += r->computed_tokens;
  if (r->prefill_engine >= 0) {
    const int64_t partial_tokens =
        prefill_[r->prefill_engine].Cancel(r->serial);
    computed_tokens_ += partial_tokens;
    wasted_tokens_ += partial_tokens;
  }
  if (r->decode_engine >= 0) decode_[r->decode_engine].Cancel(r->serial);
  if (uses_reservations_ && routers_[r->router].alive) {
    if (r->requested_engine >= 0)
      ReleaseReservation(r, r->stage, r->requested_engine);
    if (r->prefill_engine >= 0)
      ReleaseReservation(r, SearchStage::kPrefill, r->prefill_engine);
    if (r->decode_engine >= 0)
      ReleaseReservation(r, SearchStage::kDecode, r->decode_engine);
  }
  r->requested_engine = r->prefill_engine = r->decode_engine = -1;
  r->computed_tokens = 0;
  if (!retry) return;
  r->first_token_at = MonoTime{};
  if (r->attempt == kMaxAttempts) {
    FinishRequest(r, Outcome::kFailed);
    return;
  }
  BeginAttempt(r);
}

void Simulation::ReleaseReservation(Request* r, SearchStage stage, int engine) {
  loop_.After(Hop(*r, LedgerOf(stage, engine).owner), [this, r, stage, engine] {
    // The engine was granted to the request again in the meantime.
    if (stage == SearchStage::kDecode && r->decode_engine == engine) return;
    OwnedLedger& owned = LedgerOf(stage, engine);
    if (owned.owner < 0) return;
    DeliverReplies(stage, engine,
                   owned.ledger->Release(RequestId(std::to_string(r->serial)),
                                         loop_.now()));
  });
}

void Simulation::FinishRequest(Request* r, Outcome outcome) {
  r->outcome = outcome;
  if (r->charged_at != MonoTime{} && r->attempt > 0) {
    const Tokens all = r->prompt_tokens + Tokens(workload_.output_tokens_max);
    const Tokens used = r->prompt_tokens + Tokens(r->output_tokens);
    limiter_->Refund(r->router, CustomerName(r->customer),
                     outcome == Outcome::kComplete ? all - used : all,
                     r->charged_at);
  }
  if (r->ended_at == MonoTime{}) r->ended_at = loop_.now();
}

// --- Periodic work ----------------------------------------------------------

void Simulation::ExpireReservations() {
  for (const SearchStage stage :
       {SearchStage::kDecode, SearchStage::kPrefill}) {
    auto& ledgers = ledgers_[StageIndex(stage)];
    for (int e = 0; e < static_cast<int>(ledgers.size()); ++e) {
      if (ledgers[e].owner >= 0) {
        DeliverReplies(stage, e, ledgers[e].ledger->ExpireOverdue(loop_.now()));
      }
    }
  }
  loop_.After(kLedgerExpiryInterval, [this] { ExpireReservations(); });
}

// Updates the load reports, for the policies that use them.
void Simulation::UpdateLoadReports() {
  for (size_t e = 0; e < decode_.size(); ++e) {
    reported_load_[0][e] = static_cast<int64_t>(decode_[e].running());
  }
  for (size_t e = 0; e < prefill_.size(); ++e) {
    reported_load_[1][e] = static_cast<int64_t>(prefill_[e].waiting()) +
                           (prefill_[e].busy() ? 1 : 0);
  }
  loop_.After(kReportInterval, [this] { UpdateLoadReports(); });
}

// --- Faults -----------------------------------------------------------------

void Simulation::InjectFault() {
  switch (scenario_.fault) {
    case Fault::kNone:
    case Fault::kGreedyCustomer:
      return;
    case Fault::kEngineDies:
      KillEngine();
      return;
    case Fault::kRouterDies:
      KillRouter();
      return;
    case Fault::kLinkStalls:
      prefill_[0].link_free_at = loop_.now() + kLinkStallTime;
      return;
  }
}

void Simulation::KillEngine() {
  decode_[0].Fail([this](int64_t serial) {
    Request* r = &requests_[serial];
    r->excluded_decode_engines.insert(0);
    loop_.After(workload_.one_way_latency,
                [this, r] { EndAttempt(r, /*retry=*/true); });
  });
  loop_.After(kEngineDetectionDelay, [this] {
    DeliverReplies(SearchStage::kDecode, 0, ledgers_[0][0].ledger->Close());
  });
  loop_.After(kEngineDowntime, [this] {
    decode_[0].Recover();
    DeliverReplies(SearchStage::kDecode, 0,
                   ledgers_[0][0].ledger->Open(loop_.now()));
  });
}

// The router's callers lose their responses at once. The work that it left at
// engines and ledgers is cleaned up after its member lease has expired.
void Simulation::KillRouter() {
  routers_[0].alive = false;
  limiter_->KillRouter(0);
  std::vector<Request*> unfinished;
  for (Request& r : requests_) {
    if (r.router != 0 || r.outcome != Outcome::kOpen) continue;
    FinishRequest(&r, Outcome::kFailed);
    r.ended_at = MonoTime{};
    unfinished.push_back(&r);
  }
  for (auto& ledgers : ledgers_) {
    for (OwnedLedger& owned : ledgers) {
      if (owned.owner == 0) owned.owner = -1;
    }
  }
  loop_.After(kMemberLeaseDuration, [this, unfinished] {
    for (Request* r : unfinished) EndAttempt(r, /*retry=*/false);
    ReassignLedgers();
  });
}

void Simulation::ReassignLedgers() {
  limiter_->ReassignSlots(0);
  for (const SearchStage stage :
       {SearchStage::kDecode, SearchStage::kPrefill}) {
    auto& ledgers = ledgers_[StageIndex(stage)];
    for (int e = 0; e < static_cast<int>(ledgers.size()); ++e) {
      OwnedLedger& owned = ledgers[e];
      if (owned.owner >= 0) {
        DeliverReplies(stage, e,
                       owned.ledger->DropMember(MemberId("0"), loop_.now()));
        continue;
      }
      owned.owner = 1 + e % (workload_.routers - 1);
      owned.ledger = NewLedger(stage);
      owned.ledger->Pause();
      for (Request& r : requests_) {
        if (r.outcome != Outcome::kOpen) continue;
        const int held =
            stage == SearchStage::kDecode ? r.decode_engine : r.prefill_engine;
        if (held == e) {
          owned.ledger->RenewOrRestore(MakeLedgerRequest(r, stage, true),
                                       loop_.now());
        } else if (r.stage == stage && r.requested_engine == e) {
          StartSearch(&r, stage);
        }
      }
      loop_.After(kLedgerRebuildTime, [this, stage, e] {
        OwnedLedger& ready = LedgerOf(stage, e);
        DeliverReplies(stage, e, ready.ledger->Open(loop_.now()));
      });
    }
  }
}

// --- Measurements -----------------------------------------------------------

bool Simulation::MeetsTargets(const Request& r) const {
  if (r.outcome != Outcome::kComplete ||
      r.first_token_at > r.first_token_target) {
    return false;
  }
  const Duration between = (r.ended_at - r.first_token_at) /
                           std::max<int64_t>(r.output_tokens - 1, 1);
  return between <= workload_.between_tokens_target;
}

Measurements Simulation::ComputeMeasurements() const {
  Measurements m;
  std::array<CustomerCounts, kCustomerCount> customers{};
  std::vector<double> first_tokens;
  int64_t good = 0;
  for (const Request& r : requests_) {
    if (r.arrival < MonoTime(kWarmUp) || r.arrival > MonoTime(kLastCounted)) {
      continue;
    }
    if (MeetsTargets(r)) ++good;
    if (r.outcome == Outcome::kComplete) {
      first_tokens.push_back(ToSeconds(r.first_token_at - r.arrival));
    }
    if (!r.within_rate) continue;
    CustomerCounts& c = customers[r.customer];
    ++c.within_rate;
    if (MeetsTargets(r)) ++c.good;
    if (r.outcome == Outcome::kRefused) ++c.refused;
    if (r.outcome == Outcome::kFailed) ++c.failed;
  }
  const double counted = ToSeconds(kLastCounted - kWarmUp);
  m.goodput = static_cast<double>(good) / counted;
  m.completed_per_second = static_cast<double>(first_tokens.size()) / counted;
  CustomerCounts all;
  std::vector<double> shares;
  for (int c = 0; c < kCustomerCount; ++c) {
    // For a customer that exceeds its rate, the limiter decides which requests
    // count as within the rate, so its shares are not meaningful.
    if (scenario_.fault == Fault::kGreedyCustomer && c == kGreedyCustomer) {
      continue;
    }
    all.within_rate += customers[c].within_rate;
    all.good += customers[c].good;
    all.refused += customers[c].refused;
    all.failed += customers[c].failed;
    shares.push_back(
        static_cast<double>(customers[c].good) /
        static_cast<double>(std::max<int64_t>(customers[c].within_rate, 1)));
  }
  std::sort(shares.begin(), shares.end());
  const double median = shares[shares.size() / 2];
  m.worst_customer_ratio = median > 0 ? shares.front() / median : 0;
  const auto within_rate_count =
      static_cast<double>(std::max<int64_t>(all.within_rate, 1));
  m.good_share = static_cast<double>(all.good) / within_rate_count;
  m.refused_share = static_cast<double>(all.refused) / within_rate_count;
  m.failed_share = static_cast<double>(all.failed) / within_rate_count;
  m.wasted_prefill_share =
      static_cast<double>(wasted_tokens_) /
      static_cast<double>(std::max<int64_t>(computed_tokens_, 1));
  m.evicted_prefills = evicted_prefills_;
  std::sort(first_tokens.begin(), first_tokens.end());
  if (!first_tokens.empty()) {
    m.first_token_p95 = first_tokens[first_tokens.size() * 95 / 100];
  }
  CountBySecond(&m);
  return m;
}

void Simulation::CountBySecond(Measurements* m) const {
  const auto counted = static_cast<size_t>(ToSeconds(kLastCounted));
  m->offered_by_second.resize(counted);
  m->good_by_second.resize(counted);
  for (const Request& r : requests_) {
    const auto second = static_cast<size_t>(ToSeconds(r.arrival - MonoTime{}));
    if (second >= counted || !r.within_rate) continue;
    m->offered_by_second[second] += 1;
    m->good_by_second[second] += MeetsTargets(r) ? 1 : 0;
  }
}

}  // namespace

const char* FaultName(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "none";
    case Fault::kGreedyCustomer:
      return "greedy-customer";
    case Fault::kEngineDies:
      return "engine-dies";
    case Fault::kRouterDies:
      return "router-dies";
    case Fault::kLinkStalls:
      return "link-stalls";
  }
  return "";
}

Measurements RunScenario(const Scenario& scenario, const Policies& policies,
                         uint64_t seed) {
  return Simulation(scenario, policies, seed).Run();
}

double RecoverySeconds(const std::vector<Measurements>& runs) {
  const auto share = [&runs](int from, int to) {
    double offered = 0;
    double good = 0;
    for (const Measurements& m : runs) {
      for (int s = from; s < to; ++s) {
        offered += m.offered_by_second[s];
        good += m.good_by_second[s];
      }
    }
    return good / std::max(offered, 1.0);
  };
  constexpr int kBefore = 30;
  constexpr double kRecovered = 0.95;
  const int fault = static_cast<int>(ToSeconds(kFaultAt));
  const int last =
      static_cast<int>(ToSeconds(kLastCounted)) - kRecoveryWindowSeconds;
  const double before = share(fault - kBefore, fault);
  int recovered = fault;
  for (int s = fault; s <= last; ++s) {
    if (share(s, s + kRecoveryWindowSeconds) < kRecovered * before)
      recovered = s + 1;
  }
  return recovered - fault;
}

}  // namespace mimosa::bench
