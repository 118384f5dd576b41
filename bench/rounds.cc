// The loop that drives the pure modules for one round and takes the measures.
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

constexpr Duration kEndOfTerm = seconds(3);  // a dead router's books move on
constexpr Duration kRebuild = seconds(1);
constexpr Duration kBalancerNotices = seconds(1);
constexpr Duration kEngineDownFor = seconds(20);
constexpr Duration kDownNoticed = seconds(2);  // by two missed load reports
constexpr Duration kLinkStall = seconds(5);
constexpr Duration kReportPeriod = seconds(1);
constexpr Duration kRetryPause = milliseconds(100);
constexpr Duration kTick = milliseconds(100);
constexpr Duration kHold = seconds(60);
constexpr Duration kMeanDecode = seconds(3);
constexpr Duration kPromptWait = milliseconds(500);  // as in places_driver.cc
constexpr int kMaxAttempts = 3;
constexpr int kGreedyCustomer = 3;
constexpr double kGreedyFactor = 5;  // times its rate
// Rates are sold beyond what fits: not all customers peak together.
constexpr double kRateOverFitting = 1.6;
constexpr double kBurstSeconds = 10;

enum class Outcome { kOpen, kWhole, kRefused, kFailed };

struct Request {
  int64_t serial = 0;
  int customer = 0;
  int router = 0;
  int text = 0;
  Tokens prompt;
  int64_t output = 0;
  bool patient = false;
  bool inside = false;
  MonoTime arrival;
  MonoTime first_target;
  MonoTime deadline;
  MonoTime charged_at;
  Pieces pieces;
  // The live attempt; negative engines: none.
  int attempt = 0;
  std::set<int> avoid_decode;
  int decode = -1;
  int prefill = -1;
  int64_t computed = 0;
  std::optional<EngineSearch> search;
  std::vector<int> candidates;
  SearchStage stage = SearchStage::kDecode;
  int asked = -1;
  uint64_t question = 0;
  // The end.
  Outcome outcome = Outcome::kOpen;
  MonoTime first_token;
  MonoTime end;
};

class Bucket {
 public:
  Bucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}
  bool Take(double tokens, MonoTime now) {
    level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - at_));
    at_ = now;
    if (level_ < tokens) return false;
    level_ -= tokens;
    return true;
  }

 private:
  const double rate_;
  const double burst_;
  double level_;
  MonoTime at_{};
};

struct Heard {
  LedgerSummary summary;
  MonoTime at{};
  bool known = false;
};

struct Router {
  bool alive = true;
  std::array<std::vector<Heard>, 2> heard;  // by stage and engine
  PrefixIndex prefixes{1, 1000};
  std::unique_ptr<PlacementPolicy> policy;
};

struct OwnedBook {
  std::unique_ptr<EngineLedger> book;
  int owner = 0;  // negative: its owner died and no other has taken over
};

CustomerId CustomerName(int customer) {
  return CustomerId("customer-" + std::to_string(customer));
}

int StageIndex(SearchStage stage) {
  return stage == SearchStage::kDecode ? 0 : 1;
}

class Run {
 public:
  Run(const Scenario& scenario, const Policies& policies, uint64_t seed);
  Measurements Go();

 private:
  class Candidates;

  void Arrive();
  Request* NewRequest();
  void Admit(Request* r);
  void BeginAttempt(Request* r);
  void Search(Request* r, SearchStage stage);
  void Follow(Request* r, const SearchStep& step);
  void Ask(Request* r, int engine, const SearchStep& step);
  void Deliver(SearchStage stage, int engine, const LedgerReplies& answers);
  void OnAnswer(Request* r, const LedgerReply& answer);
  void Choose(Request* r, int engine);
  LedgerRequest MakeBookRequest(const Request& r, SearchStage stage,
                                bool may_wait) const;
  void StartPrefill(Request* r);
  void OnPrefilled(Request* r, int64_t computed);
  void Import(Request* r, MonoTime evicted_at);
  void StartStream(Request* r);
  void TryImports(int engine);
  void AbandonAttempt(Request* r, bool again);
  void GiveBack(Request* r, SearchStage stage, int engine);
  void End(Request* r, Outcome outcome);
  void Tick();
  void Report();
  void StartFault();
  void KillRouter();
  void TakeOver();
  void KillEngine();
  Measurements Count() const;
  void CountBySecond(Measurements* m) const;
  bool Good(const Request& r) const;
  // Tokens a second.
  double CustomerRate(int customer) const {
    return kRateOverFitting * kTrafficShares[customer] *
           SustainableRate(workload_) * mean_charge_;
  }
  SearchStage FirstStage() const {
    return policies_.prefill_first ? SearchStage::kPrefill
                                   : SearchStage::kDecode;
  }
  Duration Hop(const Request& r, int owner) const {
    return r.router == owner ? Duration(0) : workload_.one_way_latency;
  }
  OwnedBook& BookOf(SearchStage stage, int engine) {
    return books_[StageIndex(stage)][engine];
  }
  std::unique_ptr<EngineLedger> NewBook(SearchStage stage) const;

