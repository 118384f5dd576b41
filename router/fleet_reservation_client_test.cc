// Tests reservations between several daemons over a fake network in virtual
// time.
#include "router/fleet_reservation_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "router/orphan_canceller.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeLoop : public EventLoop {
 public:
  MonoTime Now() const override { return now_; }

  TimerHandle After(Duration delay, std::function<void()> callback) override {
    auto alive = std::make_shared<bool>(true);
    events_.emplace(now_ + delay, [alive, callback = std::move(callback)] {
      if (*alive) callback();
    });
    return TimerHandle(std::make_unique<FakeTimer>(std::move(alive)));
  }
  void Post(std::function<void()> callback) override {
    events_.emplace(now_, std::move(callback));
  }
  void Run() override {}
  void Stop() override {}
  void OnSignal(std::function<void()> /*callback*/) override {}

  void RunFor(Duration duration) {
    const MonoTime end = now_ + duration;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

 private:
  class FakeTimer : public TimerHandle::Impl {
   public:
    explicit FakeTimer(std::shared_ptr<bool> alive)
        : alive_(std::move(alive)) {}
    ~FakeTimer() override { *alive_ = false; }

   private:
    const std::shared_ptr<bool> alive_;
  };

  MonoTime now_{seconds(1000)};
  std::multimap<MonoTime, std::function<void()>> events_;
};

// One-way network latency.
constexpr Duration kLatency = milliseconds(1);

// The peer ports of all daemons. A port that is down refuses calls; a frozen
// port never replies.
class FakeNetwork {
 public:
  struct RegisteredMethod {
    const google::protobuf::Message* prototype;
    PeerBus::MethodHandler handler;
  };
  std::map<uint16_t, std::map<std::string, RegisteredMethod>> ports;
  std::map<uint16_t, bool> down;
  std::map<uint16_t, bool> frozen;
  std::map<std::string, int> calls;
};

class FakeBus : public PeerBus {
 public:
  FakeBus(FakeLoop* loop, FakeNetwork* network, uint16_t port)
      : loop_(loop), network_(network), port_(port) {}

  void RegisterMethod(const std::string& method,
                      const google::protobuf::Message& prototype,
                      MethodHandler handler) override {
    network_->ports[port_][method] = {&prototype, std::move(handler)};
  }

  std::unique_ptr<PeerCall> Call(const Endpoint& to, const std::string& method,
                                 const google::protobuf::Message& params,
                                 google::protobuf::Message* result,
                                 Duration timeout, DoneCallback done) override {
    ++network_->calls[method];
    auto call = std::make_shared<CallState>();
    call->result = result;
    call->done = std::move(done);
    if (network_->down[to.port]) {
      EndCall(call, PeerStatus::kNotSent, kLatency);
    } else if (!network_->frozen[to.port]) {
      std::shared_ptr<google::protobuf::Message> copy(params.New());
      copy->CopyFrom(params);
      RunAfter(kLatency, [this, to, method, copy, call] {
        const auto& registered = network_->ports[to.port].at(method);
        registered.handler(*copy, std::make_shared<FakeReply>(this, call));
      });
    }
    EndCall(call, PeerStatus::kNoReply, timeout);
    return std::make_unique<FakeCall>(call);
  }
  uint64_t bytes_sent() const override { return 0; }
  uint64_t bytes_received() const override { return 0; }

 private:
  struct CallState {
    google::protobuf::Message* result;
    DoneCallback done;
    std::function<void()> on_disconnected;
    bool ended = false;
  };

  class FakeCall : public PeerCall {
   public:
    explicit FakeCall(std::shared_ptr<CallState> state)
        : state_(std::move(state)) {}
    ~FakeCall() override {
      if (state_->ended) return;
      state_->ended = true;
      if (state_->on_disconnected) state_->on_disconnected();
    }

   private:
    const std::shared_ptr<CallState> state_;
  };

  class FakeReply : public PeerReply {
   public:
    FakeReply(FakeBus* bus, std::shared_ptr<CallState> state)
        : bus_(bus), state_(std::move(state)) {}
    void Reply(const google::protobuf::Message& result) override {
      std::shared_ptr<google::protobuf::Message> copy(result.New());
      copy->CopyFrom(result);
      bus_->RunAfter(kLatency, [copy, state = state_] {
        if (state->ended) return;
        state->ended = true;
        if (copy->GetTypeName() == state->result->GetTypeName()) {
          state->result->CopyFrom(*copy);
        }
        const DoneCallback done = state->done;
        done(PeerStatus::kOk);
      });
    }
    bool closed() const override { return state_->ended; }
    void OnCallerDisconnected(std::function<void()> callback) override {
      state_->on_disconnected = std::move(callback);
    }

