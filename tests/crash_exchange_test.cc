// Runs the exchange about prompts that crash engines of whole fleets in virtual
// time: requests that share a part arrive at random daemons beside sound ones,
// and daemons are cut off, restarted, or without the store. Once five engines
// have crashed and all daemons that have contact could know, at most three
// more requests with the part may reach engines.
#include "serving/crash_exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "decide/crash_suspects.h"
#include "tests/virtual_member.h"

namespace mimosa {
namespace {

using std::chrono::seconds;
using Verdict = CrashQuarantine::Verdict;

constexpr char kRecordKey[] = "site/prompt_quarantine";
constexpr size_t kCrashesKnown = 5;
// The same for a whole request that is repeated.
constexpr size_t kRequestCrashesKnown = 3;
constexpr int kMaxRequestsAfter = 3;
// The platform's time within which daemons have to be in contact.
constexpr Duration kContactTime = seconds(3);
// Time between two looks of a daemon at the store, as with the batch delay of
// its watch.
constexpr Duration kWatchInterval = milliseconds(500);
// Time from the begin of a run to its crash.
constexpr Duration kTimeToCrash = milliseconds(60);

using Parts = std::vector<CrashSuspectId>;
const CrashSuspectId kBad("bad");
const CrashSuspectId kBadRequest = SuspectRequest(FingerprintOf({}));
const CrashSuspectId kShared("5a");

struct Daemon : VirtualMember {
  Daemon(VirtualTimeSimulator* simulator, FakeNetwork* network,
         VirtualPlatform* platform, int index, uint64_t boot, int fleet_size)
      : VirtualMember(simulator, network, platform, index, boot, fleet_size),
        platform(platform),
        exchange(&loop, &members, &store, &random, &log, ExchangeOptions()) {
    network->Attach(index, [this](const Endpoint& from,
                                  const wire::UsageDatagram& datagram) {
      exchange.OnDatagram(from, datagram);
    });
    exchange.Start(&socket);
    Watch();
  }

  static CrashExchange::Options ExchangeOptions() {
    CrashExchange::Options options;
    options.record_key = kRecordKey;
    return options;
  }

  // Delivers the record if it has changed.
  void Watch() {
    watch_timer = loop.After(kWatchInterval, [this] { Watch(); });
    if (platform->injected_faults()->platform_down) return;
    const KvResult result = platform->Get(kRecordKey);
    if (result.record.revision == seen) return;
    seen = result.record.revision;
    exchange.OnRecord(seen == Revision(0) ? nullptr : &result.record);
  }

  VirtualPlatform* const platform;
  CrashExchange exchange;
  Revision seen;
  TimerHandle watch_timer;
};

class Fleet {
 public:
  Fleet(int size, uint64_t seed)
      : random_(seed),
        network_(&simulator_, &random_),
        platform_(&simulator_, &random_, &faults_),
        size_(size) {
    network_.loss_per_mille = 30;
    daemons_.resize(static_cast<size_t>(size));
    for (int i = 0; i < size; ++i) Start(i);
    Run(milliseconds(10));
  }

  void Start(int index) {
    auto& daemon = daemons_[static_cast<size_t>(index)];
    network_.Attach(index, nullptr);
    daemon.reset();
    daemon = std::make_unique<Daemon>(&simulator_, &network_, &platform_, index,
                                      ++last_boot_, size_);
  }
  void RestartAll() {
    for (int i = 0; i < size_; ++i) Start(i);
  }
  Daemon& daemon(int index) { return *daemons_[static_cast<size_t>(index)]; }
  FakeNetwork& network() { return network_; }
  VirtualPlatform& platform() { return platform_; }
  InjectedFaults& faults() { return faults_; }
  int size() const { return size_; }
  void Run(Duration duration) {
    simulator_.RunUntil(simulator_.now() + duration);
  }

  // A request with these suspects arrives at a random daemon. If it gets to
  // an engine, it generates or crashes it, together with runs that have
  // `bystanders` as their suspects.
  void Send(const Parts& suspects, const Parts& bystanders = {}) {
    Daemon* const target = &daemon(static_cast<int>(random_.UniformInt(size_)));
    const CrashQuarantine::Decision decision =
        target->exchange.Decide(suspects);
    if (decision.verdict == Verdict::kAdmit) {
      RunAt(target, suspects, bystanders);
    } else if (decision.verdict == Verdict::kTrial) {
      claims_.push_back(target->exchange.ClaimTrial(
          decision.suspect, [this, target, suspects, bystanders](bool granted) {
            if (granted) RunAt(target, suspects, bystanders);
          }));
    }
  }

  // Sends requests with the part that crashes engines, and as many sound ones,
  // for `duration`.
  void SendFor(Duration duration, Duration interval,
               const Parts& sound = {kShared}) {
    const MonoTime end = simulator_.now() + duration;
    while (simulator_.now() < end) {
      Send({kShared, kBad}, sound);
      Send(sound);
      Run(interval);
    }
  }

