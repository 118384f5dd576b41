// Tests which daemon may change the roles of engines, and what it sends to
// them: a RoleController with a scripted store and engines on loopback.
#include "serving/role_controller.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/json.h"
#include "net/datagram.h"
#include "net/test_peer.h"
#include "platform/request_codec.h"
#include "tests/serving_fakes.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kKey[] = "mimosa/roles";

// Records writes; the test acknowledges them.
class ScriptedStore : public testing::UnresponsiveStore {
 public:
  struct Write {
    std::string key;
    std::string value;
    Revision expect;
    DoneCallback done;
  };

  CallPtr Put(const std::string& key, std::string value, Revision expect,
              const std::string&, DoneCallback done) override {
    writes.push_back({key, std::move(value), expect, std::move(done)});
    return PendingCall();
  }

  std::deque<Write> writes;
};

// An engine that sends reports and accepts orders.
class FakeEngine : public HttpHandler {
 public:
  explicit FakeEngine(LwsLoop* loop) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    server_ = MakeHttpServer(loop, options, this);
  }
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    const HttpRequest& request = exchange->request();
    expected_instances.push_back(
        *request.headers.Find("Mimosarouter-Expect-Instance"));
    if (request.method == "GET") {
      ++report_requests;
      if (on_report) on_report(expected_instances.back());
      exchange->Respond({200, report_headers, report});
      return;
    }
    orders.push_back(*ParseJson(request.body));
    if (order_status == 0) {
      exchange->Abort();  // the response is lost
    } else {
      exchange->Respond({order_status, {}, ""});
    }
  }
  uint16_t port() const { return server_->port(); }

  std::string report = R"({"stage":"prefill","busy":false,"sequence":3})";
  HttpHeaders report_headers;
  // Called with the id of the engine that is asked for its report.
  std::function<void(const std::string& id)> on_report;
  int order_status = 202;
  int report_requests = 0;
  std::vector<Json::Value> orders;
  std::vector<std::string> expected_instances;

 private:
  std::unique_ptr<HttpServer> server_;
};

// Six idle prefill engines and two decode engines whose memory is full, all at
// one address.
struct RoleControllerFixture {
  RoleControllerFixture() {
    for (int i = 0; i < 8; ++i)
      ListEngine("e" + std::to_string(i),
                 i < 6 ? EngineRole::kPrefill : EngineRole::kDecode);
    SiteService service;
    service.id = ServiceId("llm");
    service.engine.emplace();
    service.engine->kv_memory = Tokens(36000);
    service.engine->role_switch_time = seconds(6);
    controller.SetServices({service});
    controller.OnEraBegun(StoreEra(1));
  }

  static RoleController::Options Options() {
    RoleController::Options options;
    options.record_key = kKey;
    options.evaluation_interval = milliseconds(10);
    options.propagation_delay = milliseconds(20);
    options.call_timeout = milliseconds(50);
    options.order_window = milliseconds(400);
    options.ack_timeout = milliseconds(200);
    options.takeover_delay = milliseconds(600);
    options.balancer.warm_up = milliseconds(20);
    options.balancer.cooldown = milliseconds(50);
    return options;
  }

  void ListEngine(const std::string& id, EngineRole role,
                  int64_t incarnation = 1) {
    BackEndEntry entry;
    entry.id = BackEndId(id);
    entry.service = ServiceId("llm");
    entry.ip = "127.0.0.1";
    entry.port = engine.port();
    entry.zone = FailureDomain("z");
    entry.role = role;
    entry.incarnation = incarnation;
    back_ends.Put(entry, loop->Now());
  }

  // Each evaluation observes ten more requests.
  std::optional<RoleController::FleetLoad> GetFleetLoad() {
    ++evaluations;
    if (!is_collector) return std::nullopt;
    RoleController::FleetLoad load;
    const double requests = 10.0 * evaluations;
    load.stage_sums[ServiceId("llm")] = {requests, 0.001 * requests, requests,
                                         100.0 * requests};
    return load;
  }

