// Reservations between several daemons over a fake network in virtual time.
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

constexpr Duration kHop = milliseconds(1);

// All daemons' peer ports; a port that is down refuses, a frozen one is silent.
class FakeNetwork {
 public:
  struct Served {
    const google::protobuf::Message* prototype;
    PeerBus::MethodHandler serve;
  };
  std::map<uint16_t, std::map<std::string, Served>> ports;
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
                      MethodHandler serve) override {
    network_->ports[port_][method] = {&prototype, std::move(serve)};
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
      EndCall(call, PeerStatus::kNotSent, kHop);
    } else if (!network_->frozen[to.port]) {
      std::shared_ptr<google::protobuf::Message> copy(params.New());
      copy->CopyFrom(params);
      Later(kHop, [this, to, method, copy, call] {
        const auto& served = network_->ports[to.port].at(method);
        served.serve(*copy, std::make_shared<FakeReply>(this, call));
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
    std::function<void()> on_gone;
    bool over = false;
  };

  class FakeCall : public PeerCall {
   public:
    explicit FakeCall(std::shared_ptr<CallState> state)
        : state_(std::move(state)) {}
    ~FakeCall() override {
      if (state_->over) return;
      state_->over = true;
      if (state_->on_gone) state_->on_gone();
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
      bus_->Later(kHop, [copy, state = state_] {
        if (state->over) return;
        state->over = true;
        if (copy->GetTypeName() == state->result->GetTypeName()) {
          state->result->CopyFrom(*copy);
        }
        const DoneCallback done = state->done;
        done(PeerStatus::kOk);
      });
    }
    bool closed() const override { return state_->over; }
    void OnCallerDisconnected(std::function<void()> callback) override {
      state_->on_gone = std::move(callback);
    }

   private:
    FakeBus* const bus_;
    const std::shared_ptr<CallState> state_;
  };

  void EndCall(const std::shared_ptr<CallState>& call, PeerStatus status,
               Duration delay) {
    Later(delay, [call, status] {
      if (call->over) return;
      call->over = true;
      const DoneCallback done = call->done;
      done(status);
    });
  }

  void Later(Duration delay, const std::function<void()>& run) {
    auto holder = std::make_shared<TimerHandle>();
    *holder = loop_->After(delay, [run, holder] { run(); });
  }

  FakeLoop* const loop_;
  FakeNetwork* const network_;
  const uint16_t port_;
};

// What all daemons see of the fleet.
struct SharedFleet {
  std::vector<FleetMember> members;
  std::map<BackEndId, MemberId> owners;
  std::vector<std::function<void()>> observers;
  void Changed() {
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
    auto made = CatalogueSnapshot::Make(catalogue);
    REQUIRE(made);
    snapshot_ = *made;
    for (const auto& observer : observers_) observer();
  }

 private:
  std::shared_ptr<const CatalogueSnapshot> snapshot_ =
      CatalogueSnapshot::Empty();
  std::vector<std::function<void()>> observers_;
};

// The engines' side: load reports, and orders to cancel.
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
    call->timer = loop_->After(kHop, [this, port, handler] {
      if (down[port]) {
        handler->OnFailed(HttpFailure::kConnect, false);
        return;
      }
      handler->OnHead(200, {});
      handler->OnBody("{\"running\":0,\"waiting\":0,\"fence\":6,\"held\":[" +
                      held[port] + "]}");
      handler->OnDone();
    });
    return call;
  }

  struct Order {
    uint16_t port;
    std::string body;
    MonoTime at;
  };
  std::vector<Order> orders;
  std::map<uint16_t, std::string> held;  // JSON objects
  std::map<uint16_t, bool> down;

 private:
  class FakeHttpCall : public HttpCall {
   public:
    bool sent() const override { return true; }
    void Pause(bool /*pause*/) override {}
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

// Daemons m0, m1, ..., prefill engine p1 and decode engines d1, d2.
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
      drivers.push_back(std::make_unique<FleetReservationClient>(
          &loop, buses[i].get(), fleets[i].get(), &catalogue, &engines, &random,
          options));
    }
    loop.RunFor(seconds(2));
  }

  static MemberId Member(int i) { return MemberId("m" + std::to_string(i)); }

  // Reserves `pieces` from daemon i; the result lands in results[serial].
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
    return drivers[i]->Reserve(request,
                               [this, serial](ReservationResult result) {
                                 REQUIRE(results.count(serial) == 0);
                                 results[serial] = std::move(result);
                               });
  }

  bool Granted(int serial) const {
    const auto it = results.find(serial);
    return it != results.end() &&
           it->second.status == ReservationStatus::kGranted;
  }

  const EngineLedger* Book(int i, const char* engine) {
    return drivers[i]->ledger_server()->FindLedger(BackEndId(engine));
  }
  int64_t Used(int i, const char* engine) {
    const LedgerSummary summary = Book(i, engine)->Summary();
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
  std::vector<std::unique_ptr<FleetReservationClient>> drivers;
  std::map<int, ReservationResult> results;
};

