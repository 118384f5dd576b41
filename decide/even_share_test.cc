// Tests of a daemon's share of a fleet-wide allowance, and of what all daemons
// together may use.
#include "decide/even_share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "decide/retry_budget.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

constexpr Duration kWindow = seconds(10);
constexpr Duration kMemory = seconds(10);
constexpr Duration kSpread = seconds(5);

MonoTime At(int s) { return MonoTime(seconds(1000 + s)); }

std::string Name(int member) { return "m" + std::to_string(member); }

EvenShare MakeShare(int self) {
  EvenShare::Options options;
  options.window = kWindow;
  options.memory = kMemory;
  options.spread = kSpread;
  return EvenShare(Name(self), options);
}

// Returns the share that may be used as a whole.
double Usable(const EvenShare& share, MonoTime now) {
  return share.GetStanding(now) == EvenShare::Standing::kEstablished
             ? share.Get(now)
             : 0;
}

// Returns the share of member 0 that has known `members` for a window.
EvenShare MakeEstablished(int members) {
  EvenShare share = MakeShare(0);
  for (int i = 0; i < members; ++i) share.OnMember(Name(i), At(0));
  return share;
}

TEST_CASE("a process has a small part of its share at first") {
  EvenShare share = MakeShare(0);
  CHECK(Usable(share, At(100)) == 0);
  share.OnMember(Name(1), At(0));
  CHECK(Usable(share, At(30)) == 0);
  share.OnMember(Name(0), At(30));
  CHECK(share.GetStanding(At(34)) == EvenShare::Standing::kNone);
  CHECK(share.GetStanding(At(35)) == EvenShare::Standing::kStarting);
  CHECK(share.Get(At(35)) == 0.5);
  share.OnContact(At(40));
  share.OnContact(At(54));
  CHECK(Usable(share, At(54)) == 0);
  CHECK(Usable(share, At(55)) == 0.5);
}

TEST_CASE("a member whose record is gone counts until it can't use its share") {
  EvenShare share = MakeEstablished(4);
  share.OnContact(At(20));
  share.OnContact(At(30));
  REQUIRE(Usable(share, At(30)) == 0.25);
  for (int i = 1; i < 4; ++i) share.OnMemberGone(Name(i), At(30));
  share.OnContact(At(45));
  share.OnContact(At(54));
  CHECK(Usable(share, At(54)) == 0.25);
  CHECK(Usable(share, At(55)) == 1);
}

TEST_CASE("a member that is replaced under another name counts for a while") {
  EvenShare share = MakeEstablished(2);
  share.OnMemberGone(Name(1), At(10));
  share.OnMember(Name(2), At(10));
  CHECK(share.CountMembers(At(34)) == 3);
  CHECK(share.CountMembers(At(35)) == 2);
}

TEST_CASE("a daemon without contact loses its share after the memory") {
  EvenShare share = MakeEstablished(2);
  share.OnContact(At(15));
  share.OnContact(At(30));
  CHECK(Usable(share, At(40)) == 0.5);
  CHECK(Usable(share, At(41)) == 0);
  SECTION("it has it again if its record was listed all the while") {
    share.OnContact(At(45));
    CHECK(Usable(share, At(45)) == 0.5);
  }
  SECTION("later if it has to be listed again") {
    share.OnContact(At(45));
    share.OnMemberGone(Name(0), At(45));
    CHECK(Usable(share, At(45)) == 0);
    share.OnMember(Name(0), At(46));
    share.OnContact(At(60));
    CHECK(Usable(share, At(60)) == 0);
    CHECK(Usable(share, At(61)) == 0.5);
  }
  SECTION("as if it were new if the others may have forgotten it") {
    share.OnContact(At(51));
    share.OnContact(At(65));
    share.OnContact(At(75));
    CHECK(Usable(share, At(75)) == 0);
    CHECK(Usable(share, At(76)) == 0.5);
  }
}

TEST_CASE("a short gap in the own record costs nothing") {
  EvenShare share = MakeEstablished(2);
  share.OnContact(At(18));
  share.OnContact(At(28));
  share.OnContact(At(30));
  share.OnMemberGone(Name(0), At(30));
  CHECK(Usable(share, At(30)) == 0.5);
  share.OnMember(Name(0), At(32));
  CHECK(Usable(share, At(32)) == 0.5);
}

// A fleet in which each daemon spends its whole slack as soon as it may. The
// daemons see the list of members, and list themselves again, unless they are
// cut off from the store.
class Fleet {
 public:
  static constexpr int kSlack = 400;

  explicit Fleet(int size) : daemons_(static_cast<size_t>(size)) {
    for (int i = 0; i < size; ++i) Start(i);
  }

  // Replaces the process of the daemon.
  void Start(int i) {
    Daemon& daemon = daemons_[static_cast<size_t>(i)];
    daemon = Daemon{};
    daemon.name = Name(i);
    daemon.share = std::make_unique<EvenShare>(MakeShare(i));
    RetryBudget::Options options;
    options.ratio = 0;
    options.slack = kSlack;
    options.window = kWindow;
    options.rounding = 1 - random_.UniformDouble();
    daemon.budget = std::make_unique<RetryBudget>(options, daemon.share.get());
    daemon.budget->SetStart(At(second_));
    daemon.lists_itself_at = second_;
  }
  // The leases of all daemons end.
  void EndLeases() { records_.clear(); }
  void CutOff(int i, bool is_cut_off) {
    daemons_[static_cast<size_t>(i)].is_cut_off = is_cut_off;
  }

