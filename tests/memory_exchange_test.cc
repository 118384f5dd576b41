// Runs the exchange of engine memory of whole fleets in virtual time, under
// twice the load that the engines hold, while daemons are cut off, killed and
// restarted.
#include "serving/memory_exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/virtual_member.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

constexpr int64_t kEngineMemory = 8000;
constexpr int64_t kRunTokens = 2000;
constexpr Duration kHold = seconds(1);
constexpr Duration kReportTime = milliseconds(200);
const ServiceId kService("llm");

SiteConfig MakeConfig() {
  SiteService service;
  service.id = kService;
  service.engine = EngineSpec{};
  service.engine->kv_memory = Tokens(kEngineMemory);
  service.engine->reservation_lifetime = seconds(2);
  SiteRoute urgent;
  urgent.traffic_split = {{kService, 1}};
  SiteRoute patient = urgent;
  patient.priority = 2;
  return {1, {urgent, patient}, {service}, {}, {}};
}

struct Daemon : VirtualMember {
  Daemon(VirtualTimeSimulator* simulator, FakeNetwork* network,
         VirtualPlatform* platform, int index, uint64_t boot, int fleet_size,
         const std::vector<BackEndEntry>& engines, bool is_old)
      : VirtualMember(simulator, network, platform, index, boot, fleet_size),
        selector(&back_ends, &random, BackEndSelector::Options{}),
        exchange(&loop, &members, &back_ends, &selector, &random, &log,
                 MemoryExchange::Options{}) {
    for (const BackEndEntry& engine : engines)
      back_ends.Put(engine, loop.Now());
    exchange.SetConfig(MakeConfig());
    if (!is_old)
      network->Attach(index, [this](const Endpoint& from,
                                    const wire::UsageDatagram& datagram) {
        exchange.OnDatagram(from, datagram);
      });
    exchange.Start(&socket);
  }

  BackEndList back_ends;
  BackEndSelector selector;
  MemoryExchange exchange;
  std::map<int, std::unique_ptr<MemoryExchange::Claim>> claims;
};

class Fleet {
 public:
  Fleet(int size, uint64_t seed)
      : random_(seed),
        network_(&simulator_, &random_),
        platform_(&simulator_, &random_, &faults_),
        size_(size) {
    for (int i = 0; i < std::max(2, size / 8); ++i) {
      BackEndEntry engine;
      engine.id = BackEndId("e" + std::to_string(i));
      engine.service = kService;
      engine.role = EngineRole::kDecode;
      engine.slots = 64;
      engine.incarnation = 1;
      engines_.push_back(engine);
    }
    daemons_.resize(static_cast<size_t>(size));
    for (int i = 0; i < size; ++i) Start(i);
  }
  ~Fleet() {
    for (int i = 0; i < size_; ++i) Kill(i);
  }

  void Start(int index) {
    Kill(index);
    daemons_[static_cast<size_t>(index)] = std::make_unique<Daemon>(
        &simulator_, &network_, &platform_, index, ++last_boot_, size_,
        engines_, /*is_old=*/false);
  }
  void Kill(int index) {
    Daemon* const killed = daemon(index);
    if (killed == nullptr) return;
    network_.Attach(index, nullptr);
    // Engines end the runs of a daemon that is gone.
    for (const auto& [request, claim] : killed->claims) EndRun(request);
    killed->claims.clear();
    daemons_[static_cast<size_t>(index)].reset();
  }
  Daemon* daemon(int index) {
    return daemons_[static_cast<size_t>(index)].get();
  }
  FakeNetwork& network() { return network_; }
  int size() const { return size_; }
  int owner() { return IndexOf(daemon(0)->exchange.Issuers(kService)[0]); }

  // Requests of three ranks arrive at random daemons for `duration`, at `load`
  // times what the engines serve.
  void SendFor(Duration duration, double load) {
    const MonoTime end = simulator_.now() + duration;
    const double per_second = load * static_cast<double>(engines_.size()) *
                              static_cast<double>(kEngineMemory) / kRunTokens /
                              ToSeconds(kHold);
    while (simulator_.now() < end) {
      const int target =
          static_cast<int>(random_.UniformInt(static_cast<uint64_t>(size_)));
      if (daemon(target) != nullptr) Send(target);
      Run(FromSeconds(2 * random_.UniformDouble() / per_second));
    }
  }
  void Run(Duration duration) {
    const MonoTime end = simulator_.now() + duration;
    while (next_report_ < end) {
      simulator_.RunUntil(next_report_);
      next_report_ += kReportTime;
      Report();
    }
    simulator_.RunUntil(end);
  }
  void Reset() {
    asked_.clear();
    served_.clear();
    refused_.clear();
    unavailable_ = 0;
    over_ = 0;
  }