  const Scenario scenario_;
  const Workload& workload_ = scenario_.workload;
  const Policies policies_;
  const bool reserves_;
  SeededRandom arrivals_;  // what callers do: the same for all policies
  SeededRandom random_;    // what policies draw
  VirtualLoop loop_;
  double mean_charge_;
  std::deque<Request> requests_;
  std::vector<Router> routers_;
  std::deque<PrefillModel> prefill_;
  std::deque<DecodeModel> decode_;
  std::array<std::vector<OwnedBook>, 2> books_;  // by stage and engine
  // Results that wait for memory at a decode engine, and until when.
  std::vector<std::deque<std::pair<Request*, MonoTime>>> imports_;
  std::vector<Bucket> ideal_;  // by customer
  std::unique_ptr<FleetLimiterModel> limits_;
  std::array<std::vector<int64_t>, 2> reported_;  // load, by stage and engine
  int64_t computed_ = 0;
  int64_t wasted_ = 0;
  int64_t evicted_ = 0;
};

class Run::Candidates : public CandidateSource {
 public:
  Candidates(const Run* run, const Request* r) : run_(run), r_(r) {}
  size_t size() const override { return r_->candidates.size(); }
  PlacementCandidate At(size_t index) const override {
    const int engine = r_->candidates[index];
    const int stage = StageIndex(r_->stage);
    const Router& router = run_->routers_[r_->router];
    const Heard& heard = router.heard[stage][engine];
    PlacementCandidate candidate;
    candidate.has_summary = heard.known;
    candidate.capacity = heard.summary.capacity;
    candidate.free = heard.summary.free;
    candidate.queue_wait = heard.summary.queue_wait;
    candidate.summary_age = run_->loop_.now() - heard.at;
    candidate.running = run_->reported_[stage][engine];
    if (r_->stage == SearchStage::kPrefill && CachedAt(engine)) {
      candidate.cached_prefix = Tokens(run_->workload_.shared_prefix_tokens);
    }
    return candidate;
  }

 private:
  bool CachedAt(int engine) const {
    // Finding moves the entry to the front; that is part of the policy.
    auto& prefixes = const_cast<Router&>(run_->routers_[r_->router]).prefixes;
    const auto match =
        prefixes.FindLongestPrefix({static_cast<uint64_t>(r_->text)});
    return match.engine == BackEndId(std::to_string(engine));
  }

  const Run* run_;
  const Request* r_;
};

Run::Run(const Scenario& scenario, const Policies& policies, uint64_t seed)
    : scenario_(scenario),
      policies_(policies),
      reserves_(MakePlacementPolicy(policies.placement)->reserves()),
      arrivals_(seed),
      random_(seed ^ 0x5eed),
      mean_charge_(MeanPromptTokens(workload_) +
                   static_cast<double>(workload_.output_tokens_max)),
      routers_(workload_.routers) {
  const std::array<int, 2> engines = {workload_.decode_engines,
                                      workload_.prefill_engines};
  for (Router& router : routers_) {
    router.policy = MakePlacementPolicy(policies.placement);
    for (int s = 0; s < 2; ++s) router.heard[s].resize(engines[s]);
  }
  for (const SearchStage stage :
       {SearchStage::kDecode, SearchStage::kPrefill}) {
    const int s = StageIndex(stage);
    reported_[s].resize(engines[s]);
    for (int e = 0; e < engines[s]; ++e) {
      books_[s].push_back({NewBook(stage), (e + s) % workload_.routers});
    }
  }
  for (int e = 0; e < engines[1]; ++e)
    prefill_.emplace_back(&loop_, &workload_);
  for (int e = 0; e < engines[0]; ++e) decode_.emplace_back(&loop_, &workload_);
  imports_.resize(engines[0]);
  for (int e = 0; e < engines[0]; ++e) {
    decode_[e].on_memory_freed = [this, e] { TryImports(e); };
  }
  std::map<CustomerId, BucketLimits> limits;
  for (int customer = 0; customer < kCustomerCount; ++customer) {
    const double rate = CustomerRate(customer);
    ideal_.emplace_back(rate, rate * kBurstSeconds);
    limits[CustomerName(customer)] = {
        static_cast<int64_t>(rate), static_cast<int64_t>(rate * kBurstSeconds)};
  }
  limits_ = std::make_unique<FleetLimiterModel>(
      &loop_, policies.limits, workload_.routers, workload_.one_way_latency,
      [limits](const CustomerId& id) -> std::optional<BucketLimits> {
        return limits.at(id);
      });
}

