// mimosa-decide-bench: what one decision costs, at the size of today and at
// that of the letter in the project's goals: nanoseconds a decision as JSON
// lines.
#include <json/value.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/random.h"
#include "decide/engine_ledger.h"
#include "decide/engine_search.h"
#include "decide/placement.h"
#include "decide/prefix_index.h"

namespace mimosa::bench {
namespace {

struct Size {
  const char* name;
  int engines;       // of one model and role
  int customers;     // that wait at one book
  int waiting;       // at one book
  int64_t capacity;  // pieces of an engine
};
constexpr Size kSizes[] = {{"today", 12, 5, 20, 46},
                           {"goal", 70, 60, 200, 400}};

constexpr int kDecisions = 200000;

// Runs `decide` often and prints the mean time of one.
template <typename F>
void Measure(const char* what, const Size& size, F decide) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) decide(i);
  const auto spent = std::chrono::steady_clock::now() - begin;
  Json::Value line;
  line["decision"] = what;
  line["size"] = size.name;
  const std::chrono::duration<double, std::nano> nanoseconds = spent;
  line["ns"] = nanoseconds.count() / kDecisions;
  std::cout << WriteJson(line) << "\n";
}

LedgerRequest Request(int serial, const Size& size) {
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

// A book that is full, with its queue: each decision takes one more in and
// frees the oldest, which grants another.
void MeasureBook(const Size& size, QueueKind kind, const char* what) {
  EngineLedger book(Units(size.capacity), std::chrono::seconds(3),
                    MakeRequestQueue(kind),
                    MakeSheddingPolicy(SheddingKind::kDeadline));
  const MonoTime now(std::chrono::seconds(1));
  std::vector<RequestId> held;
  size_t oldest = 0;
  const auto note = [&held](const LedgerReplies& answers) {
    for (const LedgerReply& answer : answers) {
      if (answer.result == LedgerResult::kGranted) {
        held.push_back(answer.request);
      }
    }
  };
  int serial = 0;
  while (book.Summary().waiting < size.waiting) {
    note(book.Reserve(Request(serial++, size), now));
  }
  Measure(what, size, [&](int) {
    note(book.Reserve(Request(serial++, size), now));
    note(book.Release(held[oldest++], now));
  });
}

class FixedSource : public CandidateSource {
 public:
  explicit FixedSource(const Size& size) {
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

void MeasurePlacement(const Size& size, PlacementKind kind, const char* what) {
  const auto policy = MakePlacementPolicy(kind);
  const FixedSource source(size);
  SeededRandom random(2);
  PlacementQuery query;
  query.prompt_tokens = Tokens(3000);
  query.prefill_per_token = std::chrono::microseconds(200);
  query.preferred = {3};
  Measure(what, size, [&](int) {
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

}  // namespace
}  // namespace mimosa::bench

int main() {
  using namespace mimosa;  // NOLINT(google-build-using-namespace)
  for (const bench::Size& size : bench::kSizes) {
    bench::MeasureBook(size, QueueKind::kFair, "book-fair");
    bench::MeasureBook(size, QueueKind::kFifo, "book-fifo");
    bench::MeasurePlacement(size, PlacementKind::kReserve, "search-reserve");
    bench::MeasurePlacement(size, PlacementKind::kLeastLoaded,
                            "search-least-loaded");
    bench::MeasurePrefix(size);
  }
  return 0;
}