TEST_CASE("a lone daemon grants from its own books, and frees them") {
  Deployment d(1);
  const auto pending = d.Reserve(0, 1, 3);
  d.loop.RunFor(milliseconds(100));
  REQUIRE(d.Granted(1));
  EngineReservation* place = d.results[1].reservation.get();
  CHECK(place->prefill_engine() == BackEndId("p1"));
  CHECK(place->pieces() == Pieces(3));
  CHECK(d.Used(0, "p1") == 1);
  CHECK(d.Used(0, "d1") + d.Used(0, "d2") == 3);
  place->ReleasePrefillEngine();
  d.loop.RunFor(milliseconds(100));
  CHECK(d.Used(0, "p1") == 0);
  d.results[1].reservation.reset();
  d.loop.RunFor(milliseconds(100));
  CHECK(d.Used(0, "d1") + d.Used(0, "d2") == 0);
  CHECK(d.drivers[0]->held_reservations() == 0);
  CHECK(d.network.calls.empty());
}

TEST_CASE("another daemon's reservation waits until there is room") {
  Deployment d(3);
  std::vector<std::unique_ptr<PendingReservation>> pending;
  pending.reserve(3);
  for (int i = 0; i < 3; ++i) pending.push_back(d.Reserve(1 + i % 2, i, 4));
  d.loop.RunFor(seconds(1));
  const int granted = d.Granted(0) + d.Granted(1) + d.Granted(2);
  CHECK(granted == 2);
  CHECK(d.results.size() == 2);
  d.results.begin()->second.reservation.reset();
  d.results.erase(std::next(d.results.begin()));
  d.loop.RunFor(seconds(1));
  CHECK((d.Granted(0) || d.Granted(1)) + d.Granted(2) >= 1);
  CHECK(d.Used(0, "d1") + d.Used(0, "d2") == 4);
}

TEST_CASE("a caller that gives up leaves nothing behind") {
  // At each millisecond of the exchange.
  for (int at = 0; at < 12; ++at) {
    Deployment d(2);
    auto pending = d.Reserve(1, 1, 4);
    d.loop.RunFor(milliseconds(at));
    pending.reset();
    d.results.clear();
    d.loop.RunFor(seconds(1));
    INFO("given up after ms " << at);
    CHECK(d.Used(0, "d1") + d.Used(0, "d2") + d.Used(0, "p1") == 0);
    CHECK(d.Book(0, "d1")->Summary().waiting == 0);
    CHECK(d.drivers[1]->held_reservations() == 0);
  }
}