// Fairness is decided once, at the first stage: whoever has the first of the
// two and waits for the second keeps an engine idle, so the second is handed
// out first come first served.
std::unique_ptr<EngineLedger> Run::NewBook(SearchStage stage) const {
  const bool decode = stage == SearchStage::kDecode;
  return std::make_unique<EngineLedger>(
      decode ? Units(static_cast<int64_t>(
                   static_cast<double>(workload_.decode_memory.count()) *
                   (1 + policies_.overcommit)))
             : Units(1),
      decode ? kMeanDecode : Duration(milliseconds(500)),
      MakeRequestQueue(stage == FirstStage() ? policies_.queue
                                             : QueueKind::kFifo),
      MakeSheddingPolicy(policies_.shedding));
}

Measurements Run::Go() {
  Arrive();
  Tick();
  Report();
  loop_.At(MonoTime(kFaultAt), [this] { StartFault(); });
  loop_.RunUntil(MonoTime(kLastArrival + workload_.deadline));
  return Count();
}

// --- Callers ---------------------------------------------------------------

void Run::Arrive() {
  if (loop_.now() > MonoTime(kLastArrival)) return;
  Request* r = NewRequest();
  const bool greedy = scenario_.fault == Fault::kGreedyCustomer;
  const double nominal = scenario_.load * SustainableRate(workload_);
  double total = nominal;
  const double extra = kGreedyFactor * kRateOverFitting *
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
  loop_.After(FromSeconds(gap), [this] { Arrive(); });
}

Request* Run::NewRequest() {
  Request& r = requests_.emplace_back();
  r.serial = static_cast<int64_t>(requests_.size()) - 1;
  r.text =
      static_cast<int>(arrivals_.UniformInt(workload_.shared_prefix_count));
  r.prompt =
      Tokens(workload_.shared_prefix_tokens +
             BoundedExponential(workload_.unique_tokens_mean,
                                workload_.unique_tokens_max, &arrivals_));
  r.output = BoundedExponential(workload_.output_tokens_mean,
                                workload_.output_tokens_max, &arrivals_);
  r.patient = arrivals_.UniformDouble() >= workload_.prompt_class_share;
  r.arrival = loop_.now();
  r.first_target =
      r.arrival + (r.patient ? workload_.patient_first_token_target
                             : workload_.prompt_first_token_target);
  r.deadline = r.arrival + workload_.deadline;
  r.pieces = PiecesFor(r.prompt + Tokens(workload_.output_tokens_max));
  r.router = static_cast<int>(arrivals_.UniformInt(workload_.routers));
  return &r;
}

void Run::Admit(Request* r) {
  // Half of a customer's traffic comes over one connection.
  if (arrivals_.UniformDouble() < 0.5)
    r->router = r->customer % workload_.routers;
  const double charge =
      static_cast<double>(r->prompt.count() + workload_.output_tokens_max);
  r->inside = ideal_[r->customer].Take(charge, loop_.now());
  if (!routers_[r->router].alive) {
    if (loop_.now() < MonoTime(kFaultAt + kBalancerNotices)) {
      End(r, Outcome::kFailed);
      return;
    }
    r->router = (r->router + 1) % workload_.routers;
  }
  loop_.At(r->deadline, [this, r] {
    if (r->outcome != Outcome::kOpen) return;
    AbandonAttempt(r, /*again=*/false);
    End(r, Outcome::kFailed);
  });
  // As in the daemon: a patient request may wait for tokens.
  limits_->Charge(r->router, CustomerName(r->customer),
                  r->prompt + Tokens(workload_.output_tokens_max),
                  r->patient ? r->first_target : loop_.now(),
                  [this, r](bool granted) {
                    if (r->outcome != Outcome::kOpen) return;
                    r->charged_at = loop_.now();
                    if (granted) {
                      BeginAttempt(r);
                    } else {
                      End(r, Outcome::kRefused);
                    }
                  });
}

