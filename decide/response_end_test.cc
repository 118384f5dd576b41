// What signs of life show of a response that only a close has ended.
#include "decide/response_end.h"

#include <catch2/catch.hpp>

namespace mimosa {
namespace {

using std::chrono::milliseconds;

constexpr MonoTime kClosedAt{std::chrono::seconds(100)};
constexpr int64_t kIncarnation = 7;

constexpr int64_t kEvents = 5;

BackEndEntry MakeSender(int64_t incarnation = kIncarnation,
                        EngineRole role = EngineRole::kDecode) {
  BackEndEntry sender;
  sender.id = BackEndId("e1");
  sender.role = role;
  sender.incarnation = incarnation;
  return sender;
}

ResponseEndJudge MakeJudge(int64_t incarnation = kIncarnation,
                           EngineRole role = EngineRole::kDecode,
                           Duration age = std::chrono::seconds(5)) {
  return {MakeSender(incarnation, role), kEvents, kClosedAt - age, kClosedAt,
          std::chrono::seconds(10)};
}

LifeSign MakeSign(LifeSign::Kind kind) {
  LifeSign sign;
  sign.kind = kind;
  return sign;
}

TEST_CASE(
    "a response is complete once its incarnation has outlived the close") {
  LifeSign sign = MakeSign(LifeSign::Kind::kStatement);
  sign.incarnation = kIncarnation;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
  // Also if the server is too busy for more.
  sign.kind = LifeSign::Kind::kRejection;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
}

TEST_CASE("a response of a terminated server is truncated") {
  LifeSign restarted = MakeSign(LifeSign::Kind::kStatement);
  restarted.back_end = BackEndId("e1");
  restarted.incarnation = kIncarnation + 1;
  LifeSign replaced = MakeSign(LifeSign::Kind::kStatement);
  replaced.back_end = BackEndId("e2");
  replaced.incarnation = kIncarnation;
  for (const LifeSign& sign :
       {restarted, replaced, MakeSign(LifeSign::Kind::kRefused),
        MakeSign(LifeSign::Kind::kOther)})
    CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kLost);
}

TEST_CASE("a rejection or a lost request shows nothing") {
  CHECK(MakeJudge().Judge(MakeSign(LifeSign::Kind::kRejection), 1, kClosedAt) ==
        EndVerdict::kUndecided);
  CHECK(MakeJudge().Judge(MakeSign(LifeSign::Kind::kNone), 1, kClosedAt) ==
        EndVerdict::kUndecided);
}

TEST_CASE("a server that states no incarnation is known by its id") {
  LifeSign sign = MakeSign(LifeSign::Kind::kStatement);
  // Another server would have answered that it is misdirected.
  CHECK(MakeJudge(0).Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
  sign.back_end = BackEndId("e1");
  sign.kind = LifeSign::Kind::kRejection;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
}

TEST_CASE("only the first sign counts if it names no incarnation") {
  LifeSign sign = MakeSign(LifeSign::Kind::kStatement);
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
  CHECK(MakeJudge().Judge(sign, 2, kClosedAt) == EndVerdict::kUndecided);
  CHECK(MakeJudge(0).Judge(sign, 2, kClosedAt) == EndVerdict::kComplete);
  sign.kind = LifeSign::Kind::kRejection;
  sign.back_end = BackEndId("e1");
  CHECK(MakeJudge().Judge(sign, 2, kClosedAt) == EndVerdict::kUndecided);
  sign.incarnation = kIncarnation;
  CHECK(MakeJudge().Judge(sign, 2, kClosedAt) == EndVerdict::kComplete);
}

TEST_CASE("a plain server that rejects the question is alive") {
  ResponseEndJudge judge = MakeJudge(kIncarnation, EngineRole::kNone);
  LifeSign sign = MakeSign(LifeSign::Kind::kRejection);
  CHECK(judge.Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
  sign.back_end = BackEndId("e2");
  CHECK(judge.Judge(sign, 1, kClosedAt) == EndVerdict::kLost);
}

TEST_CASE("a response is truncated if more events were generated") {
  LifeSign sign = MakeSign(LifeSign::Kind::kStatement);
  sign.incarnation = kIncarnation;
  sign.lists_runs = true;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
  sign.events_generated = kEvents;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kUndecided);
  sign.events_generated = kEvents + 1;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kTruncated);
}

TEST_CASE("a response whose connection is reset behind its end is truncated") {
  LifeSign sign = MakeSign(LifeSign::Kind::kStatement);
  sign.incarnation = kIncarnation;
  sign.connection_reset = true;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kLost);
  sign.kind = LifeSign::Kind::kNone;
  CHECK(MakeJudge().Judge(sign, 1, kClosedAt) == EndVerdict::kLost);
}

// The values of a report are some hundred milliseconds old.
TEST_CASE("a run that is listed is asked for until the report must be newer") {
  ResponseEndJudge judge = MakeJudge();
  LifeSign listed = MakeSign(LifeSign::Kind::kStatement);
  listed.incarnation = kIncarnation;
  listed.lists_runs = true;
  listed.events_generated = kEvents;
  CHECK(judge.Judge(listed, 1, kClosedAt) == EndVerdict::kUndecided);
  MonoTime now = kClosedAt;
  int asked = 1;
  while (const auto next = judge.NextRequestAt(asked, now)) {
    now = *next;
    CHECK(judge.Judge(listed, ++asked, now) == EndVerdict::kUndecided);
  }
  CHECK(now - kClosedAt > milliseconds(1200));
  CHECK(now - kClosedAt < milliseconds(2200));
  CHECK(asked < 10);
  // A lost report changes nothing.
  CHECK(judge.Judge(MakeSign(LifeSign::Kind::kNone), ++asked, now) ==
        EndVerdict::kUndecided);
  CHECK(judge.is_run_listed());
  listed.events_generated.reset();
  CHECK(judge.Judge(listed, ++asked, now) == EndVerdict::kComplete);
}