  void Tick(int seconds = 1) {
    for (int i = 0; i < seconds; ++i) {
      ++second_;
      for (Daemon& daemon : daemons_) UpdateRecord(&daemon);
      for (Daemon& daemon : daemons_) {
        if (!daemon.is_cut_off) Synchronize(&daemon);
        while (daemon.budget->TryAcquireRetry(ServiceId("s"), At(second_)))
          spent_.push_back(second_);
      }
    }
  }

  // Returns the most that was spent within a window.
  int64_t WorstWindow() const {
    int64_t worst = 0;
    for (int from = 0; from <= second_; ++from)
      worst = std::max<int64_t>(
          worst, std::count_if(spent_.begin(), spent_.end(), [from](int at) {
            return at >= from && at < from + 10;
          }));
    return worst;
  }

 private:
  SeededRandom random_{7};  // Draws what daemons round up.
  static constexpr int kLeaseSeconds = 15;
  // A daemon learns within this time that its lease has ended.
  static constexpr int kRenewalSeconds = 5;

  struct Daemon {
    std::string name;
    std::unique_ptr<EvenShare> share;
    std::unique_ptr<RetryBudget> budget;
    std::set<std::string> seen;
    bool is_cut_off = false;
    int last_renewal = 0;
    int lists_itself_at = 0;
  };

  void UpdateRecord(Daemon* daemon) {
    const bool is_listed = records_.count(daemon->name) != 0;
    if (daemon->is_cut_off) {
      if (second_ > daemon->last_renewal + kLeaseSeconds)
        records_.erase(daemon->name);
      daemon->lists_itself_at = second_ + kRenewalSeconds;
      return;
    }
    if (is_listed) {
      daemon->lists_itself_at = second_ + kRenewalSeconds;
    } else if (second_ >= daemon->lists_itself_at) {
      records_.insert(daemon->name);
    }
    daemon->last_renewal = second_;
  }

  void Synchronize(Daemon* daemon) const {
    daemon->share->OnContact(At(second_));
    for (const std::string& name : daemon->seen)
      if (records_.count(name) == 0)
        daemon->share->OnMemberGone(name, At(second_));
    for (const std::string& name : records_)
      if (daemon->seen.count(name) == 0)
        daemon->share->OnMember(name, At(second_));
    daemon->seen = records_;
  }

  std::vector<Daemon> daemons_;
  std::set<std::string> records_;
  std::vector<int> spent_;
  int second_ = 0;
};

TEST_CASE("a fleet spends its slack within a window at most once") {
  const int size = GENERATE(2, 6, 90, 195);
  INFO(size << " daemons");
  Fleet fleet(size);
  fleet.Tick(40);
  CHECK(fleet.WorstWindow() > Fleet::kSlack / 4);
  SECTION("all daemons restart, twice in a window") {
    for (int round = 0; round < 2; ++round) {
      for (int i = 0; i < size; ++i) fleet.Start(i);
      fleet.Tick(4);
    }
  }
  SECTION("all leases end") { fleet.EndLeases(); }
  SECTION("all daemons restart one by one after all leases have ended") {
    fleet.EndLeases();
    for (int i = 0; i < size; ++i) {
      fleet.Start(i);
      if (i % 8 == 0) fleet.Tick();
    }
  }
  SECTION("half are cut off, and the others restart") {
    for (int i = 0; i < size / 2; ++i) fleet.CutOff(i, true);
    fleet.EndLeases();
    for (int i = size / 2; i < size; ++i) fleet.Start(i);
    fleet.Tick(18);
    for (int i = 0; i < size / 2; ++i) fleet.CutOff(i, false);
  }
  SECTION("half are cut off for long") {
    for (int i = 0; i < size / 2; ++i) fleet.CutOff(i, true);
    fleet.Tick(100);
    for (int i = 0; i < size / 2; ++i) fleet.CutOff(i, false);
  }
  SECTION("all are cut off, and their leases end") {
    for (int i = 0; i < size; ++i) fleet.CutOff(i, true);
    fleet.Tick(18);
    for (int i = 0; i < size; ++i) fleet.CutOff(i, false);
  }
  fleet.Tick(60);
  CHECK(fleet.WorstWindow() <= Fleet::kSlack);
}

// Restarts, cuts and ends of leases in random order.
TEST_CASE("a fleet under random faults spends its slack at most once") {
  constexpr int kSize = 12;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    SeededRandom random(seed);
    Fleet fleet(kSize);
    for (int second = 0; second < 300; ++second) {
      const int i = static_cast<int>(random.UniformInt(kSize));
      switch (random.UniformInt(14)) {
        case 0:
          fleet.Start(i);
          break;
        case 1:
          fleet.CutOff(i, true);
          break;
        case 2:
        case 3:
          fleet.CutOff(i, false);
          break;
        case 4:
          if (random.UniformInt(8) == 0) fleet.EndLeases();
          break;
        default:
          break;
      }
      fleet.Tick();
    }
    INFO("seed " << seed);
    CHECK(fleet.WorstWindow() <= Fleet::kSlack);
  }
}

}  // namespace
}  // namespace mimosa
