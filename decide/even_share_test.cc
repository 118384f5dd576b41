// Tests of a daemon's share of a fleet-wide allowance.
#include "decide/even_share.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace mimosa {
namespace {

MonoTime At(int s) { return MonoTime(std::chrono::seconds(1000 + s)); }

TEST_CASE("a process has no share at first") {
  EvenShare share("m0", EvenShare::Options{});
  CHECK(share.Get(At(100)) == 0);
  share.OnMember("m1", At(0));
  CHECK(share.Get(At(30)) == 0);
  share.OnMember("m0", At(30));
  CHECK(share.Get(At(44)) == 0);
  CHECK(share.Get(At(45)) == 0.5);
}

}  // namespace
}  // namespace mimosa