   private:
    FakeBus* const bus_;
    const std::shared_ptr<CallState> state_;
  };

  void EndCall(const std::shared_ptr<CallState>& call, PeerStatus status,
               Duration delay) {
    RunAfter(delay, [call, status] {
      if (call->ended) return;
      call->ended = true;
      const DoneCallback done = call->done;
      done(status);
    });
  }

  void RunAfter(Duration delay, const std::function<void()>& run) {
    auto holder = std::make_shared<TimerHandle>();
    *holder = loop_->After(delay, [run, holder] { run(); });
  }

  FakeLoop* const loop_;
  FakeNetwork* const network_;
  const uint16_t port_;
};

// The state of the fleet that all daemons observe.
struct SharedFleet {
  std::vector<FleetMember> members;
  std::map<BackEndId, MemberId> owners;
  std::vector<std::function<void()>> observers;
  void NotifyObservers() {
    for (const auto& observer : observers) observer();
  }
};

class FakeFleet : public Fleet {
 public:
  FakeFleet(FakeLoop* loop, SharedFleet* shared, MemberId self)
      : loop_(loop), shared_(shared), self_(std::move(self)) {}
  const MemberId& self() const override { return self_; }
  uint64_t epoch() const override { return 99; }
  const std::vector<FleetMember>& members() const override {
    return shared_->members;
  }
  const FleetMember* FindMember(const MemberId& id) const override {
    for (const FleetMember& member : shared_->members) {
      if (member.id == id) return &member;
    }
    return nullptr;
  }
  MonoTime LeaseDeadline() const override { return loop_->Now() + seconds(3); }
  int SlotOf(const CustomerId& /*customer*/) const override { return 0; }
  std::optional<MemberId> SlotOwner(int /*slot*/) const override { return {}; }
  bool OwnsSlot(int /*slot*/) const override { return false; }
  std::optional<MemberId> LedgerOwner(const BackEndId& engine) const override {
    return shared_->owners.at(engine);
  }
  Duration TimeSincePlatformContact() const override { return Duration(0); }
  Duration TimeSinceAnyContact() const override { return Duration(0); }
  void AddObserver(std::function<void()> observer) override {
    shared_->observers.push_back(std::move(observer));
  }

 private:
  FakeLoop* const loop_;
  SharedFleet* const shared_;
  const MemberId self_;
};

class FakeCatalogue : public CatalogueView {
 public:
  std::shared_ptr<const CatalogueSnapshot> current() const override {
    return snapshot_;
  }
  void AddObserver(std::function<void()> observer) override {
    observers_.push_back(std::move(observer));
  }
  void Set(const wire::Catalogue& catalogue) {
    auto snapshot = CatalogueSnapshot::Make(catalogue);
    REQUIRE(snapshot);
    snapshot_ = *snapshot;
    for (const auto& observer : observers_) observer();
  }

 private:
  std::shared_ptr<const CatalogueSnapshot> snapshot_ =
      CatalogueSnapshot::Empty();
  std::vector<std::function<void()>> observers_;
};

// Fake engines: they return load reports and record orders to cancel requests.
class FakeEngines : public HttpClient {
 public:
  explicit FakeEngines(FakeLoop* loop) : loop_(loop) {}

  std::unique_ptr<HttpCall> Start(const HttpCallOptions& options,
                                  HttpRequest request,
                                  HttpCallHandler* handler) override {
    if (request.target == "/v1/cancel") {
      orders.push_back({options.to.port, request.body, loop_->Now()});
    }
    const uint16_t port = options.to.port;
    auto call = std::make_unique<FakeHttpCall>();
    call->timer = loop_->After(kLatency, [this, port, handler] {
      if (down[port]) {
        handler->OnFailed(HttpFailure::kConnect, false);
        return;
      }
      handler->OnHead(200, {});
      handler->OnBody("{\"running\":0,\"waiting\":0,\"fence\":6,\"held\":[" +
                      held[port] + "]}");
      handler->OnDone(ResponseEnd::kFraming);
    });
    return call;
  }