  int reached() const { return reached_; }     // Requests with kBad.
  size_t crashes() const { return crashes_; }  // Of engines.
  int generated() const { return generated_; }
  // Requests with kBad later than the contact time after the fifth crash.
  int reached_after() const { return reached_after_; }

  // Repeats a request that crashes engines for `duration`, beside others that
  // lose their runs with it.
  void RepeatFor(Duration duration, Duration interval) {
    crashes_known_ = kRequestCrashesKnown;
    const MonoTime end = simulator_.now() + duration;
    for (int i = 0; simulator_.now() < end; ++i) {
      const CrashSuspectId sound("request:" + std::to_string(i % 7));
      Send({kBadRequest}, {sound});
      if (i % 2 == 0) Send({sound});
      Run(interval);
    }
  }

 private:
  static bool CrashesEngine(const Parts& suspects) {
    return std::any_of(suspects.begin(), suspects.end(),
                       [](const CrashSuspectId& suspect) {
                         return suspect == kBad || suspect == kBadRequest;
                       });
  }

  void RunAt(Daemon* target, const Parts& suspects, const Parts& bystanders) {
    if (!CrashesEngine(suspects)) {
      ++generated_;
      target->exchange.RecordSurvived(suspects);
      return;
    }
    ++reached_;
    if (crashes_ >= crashes_known_ &&
        simulator_.now() > last_counted_crash_at_ + kContactTime)
      ++reached_after_;
    BackEndEntry engine;
    engine.id = BackEndId("e" + std::to_string(random_.UniformInt(9)));
    engine.incarnation = ++last_incarnation_;
    target->loop.RunAt(simulator_.now() + kTimeToCrash, [=] {
      if (++crashes_ == crashes_known_)
        last_counted_crash_at_ = simulator_.now();
      target->exchange.RecordCrash(RequestId("r"), suspects, engine);
      if (!bystanders.empty())
        daemon(static_cast<int>(random_.UniformInt(size_)))
            .exchange.RecordCrash(RequestId("s"), bystanders, engine);
    });
  }

  VirtualTimeSimulator simulator_;
  SeededRandom random_;
  FakeNetwork network_;
  InjectedFaults faults_;
  VirtualPlatform platform_;
  const int size_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<std::unique_ptr<CrashTrialClaim>> claims_;
  uint64_t last_boot_ = 0;
  int64_t last_incarnation_ = 0;
  size_t crashes_ = 0;
  size_t crashes_known_ = kCrashesKnown;
  MonoTime last_counted_crash_at_{};
  int reached_ = 0;
  int reached_after_ = 0;
  int generated_ = 0;
};

TEST_CASE("few requests with a part that crashes engines reach engines") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(60), milliseconds(150));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
    CHECK(fleet.reached() <= 10);
    // Sound requests share the first part and crash beside them.
    CHECK(fleet.generated() >= 395);
    CHECK(fleet.daemon(0).exchange.quarantined_count() == 1);
  });
}

TEST_CASE("crashes far apart are counted together") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(900), seconds(20));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
    CHECK(fleet.generated() >= 44);
  });
}

TEST_CASE("daemons that hear no other learn of the quarantine from the store") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    for (int i = 0; i < fleet.size() / 3; ++i)
      fleet.network().cut_off.insert(i);
    fleet.SendFor(seconds(30), milliseconds(150));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
  });
}

TEST_CASE("the quarantine outlives a restart of all daemons") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(6), milliseconds(150));
    const int reached = fleet.reached();
    fleet.RestartAll();
    fleet.SendFor(seconds(30), milliseconds(150));
    // The trials that are left.
    CHECK(fleet.reached() <= reached + kMaxRequestsAfter);
  });
}

// Guards against engines that crash again because the store has lost what it
// acknowledged.
TEST_CASE("the quarantine outlives a store that comes back without it") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(6), milliseconds(150));
    const int reached = fleet.reached();
    const Revision lost = fleet.platform().Get(kRecordKey).record.revision;
    fleet.platform().Delete(kRecordKey, lost);
    for (int i = 0; i < fleet.size(); ++i)
      fleet.daemon(i).exchange.OnStoreRestored();
    fleet.SendFor(seconds(30), milliseconds(150));
    CHECK(fleet.reached() <= reached + kMaxRequestsAfter);
    CHECK(fleet.platform().Get(kRecordKey).record.revision > lost);
  });
}

TEST_CASE("without the store, notices keep requests from engines") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.faults().platform_down = true;
    fleet.SendFor(seconds(45), milliseconds(150));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
    fleet.faults().platform_down = false;
    fleet.Run(seconds(3));
    CHECK(fleet.platform().Get(kRecordKey).record.revision != Revision(0));
    fleet.RestartAll();
    fleet.Run(seconds(1));
    CHECK(fleet.daemon(0).exchange.quarantined_count() == 1);
  });
}