// --- Placing ----------------------------------------------------------------

void Run::BeginAttempt(Request* r) {
  ++r->attempt;
  r->computed = 0;
  Search(r, FirstStage());
}

void Run::Search(Request* r, SearchStage stage) {
  if (r->outcome != Outcome::kOpen) return;
  r->stage = stage;
  r->candidates.clear();
  const auto& books = books_[StageIndex(stage)];
  for (int e = 0; e < static_cast<int>(books.size()); ++e) {
    if (reserves_ && books[e].owner < 0) continue;
    if (stage == SearchStage::kDecode && r->avoid_decode.count(e) > 0) continue;
    r->candidates.push_back(e);
  }
  Router& router = routers_[r->router];
  PlacementQuery query;
  if (stage == SearchStage::kPrefill) {
    query.prompt_tokens = r->prompt;
    query.prefill_per_token = workload_.prefill_per_token;
    std::vector<BackEndId> ids;
    for (const int e : r->candidates) ids.emplace_back(std::to_string(e));
    if (!ids.empty()) {
      query.preferred.push_back(RendezvousChoice(r->text, ids));
    }
  }
  r->search.emplace(stage, router.policy.get());
  Follow(r, r->search->Start(query, Candidates(this, r), &random_));
}

void Run::Follow(Request* r, const SearchStep& step) {
  switch (step.kind) {
    case SearchStep::Kind::kReserve:
      Ask(r, r->candidates[step.engine], step);
      return;
    case SearchStep::Kind::kUseUnreserved:
      Choose(r, r->candidates[step.engine]);
      return;
    case SearchStep::Kind::kGiveUp:
      AbandonAttempt(r, /*again=*/false);
      End(r, Outcome::kRefused);
      return;
  }
}

void Run::Ask(Request* r, int engine, const SearchStep& step) {
  r->asked = engine;
  const uint64_t question = ++r->question;
  const SearchStage stage = r->stage;
  const Duration hop = Hop(*r, BookOf(stage, engine).owner);
  loop_.After(hop, [this, r, stage, engine, step, question] {
    if (r->outcome != Outcome::kOpen || question != r->question) return;
    OwnedBook& owned = BookOf(stage, engine);
    if (owned.owner < 0) {
      loop_.After(kRetryPause, [this, r, stage, question] {
        if (question == r->question) Search(r, stage);
      });
      return;
    }
    LedgerRequest asked = MakeBookRequest(*r, stage, step.may_wait);
    if (step.max_wait < asked.queued.start_by - loop_.now()) {
      asked.queued.start_by = loop_.now() + step.max_wait;
    }
    Deliver(stage, engine, owned.book->Reserve(asked, loop_.now()));
  });
}

LedgerRequest Run::MakeBookRequest(const Request& r, SearchStage stage,
                                   bool may_wait) const {
  const Duration prefill = workload_.prefill_per_token * r.prompt.count();
  LedgerRequest request;
  QueuedRequest& queued = request.queued;
  queued.request = RequestId(std::to_string(r.serial));
  queued.customer = CustomerId(std::to_string(r.customer));
  queued.patient = r.patient;
  const bool decode = stage == SearchStage::kDecode;
  queued.units = decode ? Units(r.pieces.count()) : Units(1);
  queued.cost =
      decode ? r.prompt + Tokens(workload_.output_tokens_max) : r.prompt;
  queued.rate = Tokens(static_cast<int64_t>(CustomerRate(r.customer)));
  queued.target_start = r.first_target - prefill;
  queued.start_by =
      r.patient ? r.deadline - kMeanDecode - prefill
                : std::max(queued.target_start, r.arrival + kPromptWait);
  request.member = MemberId(std::to_string(r.router));
  request.lease_duration = kHold;
  request.may_wait = may_wait;
  return request;
}