  struct Order {
    uint16_t port;
    std::string body;
    MonoTime at;
  };
  std::vector<Order> orders;
  // Reservations that each port's load report lists, as JSON objects.
  std::map<uint16_t, std::string> held;
  std::map<uint16_t, bool> down;

 private:
  class FakeHttpCall : public HttpCall {
   public:
    bool has_expected_incarnation() const override { return false; }
    bool sent() const override { return true; }
    bool reset_after_end() const override { return false; }
    void Pause(bool /*pause*/) override {}
    ConnectionUse connection_use() const override { return {}; }
    TimerHandle timer;
  };
  FakeLoop* const loop_;
};

constexpr uint16_t kPrefillPort = 100;
constexpr uint16_t kDecodePort = 200;

wire::BackEnd Engine(const std::string& id, wire::BackEndRole role,
                     uint16_t port) {
  wire::BackEnd engine;
  engine.set_id(id);
  engine.set_owner("trust");
  engine.set_role(role);
  engine.set_address("10.0.0.1:" + std::to_string(port));
  engine.set_failure_domain("kochi");
  engine.set_model("letter");
  if (role == wire::DECODE_ENGINE) engine.set_kv_pieces(4);
  engine.set_max_running(4);
  engine.set_checks_fencing(id == "d1");
  return engine;
}

// A fleet of daemons m0, m1, ... with prefill engine p1 and decode engines d1
// and d2. At first, m0 owns the ledgers of all engines.
class Deployment {
 public:
  explicit Deployment(int daemons) {
    catalogue_message.set_version(1);
    *catalogue_message.add_back_ends() =
        Engine("p1", wire::PREFILL_ENGINE, kPrefillPort);
    *catalogue_message.add_back_ends() =
        Engine("d1", wire::DECODE_ENGINE, kDecodePort);
    *catalogue_message.add_back_ends() =
        Engine("d2", wire::DECODE_ENGINE, kDecodePort + 1);
    catalogue.Set(catalogue_message);
    for (int i = 0; i < daemons; ++i) {
      shared.members.push_back({Member(i),
                                {"10.0.0.9", static_cast<uint16_t>(i)},
                                FailureDomain("kochi"),
                                "kerala"});
    }
    for (const char* engine : {"p1", "d1", "d2"}) {
      shared.owners[BackEndId(engine)] = Member(0);
    }
    ReservationOptions options;
    for (int i = 0; i < daemons; ++i) {
      buses.push_back(
          std::make_unique<FakeBus>(&loop, &network, static_cast<uint16_t>(i)));
      fleets.push_back(std::make_unique<FakeFleet>(&loop, &shared, Member(i)));
      clients.push_back(std::make_unique<FleetReservationClient>(
          &loop, buses[i].get(), fleets[i].get(), &catalogue, &engines, &random,
          options));
    }
    loop.RunFor(seconds(2));
  }

  static MemberId Member(int i) { return MemberId("m" + std::to_string(i)); }

  // Starts a reservation of `pieces` at daemon i. Its result is stored in
  // results[serial].
  std::unique_ptr<PendingReservation> Reserve(int i, int serial, int64_t pieces,
                                              Duration deadline = seconds(60)) {
    ReservationRequest request;
    request.request_id =
        RequestId(Member(i).value() + "/" + std::to_string(serial));
    request.customer = CustomerId("c");
    request.model = ModelId("letter");
    request.prompt = "a letter";
    request.prompt_tokens = Tokens(10);
    request.output_tokens = Tokens(pieces * kTokensPerPiece - 10);
    request.request_class = wire::PATIENT;
    request.deadline = loop.Now() + deadline;
    return clients[i]->Reserve(request,
                               [this, serial](ReservationResult result) {
                                 REQUIRE(results.count(serial) == 0);
                                 results[serial] = std::move(result);
                               });
  }

  bool IsGranted(int serial) const {
    const auto it = results.find(serial);
    return it != results.end() &&
           it->second.status == ReservationStatus::kGranted;
  }

  const EngineLedger* Ledger(int i, const char* engine) {
    return clients[i]->ledger_server()->FindLedger(BackEndId(engine));
  }
  int64_t ReservedCapacity(int i, const char* engine) {
    const LedgerSummary summary = Ledger(i, engine)->Summary();
    return summary.capacity.count() - summary.free.count();
  }

