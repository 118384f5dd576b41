// Requests refused although inside the customer's rate: an even static split
// against homes with allotments, over eight daemons in virtual time.
//
// A refusal is wrongful if one bucket for the whole fleet, charged with what
// was admitted, held the tokens at that moment. Demand is 70% of the rate on
// average, in bursts, unevenly balanced; charges are prompt.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "router/fleet_limiter.h"
#include "router/fleet_manager.h"
#include "tests/virtual_fleet.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDaemons = 8;
constexpr int kCustomers = 5;
constexpr int kSeeds = 5;
constexpr BucketLimits kLimits{2000, 8000};
constexpr double kDemand = 0.7;  // of the rate
constexpr int64_t kMeanCharge = 400;
constexpr Duration kWarmUp = seconds(20);

enum class Fault { kNone, kKilled, kPlatformDown };

struct Daemon {
  Daemon(VirtualTimeSimulator* world, VirtualPlatform* platform,
         VirtualNetwork* network, int index, uint64_t seed, bool split)
      : random(seed),
        loop(world, seconds(0), 0),
        kv(platform, &loop),
        bus(network, &loop, {"10.0.0." + std::to_string(index), 1}),
        fleet(&loop, &kv, &bus, &random, Options(index)),
        limits(&loop, &fleet, &bus, LimitsOf(split),
               [](const CustomerId&) { return kLimits; }) {
    fleet.SetSlotStateHandler(&limits);
    fleet.Start();
  }
  static FleetOptions Options(int index) {
    FleetOptions options;
    options.name = std::string(1, static_cast<char>('a' + index));
    options.peer_address = {"10.0.0." + std::to_string(index), 1};
    options.failure_domain = FailureDomain(std::to_string(index % 4));
    options.region = "r";
    options.deployment = "d";
    return options;
  }
  static FleetLimiterOptions LimitsOf(bool split) {
    FleetLimiterOptions options;
    options.static_split = split;
    return options;
  }

  SeededRandom random;
  VirtualLoop loop;
  VirtualKvStore kv;
  VirtualBus bus;
  FleetManager fleet;
  FleetLimiter limits;
};

struct Counts {
  uint64_t charges = 0;
  uint64_t wrongful = 0;
  uint64_t calls = 0;
};

class Run {
 public:
  Run(uint64_t seed, bool split, Fault fault)
      : random_(seed),
        platform_(&world_, &random_, &weather_),
        network_{&world_, &random_, &weather_, {}, {}, nullptr, 0} {
    for (int i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(
          &world_, &platform_, &network_, i, random_.Next(), split));
    }
    world_.RunUntil(world_.now() + kWarmUp);
    for (int i = 0; i < kCustomers; ++i) Schedule(i);
    world_.RunUntil(world_.now() + kWarmUp);
    counting_ = true;
    const uint64_t calls = network_.calls;
    if (fault == Fault::kKilled) Kill();
    weather_.platform_down = fault == Fault::kPlatformDown;
    world_.RunUntil(world_.now() + seconds(180));
    counts_.calls = network_.calls - calls;
  }
  const Counts& counts() const { return counts_; }

 private:
  struct Bucket {
    double level = static_cast<double>(kLimits.burst);
    MonoTime at{};
  };

  void Kill() {
    Daemon* daemon = daemons_[1].get();
    daemon->loop.Kill();
    network_.buses.erase({"10.0.0.1", 1});
  }

  // Bursts: half of the time three times as many charges as in the other.
  void Schedule(int customer) {
    const double per_second =
        kDemand * static_cast<double>(kLimits.rate) / kMeanCharge;
    const bool busy = (ToMillis(world_.now().time_since_epoch()) / 4000) % 2;
    const double gap = -std::log(1 - random_.UniformDouble()) /
                       (per_second * (busy ? 1.5 : 0.5));
    world_.ScheduleAt(world_.now() + FromSeconds(gap), [this, customer] {
      Charge(customer);
      Schedule(customer);
    });
  }

  void Charge(int customer) {
    // Two daemons get half of the calls.
    const size_t pick = random_.UniformInt(2) == 0
                            ? random_.UniformInt(2)
                            : random_.UniformInt(kDaemons);
    Daemon* daemon = daemons_[pick].get();
    if (daemon->loop.killed()) daemon = daemons_[pick + 1].get();
    const auto tokens = static_cast<int64_t>(
        1 + random_.UniformInt(static_cast<uint64_t>(2 * kMeanCharge)));
    if (counting_) ++counts_.charges;
    auto handle = std::make_shared<std::unique_ptr<PendingCharge>>();
    *handle = daemon->limits.Charge(
        CustomerId("c" + std::to_string(customer)), Tokens(tokens),
        daemon->loop.Now(),
        [this, customer, tokens, handle](const ChargeResult& result) {
          Decided(customer, tokens, result.granted);
        });
  }

  void Decided(int customer, int64_t tokens, bool granted) {
    Bucket& bucket = buckets_[customer];
    bucket.level =
        std::min(static_cast<double>(kLimits.burst),
                 bucket.level + static_cast<double>(kLimits.rate) *
                                    ToSeconds(world_.now() - bucket.at));
    bucket.at = world_.now();
    const auto charge = static_cast<double>(tokens);
    if (granted) {
      bucket.level -= charge;
    } else if (counting_ && bucket.level >= charge) {
      ++counts_.wrongful;
    }
  }

  SeededRandom random_;
  VirtualTimeSimulator world_;
  InjectedFaults weather_;
  VirtualPlatform platform_;
  VirtualNetwork network_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<int, Bucket> buckets_;
  bool counting_ = false;
  Counts counts_;
};

}  // namespace
}  // namespace mimosa

int main() {
  using mimosa::Fault;
  const std::pair<Fault, const char*> faults[] = {
      {Fault::kNone, "none"},
      {Fault::kKilled, "one of eight killed"},
      {Fault::kPlatformDown, "platform down 3 min"}};
  std::printf("%-22s %-7s %s\n", "fault", "policy",
              "wrongful refusals in 1000 charges, by seed; calls/s a daemon");
  for (const auto& [fault, name] : faults) {
    for (const bool split : {true, false}) {
      std::printf("%-22s %-7s", name, split ? "static" : "home");
      double calls = 0;
      for (int seed = 1; seed <= mimosa::kSeeds; ++seed) {
        const mimosa::Run run(static_cast<uint64_t>(seed), split, fault);
        const mimosa::Counts& counts = run.counts();
        std::printf(" %6.2f", 1000.0 * static_cast<double>(counts.wrongful) /
                                  static_cast<double>(counts.charges));
        calls += static_cast<double>(counts.calls);
      }
      std::printf("; %.1f\n", calls / mimosa::kSeeds / 180 / mimosa::kDaemons);
    }
  }
  return 0;
}
