// Customers' rates without a home: a fleet of replicas in virtual time, with
// reports that come, come late and stay out.
#include "decide/replicated_rate_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "decide/usage_totals.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;

MonoTime At(int64_t ms) { return MonoTime(milliseconds(ms)); }

const CustomerId kCustomer("c");

std::vector<SiteCustomer> Customers(double rate, double burst) {
  SiteCustomer customer;
  customer.id = kCustomer;
  customer.rate_per_second = rate;
  customer.burst = burst;
  return {customer};
}

// A fleet whose first daemon collects every `report_ms`. Daemons in `cut` send
// and hear nothing.
class Fleet {
 public:
  Fleet(int daemons, double rate, double burst) {
    for (int i = 0; i < daemons; ++i) {
      auto daemon = std::make_unique<Daemon>();
      daemon->allotments.SetCustomers(Customers(rate, burst), At(0));
      daemon->allotments.SetMemberCount(daemons);
      daemons_.push_back(std::move(daemon));
    }
  }

  void Exchange(int64_t ms) {
    ++serial_;
    for (size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i]->cut) continue;
      totals_.AddReport(std::to_string(i), 1, serial_,
                        daemons_[i]->allotments.admitted(), At(ms));
    }
    for (size_t i = 0; i < daemons_.size(); ++i) {
      Daemon& daemon = *daemons_[i];
      AdmittedByCustomer difference;
      if (daemon.cut) continue;
      if (daemon.difference.NextDelta(
              "0", 1, serial_, totals_.SumExcept(std::to_string(i), At(ms)),
              &difference))
        daemon.allotments.OnOthersAdmitted(difference, At(ms));
    }
  }

  bool Take(size_t daemon, double cost, int64_t ms) {
    Duration wait{};
    return daemons_[daemon]->allotments.TryAdmit(kCustomer, cost, At(ms),
                                                 &wait);
  }
  void Cut(size_t daemon, bool cut) { daemons_[daemon]->cut = cut; }
  size_t size() const { return daemons_.size(); }

 private:
  struct Daemon {
    ReplicatedRateLimiter allotments{ReplicatedRateLimiter::Options{}};
    UsageDelta difference;
    bool cut = false;
  };
  std::vector<std::unique_ptr<Daemon>> daemons_;
  UsageTotals totals_;
  uint64_t serial_ = 0;
};

struct Outcome {
  int asked = 0;
  int refused = 0;
  double most_in_window = 0;  // admitted in any 8 s
};

// `load`: cost asked for a second, over all daemons, as a share of the rate.
Outcome Play(Fleet* fleet, double rate, double cost, double load, int ms_end,
             uint64_t seed, const std::function<void(int)>& at_ms = {}) {
  SeededRandom random(seed);
  Outcome outcome;
  std::vector<std::pair<int, double>> admitted;
  for (int ms = 0; ms < ms_end; ++ms) {
    if (at_ms) at_ms(ms);
    if (ms % 200 == 0) fleet->Exchange(ms);
    if (random.Unit() >= rate * load / cost / 1000) continue;
    // Callers are spread unevenly.
    const size_t daemon = random.Below(random.Below(fleet->size()) + 1);
    ++outcome.asked;
    if (fleet->Take(daemon, cost, ms)) {
      admitted.emplace_back(ms, cost);
    } else {
      ++outcome.refused;
    }
  }
  for (size_t i = 0; i < admitted.size(); ++i) {
    double sum = 0;
    for (size_t j = i;
         j < admitted.size() && admitted[j].first < admitted[i].first + 8000;
         ++j)
      sum += admitted[j].second;
    outcome.most_in_window = std::max(outcome.most_in_window, sum);
  }
  return outcome;
}

constexpr double kRate = 50000;
constexpr double kCost = 4000;
// The sites' tolerance: a tenth of the allotment and a fixed slack.
constexpr double kBound = (8 * kRate + kRate) * 1.1 + 140000;

TEST_CASE("inside the rate next to nothing is refused") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(8, kRate, kRate);
    const Outcome outcome = Play(&fleet, kRate, kCost, 0.5, 40000, seed);
    INFO("seed " << seed << " refused " << outcome.refused << " of "
                 << outcome.asked);
    CHECK(outcome.refused * 100 <= outcome.asked);
  }
}