// As many as of a run that isn't listed at all.
TEST_CASE("reports that are lost behind a listing are asked for again") {
  constexpr auto kTimeout = milliseconds(250);
  const auto count_requests = [&](ResponseEndJudge* judge, int asked,
                                  MonoTime now) {
    const int before = asked;
    while (const auto next = judge->NextRequestAt(asked, now)) {
      now = *next + kTimeout;
      CHECK(judge->Judge(MakeSign(LifeSign::Kind::kNone), ++asked, *next) ==
            EndVerdict::kUndecided);
    }
    return asked - before;
  };
  ResponseEndJudge unlisted = MakeJudge();
  ResponseEndJudge judge = MakeJudge();
  LifeSign listed = MakeSign(LifeSign::Kind::kStatement);
  listed.incarnation = kIncarnation;
  listed.lists_runs = true;
  listed.events_generated = kEvents;
  // The last report that may still list a run that has ended.
  const MonoTime listed_at = kClosedAt + milliseconds(1200);
  CHECK(judge.Judge(listed, 1, listed_at) == EndVerdict::kUndecided);
  CHECK(count_requests(&judge, 1, listed_at) >=
        count_requests(&unlisted, 0, kClosedAt) - 1);
}

// A report that is older than the run doesn't list it.
TEST_CASE(
    "a run that began lately is asked for until its report must know it") {
  ResponseEndJudge judge =
      MakeJudge(kIncarnation, EngineRole::kDecode, milliseconds(100));
  LifeSign sign = MakeSign(LifeSign::Kind::kStatement);
  sign.incarnation = kIncarnation;
  CHECK(judge.Judge(sign, 1, kClosedAt) == EndVerdict::kComplete);
  sign.lists_runs = true;
  MonoTime now = kClosedAt;
  int asked = 1;
  while (judge.Judge(sign, asked, now) == EndVerdict::kUndecided) {
    const auto next = judge.NextRequestAt(asked++, now);
    REQUIRE(next);
    now = *next;
  }
  CHECK(judge.Judge(sign, asked, now) == EndVerdict::kComplete);
  CHECK(now - kClosedAt > std::chrono::seconds(1));
  CHECK(now - kClosedAt < std::chrono::seconds(2));
}

TEST_CASE("a sign is asked for at once, then less and less often") {
  const ResponseEndJudge judge = MakeJudge();
  CHECK(judge.NextRequestAt(0, kClosedAt) == kClosedAt);
  Duration earlier{};
  for (int asked = 1; asked <= 5; ++asked) {
    const auto next = judge.NextRequestAt(asked, kClosedAt);
    REQUIRE(next);
    CHECK(*next - kClosedAt > earlier);
    earlier = *next - kClosedAt;
  }
}

TEST_CASE("a response without a sign of life counts as truncated in the end") {
  const ResponseEndJudge judge = MakeJudge();
  MonoTime now = kClosedAt;
  int asked = 0;
  while (const auto next = judge.NextRequestAt(asked, now)) {
    now = *next;
    ++asked;
    REQUIRE(asked < 20);
  }
  CHECK(now - kClosedAt <= std::chrono::seconds(1));
  CHECK(asked > 4);
}

TEST_CASE("no sign is awaited beyond the time of the request") {
  const ResponseEndJudge judge(MakeSender(), kEvents, kClosedAt, kClosedAt,
                               milliseconds(50));
  CHECK(judge.NextRequestAt(0, kClosedAt));
  CHECK_FALSE(judge.NextRequestAt(0, kClosedAt + milliseconds(50)));
  const ResponseEndJudge late(MakeSender(), kEvents, kClosedAt, kClosedAt,
                              Duration::zero());
  CHECK_FALSE(late.NextRequestAt(0, kClosedAt));
}

TEST_CASE("a newer report is asked for more often towards a deadline") {
  ResponseEndJudge judge = MakeJudge();
  LifeSign listed = MakeSign(LifeSign::Kind::kStatement);
  listed.incarnation = kIncarnation;
  listed.lists_runs = true;
  listed.events_generated = kEvents;
  const MonoTime deadline = kClosedAt + milliseconds(400);
  judge.DecideBy(deadline);
  judge.DecideBy(kNever);  // Later: ignored.
  MonoTime now = kClosedAt;
  Duration earlier = milliseconds(250);
  int asked = 1;
  CHECK(judge.Judge(listed, asked, now) == EndVerdict::kUndecided);
  while (const auto next = judge.NextRequestAt(asked, now)) {
    CHECK(*next - now <= earlier);
    earlier = *next - now;
    now = *next;
    // However often it is listed, it isn't known to have ended.
    CHECK(judge.Judge(listed, ++asked, now) == EndVerdict::kUndecided);
    REQUIRE(asked < 20);
  }
  CHECK(now < deadline);
  CHECK(deadline - now <= milliseconds(20));
}

}  // namespace
}  // namespace mimosa
