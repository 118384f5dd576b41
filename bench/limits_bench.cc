// limits-bench: counts wrongful refusals of the rate limiter with an even
// static split and with bucket owners that grant allotments, for eight daemons
// in virtual time.
//
// A refusal is wrongful if a single bucket for the whole fleet, charged with
// all admitted requests, would have held enough tokens at that moment. The
// demand is 70% of the rate on average, comes in bursts and is balanced
// unevenly over the daemons. Charges don't wait for tokens.
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

constexpr int kDaemonCount = 8;
constexpr int kCustomerCount = 5;
constexpr int kSeedCount = 5;
constexpr BucketLimits kLimits{2000, 8000};
constexpr double kDemandShare = 0.7;  // average demand, as a share of the rate
constexpr int64_t kMeanChargeTokens = 400;
constexpr Duration kWarmUpTime = seconds(20);

enum class Fault { kNone, kDaemonKilled, kPlatformDown };

struct Daemon {
  Daemon(VirtualTimeSimulator* simulator, VirtualPlatform* platform,
         VirtualNetwork* network, int index, uint64_t seed, bool split)
      : random(seed),
        loop(simulator, seconds(0), 0),
        kv(platform, &loop),
        bus(network, &loop, {"10.0.0." + std::to_string(index), 1}),
        fleet(&loop, &kv, &bus, &random, MakeFleetOptions(index)),
        limiter(&loop, &fleet, &bus, LimiterOptions(split),
                [](const CustomerId&) { return kLimits; }) {
    fleet.SetSlotStateHandler(&limiter);
    fleet.Start();
  }
  static FleetOptions MakeFleetOptions(int index) {
    FleetOptions options;
    options.name = std::string(1, static_cast<char>('a' + index));
    options.peer_address = {"10.0.0." + std::to_string(index), 1};
    options.failure_domain = FailureDomain(std::to_string(index % 4));
    options.region = "r";
    options.deployment = "d";
    return options;
  }
  static FleetLimiterOptions LimiterOptions(bool split) {
    FleetLimiterOptions options;
    options.static_split = split;
    return options;
  }

  SeededRandom random;
  VirtualLoop loop;
  VirtualKvStore kv;
  VirtualBus bus;
  FleetManager fleet;
  FleetLimiter limiter;
};

struct Counts {
  uint64_t charge_count = 0;
  uint64_t wrongful_refusals = 0;
  uint64_t peer_calls = 0;
};

class Simulation {
 public:
  Simulation(uint64_t seed, bool split, Fault fault)
      : random_(seed),
        platform_(&simulator_, &random_, &injected_faults_),
        network_{&simulator_, &random_, &injected_faults_, {}, {}, nullptr, 0} {
    for (int i = 0; i < kDaemonCount; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(
          &simulator_, &platform_, &network_, i, random_.Next(), split));
    }
    simulator_.RunUntil(simulator_.now() + kWarmUpTime);
    for (int i = 0; i < kCustomerCount; ++i) ScheduleCharge(i);
    simulator_.RunUntil(simulator_.now() + kWarmUpTime);
    counting_ = true;
    const uint64_t peer_calls = network_.calls;
    if (fault == Fault::kDaemonKilled) Kill();
    injected_faults_.platform_down = fault == Fault::kPlatformDown;
    simulator_.RunUntil(simulator_.now() + seconds(180));
    counts_.peer_calls = network_.calls - peer_calls;
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

  // Schedules the customer's next charge. In every second interval of 4 s the
  // demand is three times as high as in the others.
  void ScheduleCharge(int customer) {
    const double per_second =
        kDemandShare * static_cast<double>(kLimits.rate) / kMeanChargeTokens;
    const bool busy =
        (ToMillis(simulator_.now().time_since_epoch()) / 4000) % 2;
    const double gap = -std::log(1 - random_.UniformDouble()) /
                       (per_second * (busy ? 1.5 : 0.5));
    simulator_.ScheduleAt(simulator_.now() + FromSeconds(gap),
                          [this, customer] {
                            Charge(customer);
                            ScheduleCharge(customer);
                          });
  }

  void Charge(int customer) {
    // Half of the calls go to the first two daemons, the rest to all daemons.
    const size_t index = random_.UniformInt(2) == 0
                             ? random_.UniformInt(2)
                             : random_.UniformInt(kDaemonCount);
    Daemon* daemon = daemons_[index].get();
    if (daemon->loop.killed()) daemon = daemons_[index + 1].get();
    const auto tokens = static_cast<int64_t>(
        1 + random_.UniformInt(static_cast<uint64_t>(2 * kMeanChargeTokens)));
    if (counting_) ++counts_.charge_count;
    auto handle = std::make_shared<std::unique_ptr<PendingCharge>>();
    *handle = daemon->limiter.Charge(
        CustomerId("c" + std::to_string(customer)), Tokens(tokens),
        daemon->loop.Now(),
        [this, customer, tokens, handle](const ChargeResult& result) {
          OnDecision(customer, tokens, result.granted);
        });
  }

  void OnDecision(int customer, int64_t tokens, bool granted) {
    Bucket& bucket = buckets_[customer];
    bucket.level =
        std::min(static_cast<double>(kLimits.burst),
                 bucket.level + static_cast<double>(kLimits.rate) *
                                    ToSeconds(simulator_.now() - bucket.at));
    bucket.at = simulator_.now();
    const auto charge = static_cast<double>(tokens);
    if (granted) {
      bucket.level -= charge;
    } else if (counting_ && bucket.level >= charge) {
      ++counts_.wrongful_refusals;
    }
  }

  SeededRandom random_;
  VirtualTimeSimulator simulator_;
  InjectedFaults injected_faults_;
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
      {Fault::kDaemonKilled, "one of eight killed"},
      {Fault::kPlatformDown, "platform down 3 min"}};
  std::printf("%-22s %-7s %s\n", "fault", "policy",
              "wrongful refusals in 1000 charges, by seed; calls/s a daemon");
  for (const auto& [fault, name] : faults) {
    for (const bool split : {true, false}) {
      std::printf("%-22s %-7s", name, split ? "static" : "home");
      double peer_calls = 0;
      for (int seed = 1; seed <= mimosa::kSeedCount; ++seed) {
        const mimosa::Simulation simulation(static_cast<uint64_t>(seed), split,
                                            fault);
        const mimosa::Counts& counts = simulation.counts();
        std::printf(" %6.2f",
                    1000.0 * static_cast<double>(counts.wrongful_refusals) /
                        static_cast<double>(counts.charge_count));
        peer_calls += static_cast<double>(counts.peer_calls);
      }
      std::printf("; %.1f\n",
                  peer_calls / mimosa::kSeedCount / 180 / mimosa::kDaemonCount);
    }
  }
  return 0;
}
