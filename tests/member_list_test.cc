// Tests in virtual time how long members whose records are missing stay listed.
#include "serving/member_list.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/json.h"
#include "tests/serving_fakes.h"
#include "tests/virtual_datagrams.h"
#include "tests/virtual_fleet.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

struct MemberListFixture {
  MemberListFixture() {
    members.SetGoneObserver(
        [this](const std::string& name) { gone.push_back(name); });
    for (const int member : {1, 2}) Put(member);
  }
  void Put(int member) {
    const std::string record = ToJson(MemberOf(member, 1));
    members.OnRecord(NameOf(member), &record);
  }
  void RemoveAll() {
    for (const int member : {1, 2}) members.OnRecord(NameOf(member), nullptr);
  }
  void Run(Duration duration) {
    simulator.RunUntil(simulator.now() + duration);
  }

  VirtualTimeSimulator simulator;
  SeededRandom random{1};
  VirtualLoop loop{&simulator, Duration::zero(), 0};
  LineLog log{-1, &loop, testing::DisabledLogOptions()};
  testing::UnresponsiveStore store;
  MemberList members{&loop, &store, &random, &log, MemberOf(0, 1), {}};
  std::vector<std::string> gone;
};

TEST_CASE_METHOD(MemberListFixture,
                 "a member whose record ends is gone at once") {
  RemoveAll();
  CHECK(members.size() == 1);
  CHECK(gone.size() == 2);
}

TEST_CASE_METHOD(MemberListFixture,
                 "members that are missing after an outage may come back") {
  members.OnStoreRegained();
  RemoveAll();
  Run(seconds(1));
  Put(1);
  CHECK(members.size() == 3);
  CHECK(gone.empty());
  Run(seconds(3));
  CHECK(members.size() == 2);
  CHECK(gone == std::vector<std::string>{NameOf(2)});
  // From now on, removals take effect at once again.
  RemoveAll();
  CHECK(members.size() == 1);
}

TEST_CASE_METHOD(MemberListFixture,
                 "members that an older copy lacks may come back") {
  members.OnStoreRestored();
  RemoveAll();
  Run(seconds(5));
  CHECK(members.size() == 3);
  Run(seconds(4));
  CHECK(members.size() == 1);
}

}  // namespace
}  // namespace mimosa