  // By rank.
  std::map<int, int> asked_, served_, refused_;
  int unavailable_ = 0;
  // Grants that took an engine above its memory, counting daemons in touch.
  int over_ = 0;
  int granted_ = 0;

 private:
  static int IndexOf(const std::string& name) {
    return std::stoi(name.substr(name.find('-') + 1));
  }
  bool IsInTouch(int index) const { return network_.cut_off.count(index) == 0; }

  void Send(int index) {
    const int request = ++last_request_;
    const int rank = request % 3;
    MemoryDemand demand;
    demand.rank = rank;
    demand.customer = CustomerId("c");
    demand.tokens = Tokens(kRunTokens);
    demand.max_wait = seconds(3);
    demand.target_wait = milliseconds(800);
    demand.hold_time = kHold;
    Daemon* const target = daemon(index);
    if (IsInTouch(index)) ++asked_[rank];
    const uint64_t boot = target->members.self().boot();
    target->claims[request] =
        target->exchange.Ask(kService, RequestId("r"), demand,
                             [=](const MemoryExchange::Answer& answer) {
                               OnAnswer(index, boot, request, rank, answer);
                             });
  }

  void OnAnswer(int index, uint64_t boot, int request, int rank,
                const MemoryExchange::Answer& answer) {
    Daemon* const target = daemon(index);
    if (answer.result != MemoryExchange::Result::kGranted) {
      if (answer.result == MemoryExchange::Result::kRefused) {
        ++refused_[rank];
        CHECK(answer.retry_after >= milliseconds(500));
      } else if (IsInTouch(index)) {
        ++unavailable_;
      }
      target->claims.erase(request);
      return;
    }
    ++served_[rank];
    ++granted_;
    const BackEndId engine = answer.engine->id;
    // A daemon without contact answers to nobody but the engine.
    if (!IsInTouch(index)) {
      target->claims.erase(request);
      return;
    }
    runs_[request] = engine;
    used_[engine] += kRunTokens;
    if (used_[engine] > kEngineMemory) ++over_;
    target->loop.RunAt(simulator_.now() + kHold, [=] {
      Daemon* const holder = daemon(index);
      if (holder == nullptr || holder->members.self().boot() != boot) return;
      EndRun(request);
      holder->claims.erase(request);
    });
  }

  void EndRun(int request) {
    const auto run = runs_.find(request);
    if (run == runs_.end()) return;
    used_[run->second] -= kRunTokens;
    runs_.erase(run);
  }

  // The usage exchange tells all daemons the open work.
  void Report() {
    OpenWorkByBackEnd open;
    for (const auto& [engine, tokens] : used_)
      if (tokens > 0)
        open[engine] = {static_cast<int>(tokens / kRunTokens), Tokens(tokens)};
    for (int i = 0; i < size_; ++i)
      if (daemon(i) != nullptr && IsInTouch(i))
        daemon(i)->selector.SetPeerLoad(open);
  }

  VirtualTimeSimulator simulator_;
  SeededRandom random_;
  FakeNetwork network_;
  InjectedFaults faults_;
  VirtualPlatform platform_;
  const int size_;
  std::vector<BackEndEntry> engines_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  uint64_t last_boot_ = 0;
  int last_request_ = 0;
  MonoTime next_report_{};
  std::map<int, BackEndId> runs_;
  std::map<BackEndId, int64_t> used_;
};

// Share of the requests of a rank that were served.
double Share(Fleet& fleet, int rank) {
  return static_cast<double>(fleet.served_[rank]) /
         std::max(1, fleet.asked_[rank]);
}

void CheckRanks(Fleet& fleet) {
  INFO("served " << Share(fleet, 0) << " " << Share(fleet, 1) << " "
                 << Share(fleet, 2));
  CHECK(Share(fleet, 0) >= Share(fleet, 1) - 0.05);
  CHECK(Share(fleet, 1) >= Share(fleet, 2) - 0.05);
  CHECK(Share(fleet, 0) > 0.8);
}

