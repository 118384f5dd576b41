// Runs whole fleets in virtual time, each daemon with its selection of back
// ends and its exchange of permits, while engines warm up: one alone, a failure
// domain during a burst, all of them; while daemons are cut off from one
// another and restarted. In no second may an engine that warms up get more than
// one and a half times its rate and five requests.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "decide/back_end_selector.h"
#include "serving/permit_exchange.h"
#include "tests/virtual_member.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

constexpr Duration kWindow = seconds(1);
constexpr Duration kWarmUpTime = seconds(3);
constexpr Duration kRunTime = milliseconds(900);
// Between the attempts of a request for which there is no engine, and the
// longest wait for one.
constexpr Duration kRetryInterval = milliseconds(20);
constexpr Duration kMaxWait = milliseconds(300);
// From the reservation of a decode engine to the run.
constexpr Duration kMaxPrefillTime = milliseconds(400);
// Time after which daemons have been told of a start.
constexpr Duration kSeenAfter = milliseconds(600);
constexpr int kEngines = 112;
constexpr int kEnginesPerDomain = 28;
constexpr double kDemand = 150;  // Requests a second.

BackEndId EngineId(int engine) { return BackEndId(std::to_string(engine)); }

BackEndEntry Engine(int engine, int64_t incarnation) {
  BackEndEntry entry;
  entry.id = EngineId(engine);
  entry.service = ServiceId("s");
  entry.role = EngineRole::kDecode;
  entry.zone = FailureDomain(std::to_string(engine / kEnginesPerDomain));
  entry.slots = 12;
  entry.incarnation = incarnation;
  return entry;
}

struct Daemon : VirtualMember {
  Daemon(VirtualTimeSimulator* simulator, FakeNetwork* network,
         VirtualPlatform* platform, int index, uint64_t boot, int fleet_size)
      : VirtualMember(simulator, network, platform, index, boot, fleet_size),
        exchange(&loop, &members, &random, &log, PermitExchange::Options{}),
        selector(&list, &random, BackEndSelector::Options{}, &exchange),
        zone(std::to_string(index % (kEngines / kEnginesPerDomain))) {
    network->Attach(index, [this](const Endpoint& from,
                                  const wire::UsageDatagram& datagram) {
      exchange.OnDatagram(from, datagram);
    });
    exchange.Start(&socket);
  }
  void OnListChanged() { exchange.OnBackEndsChanged(list); }

  BackEndList list;
  PermitExchange exchange;
  BackEndSelector selector;
  FailureDomain zone;
};

class WarmUpFleet {
 public:
  WarmUpFleet(int size, uint64_t seed)
      : random_(seed),
        network_(&simulator_, &random_),
        platform_(&simulator_, &random_, &faults_),
        size_(size),
        incarnations_(kEngines, 1) {
    network_.loss_per_mille = 30;
    daemons_.resize(static_cast<size_t>(size));
    for (int i = 0; i < size; ++i) Start(i);
    simulator_.RunUntil(simulator_.now() + seconds(1));
  }

  void Start(int index) {
    network_.Attach(index, nullptr);
    auto& slot = daemons_[static_cast<size_t>(index)];
    slot.reset();
    slot = std::make_unique<Daemon>(&simulator_, &network_, &platform_, index,
                                    ++last_boot_, size_);
    SiteService service;
    service.id = ServiceId("s");
    service.warm_up_time = kWarmUpTime;
    if (rate_ > 0) service.warm_up_rate = rate_;
    slot->exchange.SetServices({service});
    for (int engine = 0; engine < kEngines; ++engine) {
      BackEndEntry entry =
          Engine(engine, incarnations_[static_cast<size_t>(engine)]);
      entry.warm_up_time =
          std::max(Duration::zero(), WarmUntil(engine) - simulator_.now());
      slot->list.Put(std::move(entry), slot->loop.Now());
    }
    slot->OnListChanged();
  }

  void SetRate(double rate) {
    rate_ = rate;
    for (int i = 0; i < size_; ++i) Start(i);
  }

