// Tests of the rights under which the runs of a request may be sent.
#include "decide/run_rights.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"

namespace mimosa {
namespace {

const BackEndId kFirst("e1");
const BackEndId kSecond("e2");
const BackEndId kThird("e3");

TEST_CASE("a request that must not be repeated runs once") {
  for (const RetryPolicy policy :
       {RetryPolicy::kAtMostOnce, RetryPolicy::kStream}) {
    const auto rights = RunRights::Create(policy, 2);
    CHECK_FALSE(rights->may_have_run());
    auto right = rights->Acquire(kFirst);
    REQUIRE(right);
    CHECK(rights->may_have_run());
    CHECK_FALSE(rights->MayRunElsewhere());
    CHECK_FALSE(rights->Acquire(kSecond));
    right->Release();
    CHECK(rights->may_have_run());
    CHECK_FALSE(rights->Acquire(kFirst));
    CHECK_FALSE(rights->Acquire(kSecond));
    CHECK(rights->BackEndsToReturnTo().empty());
  }
}

TEST_CASE("a run that was not executed leaves the right to another") {
  for (const RetryPolicy policy :
       {RetryPolicy::kIdempotent, RetryPolicy::kAtMostOnce,
        RetryPolicy::kStream, RetryPolicy::kResumableStream}) {
    const auto rights = RunRights::Create(policy, 1);
    auto right = rights->Acquire(kFirst);
    REQUIRE(right);
    CHECK_FALSE(rights->Acquire(kSecond));
    right->ReleaseUnexecuted();
    // A later release has no effect.
    right->Release();
    CHECK_FALSE(rights->may_have_run());
    CHECK(rights->Acquire(kSecond));
  }
}

TEST_CASE("a resumable stream runs at one back end at a time") {
  const auto rights = RunRights::Create(RetryPolicy::kResumableStream, 2);
  {
    const auto first = rights->Acquire(kFirst);
    REQUIRE(first);
    CHECK(rights->MayRunElsewhere());
    CHECK_FALSE(rights->Acquire(kSecond));
    CHECK_FALSE(rights->Acquire(kFirst));
  }
  {
    const auto second = rights->Acquire(kSecond);
    REQUIRE(second);
    CHECK_FALSE(rights->MayRunElsewhere());
    CHECK_FALSE(rights->Acquire(kFirst));
  }
  CHECK_FALSE(rights->Acquire(kThird));
  // It may return to each back end once.
  CHECK(rights->BackEndsToReturnTo() == std::set<BackEndId>{kFirst, kSecond});
  REQUIRE(rights->Acquire(kFirst));
  CHECK_FALSE(rights->Acquire(kFirst));
  CHECK(rights->BackEndsToReturnTo() == std::set<BackEndId>{kSecond});
  REQUIRE(rights->Acquire(kSecond));
  CHECK(rights->BackEndsToReturnTo().empty());
  CHECK_FALSE(rights->Acquire(kSecond));
}

TEST_CASE("a resumable stream with one attempt runs once") {
  const auto rights = RunRights::Create(RetryPolicy::kResumableStream, 1);
  REQUIRE(rights->Acquire(kFirst));
  CHECK(rights->BackEndsToReturnTo().empty());
  CHECK_FALSE(rights->Acquire(kFirst));
  CHECK_FALSE(rights->Acquire(kSecond));
}

TEST_CASE("an idempotent request may run at several back ends at once") {
  const auto rights = RunRights::Create(RetryPolicy::kIdempotent, 2);
  const auto first = rights->Acquire(kFirst);
  REQUIRE(first);
  CHECK(rights->MayRunElsewhere());
  CHECK_FALSE(rights->MayRunElsewhere(/*planned=*/1));
  const auto second = rights->Acquire(kSecond);
  REQUIRE(second);
  CHECK_FALSE(rights->Acquire(kThird));
  // The same call once more on another connection.
  CHECK(rights->Acquire(kFirst));
}

TEST_CASE("a right that is moved is released once") {
  const auto rights = RunRights::Create(RetryPolicy::kResumableStream, 2);
  std::optional<RunRight> kept;
  {
    auto right = rights->Acquire(kFirst);
    REQUIRE(right);
    kept = std::move(right);
  }
  CHECK_FALSE(rights->Acquire(kSecond));
  kept.reset();
  CHECK(rights->Acquire(kSecond));
}

// Engines that reject, lose and preempt runs in any order.
TEST_CASE("at most one run of a stream goes on, whatever becomes of the runs") {
  SeededRandom random(1);
  const std::vector<BackEndId> back_ends = {kFirst, kSecond, kThird};
  for (int history = 0; history < 200; ++history) {
    const int attempts = 1 + static_cast<int>(random.UniformInt(3));
    const auto rights =
        RunRights::Create(RetryPolicy::kResumableStream, attempts);
    std::optional<RunRight> active;
    std::set<BackEndId> executed;
    for (int step = 0; step < 40; ++step) {
      const BackEndId& back_end = back_ends[random.UniformInt(3)];
      auto right = rights->Acquire(back_end);
      if (right) {
        REQUIRE_FALSE(active);
        active = std::move(right);
        executed.insert(back_end);
        REQUIRE(static_cast<int>(executed.size()) <= attempts);
      }
      if (active && random.UniformInt(2) == 0) active.reset();
    }
  }
}

}  // namespace
}  // namespace mimosa