void Run::Deliver(SearchStage stage, int engine, const LedgerReplies& answers) {
  const OwnedBook& owned = BookOf(stage, engine);
  for (const LedgerReply& answer : answers) {
    Request* r = &requests_[std::stoll(answer.request.value())];
    const LedgerSummary summary = owned.book->Summary();
    loop_.After(Hop(*r, owned.owner),
                [this, r, stage, engine, answer, summary] {
                  routers_[r->router].heard[StageIndex(stage)][engine] = {
                      summary, loop_.now(), true};
                  const bool current = r->outcome == Outcome::kOpen &&
                                       r->stage == stage && r->asked == engine;
                  if (current) {
                    OnAnswer(r, answer);
                  } else if (answer.result == LedgerResult::kGranted) {
                    GiveBack(r, stage, engine);
                  }
                });
  }
}

void Run::OnAnswer(Request* r, const LedgerReply& answer) {
  const int engine = r->asked;
  r->asked = -1;
  ++r->question;
  if (answer.result == LedgerResult::kGranted) {
    Choose(r, engine);
    return;
  }
  Follow(r, r->search->OnRefused(Candidates(this, r)));
}

void Run::Choose(Request* r, int engine) {
  if (r->stage == SearchStage::kDecode) {
    r->decode = engine;
  } else {
    r->prefill = engine;
    routers_[r->router].prefixes.AddBlocks({static_cast<uint64_t>(r->text)},
                                           BackEndId(std::to_string(engine)));
  }
  if (r->stage == FirstStage()) {
    Search(r, policies_.prefill_first ? SearchStage::kDecode
                                      : SearchStage::kPrefill);
  } else {
    StartPrefill(r);
  }
}

// --- Prefill, transfer, decode ----------------------------------------------

void Run::StartPrefill(Request* r) {
  loop_.After(workload_.one_way_latency, [this, r, attempt = r->attempt] {
    if (r->outcome != Outcome::kOpen || r->attempt != attempt) return;
    prefill_[r->prefill].Submit(
        {r->serial, r->text, r->prompt.count(),
         [this, r](int64_t computed) { OnPrefilled(r, computed); }});
  });
}

void Run::OnPrefilled(Request* r, int64_t computed) {
  computed_ += computed;
  r->computed = computed;
  if (reserves_) GiveBack(r, SearchStage::kPrefill, r->prefill);
  PrefillModel& from = prefill_[r->prefill];
  DecodeModel& to = decode_[r->decode];
  const MonoTime evicted_at = loop_.now() + workload_.prefill_result_ttl;
  const MonoTime start = std::max({loop_.now() + 2 * workload_.one_way_latency,
                                   from.link_free_at, to.link_free_at});
  if (start > evicted_at) {
    loop_.At(evicted_at, [this, r, attempt = r->attempt] {
      if (r->outcome != Outcome::kOpen || r->attempt != attempt) return;
      ++evicted_;
      AbandonAttempt(r, /*again=*/true);
    });
    return;
  }
  const double time =
      static_cast<double>(r->prompt.count()) / workload_.link_tokens_per_second;
  const MonoTime end = start + FromSeconds(time);
  from.link_free_at = end;
  to.link_free_at = end;
  loop_.At(end, [this, r, attempt = r->attempt, evicted_at] {
    if (r->outcome == Outcome::kOpen && r->attempt == attempt) {
      Import(r, evicted_at);
    }
  });
}

void Run::Import(Request* r, MonoTime evicted_at) {
  if (decode_[r->decode].down()) {
    r->avoid_decode.insert(r->decode);
    AbandonAttempt(r, /*again=*/true);
    return;
  }
  imports_[r->decode].emplace_back(r, evicted_at);
  TryImports(r->decode);
  if (r->first_token != MonoTime{}) return;
  loop_.At(evicted_at, [this, r, attempt = r->attempt] {
    if (r->outcome != Outcome::kOpen || r->attempt != attempt) return;
    if (r->first_token != MonoTime{}) return;
    ++evicted_;
    AbandonAttempt(r, /*again=*/true);
  });
}

void Run::TryImports(int engine) {
  auto& waiting = imports_[engine];
  while (!waiting.empty()) {
    Request* r = waiting.front().first;
    const bool gone = r->outcome != Outcome::kOpen || r->decode != engine ||
                      r->first_token != MonoTime{};
    if (!gone) {
      const bool started =
          decode_[engine].Start(r->serial, r->pieces, r->output, [this, r] {
            r->end = loop_.now();
            AbandonAttempt(r, /*again=*/false);
            End(r, Outcome::kWhole);
          });
      if (!started) return;
      r->first_token = loop_.now() + decode_[engine].StepTime();
    }
    waiting.pop_front();
  }
}

// --- Ends --------------------------------------------------------------------