TEST_CASE("under twice the load memory is granted once, and by rank") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(2), 1);
    fleet.Reset();
    const uint64_t datagrams = fleet.network().datagrams();
    fleet.SendFor(seconds(6), 2);
    CheckRanks(fleet);
    CHECK(fleet.over_ == 0);
    const double sent =
        static_cast<double>(fleet.network().datagrams() - datagrams);
    const int asked = fleet.asked_[0] + fleet.asked_[1] + fleet.asked_[2];
    CHECK(sent / asked < 5);
    // Nothing is sent while no requests come.
    fleet.Run(seconds(6));
    const uint64_t idle = fleet.network().datagrams();
    fleet.Run(seconds(5));
    CHECK(fleet.network().datagrams() == idle);
  });
}

TEST_CASE("the daemons in touch keep to the ledger while others are cut off") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(2), 1);
    for (int i = 0; i < fleet.size(); i += 3)
      if (i != fleet.owner()) fleet.network().cut_off.insert(i);
    fleet.Reset();
    fleet.SendFor(seconds(5), 2);
    CHECK(fleet.over_ == 0);
    CheckRanks(fleet);
    fleet.network().cut_off.clear();
    // For a moment more, some of them ask the second owner.
    fleet.SendFor(milliseconds(3500), 2);
    fleet.Reset();
    fleet.SendFor(seconds(4), 2);
    CHECK(fleet.over_ == 0);
    CheckRanks(fleet);
  });
}

TEST_CASE(
    "another member takes over when the owner dies, with open work known") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(3), 2);
    fleet.Reset();
    fleet.granted_ = 0;
    fleet.Kill(fleet.owner() == 0 ? 0 : fleet.owner());
    if (fleet.daemon(0) == nullptr) fleet.Start(0);
    fleet.SendFor(seconds(5), 2);
    // The engines refuse what the second owner couldn't know of.
    CHECK(fleet.over_ <= fleet.granted_ / 10);
    CHECK(Share(fleet, 0) > 0.6);
    CHECK(fleet.unavailable_ <= fleet.size() * 2);
  });
}

TEST_CASE("all daemons start anew under twice the load") {
  ForEachFleet<Fleet>([](Fleet& fleet) {
    fleet.SendFor(seconds(2), 2);
    for (int i = 0; i < fleet.size(); ++i) fleet.Start(i);
    fleet.Reset();
    fleet.SendFor(seconds(5), 2);
    CHECK(fleet.over_ == 0);
    CheckRanks(fleet);
  });
}

TEST_CASE("datagrams that make no sense change nothing and are counted") {
  Fleet fleet(6, 1);
  fleet.SendFor(seconds(2), 1);
  const int owner = fleet.owner();
  MemoryExchange& exchange = fleet.daemon(owner)->exchange;
  const Tokens granted = exchange.FindLedger(kService)->granted();
  const uint64_t dropped = exchange.counters().dropped;
  const Endpoint member = AddressOf(owner == 1 ? 2 : 1);
  wire::UsageDatagram request;
  request.mutable_memory_request()->set_service(kService.value());
  exchange.OnDatagram(member, request);
  request.mutable_memory_request()->set_tokens(uint64_t{1} << 60);
  exchange.OnDatagram(member, request);
  request.mutable_memory_request()->set_tokens(kRunTokens);
  request.mutable_memory_request()->set_service("other");
  exchange.OnDatagram(member, request);
  exchange.OnDatagram({"10.9.9.9", 1}, request);
  wire::UsageDatagram update;
  update.mutable_memory_update()->set_service(kService.value());
  wire::MemoryHolding* const holding =
      update.mutable_memory_update()->add_holdings();
  holding->set_tokens(uint64_t{1} << 60);
  exchange.OnDatagram(member, update);
  holding->set_tokens(kRunTokens);
  holding->set_back_end("unknown");
  exchange.OnDatagram(member, update);
  wire::UsageDatagram reply;
  reply.mutable_memory_reply()->set_result(wire::MemoryReply::GRANTED);
  for (uint64_t serial = 0; serial < 50; ++serial) {
    reply.mutable_memory_reply()->set_serial(serial);
    exchange.OnDatagram(member, reply);
  }
  CHECK(exchange.FindLedger(kService)->granted() == granted);
  CHECK(exchange.counters().dropped >= dropped + 54);
}

}  // namespace
}  // namespace mimosa