  FakeLoop loop;
  FakeNetwork network;
  SharedFleet shared;
  FakeCatalogue catalogue;
  wire::Catalogue catalogue_message;
  FakeEngines engines{&loop};
  SeededRandom random{1};
  std::vector<std::unique_ptr<FakeBus>> buses;
  std::vector<std::unique_ptr<FakeFleet>> fleets;
  std::vector<std::unique_ptr<FleetReservationClient>> clients;
  std::map<int, ReservationResult> results;
};

TEST_CASE(
    "a single daemon grants from its own ledgers and releases without network "
    "calls") {
  Deployment deployment(1);
  const auto pending = deployment.Reserve(0, 1, 3);
  deployment.loop.RunFor(milliseconds(100));
  REQUIRE(deployment.IsGranted(1));
  EngineReservation* reservation = deployment.results[1].reservation.get();
  CHECK(reservation->prefill_engine() == BackEndId("p1"));
  CHECK(reservation->pieces() == Pieces(3));
  CHECK(deployment.ReservedCapacity(0, "p1") == 1);
  CHECK(deployment.ReservedCapacity(0, "d1") +
            deployment.ReservedCapacity(0, "d2") ==
        3);
  reservation->ReleasePrefillEngine();
  deployment.loop.RunFor(milliseconds(100));
  CHECK(deployment.ReservedCapacity(0, "p1") == 0);
  deployment.results[1].reservation.reset();
  deployment.loop.RunFor(milliseconds(100));
  CHECK(deployment.ReservedCapacity(0, "d1") +
            deployment.ReservedCapacity(0, "d2") ==
        0);
  CHECK(deployment.clients[0]->held_reservations() == 0);
  CHECK(deployment.network.calls.empty());
}

TEST_CASE("a reservation waits until another one releases its capacity") {
  Deployment deployment(3);
  std::vector<std::unique_ptr<PendingReservation>> pending;
  pending.reserve(3);
  for (int i = 0; i < 3; ++i)
    pending.push_back(deployment.Reserve(1 + i % 2, i, 4));
  deployment.loop.RunFor(seconds(1));
  const int granted = deployment.IsGranted(0) + deployment.IsGranted(1) +
                      deployment.IsGranted(2);
  CHECK(granted == 2);
  CHECK(deployment.results.size() == 2);
  deployment.results.begin()->second.reservation.reset();
  deployment.results.erase(std::next(deployment.results.begin()));
  deployment.loop.RunFor(seconds(1));
  CHECK((deployment.IsGranted(0) || deployment.IsGranted(1)) +
            deployment.IsGranted(2) >=
        1);
  CHECK(deployment.ReservedCapacity(0, "d1") +
            deployment.ReservedCapacity(0, "d2") ==
        4);
}

// Guards against capacity that stays reserved because the reservation was
// cancelled while a request, a reply or a wait was in progress.
TEST_CASE(
    "a reservation that is cancelled at any time leaves nothing reserved") {
  // Cancels at each millisecond of the exchange.
  for (int at = 0; at < 12; ++at) {
    Deployment deployment(2);
    auto pending = deployment.Reserve(1, 1, 4);
    deployment.loop.RunFor(milliseconds(at));
    pending.reset();
    deployment.results.clear();
    deployment.loop.RunFor(seconds(1));
    INFO("cancelled after ms " << at);
    CHECK(deployment.ReservedCapacity(0, "d1") +
              deployment.ReservedCapacity(0, "d2") +
              deployment.ReservedCapacity(0, "p1") ==
          0);
    CHECK(deployment.Ledger(0, "d1")->Summary().waiting == 0);
    CHECK(deployment.clients[1]->held_reservations() == 0);
  }
}

TEST_CASE("a reservation fails without an engine and avoids excluded engines") {
  Deployment deployment(1);
  ReservationRequest request;
  request.request_id = RequestId("m0/1");
  request.model = ModelId("none");
  request.deadline = deployment.loop.Now() + seconds(9);
  const auto pending =
      deployment.clients[0]->Reserve(request, [&](ReservationResult result) {
        deployment.results[1] = std::move(result);
      });
  deployment.loop.RunFor(seconds(1));
  CHECK(deployment.results[1].status == ReservationStatus::kNoEngine);
  request.model = ModelId("letter");
  request.excluded_engines = {BackEndId("d1")};
  const auto again =
      deployment.clients[0]->Reserve(request, [&](ReservationResult result) {
        deployment.results[2] = std::move(result);
      });
  deployment.loop.RunFor(seconds(1));
  REQUIRE(deployment.IsGranted(2));
  CHECK(deployment.results[2].reservation->decode_engine() == BackEndId("d2"));
}