TEST_CASE("inside the rate with one of eight cut off: under a hundredth") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(8, kRate, kRate);
    const Outcome outcome =
        Play(&fleet, kRate, kCost, 0.5, 40000, seed, [&](int ms) {
          if (ms == 10000) fleet.Cut(7, true);
        });
    INFO("seed " << seed << " refused " << outcome.refused << " of "
                 << outcome.asked);
    CHECK(outcome.refused * 100 <= outcome.asked);
  }
}

TEST_CASE("several times the rate through all daemons stays in the bound") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(8, kRate, kRate);
    const Outcome outcome = Play(&fleet, kRate, kCost, 7.5, 30000, seed);
    INFO("seed " << seed);
    CHECK(outcome.most_in_window <= kBound);
    // And the customer gets what it is owed.
    CHECK((outcome.asked - outcome.refused) * kCost >= 0.9 * 30 * kRate);
  }
}

TEST_CASE("several times the rate while daemons are cut off from each other") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(8, kRate, kRate);
    const Outcome outcome =
        Play(&fleet, kRate, kCost, 4, 40000, seed, [&](int ms) {
          if (ms == 8000)
            for (size_t i = 4; i < 8; ++i) fleet.Cut(i, true);
          if (ms == 20000)
            for (size_t i = 4; i < 8; ++i) fleet.Cut(i, false);
        });
    INFO("seed " << seed);
    CHECK(outcome.most_in_window <= kBound);
  }
}

TEST_CASE("customers without a rate are never refused") {
  ReplicatedRateLimiter allotments{ReplicatedRateLimiter::Options{}};
  allotments.SetCustomers(Customers(0, 0), At(0));
  Duration wait{};
  for (int i = 0; i < 1000; ++i)
    CHECK(allotments.TryAdmit(kCustomer, 1e6, At(i), &wait));
}

// A daemon that has been up for a while, with one customer.
ReplicatedRateLimiter Warm(double rate, double burst) {
  ReplicatedRateLimiter allotments{ReplicatedRateLimiter::Options{}};
  allotments.SetCustomers({}, At(0));
  allotments.SetCustomers(Customers(rate, burst), At(0));
  return allotments;
}

TEST_CASE("a refusal says when there is room again") {
  ReplicatedRateLimiter allotments = Warm(1000, 1000);
  Duration wait{};
  REQUIRE(allotments.TryAdmit(kCustomer, 5000, At(0), &wait));
  REQUIRE_FALSE(allotments.TryAdmit(kCustomer, 100, At(1), &wait));
  // 2,000 overdrawn at a pace of 1,125 a second.
  CHECK(wait >= milliseconds(1700));
  CHECK(wait <= milliseconds(2300));
  CHECK(allotments.TryAdmit(kCustomer, 100, At(1) + wait, &wait));
}

TEST_CASE("any window holds the rate times its length and the burst, no more") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SeededRandom random(seed);
    ReplicatedRateLimiter allotments = Warm(1000, 2000);
    std::vector<std::pair<int, double>> admitted;
    // Floods and calms by turns.
    for (int ms = 0; ms < 60000; ms += 10) {
      if ((ms / 5000) % 3 == 2) continue;
      const double cost = 1 + double(random.Below(100));
      Duration wait{};
      if (allotments.TryAdmit(kCustomer, cost, At(ms), &wait))
        admitted.emplace_back(ms, cost);
    }
    for (int from = 0; from < 52000; from += 50) {
      double sum = 0;
      for (const auto& [ms, cost] : admitted)
        sum += ms >= from && ms < from + 8000 ? cost : 0;
      INFO("seed " << seed << " from " << from);
      // Overdrawn by one request, and by the part that the window ends in.
      CHECK(sum <= 8 * 1000 + 2000 + 100 + 8 * 1000 / 32.0);
    }
  }
}

TEST_CASE("a surge of twice the usual for five seconds is inside the rate") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(8, kRate, kRate);
    int refused = 0;
    SeededRandom random(seed);
    for (int ms = 0; ms < 30000; ++ms) {
      if (ms % 200 == 0) fleet.Exchange(ms);
      // Usually 55 % of the rate, as sites are laid out.
      const double load = ms >= 15000 && ms < 20000 ? 1.1 : 0.55;
      if (random.Unit() >= kRate * load / kCost / 1000) continue;
      refused += fleet.Take(random.Below(8), kCost, ms) ? 0 : 1;
    }
    INFO("seed " << seed);
    CHECK(refused <= 2);
  }
}

