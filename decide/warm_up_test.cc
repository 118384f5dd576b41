// Tests of what a daemon knows of back ends that warm up.
#include "decide/warm_up.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 12;

MonoTime At(int64_t ms) { return MonoTime(milliseconds(ms)); }

BackEndEntry Entry(const std::string& id, int64_t incarnation = 1,
                   Duration warm_up_time = {}) {
  BackEndEntry entry;
  entry.id = BackEndId(id);
  entry.service = ServiceId("s");
  entry.incarnation = incarnation;
  entry.warm_up_time = warm_up_time;
  return entry;
}

SiteService Service() {
  SiteService service;
  service.id = ServiceId("s");
  service.warm_up_time = seconds(3);
  service.warm_up_rate = kRate;
  return service;
}

struct WarmUpFixture {
  WarmUpFixture() {
    tracker.SetServices({Service()}, At(0));
    Put(Entry("a"), 0);
  }
  // Returns how many begin to warm up.
  size_t Put(BackEndEntry entry, int64_t ms) {
    list.Put(std::move(entry), At(ms));
    return tracker.Update(list, At(ms)).size();
  }
  bool IsWarm(const std::string& id, int64_t ms) const {
    return !tracker.FindRate(BackEndId(id), At(ms));
  }

  BackEndList list;
  WarmUpTracker tracker;
};

TEST_CASE_METHOD(WarmUpFixture, "back ends of the first listing are warm") {
  CHECK(IsWarm("a", 0));
  CHECK(tracker.CountWarmingUp(At(0)) == 0);
  CHECK_FALSE(tracker.NextEnd());
}

TEST_CASE_METHOD(WarmUpFixture, "a new entry warms up, and so does a restart") {
  CHECK(Put(Entry("b"), 1000) == 1);
  CHECK(tracker.FindRate(BackEndId("b"), At(3999)) == kRate);
  CHECK(IsWarm("b", 4000));
  CHECK(IsWarm("a", 1000));
  CHECK(Put(Entry("a", 2), 2000) == 1);
  CHECK_FALSE(IsWarm("a", 4999));
  CHECK(IsWarm("a", 5000));
  REQUIRE(tracker.NextEnd() == At(4000));
  const auto ended = tracker.TakeEnded(At(4000));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].back_end.id == BackEndId("b"));
  CHECK(tracker.TakeEnded(At(4000)).empty());
  CHECK(tracker.CountWarmingUp(At(4000)) == 1);
}

TEST_CASE_METHOD(WarmUpFixture,
                 "an entry that was missing and comes back is no start") {
  list.Remove(BackEndId("a"), At(1000));
  CHECK(tracker.Update(list, At(1000)).empty());
  CHECK(Put(Entry("a"), 9000) == 0);
  CHECK(IsWarm("a", 9000));
  CHECK(Put(Entry("a", 1, seconds(2)), 9500) == 1);
}

TEST_CASE_METHOD(WarmUpFixture,
                 "each change of an entry's statement counts once") {
  CHECK(Put(Entry("a", 1, seconds(2)), 1000) == 1);
  // Repeated with another field changed: the same statement.
  BackEndEntry draining = Entry("a", 1, seconds(2));
  draining.draining = true;
  CHECK(Put(draining, 2500) == 0);
  CHECK_FALSE(IsWarm("a", 2999));
  CHECK(IsWarm("a", 3000));
  // Nothing ends a warm-up early.
  CHECK(Put(Entry("a", 1, milliseconds(800)), 4000) == 1);
  CHECK(Put(Entry("a"), 4100) == 0);
  CHECK_FALSE(IsWarm("a", 4799));
  CHECK(IsWarm("a", 4800));
}

TEST_CASE_METHOD(WarmUpFixture,
                 "responses and members say it, and only the former pass on") {
  const BackEndId a("a");
  CHECK_FALSE(
      tracker.Extend(a, Duration::zero(), WarmUpSource::kResponse, At(0)));
  CHECK_FALSE(tracker.Extend(BackEndId("x"), seconds(1),
                             WarmUpSource::kResponse, At(0)));
  CHECK(tracker.Extend(a, seconds(1), WarmUpSource::kResponse, At(0)));
  CHECK_FALSE(tracker.Extend(a, seconds(2), WarmUpSource::kMember, At(0)));
  CHECK_FALSE(IsWarm("a", 1999));
  CHECK(tracker.FirstHandTimeLeft(a, At(400)) == milliseconds(600));
  CHECK(tracker.FirstHandTimeLeft(a, At(1500)) == Duration::zero());
}

TEST_CASE_METHOD(WarmUpFixture, "times that make no sense do no lasting harm") {
  BackEndEntry entry = Entry("a");
  entry.has_invalid_warm_up_time = true;
  CHECK(Put(entry, 0) == 1);  // It may be cold.
  CHECK(Put(entry, 3000) == 0);
  CHECK(tracker.invalid_statements() == 1);
  CHECK(IsWarm("a", 3000));
  CHECK(Put(Entry("a", 1, Duration::max()), 4000) == 1);
  const MonoTime end = At(4000) + WarmUpTracker::kMaxWarmUpTime;
  CHECK_FALSE(tracker.FindRate(BackEndId("a"), end));
  CHECK(Put(Entry("a", 1, -seconds(9)), 200000) == 0);
  CHECK(IsWarm("a", 200000));
}

TEST_CASE("a service without a rate has no warm-up") {
  BackEndList list;
  WarmUpTracker tracker;
  list.Put(Entry("a", 1, seconds(5)), At(0));
  CHECK(tracker.Update(list, At(0)).empty());
  SiteService service = Service();
  service.warm_up_rate.reset();
  CHECK(tracker.SetServices({service}, At(0)).empty());
  // The configuration arrives late, or changes.
  CHECK(tracker.SetServices({Service()}, At(1000)).size() == 1);
  CHECK_FALSE(tracker.FindRate(BackEndId("a"), At(5000)));
  CHECK(tracker.FindRate(BackEndId("a"), At(4999)) == kRate);
}

}  // namespace
}  // namespace mimosa
