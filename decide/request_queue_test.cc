// Compares the queue policies with simple references over all short sequences
// of operations and over long random ones.
#include "decide/request_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"

namespace mimosa {
namespace {

QueuedRequest Request(int serial, const std::string& customer, bool patient,
                      int64_t cost, int64_t start_by) {
  QueuedRequest request;
  request.request = RequestId("r" + std::to_string(serial));
  request.customer = CustomerId(customer);
  request.patient = patient;
  request.units = Units(1);
  request.cost = Tokens(cost);
  request.rate = Tokens(customer == "b" ? 2 : 1);
  request.start_by = MonoTime(Duration(start_by));
  return request;
}

// Reference for fair queueing: scans all requests for each decision.
class ReferenceFairQueue {
 public:
  explicit ReferenceFairQueue(int64_t slack) : slack_(slack) {}

  void Push(const QueuedRequest& request) {
    if (!HasRequests(request.customer)) {
      rates_[request.customer] = request.rate.count();
      start_tags_[request.customer] =
          std::max(StartTagOf(request.customer), virtual_now_);
    }
    waiting_.push_back(request);
  }

  // Returns the index of the next request.
  size_t Next() const {
    const Band band = NextBand();
    size_t best = waiting_.size();
    for (size_t i = 0; i < waiting_.size(); ++i) {
      if (BandOf(waiting_[i]) != band) continue;
      if (best == waiting_.size() || GoesBefore(waiting_[i], waiting_[best])) {
        best = i;
      }
    }
    return best;
  }

  QueuedRequest Pop() {
    const size_t next = Next();
    QueuedRequest request = waiting_[next];
    const bool in_streak = BandOf(request) == kPrompt && HasBand(kPatient);
    streak_ = in_streak ? streak_ + 1 : 0;
    virtual_now_ = std::max(virtual_now_, start_tags_[request.customer]);
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(next));
    int64_t& virtual_time = virtual_times_[request.customer];
    virtual_time = std::max(virtual_time, virtual_now_) +
                   request.cost.count() * 1000000 / request.rate.count();
    int64_t& start_tag = start_tags_[request.customer];
    start_tag = std::max(StartTagOf(request.customer), start_tag);
    return request;
  }

  void Remove(const RequestId& id) {
    waiting_.erase(
        std::remove_if(waiting_.begin(), waiting_.end(),
                       [&](const QueuedRequest& r) { return r.request == id; }),
        waiting_.end());
  }

  void Advance(MonoTime now) { now_ = now; }
  bool empty() const { return waiting_.empty(); }
  const std::vector<QueuedRequest>& waiting() const { return waiting_; }

 private:
  enum Band { kPrompt, kPatient, kLate };

  bool HasRequests(const CustomerId& customer) const {
    return std::any_of(
        waiting_.begin(), waiting_.end(),
        [&](const QueuedRequest& r) { return r.customer == customer; });
  }
  Band BandOf(const QueuedRequest& r) const {
    if (r.target_start < now_) return kLate;
    return r.patient ? kPatient : kPrompt;
  }
  bool HasBand(Band band) const {
    return std::any_of(
        waiting_.begin(), waiting_.end(),
        [&](const QueuedRequest& r) { return BandOf(r) == band; });
  }
  Band NextBand() const {
    if (!HasBand(kPrompt)) return HasBand(kPatient) ? kPatient : kLate;
    return HasBand(kPatient) && streak_ >= kMaxPromptStreak ? kPatient
                                                            : kPrompt;
  }
  bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b) const {
    const int64_t tag_a = start_tags_.at(a.customer);
    const int64_t tag_b = start_tags_.at(b.customer);
    if (tag_a != tag_b) return tag_a < tag_b;
    if (a.customer != b.customer) return a.customer < b.customer;
    // Requests that compare equal keep their order of arrival.
    if (a.target_start != b.target_start)
      return a.target_start < b.target_start;
    return a.start_by < b.start_by;
  }

  int64_t StartTagOf(const CustomerId& customer) {
    return virtual_times_[customer] - slack_ * 1000000 / rates_[customer];
  }