TEST_CASE("no engine, and engines that failed the request before") {
  Deployment d(1);
  ReservationRequest request;
  request.request_id = RequestId("m0/1");
  request.model = ModelId("none");
  request.deadline = d.loop.Now() + seconds(9);
  const auto pending = d.drivers[0]->Reserve(
      request,
      [&](ReservationResult result) { d.results[1] = std::move(result); });
  d.loop.RunFor(seconds(1));
  CHECK(d.results[1].status == ReservationStatus::kNoEngine);
  request.model = ModelId("letter");
  request.excluded_engines = {BackEndId("d1")};
  const auto again = d.drivers[0]->Reserve(
      request,
      [&](ReservationResult result) { d.results[2] = std::move(result); });
  d.loop.RunFor(seconds(1));
  REQUIRE(d.Granted(2));
  CHECK(d.results[2].reservation->decode_engine() == BackEndId("d2"));
}

TEST_CASE("an engine that is down or draining gets nothing; what waits moves") {
  Deployment d(2);
  const auto a = d.Reserve(1, 1, 4);
  const auto b = d.Reserve(1, 2, 4);
  d.loop.RunFor(milliseconds(100));
  REQUIRE((d.Granted(1) && d.Granted(2)));
  const auto c = d.Reserve(1, 3, 4);
  d.loop.RunFor(milliseconds(100));
  // Drain the engine at which it waits, then make room at the other.
  const bool at_d1 = d.Book(0, "d1")->IsWaiting(RequestId("m1/3"));
  d.catalogue_message.mutable_back_ends(at_d1 ? 1 : 2)->set_draining(true);
  d.catalogue_message.set_version(2);
  d.catalogue.Set(d.catalogue_message);
  d.loop.RunFor(milliseconds(100));
  const BackEndId other(at_d1 ? "d2" : "d1");
  for (const int serial : {1, 2}) {
    if (d.results[serial].reservation->decode_engine() == other) {
      d.results[serial].reservation.reset();
    }
  }
  d.loop.RunFor(milliseconds(100));
  REQUIRE(d.Granted(3));
  CHECK(d.results[3].reservation->decode_engine() == other);
}

TEST_CASE("a new owner knows what is held before it grants") {
  Deployment d(3);
  const auto a = d.Reserve(1, 1, 4);
  const auto b = d.Reserve(2, 2, 4);
  d.loop.RunFor(milliseconds(100));
  REQUIRE((d.Granted(1) && d.Granted(2)));
  const auto c = d.Reserve(2, 3, 4);
  d.loop.RunFor(milliseconds(100));
  REQUIRE(d.results.count(3) == 0);
  // Daemon 0 dies: its books move to daemon 1.
  d.network.down[0] = true;
  d.shared.members.erase(d.shared.members.begin());
  for (auto& [engine, owner] : d.shared.owners) owner = Deployment::Member(1);
  d.shared.Changed();
  d.loop.RunFor(milliseconds(500));
  CHECK(d.Used(1, "d1") == 4);
  CHECK(d.Used(1, "d2") == 4);
  d.loop.RunFor(seconds(3));
  CHECK(d.results.count(3) == 0);
  // What waited at the dead owner waits at the new one.
  d.results[1].reservation.reset();
  d.results[2].reservation.reset();
  d.loop.RunFor(seconds(1));
  CHECK(d.Granted(3));
}

TEST_CASE("a dead holder's reservations are freed, its waiting ones dropped") {
  Deployment d(2);
  const auto a = d.Reserve(1, 1, 4);
  const auto b = d.Reserve(1, 2, 4);
  const auto c = d.Reserve(1, 3, 4);
  d.loop.RunFor(milliseconds(100));
  REQUIRE(d.Used(0, "d1") + d.Used(0, "d2") == 8);
  d.shared.members.pop_back();
  d.shared.Changed();
  CHECK(d.Used(0, "d1") + d.Used(0, "d2") == 0);
  CHECK(d.Book(0, "d1")->Summary().waiting == 0);
  CHECK(d.Book(0, "d2")->Summary().waiting == 0);
}

