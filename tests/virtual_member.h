// A member of a fleet in virtual time, to be extended by the exchange under
// test.
#ifndef TESTS_VIRTUAL_MEMBER_H_
#define TESTS_VIRTUAL_MEMBER_H_

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "base/json.h"
#include "base/random.h"
#include "serving/member_list.h"
#include "tests/serving_fakes.h"
#include "tests/virtual_datagrams.h"
#include "tests/virtual_fleet.h"

namespace mimosa {

// One start of a daemon, which knows all members of a fleet of `fleet_size`.
struct VirtualMember {
  VirtualMember(VirtualTimeSimulator* simulator, FakeNetwork* network,
                VirtualPlatform* platform, int index, uint64_t boot,
                int fleet_size)
      : random(boot),
        loop(simulator, Duration::zero(), 0),
        log(-1, &loop, testing::DisabledLogOptions()),
        store(platform, &loop),
        members(&loop, &store, &random, &log, MemberOf(index, boot), {}),
        socket(network, index) {
    for (int other = 0; other < fleet_size; ++other) {
      if (other == index) continue;
      const std::string record = ToJson(MemberOf(other, 1));
      members.OnRecord(NameOf(other), &record);
    }
  }
  ~VirtualMember() { loop.Kill(); }

  SeededRandom random;
  VirtualLoop loop;
  LineLog log;
  VirtualKvStore store;
  MemberList members;
  FakeSocket socket;
};

// Runs `body` with fleets of all sizes and several seeds.
template <typename Fleet, typename Body>
void ForEachFleet(const Body& body) {
  for (const auto& [size, seeds] :
       {std::pair(6, 20), {86, 4}, {195, 2}, {389, 1}}) {
    for (int i = 1; i <= seeds; ++i) {
      const auto seed = static_cast<uint64_t>(i);
      INFO(size << " daemons, seed " << seed);
      Fleet fleet(size, seed);
      body(fleet);
    }
  }
}

}  // namespace mimosa

#endif  // TESTS_VIRTUAL_MEMBER_H_
