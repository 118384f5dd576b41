// Tests of the rights under which a request's calls may be sent.
#include "decide/call_rights.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace mimosa {
namespace {

constexpr MonoTime kNow{std::chrono::seconds(100)};

// A budget of `retries`, whatever the number of requests.
struct Fixture {
  explicit Fixture(double retries) {
    RetryBudget::Options options;
    options.ratio = 0;
    options.slack = retries;
    options.usable_share = 1;
    budget.SetOptions(options);
    rights = CallRights::Create(&budget, service);
  }
  double spent() const { return budget.GetState(service, kNow).retries; }

  const ServiceId service{"s"};
  RetryBudget budget{RetryBudget::Options{}};
  std::shared_ptr<CallRights> rights;
};

TEST_CASE("only the first call of a request is free") {
  Fixture fixture(1);
  auto first = fixture.rights->Acquire(kNow);
  REQUIRE(first);
  CHECK_FALSE(first->is_charged());
  auto second = fixture.rights->Acquire(kNow);
  REQUIRE(second);
  CHECK(second->is_charged());
  CHECK(fixture.spent() == 1);
  CHECK_FALSE(fixture.rights->Acquire(kNow));
}

TEST_CASE("the first prefill that is accepted leaves the run free") {
  Fixture fixture(0);
  auto prefill = fixture.rights->Acquire(kNow);
  REQUIRE(prefill);
  prefill->OnPrefillAccepted();
  const auto run = fixture.rights->Acquire(kNow);
  REQUIRE(run);
  CHECK_FALSE(run->is_charged());
  CHECK_FALSE(fixture.rights->Acquire(kNow));
}

TEST_CASE("a run after a rejected prefill is charged") {
  Fixture fixture(1);
  REQUIRE(fixture.rights->Acquire(kNow));  // Rejected.
  const auto run = fixture.rights->Acquire(kNow);
  REQUIRE(run);
  CHECK(run->is_charged());
  CHECK_FALSE(fixture.rights->Acquire(kNow));
}

TEST_CASE("a second prefill is free if the first one was rejected") {
  Fixture fixture(1);
  REQUIRE(fixture.rights->Acquire(kNow));  // Rejected.
  auto second = fixture.rights->Acquire(kNow);
  REQUIRE(second);
  second->OnPrefillAccepted();
  CHECK(fixture.spent() == 0);
  const auto run = fixture.rights->Acquire(kNow);
  REQUIRE(run);
  CHECK(run->is_charged());
}

TEST_CASE("of two prefills that are accepted only one is free") {
  Fixture fixture(1);
  auto first = fixture.rights->Acquire(kNow);
  auto second = fixture.rights->Acquire(kNow);
  REQUIRE(first);
  REQUIRE(second);
  second->OnPrefillAccepted();
  CHECK(fixture.spent() == 0);
  first->OnPrefillAccepted();
  CHECK_FALSE(fixture.rights->has_free_call());
}

TEST_CASE("a call that was not sent gives its right back once") {
  Fixture fixture(1);
  auto first = fixture.rights->Acquire(kNow);
  REQUIRE(first);
  first->GiveBack();
  first->GiveBack();
  CHECK(fixture.rights->has_free_call());
  REQUIRE(fixture.rights->Acquire(kNow));
  auto second = fixture.rights->Acquire(kNow);
  REQUIRE(second);
  second->GiveBack();
  second->GiveBack();
  CHECK(fixture.spent() == 0);
}

TEST_CASE("a right that was given back gives no further call away") {
  Fixture fixture(0);
  auto first = fixture.rights->Acquire(kNow);
  REQUIRE(first);
  first->GiveBack();
  REQUIRE(fixture.rights->Acquire(kNow));
  CHECK_FALSE(first->AcquireAnother(kNow));
}

TEST_CASE("a charge that has left the window is not given back") {
  Fixture fixture(1);
  REQUIRE(fixture.rights->Acquire(kNow));
  auto second = fixture.rights->Acquire(kNow);
  REQUIRE(second);
  const MonoTime later = kNow + std::chrono::seconds(11);
  REQUIRE(fixture.rights->Acquire(later));
  second->GiveBack();
  CHECK(fixture.budget.GetState(fixture.service, later).retries == 1);
}

TEST_CASE("a call that is sent once more on another connection is charged") {
  Fixture fixture(1);
  auto right = fixture.rights->Acquire(kNow);
  REQUIRE(right);
  auto another = right->AcquireAnother(kNow);
  REQUIRE(another);
  CHECK(another->is_charged());
  CHECK_FALSE(right->AcquireAnother(kNow));
  CHECK(CallRight::ForControlCall().AcquireAnother(kNow));
}

TEST_CASE("a request that is handed on has one call and no second prefill") {
  Fixture fixture(1);
  const auto rights =
      CallRights::Create(&fixture.budget, fixture.service, true);
  auto prefill = rights->Acquire(kNow);
  REQUIRE(prefill);
  prefill->OnPrefillAccepted();
  const auto run = rights->Acquire(kNow);
  REQUIRE(run);
  CHECK(run->is_charged());
}

}  // namespace
}  // namespace mimosa