TEST_CASE("what an engine holds for nobody counts as held") {
  Deployment d(1);
  d.engines.held[kDecodePort] = "{\"request\":\"old/1\",\"pieces\":3}";
  d.loop.RunFor(seconds(3));
  CHECK(d.Used(0, "d1") == 3);
  d.engines.held[kDecodePort] = "";
  d.loop.RunFor(seconds(2));
  CHECK(d.Used(0, "d1") == 0);
}

TEST_CASE("long reservations are renewed, in few calls") {
  Deployment d(2);
  const auto a = d.Reserve(1, 1, 4, seconds(300));
  d.loop.RunFor(seconds(100));
  REQUIRE(d.Granted(1));
  CHECK(d.Used(0, "d1") + d.Used(0, "d2") == 4);
  CHECK(d.network.calls[kRenewMethod] <= 20);
}

TEST_CASE("an owner that is down is passed over, and found again") {
  Deployment d(2);
  d.shared.owners[BackEndId("d2")] = Deployment::Member(1);
  d.shared.owners[BackEndId("p1")] = Deployment::Member(1);
  d.shared.Changed();
  d.loop.RunFor(seconds(3));
  d.network.down[0] = true;
  for (int serial = 0; serial < 4; ++serial) {
    const auto pending = d.Reserve(1, serial, 1);
    d.loop.RunFor(seconds(1));
    REQUIRE(d.Granted(serial));
    CHECK(d.results[serial].reservation->decode_engine() == BackEndId("d2"));
  }
}

TEST_CASE("the sweeper cancels what an ended member left, after its term") {
  Deployment d(2);
  OrphanCanceller sweeper(&d.loop, d.fleets[0].get(), &d.catalogue, &d.engines,
                          d.drivers[0]->ledger_server(), seconds(3));
  d.engines.held[kDecodePort] = "{\"request\":\"m1/1\",\"pieces\":3}";
  d.engines.held[kDecodePort + 1] = "{\"request\":\"m1/2\",\"pieces\":3}";
  d.loop.RunFor(seconds(5));
  CHECK(d.engines.orders.empty());
  const MonoTime ended = d.loop.Now();
  d.shared.members.pop_back();
  d.shared.Changed();
  d.loop.RunFor(seconds(10));
  // d1 checks fencing: at once. d2 and p1 don't: after the old term.
  std::map<uint16_t, MonoTime> first;
  for (const auto& order : d.engines.orders) {
    CHECK(order.body.find("\"prefix\":\"m1/\"") != std::string::npos);
    CHECK(order.body.find("\"fence\":7") != std::string::npos);
    first.emplace(order.port, order.at);
  }
  REQUIRE(first.size() == 3);
  CHECK(first[kDecodePort] - ended < milliseconds(100));
  CHECK(first[kDecodePort + 1] - ended >= seconds(3));
  CHECK(first[kDecodePort + 1] - ended < seconds(5));
}

TEST_CASE("the sweeper leaves members alone, known and not yet known") {
  Deployment d(2);
  OrphanCanceller sweeper(&d.loop, d.fleets[0].get(), &d.catalogue, &d.engines,
                          d.drivers[0]->ledger_server(), seconds(3));
  d.engines.held[kDecodePort] = "{\"request\":\"m1/1\",\"pieces\":3}";
  d.loop.RunFor(seconds(60));
  CHECK(d.engines.orders.empty());
  // A member that this one has not heard of may have just joined; one that
  // stays unknown for long has ended before this daemon came.
  d.engines.held[kDecodePort] = "{\"request\":\"m9/1\",\"pieces\":3}";
  d.loop.RunFor(seconds(2));
  CHECK(d.engines.orders.empty());
  d.loop.RunFor(seconds(10));
  REQUIRE_FALSE(d.engines.orders.empty());
  CHECK(d.engines.orders.front().body.find("m9/") != std::string::npos);
}

}  // namespace
}  // namespace mimosa