TEST_CASE("a daemon that starts doesn't hand out the whole window again") {
  ReplicatedRateLimiter allotments{ReplicatedRateLimiter::Options{}};
  allotments.SetCustomers(Customers(1000, 1000), At(0));
  double sum = 0;
  Duration wait{};
  for (int ms = 0; ms < 4000; ++ms)
    if (allotments.TryAdmit(kCustomer, 10, At(ms), &wait)) sum += 10;
  CHECK(sum <= 500 + 4 * 1125 + 10);
}

TEST_CASE("a daemon's new start counts on top of its former one") {
  UsageTotals totals;
  totals.AddReport("a", 1, 1, {{kCustomer, 100}}, At(0));
  totals.AddReport("a", 2, 1, {{kCustomer, 30}}, At(1));
  totals.AddReport("a", 2, 1, {{kCustomer, 500}}, At(2));  // a repeated serial
  totals.AddReport("b", 1, 1, {{kCustomer, 7}}, At(3));
  CHECK(totals.SumExcept("b", At(4))[kCustomer] == 130);
  CHECK(totals.SumExcept("a", At(4))[kCustomer] == 107);
}

TEST_CASE("a new collector doesn't take what was told to another for new") {
  UsageTotals totals;
  totals.AddReport("a", 1, 900, {{kCustomer, 1e6}}, At(0));
  CHECK(totals.SumExcept("b", At(0))[kCustomer] == 0);
  // The next daemon's first report comes after others have read the sum.
  totals.AddReport("c", 1, 800, {{kCustomer, 2e6}}, At(100));
  CHECK(totals.SumExcept("b", At(100))[kCustomer] == 0);
  totals.AddReport("a", 1, 901, {{kCustomer, 1e6 + 40}}, At(200));
  CHECK(totals.SumExcept("b", At(200))[kCustomer] == 40);
  CHECK(totals.SumExcept("a", At(200))[kCustomer] == 0);
  CHECK(totals.SumExcept("c", At(200))[kCustomer] == 40);
}

TEST_CASE("what was assumed of a silent daemon is given back") {
  UsageTotals totals;
  UsageDelta difference;
  AdmittedByCustomer grown;
  double charged = 0;
  const auto read = [&](int64_t ms, uint64_t serial) {
    if (difference.NextDelta("c", 1, serial, totals.SumExcept("b", At(ms)),
                             &grown))
      charged += grown[kCustomer];
  };
  uint64_t serial = 0;
  for (int i = 0; i <= 20; ++i) {  // 1,000 a second
    totals.AddReport("a", 1, i + 1, {{kCustomer, 200.0 * i}},
                     At(int64_t{200} * i));
    read(int64_t{200} * i, ++serial);
  }
  for (int ms = 4200; ms <= 9000; ms += 200) read(ms, ++serial);
  CHECK(charged > 8000);
  // It was killed, and its next start reports.
  totals.AddReport("a", 2, 1, {{kCustomer, 0}}, At(9200));
  read(9200, ++serial);
  CHECK(charged == Approx(4000));
}

TEST_CASE("a silent member is taken to go on, one that is gone isn't") {
  UsageTotals totals;
  for (int i = 0; i <= 50; ++i)  // 1,000 a second
    totals.AddReport("a", 1, i + 1, {{kCustomer, 200.0 * i}},
                     At(int64_t{200} * i));
  CHECK(totals.SumExcept("b", At(11000))[kCustomer] == 10000);
  CHECK(totals.SumExcept("b", At(13000))[kCustomer] ==
        Approx(13000).margin(100));
  totals.OnMemberGone("a");
  CHECK(totals.SumExcept("b", At(13000))[kCustomer] == 10000);
}

TEST_CASE("a new collector's first sum is a base, not usage") {
  UsageDelta difference;
  AdmittedByCustomer grown;
  CHECK_FALSE(difference.NextDelta("a", 1, 1, {{kCustomer, 100}}, &grown));
  REQUIRE(difference.NextDelta("a", 1, 2, {{kCustomer, 130}}, &grown));
  CHECK(grown[kCustomer] == 30);
  CHECK_FALSE(difference.NextDelta("a", 1, 2, {{kCustomer, 170}}, &grown));
  CHECK_FALSE(difference.NextDelta("b", 1, 1, {{kCustomer, 5000}}, &grown));
  REQUIRE(difference.NextDelta("b", 1, 2, {{kCustomer, 5001}}, &grown));
  CHECK(grown[kCustomer] == 1);
}

}  // namespace
}  // namespace mimosa