TEST_CASE(
    "a reservation that waits at a draining engine moves to another engine") {
  Deployment deployment(2);
  const auto a = deployment.Reserve(1, 1, 4);
  const auto b = deployment.Reserve(1, 2, 4);
  deployment.loop.RunFor(milliseconds(100));
  REQUIRE((deployment.IsGranted(1) && deployment.IsGranted(2)));
  const auto c = deployment.Reserve(1, 3, 4);
  deployment.loop.RunFor(milliseconds(100));
  // Drain the engine at which it waits, then release the capacity of the other.
  const bool at_d1 = deployment.Ledger(0, "d1")->IsWaiting(RequestId("m1/3"));
  deployment.catalogue_message.mutable_back_ends(at_d1 ? 1 : 2)
      ->set_draining(true);
  deployment.catalogue_message.set_version(2);
  deployment.catalogue.Set(deployment.catalogue_message);
  deployment.loop.RunFor(milliseconds(100));
  const BackEndId other(at_d1 ? "d2" : "d1");
  for (const int serial : {1, 2}) {
    if (deployment.results[serial].reservation->decode_engine() == other) {
      deployment.results[serial].reservation.reset();
    }
  }
  deployment.loop.RunFor(milliseconds(100));
  REQUIRE(deployment.IsGranted(3));
  CHECK(deployment.results[3].reservation->decode_engine() == other);
}

// Guards against capacity granted twice after the owner of a ledger has died,
// because the new owner doesn't know the reservations that the old one granted.
TEST_CASE("a new ledger owner learns of held reservations before it grants") {
  Deployment deployment(3);
  const auto a = deployment.Reserve(1, 1, 4);
  const auto b = deployment.Reserve(2, 2, 4);
  deployment.loop.RunFor(milliseconds(100));
  REQUIRE((deployment.IsGranted(1) && deployment.IsGranted(2)));
  const auto c = deployment.Reserve(2, 3, 4);
  deployment.loop.RunFor(milliseconds(100));
  REQUIRE(deployment.results.count(3) == 0);
  // Daemon 0 dies, and daemon 1 becomes the owner of its ledgers.
  deployment.network.down[0] = true;
  deployment.shared.members.erase(deployment.shared.members.begin());
  for (auto& [engine, owner] : deployment.shared.owners)
    owner = Deployment::Member(1);
  deployment.shared.NotifyObservers();
  deployment.loop.RunFor(milliseconds(500));
  CHECK(deployment.ReservedCapacity(1, "d1") == 4);
  CHECK(deployment.ReservedCapacity(1, "d2") == 4);
  deployment.loop.RunFor(seconds(3));
  CHECK(deployment.results.count(3) == 0);
  // The reservation that waited at the dead owner waits at the new one.
  deployment.results[1].reservation.reset();
  deployment.results[2].reservation.reset();
  deployment.loop.RunFor(seconds(1));
  CHECK(deployment.IsGranted(3));
}

TEST_CASE(
    "an evicted member's reservations are released and its waiting ones "
    "dropped") {
  Deployment deployment(2);
  const auto a = deployment.Reserve(1, 1, 4);
  const auto b = deployment.Reserve(1, 2, 4);
  const auto c = deployment.Reserve(1, 3, 4);
  deployment.loop.RunFor(milliseconds(100));
  REQUIRE(deployment.ReservedCapacity(0, "d1") +
              deployment.ReservedCapacity(0, "d2") ==
          8);
  deployment.shared.members.pop_back();
  deployment.shared.NotifyObservers();
  CHECK(deployment.ReservedCapacity(0, "d1") +
            deployment.ReservedCapacity(0, "d2") ==
        0);
  CHECK(deployment.Ledger(0, "d1")->Summary().waiting == 0);
  CHECK(deployment.Ledger(0, "d2")->Summary().waiting == 0);
}

TEST_CASE(
    "capacity that an engine reports in use without a reservation counts as "
    "reserved") {
  Deployment deployment(1);
  deployment.engines.held[kDecodePort] = "{\"request\":\"old/1\",\"pieces\":3}";
  deployment.loop.RunFor(seconds(3));
  CHECK(deployment.ReservedCapacity(0, "d1") == 3);
  deployment.engines.held[kDecodePort] = "";
  deployment.loop.RunFor(seconds(2));
  CHECK(deployment.ReservedCapacity(0, "d1") == 0);
}

