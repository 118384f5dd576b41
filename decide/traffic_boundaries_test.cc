// Tests evacuated failure domains and allowed regions.
#include "decide/traffic_boundaries.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"
#include "decide/back_end_list.h"
#include "decide/back_end_selector.h"

namespace mimosa {
namespace {

FailureDomain Domain(const std::string& name) { return FailureDomain(name); }

std::vector<Region> Regions(const std::vector<std::string>& names) {
  return {names.begin(), names.end()};
}

AllowedRegions Allow(const std::vector<std::string>& route,
                     const std::vector<std::string>& customer = {}) {
  AllowedRegions allowed;
  allowed.Restrict(Regions(route));
  allowed.Restrict(Regions(customer));
  return allowed;
}

TEST_CASE("regions are read from the settings, and what isn't one is named") {
  std::vector<std::string> unreadable;
  const RegionByDomain regions =
      ParseRegions("a=north,b=south,,c,=east,d=,e=x=y,", &unreadable);
  CHECK(regions == RegionByDomain{{Domain("a"), Region("north")},
                                  {Domain("b"), Region("south")}});
  CHECK(unreadable == std::vector<std::string>{"c", "=east", "d=", "e=x=y"});
  CHECK(ParseRegions("", &unreadable).empty());
}

TEST_CASE("the regions of route and customer both bind") {
  CHECK_FALSE(Allow({}).is_restricted());
  CHECK(Allow({}).Contains(Region("north")));
  CHECK(Allow({}, {"north"}).Contains(Region("north")));
  CHECK_FALSE(Allow({}, {"north"}).Contains(Region("south")));
  const AllowedRegions both = Allow({"north", "east"}, {"east", "south"});
  CHECK(both.Contains(Region("east")));
  CHECK_FALSE(both.Contains(Region("north")));
  CHECK_FALSE(both.Contains(Region("south")));
  // No region is in both: that isn't "anywhere".
  CHECK(Allow({"north"}, {"south"}).is_empty());
  CHECK_FALSE(Allow({"north"}, {"south"}).Contains(Region("north")));
}

TEST_CASE("an unknown failure domain or region lies in no allowed region") {
  const TrafficBoundaries boundaries(
      {{Domain("a"), Region("north")}, {Domain("b"), Region("south")}});
  CHECK(boundaries.IsInside(Domain("a"), Allow({"north"})));
  CHECK_FALSE(boundaries.IsInside(Domain("b"), Allow({"north"})));
  CHECK_FALSE(boundaries.IsInside(Domain("new"), Allow({"north"})));
  CHECK(boundaries.IsInside(Domain("new"), Allow({})));
  CHECK(boundaries.IsKnown(Allow({"north"})));
  CHECK_FALSE(boundaries.IsKnown(Allow({"atlantis"})));
  CHECK_FALSE(boundaries.IsKnown(Allow({"north"}, {"south"})));
}

TEST_CASE("a body is passed to the allowed regions and the sender's only") {
  const TrafficBoundaries boundaries({{Domain("a1"), Region("a")},
                                      {Domain("a2"), Region("a")},
                                      {Domain("b1"), Region("b")},
                                      {Domain("c1"), Region("c")}});
  const AllowedRegions b = Allow({"b"});
  CHECK(boundaries.MayForward(Domain("a1"), Domain("a2"), b));
  CHECK(boundaries.MayForward(Domain("a1"), Domain("b1"), b));
  CHECK_FALSE(boundaries.MayForward(Domain("a1"), Domain("c1"), b));
  CHECK_FALSE(boundaries.MayForward(Domain("a1"), Domain("new"), b));
  CHECK_FALSE(boundaries.MayForward(Domain("new"), Domain("other"), b));
  CHECK(boundaries.MayForward(Domain("new"), Domain("new"), b));
  CHECK(boundaries.MayForward(Domain("a1"), Domain("c1"), Allow({})));
}

TEST_CASE("evacuations begin and end once, and tell how long they lasted") {
  TrafficBoundaries boundaries({{Domain("a"), Region("north")}});
  const MonoTime start{std::chrono::seconds(100)};
  auto change = boundaries.SetEvacuated({Domain("a"), Domain("new")}, start);
  CHECK(change.begun == std::vector<FailureDomain>{Domain("a"), Domain("new")});
  CHECK(boundaries.IsEvacuated(Domain("a")));
  CHECK(boundaries.IsEvacuated(Domain("new")));
  change = boundaries.SetEvacuated({Domain("a"), Domain("new")}, start);
  CHECK(change.begun.empty());
  CHECK(change.ended.empty());
  change =
      boundaries.SetEvacuated({Domain("new")}, start + std::chrono::seconds(7));
  REQUIRE(change.ended.size() == 1);
  CHECK(change.ended[0].domain == Domain("a"));
  CHECK(change.ended[0].lasted == std::chrono::seconds(7));
  CHECK_FALSE(boundaries.IsEvacuated(Domain("a")));
  CHECK(boundaries.evacuated_count() == 1);
}

// A fleet of four regions and eleven failure domains.
struct RegionsFixture {
  RegionsFixture() {
    for (int i = 0; i < 11 * 4; ++i) {
      BackEndEntry entry;
      entry.id = BackEndId("i-" + std::to_string(i));
      entry.service = service;
      entry.zone = DomainOf(i % 11);
      entry.slots = 1;
      list.Put(entry, now);
    }
  }
  static FailureDomain DomainOf(int index) {
    return Domain("d" + std::to_string(index));
  }
  static Region RegionOf(int index) {
    return Region("r" + std::to_string(index % 4));
  }
  static RegionByDomain AllRegions() {
    RegionByDomain regions;
    for (int i = 0; i < 11; ++i) regions[DomainOf(i)] = RegionOf(i);
    return regions;
  }
  SelectionQuery Query(const AllowedRegions* allowed) const {
    SelectionQuery query;
    query.service = service;
    query.allowed_regions = allowed;
    query.preferred_zone = DomainOf(0);
    return query;
  }