// Frees what the attempt holds. A prefill whose answer did not come whole is
// wasted.
void Run::AbandonAttempt(Request* r, bool again) {
  ++r->question;
  if (r->end == MonoTime{}) wasted_ += r->computed;
  if (r->prefill >= 0) {
    const int64_t partly = prefill_[r->prefill].Cancel(r->serial);
    computed_ += partly;
    wasted_ += partly;
  }
  if (r->decode >= 0) decode_[r->decode].Cancel(r->serial);
  if (reserves_ && routers_[r->router].alive) {
    if (r->asked >= 0) GiveBack(r, r->stage, r->asked);
    if (r->prefill >= 0) GiveBack(r, SearchStage::kPrefill, r->prefill);
    if (r->decode >= 0) GiveBack(r, SearchStage::kDecode, r->decode);
  }
  r->asked = r->prefill = r->decode = -1;
  r->computed = 0;
  if (!again) return;
  r->first_token = MonoTime{};
  if (r->attempt == kMaxAttempts) {
    End(r, Outcome::kFailed);
    return;
  }
  BeginAttempt(r);
}

void Run::GiveBack(Request* r, SearchStage stage, int engine) {
  loop_.After(Hop(*r, BookOf(stage, engine).owner), [this, r, stage, engine] {
    // Granted again meanwhile.
    if (stage == SearchStage::kDecode && r->decode == engine) return;
    OwnedBook& owned = BookOf(stage, engine);
    if (owned.owner < 0) return;
    Deliver(
        stage, engine,
        owned.book->Release(RequestId(std::to_string(r->serial)), loop_.now()));
  });
}

void Run::End(Request* r, Outcome outcome) {
  r->outcome = outcome;
  if (r->charged_at != MonoTime{} && r->attempt > 0) {
    const Tokens all = r->prompt + Tokens(workload_.output_tokens_max);
    const Tokens used = r->prompt + Tokens(r->output);
    limits_->Refund(r->router, CustomerName(r->customer),
                    outcome == Outcome::kWhole ? all - used : all,
                    r->charged_at);
  }
  if (r->end == MonoTime{}) r->end = loop_.now();
}

// --- Periodic work -----------------------------------------------------------

void Run::Tick() {
  for (const SearchStage stage :
       {SearchStage::kDecode, SearchStage::kPrefill}) {
    auto& books = books_[StageIndex(stage)];
    for (int e = 0; e < static_cast<int>(books.size()); ++e) {
      if (books[e].owner >= 0) {
        Deliver(stage, e, books[e].book->ExpireOverdue(loop_.now()));
      }
    }
  }
  loop_.After(kTick, [this] { Tick(); });
}

// Load reports, for the policies that go by them.
void Run::Report() {
  for (size_t e = 0; e < decode_.size(); ++e) {
    reported_[0][e] = static_cast<int64_t>(decode_[e].running());
  }
  for (size_t e = 0; e < prefill_.size(); ++e) {
    reported_[1][e] = static_cast<int64_t>(prefill_[e].waiting()) +
                      (prefill_[e].busy() ? 1 : 0);
  }
  loop_.After(kReportPeriod, [this] { Report(); });
}

// --- Faults
// -------------------------------------------------------------------

void Run::StartFault() {
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
      prefill_[0].link_free_at = loop_.now() + kLinkStall;
      return;
  }
}

void Run::KillEngine() {
  decode_[0].Fail([this](int64_t serial) {
    Request* r = &requests_[serial];
    r->avoid_decode.insert(0);
    loop_.After(workload_.one_way_latency,
                [this, r] { AbandonAttempt(r, /*again=*/true); });
  });
  loop_.After(kDownNoticed, [this] {
    Deliver(SearchStage::kDecode, 0, books_[0][0].book->Close());
  });
  loop_.After(kEngineDownFor, [this] {
    decode_[0].Recover();
    Deliver(SearchStage::kDecode, 0, books_[0][0].book->Open(loop_.now()));
  });
}

// Its callers lose their answers at once; what it left at engines and books is
// found after its term.
void Run::KillRouter() {
  routers_[0].alive = false;
  limits_->KillRouter(0);
  std::vector<Request*> left;
  for (Request& r : requests_) {
    if (r.router != 0 || r.outcome != Outcome::kOpen) continue;
    End(&r, Outcome::kFailed);
    r.end = MonoTime{};
    left.push_back(&r);
  }
  for (auto& books : books_) {
    for (OwnedBook& owned : books) {
      if (owned.owner == 0) owned.owner = -1;
    }
  }
  loop_.After(kEndOfTerm, [this, left] {
    for (Request* r : left) AbandonAttempt(r, /*again=*/false);
    TakeOver();
  });
}

