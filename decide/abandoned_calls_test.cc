// Tests which abandoned calls are taken for crashes of their engines.
#include "decide/abandoned_calls.h"

#include <catch2/catch.hpp>
#include <string>

namespace mimosa {
namespace {

using std::chrono::seconds;

MonoTime At(int s) { return MonoTime(seconds(s)); }

BackEndEntry Engine(int64_t incarnation) {
  BackEndEntry engine;
  engine.id = BackEndId("e");
  engine.incarnation = incarnation;
  return engine;
}

AbandonedCall CallOf(const std::string& request) {
  return {RequestId(request), {CrashSuspectId("s")}, Engine(1)};
}

struct Fixture {
  Fixture() {
    list.Put(Engine(1), At(0));
    calls.Add(CallOf("r"), At(1));
  }
  size_t CountEnded(int at) { return calls.TakeEnded(list, At(at)).size(); }

  BackEndList list;
  AbandonedCalls calls{{}};
};

TEST_CASE("a call whose engine ends soon after it is returned once") {
  Fixture fixture;
  CHECK(fixture.CountEnded(2) == 0);
  SECTION("the entry is gone") { fixture.list.Remove(BackEndId("e"), At(3)); }
  SECTION("another incarnation") { fixture.list.Put(Engine(2), At(3)); }
  const auto ended = fixture.calls.TakeEnded(fixture.list, At(3));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].request == RequestId("r"));
  CHECK(fixture.CountEnded(3) == 0);
}

TEST_CASE("engines that end in order, late, or not at all are no crashes") {
  Fixture fixture;
  SECTION("it is about to terminate") {
    BackEndEntry leaving = Engine(1);
    leaving.draining = true;
    fixture.list.Put(leaving, At(2));
    CHECK(fixture.CountEnded(2) == 0);
  }
  SECTION("its entry may come back after an outage") {
    fixture.list.OnStoreLost();
    fixture.list.Remove(BackEndId("e"), At(2));
    CHECK(fixture.CountEnded(2) == 0);
    return;
  }
  SECTION("it ends long after the call") {}
  fixture.list.Remove(BackEndId("e"), At(11));
  CHECK(fixture.CountEnded(11) == 0);
}

TEST_CASE("the number of abandoned calls is bounded") {
  Fixture fixture;
  for (int i = 0; i < 1000; ++i)
    fixture.calls.Add(CallOf(std::to_string(i)), At(1));
  CHECK(fixture.calls.size() == AbandonedCalls::Options().max_calls);
}

}  // namespace
}  // namespace mimosa