  // The engines start anew at other addresses, where only daemons that have
  // seen it reach them. If there are late daemons, the first of all, they see
  // it up to two seconds later, while the addresses stay the same.
  void RestartEngines(int first, int count, int late_daemons = 0) {
    keeps_addresses_ = late_daemons > 0;
    started_at_ = simulator_.now();
    for (int engine = first; engine < first + count; ++engine) {
      ++incarnations_[static_cast<size_t>(engine)];
      warm_until_[engine] = simulator_.now() + kWarmUpTime;
      arrivals_[engine].clear();
    }
    for (int i = 0; i < size_; ++i) {
      Daemon* const target = daemon(i);
      const Duration latest = i < late_daemons ? seconds(2) : milliseconds(50);
      target->loop.RunAt(
          simulator_.now() + Scaled(latest, random_.UniformDouble()), [=] {
            for (int engine = first; engine < first + count; ++engine)
              target->list.Put(
                  Engine(engine, incarnations_[static_cast<size_t>(engine)]),
                  target->loop.Now());
            target->OnListChanged();
          });
    }
  }
  // Takes the other engines out of service.
  void DrainAllBut(int first, int count) {
    for (const auto& daemon : daemons_) {
      for (int engine = 0; engine < kEngines; ++engine) {
        if (engine >= first && engine < first + count) continue;
        BackEndEntry entry =
            Engine(engine, incarnations_[static_cast<size_t>(engine)]);
        entry.draining = true;
        daemon->list.Put(std::move(entry), daemon->loop.Now());
      }
    }
  }

  // Requests arrive at random daemons.
  void SendFor(Duration duration, double per_second) {
    const MonoTime end = simulator_.now() + duration;
    while (simulator_.now() < end) {
      const int target = static_cast<int>(random_.UniformInt(size_));
      ++sent_;
      Serve(target, daemon(target)->members.self().boot(), simulator_.now());
      simulator_.RunUntil(
          simulator_.now() +
          FromSeconds(2 * random_.UniformDouble() / per_second));
    }
  }

  Daemon* daemon(int index) {
    return daemons_[static_cast<size_t>(index)].get();
  }
  FakeNetwork& network() { return network_; }
  int size() const { return size_; }
  int sent() const { return sent_; }
  int served() const { return served_; }
  int served_while_cold() const { return served_while_cold_; }
  // The most requests in a second at one engine that warmed up.
  size_t max_in_window() const { return max_in_window_; }
  double AllowedInWindow() const { return 1.5 * rate_ + 5; }

 private:
  MonoTime WarmUntil(int engine) const {
    const auto it = warm_until_.find(engine);
    return it == warm_until_.end() ? MonoTime{} : it->second;
  }

  // Reserves an engine and runs there, or tries again for a while.
  void Serve(int index, uint64_t boot, MonoTime arrived) {
    Daemon* const target = daemon(index);
    if (target->members.self().boot() != boot) return;
    SelectionQuery query;
    query.service = ServiceId("s");
    query.role = EngineRole::kDecode;
    query.preferred_zone = target->zone;
    const MonoTime now = simulator_.now();
    const BackEndEntry* const selected =
        target->selector.SelectBackEnd(query, target->loop.Now());
    if (selected == nullptr) {
      if (now + kRetryInterval <= arrived + kMaxWait)
        target->loop.RunAt(now + kRetryInterval,
                           [=] { Serve(index, boot, arrived); });
      return;
    }
    const BackEndEntry engine = *selected;
    const int number = std::stoi(engine.id.value());
    ++served_;
    if (now < WarmUntil(number)) ++served_while_cold_;
    target->selector.OnCallStarted(engine, WorkSize{});
    target->loop.RunAt(now + kRunTime, [=] {
      target->selector.OnCallEnded(engine, WorkSize{}, CallOutcome::kSuccess,
                                   target->loop.Now());
    });
    const MonoTime run = now + Scaled(kMaxPrefillTime, random_.UniformDouble());
    for (const MonoTime at : {now, run})
      simulator_.ScheduleAt(
          at + Scaled(milliseconds(20), random_.UniformDouble()),
          [=] { Receive(number, engine.incarnation); });
  }

  void Receive(int engine, int64_t incarnation) {
    const MonoTime now = simulator_.now();
    if (now >= WarmUntil(engine)) return;
    // A start counts once most daemons can have seen it.
    if (keeps_addresses_
            ? now < started_at_ + kSeenAfter
            : incarnation != incarnations_[static_cast<size_t>(engine)])
      return;
    std::deque<MonoTime>& window = arrivals_[engine];
    window.push_back(now);
    while (now - window.front() >= kWindow) window.pop_front();
    max_in_window_ = std::max(max_in_window_, window.size());
  }

  VirtualTimeSimulator simulator_;
  SeededRandom random_;
  FakeNetwork network_;
  InjectedFaults faults_;
  VirtualPlatform platform_;
  const int size_;
  double rate_ = 12;
  bool keeps_addresses_ = false;
  MonoTime started_at_{};
  std::vector<int64_t> incarnations_;  // Of each engine.
  std::map<int, MonoTime> warm_until_;
  std::map<int, std::deque<MonoTime>> arrivals_;  // In the last window.
  std::vector<std::unique_ptr<Daemon>> daemons_;
  uint64_t last_boot_ = 0;
  size_t max_in_window_ = 0;
  int sent_ = 0;
  int served_ = 0;
  int served_while_cold_ = 0;
};

