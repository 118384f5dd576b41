// Tests back pressure, admission and the choice of victims under load.
#include "decide/buffer_budget.h"

#include <catch2/catch.hpp>

namespace mimosa {
namespace {

using std::chrono::seconds;

constexpr size_t kLimit = 32U << 20;

BufferBudget MakeBudget() { return BufferBudget({kLimit, seconds(5)}); }

TEST_CASE("without a limit nothing is refused or ended") {
  const BufferBudget budget{BufferBudget::Options{}};
  CHECK(budget.MayAdmit(1U << 30, 1U << 30));
  CHECK(budget.ResponseLimit(100000) == BufferBudget::kMaxResponseBytes);
  CHECK(budget
            .ChooseVictims({{1, 1U << 30, MonoTime{}}}, 1U << 30,
                           MonoTime(seconds(60)))
            .empty());
}

TEST_CASE("any number of slow readers stays within the limit or its minimum") {
  const BufferBudget budget = MakeBudget();
  CHECK(budget.ResponseLimit(1) == BufferBudget::kMaxResponseBytes);
  for (size_t responses = 1; responses <= 4096; responses *= 2) {
    const size_t each = budget.ResponseLimit(responses);
    CHECK(each >= BufferBudget::kMinResponseBytes);
    CHECK((each == BufferBudget::kMinResponseBytes ||
           each * responses <= kLimit));
  }
}

TEST_CASE("a burst of large requests is refused before the limit is reached") {
  const BufferBudget budget = MakeBudget();
  constexpr size_t kRequestBytes = 1U << 20;
  size_t held = 0;
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    if (!budget.MayAdmit(held, kRequestBytes)) continue;
    held += kRequestBytes;
    ++admitted;
  }
  CHECK(admitted == 24);
  CHECK(held < kLimit);
}

TEST_CASE("victims have stalled for longest, and no reader is one") {
  const BufferBudget budget = MakeBudget();
  const MonoTime now(seconds(100));
  const std::vector<BufferBudget::Response> responses = {
      {1, 20U << 20, now - seconds(1)},  // Reads slowly.
      {2, 4U << 20, now - seconds(6)},
      {3, 4U << 20, now - seconds(20)},
      {4, 4U << 20, now - seconds(9)},
      {5, 0, now - seconds(30)},  // Waits for its back end.
  };
  CHECK(budget.ChooseVictims(responses, 32U << 20, now).empty());
  CHECK(budget.ChooseVictims(responses, 33U << 20, now) ==
        std::vector<uint64_t>{3});
  CHECK(budget.ChooseVictims(responses, 40U << 20, now) ==
        std::vector<uint64_t>{3, 4});
  CHECK(budget.ChooseVictims(responses, 90U << 20, now) ==
        std::vector<uint64_t>{3, 4, 2});
}

}  // namespace
}  // namespace mimosa