  void DeliverRecord(const std::string& holder, uint64_t boot, int64_t revision,
                     const std::string& engine_id) {
    wire::RoleMoves moves;
    moves.set_holder(holder);
    moves.set_boot(boot);
    wire::MovedEngine* const move = moves.add_moves();
    move->set_back_end(engine_id);
    move->set_incarnation(1);
    const KvRecord record{kKey, ToJson(moves), Revision(revision)};
    controller.OnRecord(&record);
  }
  // Acknowledges the oldest write and delivers the record, as the watch does.
  void AcknowledgeWrite(int64_t revision) {
    const ScriptedStore::Write write = store.writes.front();
    store.writes.pop_front();
    const KvRecord record{kKey, write.value, Revision(revision)};
    write.done({KvStatus::kOk, record, StoreEra(1)});
    controller.OnRecord(&record);
  }
  bool AwaitWrite() {
    return RunUntil(loop.get(), [&] { return !store.writes.empty(); });
  }
  // Waits until the controller has made `count` more evaluations.
  void AwaitEvaluations(int count) {
    const int until = evaluations + count;
    REQUIRE(RunUntil(loop.get(), [&] { return evaluations >= until; }));
  }
  const BackEndEntry* SelectEngine(EngineRole role,
                                   const std::set<BackEndId>& exclude) {
    SelectionQuery query;
    query.service = ServiceId("llm");
    query.role = role;
    query.exclude = &exclude;
    return selector.SelectBackEnd(query, loop->Now());
  }

  std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  std::unique_ptr<HttpClient> client = MakeHttpClient(loop.get());
  SeededRandom random{3};
  LineLog log{STDERR_FILENO, loop.get(), testing::DisabledLogOptions()};
  BackEndList back_ends;
  TrafficBoundaries boundaries;
  BackEndSelector selector{&back_ends, &random, BackEndSelector::Options{},
                           nullptr, &boundaries};
  PlatformRequestFormat format;
  ScriptedStore store;
  FakeEngine engine{loop.get()};
  int evaluations = 0;
  bool is_collector = true;
  RoleController controller{
      loop.get(), client.get(), &store,   &format,
      &back_ends, &selector,    &log,     [this] { return GetFleetLoad(); },
      "entry-1",  /*boot=*/7,   Options()};
};

TEST_CASE_METHOD(RoleControllerFixture,
                 "a role change is announced, then ordered") {
  controller.Start();
  REQUIRE(AwaitWrite());
  CHECK(store.writes[0].key == kKey);
  CHECK(store.writes[0].expect == Revision(0));
  CHECK(engine.report_requests == 0);
  AcknowledgeWrite(41);
  const size_t moves = controller.active_moves();
  CHECK(moves >= 1);
  REQUIRE(RunUntil(loop.get(), [&] { return engine.orders.size() >= moves; }));
  const Json::Value& order = engine.orders[0];
  CHECK(order["op"] == "stage");
  CHECK(order["stage"] == "decode");
  CHECK(order["holder"] == "entry-1");
  CHECK(order["fencing_token"] == 41);
  CHECK(order["expected"] == 3);
  CHECK(engine.expected_instances[0] == "e0");
  // No further role changes start while these are pending.
  AwaitEvaluations(20);
  CHECK(engine.orders.size() == moves);
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "a process that was paused sends no order after its window") {
  // A pause while the loop polls: on resumption the report in the socket is
  // read before any timer runs. The loop reads this datagram first.
  const auto pausing_socket = DatagramSocket::Open(
      loop.get(), {"127.0.0.1", 0}, [](const Endpoint&, std::string_view) {
        std::this_thread::sleep_for(Options().order_window + milliseconds(200));
      });
  RawListener raw_engine;
  for (int i = 0; i < 8; ++i) {
    BackEndEntry entry =
        back_ends.entries().at(BackEndId("e" + std::to_string(i))).entry;
    entry.port = raw_engine.port();
    back_ends.Put(entry, loop->Now());
  }
  controller.Start();
  REQUIRE(AwaitWrite());
  AcknowledgeWrite(41);
  std::unique_ptr<RawPeer> peer;
  REQUIRE(RunUntil(loop.get(), [&] {
    if (peer == nullptr) peer = raw_engine.Accept();
    return peer != nullptr && !peer->received().empty();
  }));
  REQUIRE(pausing_socket->Send({"127.0.0.1", pausing_socket->port()}, "x"));
  peer->Send("HTTP/1.1 200 OK\r\nContent-Length: " +
             std::to_string(engine.report.size()) + "\r\n\r\n" + engine.report);
  RunFor(loop.get(), Options().order_window + milliseconds(400));
  CHECK(controller.orders_sent() == 0);
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "no order without a timely acknowledgement") {
  controller.Start();
  REQUIRE(AwaitWrite());
  RunFor(loop.get(), Options().ack_timeout + milliseconds(20));
  AcknowledgeWrite(41);
  AwaitEvaluations(10);
  CHECK(engine.report_requests == 0);
  CHECK(engine.orders.empty());
}