TEST_CASE("a long reservation is renewed with few calls") {
  Deployment deployment(2);
  const auto a = deployment.Reserve(1, 1, 4, seconds(300));
  deployment.loop.RunFor(seconds(100));
  REQUIRE(deployment.IsGranted(1));
  CHECK(deployment.ReservedCapacity(0, "d1") +
            deployment.ReservedCapacity(0, "d2") ==
        4);
  CHECK(deployment.network.calls[kRenewMethod] <= 20);
}

TEST_CASE("reservations avoid engines whose ledger owner is down") {
  Deployment deployment(2);
  deployment.shared.owners[BackEndId("d2")] = Deployment::Member(1);
  deployment.shared.owners[BackEndId("p1")] = Deployment::Member(1);
  deployment.shared.NotifyObservers();
  deployment.loop.RunFor(seconds(3));
  deployment.network.down[0] = true;
  for (int serial = 0; serial < 4; ++serial) {
    const auto pending = deployment.Reserve(1, serial, 1);
    deployment.loop.RunFor(seconds(1));
    REQUIRE(deployment.IsGranted(serial));
    CHECK(deployment.results[serial].reservation->decode_engine() ==
          BackEndId("d2"));
  }
}

// Guards against requests that keep running on engines after their daemon was
// evicted, and against cancelling them too early: an engine that doesn't check
// fencing may get the order only after the evicted member's lease has expired.
TEST_CASE(
    "requests of an evicted member are cancelled after its lease has expired") {
  Deployment deployment(2);
  OrphanCanceller canceller(&deployment.loop, deployment.fleets[0].get(),
                            &deployment.catalogue, &deployment.engines,
                            deployment.clients[0]->ledger_server(), seconds(3));
  deployment.engines.held[kDecodePort] = "{\"request\":\"m1/1\",\"pieces\":3}";
  deployment.engines.held[kDecodePort + 1] =
      "{\"request\":\"m1/2\",\"pieces\":3}";
  deployment.loop.RunFor(seconds(5));
  CHECK(deployment.engines.orders.empty());
  const MonoTime evicted_at = deployment.loop.Now();
  deployment.shared.members.pop_back();
  deployment.shared.NotifyObservers();
  deployment.loop.RunFor(seconds(10));
  // d1 checks fencing and gets the order at once. d2 and p1 don't check it and
  // get theirs after the old lease has expired.
  std::map<uint16_t, MonoTime> first_order_at;
  for (const auto& order : deployment.engines.orders) {
    CHECK(order.body.find("\"prefix\":\"m1/\"") != std::string::npos);
    CHECK(order.body.find("\"fence\":7") != std::string::npos);
    first_order_at.emplace(order.port, order.at);
  }
  REQUIRE(first_order_at.size() == 3);
  CHECK(first_order_at[kDecodePort] - evicted_at < milliseconds(100));
  CHECK(first_order_at[kDecodePort + 1] - evicted_at >= seconds(3));
  CHECK(first_order_at[kDecodePort + 1] - evicted_at < seconds(5));
}

// Guards against cancelling requests of a live member, also of one that joined
// so recently that this daemon doesn't know it yet.
TEST_CASE(
    "requests of a live or newly joined unknown member are not cancelled") {
  Deployment deployment(2);
  OrphanCanceller canceller(&deployment.loop, deployment.fleets[0].get(),
                            &deployment.catalogue, &deployment.engines,
                            deployment.clients[0]->ledger_server(), seconds(3));
  deployment.engines.held[kDecodePort] = "{\"request\":\"m1/1\",\"pieces\":3}";
  deployment.loop.RunFor(seconds(60));
  CHECK(deployment.engines.orders.empty());
  // A member that this daemon doesn't know may just have joined. If it stays
  // unknown for long, it ended before this daemon started.
  deployment.engines.held[kDecodePort] = "{\"request\":\"m9/1\",\"pieces\":3}";
  deployment.loop.RunFor(seconds(2));
  CHECK(deployment.engines.orders.empty());
  deployment.loop.RunFor(seconds(10));
  REQUIRE_FALSE(deployment.engines.orders.empty());
  CHECK(deployment.engines.orders.front().body.find("m9/") !=
        std::string::npos);
}

}  // namespace
}  // namespace mimosa
