// mimosa-decide-bench: measures how long single decisions take, at today's
// fleet size and at the size that the project aims for. Prints JSON lines with
// nanoseconds per decision.
#include <json/value.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/random.h"
#include "decide/crash_suspects.h"
#include "decide/engine_ledger.h"
#include "decide/engine_search.h"
#include "decide/placement.h"
#include "decide/prefix_index.h"

namespace mimosa::bench {
namespace {

struct Size {
  const char* name;
  int engines;       // engines of one model and role
  int customers;     // customers with requests waiting at one ledger
  int waiting;       // requests waiting at one ledger
  int64_t capacity;  // memory of an engine, in pieces
};
constexpr Size kSizes[] = {{"today", 12, 5, 20, 46},
                           {"goal", 70, 60, 200, 400}};

constexpr int kDecisions = 200000;

// Calls `decide` kDecisions times and prints the mean time of a call.
template <typename F>
void Measure(const char* name, const Size& size, F decide) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) decide(i);
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  Json::Value line;
  line["decision"] = name;
  line["size"] = size.name;
  const std::chrono::duration<double, std::nano> nanoseconds = elapsed;
  line["ns"] = nanoseconds.count() / kDecisions;
  std::cout << WriteJson(line) << "\n";
}

LedgerRequest MakeRequest(int serial, const Size& size) {
  LedgerRequest request;
  request.queued.request = RequestId("router-3#17/" + std::to_string(serial));
  request.queued.customer =
      CustomerId("customer-" + std::to_string(serial % size.customers));
  request.queued.patient = serial % 4 != 0;
  request.queued.units = Units(2);
  request.queued.cost = Tokens(3000);
  request.queued.rate = Tokens(400);
  request.queued.target_start = MonoTime(std::chrono::hours(1));
  request.queued.start_by = MonoTime(std::chrono::hours(2));
  request.member = MemberId("router-3#17");
  request.lease_duration = std::chrono::seconds(20);
  request.may_wait = true;
  return request;
}

// Measures a full ledger with a queue: each decision adds a request and
// releases the oldest reservation, which grants a waiting request.
void MeasureLedger(const Size& size, QueueKind kind, const char* name) {
  EngineLedger ledger(Units(size.capacity), std::chrono::seconds(3),
                      MakeRequestQueue(kind),
                      MakeSheddingPolicy(SheddingKind::kDeadline));
  const MonoTime now(std::chrono::seconds(1));
  std::vector<RequestId> granted;
  size_t oldest = 0;
  const auto record_granted = [&granted](const LedgerReplies& replies) {
    for (const LedgerReply& reply : replies) {
      if (reply.result == LedgerResult::kGranted) {
        granted.push_back(reply.request);
      }
    }
  };
  int serial = 0;
  while (ledger.Summary().waiting < size.waiting) {
    record_granted(ledger.Reserve(MakeRequest(serial++, size), now));
  }
  Measure(name, size, [&](int) {
    record_granted(ledger.Reserve(MakeRequest(serial++, size), now));
    record_granted(ledger.Release(granted[oldest++], now));
  });
}

class FixedCandidateSource : public CandidateSource {
 public:
  explicit FixedCandidateSource(const Size& size) {
    SeededRandom random(1);
    for (int i = 0; i < size.engines; ++i) {
      PlacementCandidate candidate;
      candidate.has_summary = true;
      candidate.capacity = Units(size.capacity);
      candidate.free = Units(static_cast<int64_t>(random.UniformInt(20)));
      candidate.running = static_cast<int64_t>(random.UniformInt(20));
      candidate.queue_wait = std::chrono::milliseconds(
          static_cast<int64_t>(random.UniformInt(500)));
      candidates_.push_back(candidate);
    }
  }
  size_t size() const override { return candidates_.size(); }
  PlacementCandidate At(size_t index) const override {
    return candidates_[index];
  }

 private:
  std::vector<PlacementCandidate> candidates_;
};

void MeasurePlacement(const Size& size, PlacementKind kind, const char* name) {
  const auto policy = MakePlacementPolicy(kind);
  const FixedCandidateSource source(size);
  SeededRandom random(2);
  PlacementQuery query;
  query.prompt_tokens = Tokens(3000);
  query.prefill_per_token = std::chrono::microseconds(200);
  query.preferred = {3};
  Measure(name, size, [&](int) {
    EngineSearch search(SearchStage::kPrefill, policy.get());
    (void)search.Start(query, source, &random);
  });
}

void MeasurePrefix(const Size& size) {
  PrefixIndex index(1024, 20000);
  std::vector<BackEndId> engines;
  engines.reserve(static_cast<size_t>(size.engines));
  for (int i = 0; i < size.engines; ++i) {
    engines.emplace_back("engine-" + std::to_string(i));
  }
  const std::string prompt(12000, 'x');
  Measure("prefix", size, [&](int i) {
    const auto blocks = index.BlockHashes(prompt);
    (void)index.FindLongestPrefix(blocks);
    index.AddBlocks(
        blocks, engines[RendezvousChoice(static_cast<uint64_t>(i), engines)]);
  });
}

void MeasureFingerprint(const Size& size, const char* name, size_t bytes) {
  const std::string body(bytes, 'b');
  const CustomerId customer("customer-1");
  Measure(name, size, [&](int i) {
    const std::string target = "/look/" + std::to_string(i);
    FingerprintOf({"POST", "host.example", target, customer, body});
  });
}

}  // namespace
}  // namespace mimosa::bench

int main() {
  using namespace mimosa;  // NOLINT(google-build-using-namespace)
  for (const bench::Size& size : bench::kSizes) {
    bench::MeasureLedger(size, QueueKind::kFair, "book-fair");
    bench::MeasureLedger(size, QueueKind::kFifo, "book-fifo");
    bench::MeasurePlacement(size, PlacementKind::kReserve, "search-reserve");
    bench::MeasurePlacement(size, PlacementKind::kLeastLoaded,
                            "search-least-loaded");
    bench::MeasurePrefix(size);
    bench::MeasureFingerprint(size, "fingerprint-600-bytes", 600);
    bench::MeasureFingerprint(size, "fingerprint-72000-bytes", 72000);
  }
  return 0;
}
