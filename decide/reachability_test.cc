// Tests when a service counts as unreachable, and the choice of helpers.
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "decide/helper_choice.h"
#include "decide/service_reachability.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;

const ServiceId kDesk("desk");

MonoTime At(int ms) { return MonoTime(milliseconds(ms)); }

BackEndEntry MakeEntry(const std::string& id, int64_t incarnation = 1) {
  BackEndEntry entry;
  entry.id = BackEndId(id);
  entry.service = kDesk;
  entry.incarnation = incarnation;
  return entry;
}

struct Fixture {
  explicit Fixture(int back_ends) {
    for (int i = 0; i < back_ends; ++i) list.Put(Entry(i), At(0));
  }
  static BackEndEntry Entry(int i) {
    return MakeEntry("k" + std::to_string(i));
  }

  BackEndList list;
  ServiceReachability reachability{&list, {}};
};

TEST_CASE("a service is unreachable after misses of several back ends") {
  Fixture fixture(12);
  ServiceReachability& reachability = fixture.reachability;
  reachability.RecordContact(Fixture::Entry(0), At(1000));
  for (int i = 0; i < 2; ++i)
    reachability.RecordMiss(Fixture::Entry(i), At(1100));
  reachability.RecordMiss(Fixture::Entry(1), At(1200));
  CHECK_FALSE(reachability.IsUnreachable(kDesk, At(1600)));
  reachability.RecordMiss(Fixture::Entry(2), At(1300));
  // Not before the silence has lasted.
  CHECK_FALSE(reachability.IsUnreachable(kDesk, At(1499)));
  CHECK(reachability.IsUnreachable(kDesk, At(1500)));
  CHECK(reachability.TimeSinceContact(kDesk, At(1500)) == milliseconds(500));
  CHECK_FALSE(reachability.IsUnreachable(ServiceId("llm"), At(1500)));

  reachability.RecordContact(Fixture::Entry(7), At(1600));
  CHECK_FALSE(reachability.IsUnreachable(kDesk, At(9000)));
}

TEST_CASE("one silent back end of several makes no service unreachable") {
  Fixture fixture(3);
  ServiceReachability& reachability = fixture.reachability;
  for (int ms = 0; ms < 3000; ms += 100) {
    reachability.RecordMiss(Fixture::Entry(0), At(ms));
    if (ms % 400 == 0) reachability.RecordContact(Fixture::Entry(1), At(ms));
    CHECK_FALSE(reachability.IsUnreachable(kDesk, At(ms)));
  }
}

TEST_CASE("a service of few back ends is unreachable if all of them miss") {
  Fixture fixture(2);
  ServiceReachability& reachability = fixture.reachability;
  for (int i = 0; i < 4; ++i)
    reachability.RecordMiss(Fixture::Entry(0), At(100 * i));
  CHECK_FALSE(reachability.IsUnreachable(kDesk, At(2000)));
  reachability.RecordMiss(Fixture::Entry(1), At(500));
  CHECK(reachability.IsUnreachable(kDesk, At(2000)));
  SECTION("a back end that starts is tried") {
    SECTION("another one") { fixture.list.Put(MakeEntry("k9"), At(2000)); }
    SECTION("a new incarnation") {
      fixture.list.Put(MakeEntry("k1", 2), At(2000));
    }
    CHECK_FALSE(reachability.IsUnreachable(kDesk, At(2000)));
  }
  SECTION("an entry that is written again changes nothing") {
    fixture.list.Put(Fixture::Entry(1), At(2000));
    CHECK(reachability.IsUnreachable(kDesk, At(2000)));
  }
}

TEST_CASE("back ends without a miss are probed first") {
  Fixture fixture(3);
  fixture.reachability.RecordMiss(Fixture::Entry(0), At(200));
  fixture.reachability.RecordMiss(Fixture::Entry(2), At(100));
  const auto back_ends = fixture.reachability.BackEndsToProbe(kDesk);
  REQUIRE(back_ends.size() == 3);
  CHECK(back_ends[0].id == BackEndId("k1"));
  CHECK(back_ends[1].id == BackEndId("k2"));
  CHECK(back_ends[2].id == BackEndId("k0"));
}

HelperChoice::Answer Reaches(int running) {
  return {/*reaches=*/true, milliseconds(10), running};
}