TEST_CASE_METHOD(
    RoleControllerFixture,
    "after a lost response the engine is polled; the order isn't retried") {
  engine.order_status = 0;
  controller.Start();
  REQUIRE(AwaitWrite());
  AcknowledgeWrite(41);
  const size_t moves = controller.active_moves();
  REQUIRE(RunUntil(loop.get(), [&] { return engine.orders.size() >= moves; }));
  engine.report = R"({"stage":"prefill","busy":true,"sequence":4})";
  const int report_requests = engine.report_requests;
  REQUIRE(RunUntil(loop.get(), [&] {
    return engine.report_requests >= report_requests + static_cast<int>(moves);
  }));
  AwaitEvaluations(10);
  CHECK(engine.orders.size() == moves);
}

TEST_CASE_METHOD(RoleControllerFixture, "no order is sent after its window") {
  engine.order_status = 409;
  controller.Start();
  REQUIRE(AwaitWrite());
  AcknowledgeWrite(41);
  RunFor(loop.get(), Options().propagation_delay + Options().order_window);
  const size_t sent = engine.orders.size();
  CHECK(sent >= 2);
  RunFor(loop.get(), Options().call_timeout * 4);
  CHECK(engine.orders.size() == sent);
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "a rejected fencing token stops all orders with it") {
  engine.order_status = 412;
  controller.Start();
  REQUIRE(AwaitWrite());
  AcknowledgeWrite(41);
  const size_t moves = controller.active_moves();
  REQUIRE(RunUntil(loop.get(), [&] { return !engine.orders.empty(); }));
  AwaitEvaluations(30);
  CHECK(engine.orders.size() <= moves);
}