void Run::TakeOver() {
  limits_->ReassignSlots(0);
  for (const SearchStage stage :
       {SearchStage::kDecode, SearchStage::kPrefill}) {
    auto& books = books_[StageIndex(stage)];
    for (int e = 0; e < static_cast<int>(books.size()); ++e) {
      OwnedBook& owned = books[e];
      if (owned.owner >= 0) {
        Deliver(stage, e, owned.book->DropMember(MemberId("0"), loop_.now()));
        continue;
      }
      owned.owner = 1 + e % (workload_.routers - 1);
      owned.book = NewBook(stage);
      owned.book->Pause();
      for (Request& r : requests_) {
        if (r.outcome != Outcome::kOpen) continue;
        const int held = stage == SearchStage::kDecode ? r.decode : r.prefill;
        if (held == e) {
          owned.book->RenewOrRestore(MakeBookRequest(r, stage, true),
                                     loop_.now());
        } else if (r.stage == stage && r.asked == e) {
          Search(&r, stage);
        }
      }
      loop_.After(kRebuild, [this, stage, e] {
        OwnedBook& ready = BookOf(stage, e);
        Deliver(stage, e, ready.book->Open(loop_.now()));
      });
    }
  }
}

// --- Counting
// -----------------------------------------------------------------

bool Run::Good(const Request& r) const {
  if (r.outcome != Outcome::kWhole || r.first_token > r.first_target) {
    return false;
  }
  const Duration between =
      (r.end - r.first_token) / std::max<int64_t>(r.output - 1, 1);
  return between <= workload_.between_tokens_target;
}

Measurements Run::Count() const {
  Measurements m;
  std::array<CustomerCounts, kCustomerCount> customers{};
  std::vector<double> first_tokens;
  int64_t good = 0;
  for (const Request& r : requests_) {
    if (r.arrival < MonoTime(kWarmUp) || r.arrival > MonoTime(kLastCounted)) {
      continue;
    }
    if (Good(r)) ++good;
    if (r.outcome == Outcome::kWhole) {
      first_tokens.push_back(ToSeconds(r.first_token - r.arrival));
    }
    if (!r.inside) continue;
    CustomerCounts& c = customers[r.customer];
    ++c.within_rate;
    if (Good(r)) ++c.good;
    if (r.outcome == Outcome::kRefused) ++c.refused;
    if (r.outcome == Outcome::kFailed) ++c.failed;
  }
  const double counted = ToSeconds(kLastCounted - kWarmUp);
  m.goodput = static_cast<double>(good) / counted;
  m.completed_per_second = static_cast<double>(first_tokens.size()) / counted;
  CustomerCounts all;
  std::vector<double> shares;
  for (int c = 0; c < kCustomerCount; ++c) {
    // Which requests of a customer beyond its rate are the ones inside it is
    // the limiter's choice.
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
  const auto inside =
      static_cast<double>(std::max<int64_t>(all.within_rate, 1));
  m.good_share = static_cast<double>(all.good) / inside;
  m.refused_share = static_cast<double>(all.refused) / inside;
  m.failed_share = static_cast<double>(all.failed) / inside;
  m.wasted_prefill = static_cast<double>(wasted_) /
                     static_cast<double>(std::max<int64_t>(computed_, 1));
  m.evicted_prefills = evicted_;
  std::sort(first_tokens.begin(), first_tokens.end());
  if (!first_tokens.empty()) {
    m.first_token_p95 = first_tokens[first_tokens.size() * 95 / 100];
  }
  CountBySecond(&m);
  return m;
}

void Run::CountBySecond(Measurements* m) const {
  const auto counted = static_cast<size_t>(ToSeconds(kLastCounted));
  m->offered_by_second.resize(counted);
  m->good_by_second.resize(counted);
  for (const Request& r : requests_) {
    const auto second = static_cast<size_t>(ToSeconds(r.arrival - MonoTime{}));
    if (second >= counted || !r.inside) continue;
    m->offered_by_second[second] += 1;
    m->good_by_second[second] += Good(r) ? 1 : 0;
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
  return Run(scenario, policies, seed).Go();
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