  const ServiceId service{"llm"};
  MonoTime now{std::chrono::seconds(10)};
  BackEndList list;
  SeededRandom random{7};
  TrafficBoundaries boundaries{AllRegions()};
  BackEndSelector selector{&list, &random, {}, nullptr, &boundaries};
};

TEST_CASE_METHOD(RegionsFixture,
                 "no request leaves its regions or enters an evacuated domain "
                 "while a region is cut off") {
  std::map<FailureDomain, int> calls;
  SeededRandom choice{11};
  for (int i = 0; i < 8000; ++i) {
    now += std::chrono::milliseconds(5);
    // Region r1 is evacuated domain by domain, and all its domains end it.
    if (i == 2000) boundaries.SetEvacuated({DomainOf(1)}, now);
    if (i == 4000)
      boundaries.SetEvacuated({DomainOf(1), DomainOf(5), DomainOf(9)}, now);
    if (i == 6000) boundaries.SetEvacuated({}, now);
    // Four of five customers have one or two regions.
    AllowedRegions allowed;
    if (choice.UniformInt(5) > 0) {
      const auto first = static_cast<int>(choice.UniformInt(4));
      allowed.Restrict({RegionOf(first), RegionOf(first + i % 2)});
    }
    SelectionQuery query = Query(&allowed);
    query.preferred_zone = DomainOf(i % 11);
    const BackEndEntry* const selected = selector.SelectBackEnd(query, now);
    if (selected == nullptr) {
      CHECK(selector.FindBarrier(query) == Barrier::kEvacuated);
      CHECK(i >= 4000);
      CHECK(i < 6000);
      CHECK_FALSE(allowed.Contains(Region("r0")));
      continue;
    }
    CHECK(selector.FindBarrier(query) == Barrier::kNone);
    CHECK_FALSE(boundaries.IsEvacuated(selected->zone));
    CHECK(boundaries.IsInside(selected->zone, allowed));
    ++calls[selected->zone];
    // Region r2 is cut off: its calls fail, and no other region's get them.
    const bool is_cut = *boundaries.FindRegion(selected->zone) == Region("r2");
    const BackEndEntry called = *selected;
    selector.OnCallStarted(called, {});
    selector.OnCallEnded(
        called, {}, is_cut ? CallOutcome::kUnreachable : CallOutcome::kSuccess,
        now);
  }
  CHECK(calls.size() == 11);
}

TEST_CASE_METHOD(RegionsFixture, "the barriers of a request are told apart") {
  const AllowedRegions anywhere;
  const AllowedRegions atlantis = Allow({"atlantis"});
  const AllowedRegions r3 = Allow({"r3"});
  CHECK(selector.FindBarrier(Query(&anywhere)) == Barrier::kNone);
  CHECK(selector.FindBarrier(Query(nullptr)) == Barrier::kNone);
  CHECK(selector.FindBarrier(Query(&atlantis)) == Barrier::kRegions);
  CHECK(selector.IsNowhere(atlantis));
  CHECK_FALSE(selector.IsNowhere(r3));
  std::set<FailureDomain> all;
  for (int i = 0; i < 11; ++i) all.insert(DomainOf(i));
  boundaries.SetEvacuated(all, now);
  CHECK(selector.FindBarrier(Query(&anywhere)) == Barrier::kEvacuated);
  CHECK(selector.FindBarrier(Query(&r3)) == Barrier::kEvacuated);
  CHECK(selector.FindBarrier(Query(&atlantis)) == Barrier::kRegions);
  CHECK_FALSE(selector.HasBackEnd(service, EngineRole::kNone));
  SelectionQuery other = Query(&anywhere);
  other.service = ServiceId("other");
  CHECK(selector.FindBarrier(other) == Barrier::kNone);
}

}  // namespace
}  // namespace mimosa