TEST_CASE("a sound part that was quarantined with another one is released") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    // No sound request comes before the verdict.
    while (fleet.daemon(0).exchange.quarantined_count() == 0 &&
           fleet.crashes() < 20) {
      fleet.Send({kShared, kBad});
      fleet.Run(milliseconds(300));
    }
    fleet.Run(2 * kWatchInterval);
    CHECK(fleet.daemon(0).exchange.quarantined_count() == 2);
    fleet.SendFor(kContactTime, milliseconds(150));
    const int generated = fleet.generated();
    fleet.SendFor(seconds(30), milliseconds(150));
    CHECK(fleet.generated() - generated == 200);
    CHECK(fleet.daemon(0).exchange.quarantined_count() == 1);
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
  });
}

TEST_CASE("engines that crash by themselves put no part into quarantine") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    for (int crash = 0; crash < 60; ++crash) {
      // Each part is in few requests; one of two loses its run.
      const CrashSuspectId suspect("a" + std::to_string(crash / 6));
      fleet.Send({suspect});
      BackEndEntry engine;
      engine.id = BackEndId("e" + std::to_string(crash));
      fleet.daemon(crash % fleet.size())
          .exchange.RecordCrash(RequestId("r"), {suspect}, engine);
      fleet.Run(milliseconds(200));
    }
    CHECK(fleet.daemon(0).exchange.quarantined_count() == 0);
    CHECK(fleet.generated() == 60);
  });
}

TEST_CASE("few repetitions of a request that crashes engines reach engines") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.RepeatFor(seconds(60), milliseconds(150));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
    // The crashes until the verdict, what was under way, and a trial.
    CHECK(fleet.reached() <= 8);
    CHECK(fleet.daemon(0).exchange.quarantined_count() == 1);
    CHECK(fleet.daemon(0).exchange.quarantined_request_count() == 1);
  });
}

TEST_CASE("repetitions far apart are counted together") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.RepeatFor(seconds(900), seconds(20));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
  });
}

TEST_CASE("without the store, notices keep repetitions from engines") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.faults().platform_down = true;
    fleet.RepeatFor(seconds(45), milliseconds(150));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
  });
}

TEST_CASE("repetitions reach few engines when all daemons start anew") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    // Once before the verdict, and once after it.
    fleet.RepeatFor(milliseconds(250), milliseconds(150));
    fleet.RestartAll();
    fleet.RepeatFor(seconds(6), milliseconds(150));
    fleet.RestartAll();
    fleet.RepeatFor(seconds(30), milliseconds(150));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
  });
}

TEST_CASE(
    "a third of the daemons that hears no other repeats a request rarely") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    for (int i = 0; i < fleet.size() / 3; ++i)
      fleet.network().cut_off.insert(i);
    fleet.RepeatFor(seconds(30), milliseconds(150));
    CHECK(fleet.reached_after() <= kMaxRequestsAfter);
  });
}

TEST_CASE("operators release a part by removing the record") {
  Fleet fleet(6, 1);
  fleet.SendFor(seconds(4), milliseconds(150));
  CHECK(fleet.daemon(1).exchange.quarantined_count() == 1);
  const Revision revision = fleet.platform().Get(kRecordKey).record.revision;
  fleet.platform().Delete(kRecordKey, revision);
  fleet.Run(seconds(1));
  for (int i = 0; i < fleet.size(); ++i)
    CHECK(fleet.daemon(i).exchange.quarantined_count() == 0);
  // It is found again.
  fleet.SendFor(seconds(4), milliseconds(150));
  CHECK(fleet.daemon(1).exchange.quarantined_count() == 1);
}

TEST_CASE("datagrams of others and unreadable records change nothing") {
  Fleet fleet(6, 1);
  CrashExchange& exchange = fleet.daemon(0).exchange;
  wire::UsageDatagram datagram;
  datagram.mutable_suspect_notice()->set_suspect("5a");
  exchange.OnDatagram({"10.9.9.9", 1}, datagram);
  for (int i = 0; i < 9; ++i) {
    datagram.mutable_crash_report()->set_back_end(std::to_string(i));
    datagram.mutable_crash_report()->add_suspects("5a");
    exchange.OnDatagram({"10.9.9.9", 1}, datagram);
  }
  exchange.OnDatagram(AddressOf(1), wire::UsageDatagram());
  const KvRecord record{kRecordKey, "{\"parts\":7", Revision(9)};
  exchange.OnRecord(&record);
  fleet.Run(seconds(1));
  CHECK(exchange.quarantined_count() == 0);
}

}  // namespace
}  // namespace mimosa
