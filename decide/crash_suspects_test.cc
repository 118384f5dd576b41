// Tests which requests share a fingerprint, and that suspects don't collide.
#include "decide/crash_suspects.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace mimosa {
namespace {

TEST_CASE("repetitions of a request share a fingerprint, others don't") {
  const CustomerId customer("c");
  const RequestIdentity identity{"GET", "h", "/look/a?b=1", customer, "body"};
  const std::vector<RequestIdentity> others = {
      {"POST", "h", "/look/a?b=1", customer, "body"},
      {"GET", "g", "/look/a?b=1", customer, "body"},
      {"GET", "h", "/look/a?b=2", customer, "body"},
      {"GET", "h", "/look/a?b=1", CustomerId("d"), "body"},
      {"GET", "h", "/look/a?b=1", customer, "bodies"},
      {"GET", "h", "/look/a?b=1", customer, ""},
      // The same bytes, divided into other fields.
      {"GET", "h/", "look/a?b=1", customer, "body"},
      {"GET", "h", "/look/a?b=1c", CustomerId(""), "body"},
  };
  std::set<RequestFingerprint> fingerprints = {FingerprintOf(identity)};
  for (const RequestIdentity& other : others)
    fingerprints.insert(FingerprintOf(other));
  CHECK(fingerprints.size() == others.size() + 1);
  CHECK(FingerprintOf(identity) ==
        FingerprintOf({"GET", "h", "/look/a?b=1", customer, "body"}));
}

TEST_CASE("no part of a prompt is taken for a whole request") {
  const RequestFingerprint fingerprint = FingerprintOf({});
  CHECK(IsRequest(SuspectRequest(fingerprint)));
  const CrashSuspectId part =
      SuspectPromptPart(PromptPartId(fingerprint.value()));
  CHECK_FALSE(IsRequest(part));
  CHECK(part != SuspectRequest(fingerprint));
}

}  // namespace
}  // namespace mimosa