  const int64_t slack_;
  std::vector<QueuedRequest> waiting_;
  std::map<CustomerId, int64_t> virtual_times_;
  std::map<CustomerId, int64_t> start_tags_;
  std::map<CustomerId, int64_t> rates_;
  int64_t virtual_now_ = 0;  // virtual time
  MonoTime now_{};
  int streak_ = 0;
};

void CheckSame(RequestQueue* queue, const ReferenceFairQueue& reference) {
  REQUIRE(queue->size() == reference.waiting().size());
  if (reference.empty()) {
    REQUIRE(queue->Front() == nullptr);
    return;
  }
  REQUIRE(queue->Front()->request ==
          reference.waiting()[reference.Next()].request);
}

// Operations: 0 to 3 push (customer a or b, prompt or patient class), 4 pops, 5
// removes the oldest waiting request, 6 advances the time. Targets are two
// operations ahead, so that some requests are late when their turn comes.
void Apply(int operation, int serial, RequestQueue* queue,
           ReferenceFairQueue* reference) {
  if (operation < 4) {
    QueuedRequest request =
        Request(serial, operation % 2 == 0 ? "a" : "b", operation >= 2,
                1 + serial % 3, 10 - serial % 2);
    request.target_start = MonoTime(Duration(serial + 2));
    queue->Push(request);
    reference->Push(request);
  } else if (operation == 4 && !reference->empty()) {
    REQUIRE(queue->PopFront().request == reference->Pop().request);
  } else if (operation == 5 && !reference->empty()) {
    const RequestId oldest = reference->waiting().front().request;
    REQUIRE(queue->Remove(oldest));
    reference->Remove(oldest);
  } else if (operation == 6) {
    queue->AdvanceTime(MonoTime(Duration(serial)));
    reference->Advance(MonoTime(Duration(serial)));
  }
  CheckSame(queue, *reference);
}

TEST_CASE("the fair queue matches the reference over all short sequences") {
  constexpr int kOperations = 7;
  constexpr int kLength = 7;
  int sequences = 1;
  for (int i = 0; i < kLength; ++i) sequences *= kOperations;
  for (int sequence = 0; sequence < sequences; ++sequence) {
    const int64_t slack = sequence % 3;
    const auto queue = MakeRequestQueue(QueueKind::kFair, Tokens(slack));
    ReferenceFairQueue reference(slack);
    int rest = sequence;
    for (int step = 0; step < kLength; ++step, rest /= kOperations) {
      Apply(rest % kOperations, step, queue.get(), &reference);
    }
  }
}

TEST_CASE("the fair queue matches the reference over long random sequences") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    SeededRandom random(seed);
    const auto slack = static_cast<int64_t>(seed % 5);
    const auto queue = MakeRequestQueue(QueueKind::kFair, Tokens(slack));
    ReferenceFairQueue reference(slack);
    for (int step = 0; step < 400; ++step) {
      Apply(static_cast<int>(random.UniformInt(7)), step, queue.get(),
            &reference);
    }
  }
}

TEST_CASE("a customer that sends more is not served more while others wait") {
  for (const int slack : {0, 500}) {
    const auto queue = MakeRequestQueue(QueueKind::kFair, Tokens(slack));
    int serial = 0;
    for (int i = 0; i < 100; ++i) {
      for (int j = 0; j < 5; ++j) {
        queue->Push(Request(serial++, "greedy", true, 100, 1000));
      }
      queue->Push(Request(serial++, "modest", true, 100, 1000));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i) {
      ++served[queue->PopFront().customer.value()];
      CHECK(std::abs(served["greedy"] - served["modest"]) <= 1 + slack / 100);
    }
  }
}

TEST_CASE("customers are served in proportion to their rates while both wait") {
  for (const int slack : {0, 500}) {
    const auto queue = MakeRequestQueue(QueueKind::kFair, Tokens(slack));
    for (int i = 0; i < 200; ++i) {
      queue->Push(Request(i, i % 2 == 0 ? "a" : "b", true, 100, 1000));
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 90; ++i) {
      ++served[queue->PopFront().customer.value()];
      CHECK(std::abs(2 * served["a"] - served["b"]) <= 2 + 2 * slack / 100);
    }
  }
}