// Runs `body` with fleets of all sizes, with as many seeds as
// MIMOSA_WARM_UP_SEEDS says.
template <typename Body>
void ForEachWarmUpFleet(const Body& body, int largest = 389) {
  const char* const text = std::getenv("MIMOSA_WARM_UP_SEEDS");
  for (const int size : {6, 83, 195, 389}) {
    if (size > largest) break;
    const int seeds = text != nullptr ? std::atoi(text) : size < 10 ? 3 : 1;
    size_t most = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      INFO(size << " daemons, seed " << seed);
      WarmUpFleet fleet(size, static_cast<uint64_t>(seed));
      body(fleet);
      CHECK(double(fleet.max_in_window()) <= fleet.AllowedInWindow());
      most = std::max(most, fleet.max_in_window());
    }
    if (text != nullptr)
      WARN(size << " daemons, " << seeds << " seeds: at most " << most
                << " requests in a second");
  }
}

TEST_CASE("a failure domain that comes back cold is spared during a burst") {
  ForEachWarmUpFleet([](WarmUpFleet& fleet) {
    fleet.SendFor(seconds(1), kDemand);
    fleet.RestartEngines(0, kEnginesPerDomain);
    fleet.SendFor(seconds(4), 3 * kDemand);
    // The warm engines bear it.
    CHECK(fleet.served() >= fleet.sent() * 98 / 100);
  });
}

TEST_CASE("engines that all start at once get what they take") {
  ForEachWarmUpFleet([](WarmUpFleet& fleet) {
    fleet.SendFor(seconds(1), kDemand);
    const uint64_t before = fleet.network().datagrams();
    fleet.RestartEngines(0, kEngines);
    fleet.SendFor(kWarmUpTime, kDemand);
    CHECK(fleet.served_while_cold() >= int(kDemand) / 2);
    // Of each daemon, its requests to two issuers and the replies; and the
    // notices, of six daemons for each engine.
    const uint64_t datagrams = fleet.network().datagrams() - before;
    const auto size = static_cast<uint64_t>(fleet.size());
    CHECK(datagrams <= size * (3 * 21 * 4 + 6 * kEngines));
  });
}

TEST_CASE("the only engine is cold, for several rates") {
  for (const double rate : {1.0, 12.0, 60.0}) {
    ForEachWarmUpFleet(
        [rate](WarmUpFleet& fleet) {
          fleet.SetRate(rate);
          fleet.DrainAllBut(0, 1);
          fleet.RestartEngines(0, 1);
          fleet.SendFor(seconds(3), kDemand);
          // Two requests for each served call.
          CHECK(2 * fleet.served_while_cold() >= int(0.2 * rate * 3));
        },
        83);
  }
}

TEST_CASE("a domain is cold while a third of the daemons hear no other") {
  ForEachWarmUpFleet([](WarmUpFleet& fleet) {
    for (int i = 0; i < fleet.size() / 3; ++i)
      fleet.network().cut_off.insert(i);
    fleet.DrainAllBut(0, kEnginesPerDomain);
    fleet.RestartEngines(0, kEnginesPerDomain);
    fleet.SendFor(seconds(2), 2 * kDemand);
    fleet.network().cut_off.clear();
    fleet.SendFor(seconds(1), 2 * kDemand);
  });
}

TEST_CASE("a domain is cold while no daemon hears another") {
  ForEachWarmUpFleet([](WarmUpFleet& fleet) {
    for (int i = 0; i < fleet.size(); ++i) fleet.network().cut_off.insert(i);
    fleet.DrainAllBut(0, kEnginesPerDomain);
    fleet.RestartEngines(0, kEnginesPerDomain);
    fleet.SendFor(kWarmUpTime, 2 * kDemand);
  });
}

TEST_CASE("a domain is cold while all daemons start anew") {
  ForEachWarmUpFleet([](WarmUpFleet& fleet) {
    fleet.RestartEngines(0, kEnginesPerDomain);
    fleet.DrainAllBut(0, kEnginesPerDomain);
    fleet.SendFor(milliseconds(1200), 2 * kDemand);
    for (int i = 0; i < fleet.size(); ++i) fleet.Start(i);
    fleet.DrainAllBut(0, kEnginesPerDomain);
    fleet.SendFor(milliseconds(1800), 2 * kDemand);
  });
}

TEST_CASE("daemons that know only the former entry are told of the start") {
  ForEachWarmUpFleet([](WarmUpFleet& fleet) {
    fleet.DrainAllBut(0, kEnginesPerDomain);
    fleet.RestartEngines(0, kEnginesPerDomain, fleet.size() / 3);
    fleet.SendFor(kWarmUpTime, 2 * kDemand);
  });
}

}  // namespace
}  // namespace mimosa
