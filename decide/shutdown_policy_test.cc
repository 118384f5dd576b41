// Tests which streams a daemon that shuts down admits.
#include "decide/shutdown_policy.h"

#include <catch2/catch.hpp>

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MonoTime At(Duration t) { return MonoTime(t); }

// A daemon with a grace time of 8 s that was stopped at 0.
ShutdownPolicy MakePolicy() {
  ShutdownPolicy policy;
  policy.Begin(At(milliseconds(2300)), At(milliseconds(7600)));
  return policy;
}

TEST_CASE("without a shutdown every stream is admitted") {
  CHECK(ShutdownPolicy().AdmitsStream(At(seconds(1)), seconds(100)));
}

TEST_CASE("a stream that would outlast a daemon that shuts down is refused") {
  const ShutdownPolicy policy = MakePolicy();
  CHECK(policy.AdmitsStream(At(seconds(1)), milliseconds(6600)));
  CHECK_FALSE(policy.AdmitsStream(At(seconds(1)), milliseconds(6601)));
  CHECK(policy.AdmitsStream(At(seconds(1)), std::nullopt));
  CHECK_FALSE(policy.AdmitsStream(At(milliseconds(2301)), milliseconds(10)));
}

TEST_CASE("a shorter grace time counts during a shutdown, a longer one not") {
  ShutdownPolicy policy = MakePolicy();
  policy.EndBy(At(seconds(20)));
  CHECK(policy.ends_at() == At(milliseconds(7600)));
  policy.EndBy(At(seconds(4)));
  CHECK(policy.ends_at() == At(seconds(4)));
  CHECK_FALSE(policy.AdmitsStream(At(seconds(1)), milliseconds(3001)));
}

}  // namespace
}  // namespace mimosa
