// Tests the estimate of how long streams last, and which of them a daemon that
// shuts down admits.
#include "decide/shutdown_policy.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "decide/stream_durations.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("llm");
constexpr Tokens kOutput(70);

MonoTime At(Duration t) { return MonoTime(t); }

// A daemon with a grace time of 8 s that was stopped at 0.
ShutdownPolicy MakePolicy() {
  ShutdownPolicy policy;
  policy.Begin(At(milliseconds(2300)), At(milliseconds(7600)));
  return policy;
}

// Streams of 70 tokens on average, whose expected output is off by up to a
// factor of two.
void RecordStreams(StreamDurations* durations, RandomSource* random, int count,
                   Duration to_first_event, Duration per_token) {
  for (int i = 0; i < count; ++i) {
    const double error = 0.5 + 1.5 * random->UniformDouble();
    durations->Record(kService, kOutput,
                      Scaled(to_first_event, 0.5 + random->UniformDouble()),
                      Scaled(per_token * kOutput.count(), error));
  }
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
  CHECK(policy.checks_end_at() == policy.ends_at());
  policy.EndBy(At(seconds(20)));
  CHECK(policy.ends_at() == At(milliseconds(7600)));
  policy.EndBy(At(seconds(4)));
  CHECK(policy.ends_at() == At(seconds(4)));
  CHECK_FALSE(policy.AdmitsStream(At(seconds(1)), milliseconds(3001)));
}

TEST_CASE("too few streams give no estimate") {
  StreamDurations durations;
  for (int i = 0; i < 3; ++i)
    durations.Record(kService, kOutput, milliseconds(100), milliseconds(900));
  CHECK_FALSE(durations.Find(kService, kOutput).has_value());
  CHECK_FALSE(durations.Find(ServiceId("other"), kOutput).has_value());
}

TEST_CASE("on a calm day a daemon that shuts down admits streams") {
  SeededRandom random(1);
  StreamDurations durations;
  RecordStreams(&durations, &random, 40, milliseconds(400), milliseconds(12));
  const auto estimate = durations.Find(kService, kOutput);
  REQUIRE(estimate.has_value());
  CHECK(MakePolicy().AdmitsStream(At(milliseconds(2300)), estimate->total()));
}

TEST_CASE("in a burst the estimate follows within ten streams") {
  SeededRandom random(2);
  StreamDurations durations;
  RecordStreams(&durations, &random, 40, milliseconds(400), milliseconds(12));
  RecordStreams(&durations, &random, 10, milliseconds(2000), milliseconds(80));
  CHECK_FALSE(MakePolicy().AdmitsStream(
      At(seconds(1)), durations.Find(kService, kOutput)->total()));
  RecordStreams(&durations, &random, 40, milliseconds(400), milliseconds(12));
  CHECK(MakePolicy().AdmitsStream(At(seconds(1)),
                                  durations.Find(kService, kOutput)->total()));
}

TEST_CASE("most streams are shorter than their estimate") {
  SeededRandom random(3);
  StreamDurations durations;
  RecordStreams(&durations, &random, 40, milliseconds(1000), milliseconds(40));
  int longer = 0;
  constexpr int kStreams = 400;
  for (int i = 0; i < kStreams; ++i) {
    const Duration estimate = durations.Find(kService, kOutput)->total();
    const Duration first =
        Scaled(milliseconds(1000), 0.5 + random.UniformDouble());
    const Duration rest = Scaled(milliseconds(40) * kOutput.count(),
                                 0.5 + 1.5 * random.UniformDouble());
    if (first + rest > estimate) ++longer;
    durations.Record(kService, kOutput, first, rest);
  }
  CHECK(longer < kStreams / 20);
}

TEST_CASE("ends are checked for a while after the requests have ended") {
  ShutdownPolicy policy;
  CHECK(policy.checks_end_at() == kNever);
  policy.Begin(At(seconds(2)), At(seconds(4)), milliseconds(150));
  CHECK(policy.checks_end_at() == At(milliseconds(4150)));
  CHECK(policy.AdmitsRequest(At(milliseconds(3999))));
  CHECK_FALSE(policy.AdmitsRequest(At(seconds(4))));
  policy.EndBy(At(seconds(3)));
  CHECK(policy.checks_end_at() == At(milliseconds(3150)));
}

}  // namespace
}  // namespace mimosa