TEST_CASE("the nearest helper with the least work is chosen") {
  SeededRandom random(1);
  HelperChoice choice(FailureDomain("z1"), &random, {});
  const HelperChoice::Candidate near{"near", FailureDomain("z1")};
  const HelperChoice::Candidate far{"far", FailureDomain("z2")};
  CHECK_FALSE(choice.Pick(kDesk, {}, At(0)));
  CHECK_FALSE(choice.IsUnreachableForAll(kDesk, At(0)));
  choice.RecordAnswer(kDesk, near, Reaches(5), At(0));
  choice.RecordAnswer(kDesk, far, Reaches(0), At(0));
  CHECK(choice.Pick(kDesk, {}, At(0)) == "near");
  CHECK(choice.Pick(kDesk, {"near"}, At(0)) == "far");
  // What this daemon has open there counts.
  for (int i = 0; i < 20; ++i) choice.OnRequestStarted("near");
  CHECK(choice.Pick(kDesk, {}, At(0)) == "far");
  for (int i = 0; i < 20; ++i) choice.OnRequestEnded("near");
  CHECK(choice.Pick(kDesk, {}, At(0)) == "near");

  choice.RecordFailure("near", At(0));
  CHECK(choice.Pick(kDesk, {}, At(100)) == "far");
  choice.RecordRefusal(kDesk, "far");
  CHECK_FALSE(choice.Pick(kDesk, {}, At(100)));
  CHECK_FALSE(choice.IsUnreachableForAll(kDesk, At(100)));
  choice.RecordAnswer(kDesk, near, {}, At(100));
  CHECK(choice.IsUnreachableForAll(kDesk, At(100)));
  // Old answers say nothing.
  CHECK_FALSE(choice.IsUnreachableForAll(kDesk, At(5000)));
}

TEST_CASE("a helper without recent contact is the last choice") {
  SeededRandom random(1);
  HelperChoice choice(FailureDomain("z1"), &random, {});
  choice.RecordAnswer(kDesk, {"idle", FailureDomain("z1")},
                      {true, std::nullopt, 0}, At(0));
  choice.RecordAnswer(kDesk, {"busy", FailureDomain("z2")}, Reaches(90), At(0));
  CHECK(choice.Pick(kDesk, {}, At(0)) == "busy");
  CHECK(choice.Pick(kDesk, {"busy"}, At(0)) == "idle");
}

TEST_CASE("a third of a fleet that is cut off spreads over the others") {
  constexpr int kDaemons = 195;
  constexpr int kCut = 65;
  constexpr int kRequestsEach = 20;
  SeededRandom random(7);
  std::vector<HelperChoice::Candidate> members;
  members.reserve(kDaemons);
  for (int i = 0; i < kDaemons; ++i)
    members.push_back({"m" + std::to_string(i),
                       FailureDomain("z" + std::to_string(i / kCut))});
  std::map<std::string, int> requests;
  for (int daemon = 0; daemon < kCut; ++daemon) {
    HelperChoice choice(members[static_cast<size_t>(daemon)].zone, &random, {});
    for (const std::string& name : choice.PickMembersToAsk(members)) {
      const int index = std::stoi(name.substr(1));
      choice.RecordAnswer(kDesk, members[static_cast<size_t>(index)],
                          index < kCut ? HelperChoice::Answer{} : Reaches(10),
                          At(0));
    }
    for (int i = 0; i < kRequestsEach; ++i) {
      const auto helper = choice.Pick(kDesk, {}, At(0));
      REQUIRE(helper);
      choice.OnRequestStarted(*helper);
      ++requests[*helper];
    }
  }
  int most = 0;
  for (const auto& [name, count] : requests) most = std::max(most, count);
  // Ten each if all were alike.
  CHECK(requests.size() > 90);
  CHECK(most <= 50);
}

TEST_CASE("evacuated back ends are not probed and don't count") {
  Fixture fixture(0);
  TrafficBoundaries boundaries;
  ServiceReachability reachability(&fixture.list, {}, &boundaries);
  for (int i = 0; i < 6; ++i) {
    BackEndEntry entry = Fixture::Entry(i);
    entry.zone = FailureDomain(i < 4 ? "a" : "b");
    fixture.list.Put(entry, At(0));
  }
  // The two that are left have missed their calls.
  for (int ms : {100, 200, 300, 400})
    reachability.RecordMiss(Fixture::Entry(4 + ms / 100 % 2), At(ms));
  CHECK_FALSE(reachability.IsUnreachable(kDesk, At(2000)));
  boundaries.SetEvacuated({FailureDomain("a")}, At(2000));
  CHECK(reachability.IsUnreachable(kDesk, At(2000)));
  CHECK(reachability.BackEndsToProbe(kDesk).size() == 2);
  boundaries.SetEvacuated({FailureDomain("a"), FailureDomain("b")}, At(2000));
  CHECK_FALSE(reachability.IsUnreachable(kDesk, At(2000)));
  CHECK(reachability.BackEndsToProbe(kDesk).empty());
}

}  // namespace
}  // namespace mimosa