TEST_CASE_METHOD(
    RoleControllerFixture,
    "another daemon's role changes are left alone until the takeover delay") {
  DeliverRecord("entry-2", 1, 30, "gone");
  controller.Start();
  RunFor(loop.get(), Options().takeover_delay / 2);
  CHECK(store.writes.empty());
  REQUIRE(AwaitWrite());
  CHECK(store.writes[0].expect == Revision(30));
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "role changes of a previous start count as another daemon's") {
  DeliverRecord("entry-1", 6, 30, "gone");
  controller.Start();
  RunFor(loop.get(), Options().takeover_delay / 2);
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "only the load collector writes the record") {
  is_collector = false;
  controller.Start();
  AwaitEvaluations(30);
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(
    RoleControllerFixture,
    "after a lost race for the record there are no orders and no writes") {
  controller.Start();
  REQUIRE(AwaitWrite());
  const ScriptedStore::Write write = store.writes.front();
  store.writes.clear();
  DeliverRecord("entry-2", 1, 44, "e0");
  write.done({KvStatus::kConflict, {}});
  AwaitEvaluations(10);
  CHECK(engine.orders.empty());
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(
    RoleControllerFixture,
    "an engine whose role changes gets no requests until the change ends") {
  is_collector = false;
  controller.Start();
  for (int i = 1; i < 6; ++i) {
    BackEndEntry entry =
        back_ends.entries().at(BackEndId("e" + std::to_string(i))).entry;
    entry.draining = true;
    back_ends.Put(entry, loop->Now());
  }
  REQUIRE(SelectEngine(EngineRole::kPrefill, {}) != nullptr);
  DeliverRecord("entry-2", 1, 30, "e0");
  CHECK(SelectEngine(EngineRole::kPrefill, {}) == nullptr);
  SECTION("listed under the new role") {
    ListEngine("e0", EngineRole::kDecode);
    AwaitEvaluations(2);
    const std::set<BackEndId> others = {BackEndId("e6"), BackEndId("e7")};
    REQUIRE(SelectEngine(EngineRole::kDecode, others) != nullptr);
    CHECK(controller.active_moves() == 0);
  }
  SECTION("restarted before its role changed") {
    ListEngine("e0", EngineRole::kPrefill, /*incarnation=*/2);
    AwaitEvaluations(2);
    CHECK(SelectEngine(EngineRole::kPrefill, {}) != nullptr);
  }
  SECTION("the record was deleted") {
    controller.OnRecord(nullptr);
    CHECK(SelectEngine(EngineRole::kPrefill, {}) != nullptr);
  }
  SECTION("the record can't be read") {
    const KvRecord record{kKey, "\xff", Revision(31)};
    controller.OnRecord(&record);
    CHECK(SelectEngine(EngineRole::kPrefill, {}) != nullptr);
  }
}

// Guards against orders of two daemons in turns, after the store has lost the
// record of the one that still sends them.
TEST_CASE_METHOD(RoleControllerFixture,
                 "in a new era of the store the record isn't written at once") {
  controller.Start();
  REQUIRE(AwaitWrite());
  SECTION("nor are pending orders sent") {
    AcknowledgeWrite(41);
    controller.OnEraBegun(StoreEra(2));
    controller.OnRecord(nullptr);
    RunFor(loop.get(), Options().takeover_delay / 2);
    CHECK(engine.report_requests == 0);
    CHECK(store.writes.empty());
  }
  SECTION("nor by the daemon that the older copy names") {
    store.writes.front().done({KvStatus::kNoReply, {}, StoreEra(1)});
    store.writes.clear();
    controller.OnEraBegun(StoreEra(2));
    DeliverRecord("entry-1", 7, 30, "gone");
    RunFor(loop.get(), Options().takeover_delay / 2);
    CHECK(store.writes.empty());
  }
  CHECK(AwaitWrite());
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "no orders for a record of an era that isn't in force") {
  controller.Start();
  REQUIRE(AwaitWrite());
  store.writes.front().done(
      {KvStatus::kOk, {kKey, "{}", Revision(41)}, StoreEra(2)});
  RunFor(loop.get(), Options().propagation_delay * 4);
  CHECK(engine.report_requests == 0);
}

TEST_CASE_METHOD(RoleControllerFixture, "a leaving daemon sends no orders") {
  controller.Start();
  REQUIRE(AwaitWrite());
  controller.Stop();
  AcknowledgeWrite(41);
  RunFor(loop.get(), Options().propagation_delay * 4);
  CHECK(engine.report_requests == 0);
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "an engine that leaves, is gone or pauses gets no order") {
  const std::string change = GENERATE("drains", "says that it leaves",
                                      "is removed", "starts again", "pauses");
  CAPTURE(change);
  controller.Start();
  REQUIRE(AwaitWrite());
  std::vector<BackEndEntry> entries;
  for (const auto& [id, listed] : back_ends.entries())
    entries.push_back(listed.entry);
  AcknowledgeWrite(41);
  for (BackEndEntry& entry : entries) {
    if (change == "drains") {
      entry.draining = true;
      back_ends.Put(entry, loop->Now());
    } else if (change == "says that it leaves") {
      selector.RecordLeaving(entry);
    } else if (change == "is removed") {
      back_ends.Remove(entry.id, loop->Now());
    } else if (change == "starts again") {
      ++entry.incarnation;
      back_ends.Put(entry, loop->Now());
    } else {
      selector.OnCallStarted(entry, {});
      selector.RecordPause(entry, loop->Now() + seconds(5));
    }
  }
  RunFor(loop.get(), Options().propagation_delay + Options().order_window);
  CHECK(engine.report_requests == 0);
  CHECK(engine.orders.empty());
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "an engine isn't taken to leave since its former incarnation "
                 "did") {
  bool restarts = false;
  SECTION("it is listed as before when its report arrives") {}
  SECTION("it has restarted when the report arrives") { restarts = true; }
  engine.report_headers.Add("Server-Leaving", "1");
  engine.on_report = [&](const std::string& id) {
    if (restarts) ListEngine(id, EngineRole::kPrefill, 2);
  };
  controller.Start();
  REQUIRE(AwaitWrite());
  AcknowledgeWrite(41);
  REQUIRE(RunUntil(loop.get(), [&] { return selector.leaving_count() > 0; }));
  for (const std::string& id : engine.expected_instances) {
    BackEndEntry entry = back_ends.entries().at(BackEndId(id)).entry;
    CHECK(selector.IsLeaving(entry) != restarts);
    entry.incarnation = 1;
    CHECK(selector.IsLeaving(entry));
  }
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "an order waits for the end of a pause within its window") {
  controller.Start();
  REQUIRE(AwaitWrite());
  const MonoTime end_of_pause =
      loop->Now() + Options().propagation_delay + milliseconds(60);
  for (const auto& [id, listed] : back_ends.entries()) {
    selector.OnCallStarted(listed.entry, {});
    selector.RecordPause(listed.entry, end_of_pause);
  }
  AcknowledgeWrite(41);
  REQUIRE(RunUntil(loop.get(), [&] { return engine.report_requests > 0; }));
  CHECK(loop->Now() >= end_of_pause);
  CHECK(RunUntil(loop.get(), [&] { return !engine.orders.empty(); }));
}

TEST_CASE_METHOD(RoleControllerFixture,
                 "an evacuated engine is neither proposed nor ordered") {
  controller.Start();
  SECTION("evacuated before the proposal") {
    boundaries.SetEvacuated({FailureDomain("z")}, loop->Now());
    AwaitEvaluations(30);
    CHECK(store.writes.empty());
  }
  SECTION("evacuated between the announcement and the order") {
    REQUIRE(AwaitWrite());
    AcknowledgeWrite(41);
    boundaries.SetEvacuated({FailureDomain("z")}, loop->Now());
    RunFor(loop.get(), Options().propagation_delay + Options().order_window);
  }
  CHECK(engine.report_requests == 0);
  CHECK(engine.orders.empty());
}

}  // namespace
}  // namespace mimosa