TEST_CASE("a customer with a low rate goes first within the slack") {
  const auto queue = MakeRequestQueue(QueueKind::kFair, Tokens(250));
  int serial = 0;
  const auto push = [&](const std::string& customer, int64_t rate, int count) {
    for (int i = 0; i < count; ++i) {
      QueuedRequest request = Request(serial++, customer, true, 100, 1000);
      request.rate = Tokens(rate);
      queue->Push(request);
    }
  };
  push("large", 10, 50);
  for (int i = 0; i < 20; ++i) (void)queue->PopFront();
  push("small", 1, 50);
  // Three requests of 100 tokens are served first, within the slack; then one
  // in eleven.
  std::map<std::string, int> served;
  for (int i = 0; i < 33; ++i) ++served[queue->PopFront().customer.value()];
  CHECK(served["small"] >= 3);
  CHECK(served["small"] <= 6);
}

TEST_CASE("a patient request is served while prompt ones keep arriving") {
  const auto queue = MakeRequestQueue(QueueKind::kFair);
  queue->Push(Request(0, "a", true, 1, 1000));
  int pops = 0;
  for (int serial = 1;; ++serial) {
    queue->Push(Request(serial, "b", false, 1, 1000));
    ++pops;
    if (queue->PopFront().patient) break;
    REQUIRE(pops <= kMaxPromptStreak);
  }
  CHECK(pops == kMaxPromptStreak + 1);
}

TEST_CASE("requests that missed their target go behind those that did not") {
  const auto queue = MakeRequestQueue(QueueKind::kFair);
  for (int i = 0; i < 3; ++i) {
    QueuedRequest request = Request(i, "a", i != 0, 1, 1000);
    request.target_start = MonoTime(Duration(10 * (i + 1)));
    queue->Push(request);
  }
  queue->AdvanceTime(MonoTime(Duration(25)));
  CHECK(queue->PopFront().request == RequestId("r2"));
  CHECK(queue->PopFront().request == RequestId("r0"));
  CHECK(queue->PopFront().request == RequestId("r1"));
}

TEST_CASE("the first come, first served queue keeps the order of arrival") {
  const auto queue = MakeRequestQueue(QueueKind::kFifo);
  for (int i = 0; i < 4; ++i) {
    queue->Push(Request(i, "a", i % 2 == 0, 1, 10 - i));
  }
  CHECK(queue->Remove(RequestId("r1")));
  CHECK_FALSE(queue->Remove(RequestId("r1")));
  CHECK(queue->PopFront().request == RequestId("r0"));
  CHECK(queue->UnitsAhead(Request(9, "b", false, 1, 1)) == Units(2));
  CHECK(queue->RemoveExpired(MonoTime(Duration(8))).size() == 1);
  CHECK(queue->PopFront().request == RequestId("r2"));
  CHECK(queue->Front() == nullptr);
}

TEST_CASE("the fair queue removes requests past their start_by") {
  const auto queue = MakeRequestQueue(QueueKind::kFair);
  for (int i = 0; i < 10; ++i) {
    queue->Push(Request(i, i % 2 == 0 ? "a" : "b", i % 3 == 0, 1, i));
  }
  CHECK(queue->RemoveExpired(MonoTime(Duration(5))).size() == 5);
  CHECK(queue->size() == 5);
  for (int i = 0; i < 5; ++i) {
    CHECK(queue->PopFront().start_by >= MonoTime(Duration(5)));
  }
}

TEST_CASE("a customer with many waiting requests has more units ahead") {
  const auto queue = MakeRequestQueue(QueueKind::kFair);
  for (int i = 0; i < 50; ++i) {
    queue->Push(Request(i, "greedy", true, 1, 100));
  }
  CHECK(queue->UnitsAhead(Request(99, "greedy", true, 1, 100)) == Units(50));
  CHECK(queue->UnitsAhead(Request(99, "modest", true, 1, 100)) == Units(1));
}

}  // namespace
}  // namespace mimosa
