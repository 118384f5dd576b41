// Who may move engines to other roles, and what is sent to them: the keeper
// over a scripted store and engines on loopback.
#include "serving/role_controller.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "net/test_peer.h"
#include "platform/request_codec.h"
#include "tests/serving_fakes.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kKey[] = "mimosa/roles";

// Remembers writes; a test acknowledges them.
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

// An engine that reports and takes orders.
class OrderedEngine : public HttpHandler {
 public:
  explicit OrderedEngine(LwsLoop* loop) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    server_ = MakeHttpServer(loop, options, this);
  }
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    const HttpRequest& request = exchange->request();
    expected.push_back(*request.headers.Find("Mimosarouter-Expect-Instance"));
    if (request.method == "GET") {
      ++reports;
      exchange->Respond({200, {}, report});
      return;
    }
    orders.push_back(*ParseJson(request.body));
    if (order_status == 0) {
      exchange->Abort();  // the answer is lost
    } else {
      exchange->Respond({order_status, {}, ""});
    }
  }
  uint16_t port() const { return server_->port(); }

  std::string report = R"({"stage":"prefill","busy":false,"sequence":3})";
  int order_status = 202;
  int reports = 0;
  std::vector<Json::Value> orders;
  std::vector<std::string> expected;

 private:
  std::unique_ptr<HttpServer> server_;
};

// Six prefill engines with nothing to do and two decode engines, whose memory
// is full; all at one address.
struct KeeperFixture {
  KeeperFixture() {
    for (int i = 0; i < 8; ++i)
      List("e" + std::to_string(i),
           i < 6 ? EngineRole::kPrefill : EngineRole::kDecode);
    SiteService service;
    service.id = ServiceId("llm");
    service.engine.emplace();
    service.engine->kv_memory = Tokens(36000);
    service.engine->role_switch_time = seconds(6);
    keeper.SetServices({service});
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

  void List(const std::string& id, EngineRole role, int64_t incarnation = 1) {
    BackEndEntry entry;
    entry.id = BackEndId(id);
    entry.service = ServiceId("llm");
    entry.ip = "127.0.0.1";
    entry.port = engine.port();
    entry.role = role;
    entry.incarnation = incarnation;
    list.Put(entry, loop->Now());
  }

  // Each look sees ten more requests.
  std::optional<RoleController::FleetLoad> Work() {
    ++looks;
    if (!collects) return std::nullopt;
    RoleController::FleetLoad work;
    const double requests = 10.0 * looks;
    work.stage_sums[ServiceId("llm")] = {requests, 0.001 * requests, requests,
                                         100.0 * requests};
    return work;
  }

  void Record(const std::string& holder, uint64_t boot, int64_t revision,
              const std::string& moved) {
    wire::RoleMoves moves;
    moves.set_holder(holder);
    moves.set_boot(boot);
    wire::MovedEngine* const move = moves.add_moves();
    move->set_back_end(moved);
    move->set_incarnation(1);
    const KvRecord record{kKey, ToJson(moves), Revision(revision)};
    keeper.OnRecord(&record);
  }
  // Answers the oldest write and delivers the record, as the watch does.
  void Acknowledge(int64_t revision) {
    const ScriptedStore::Write write = store.writes.front();
    store.writes.pop_front();
    const KvRecord record{kKey, write.value, Revision(revision)};
    write.done({KvStatus::kOk, record});
    keeper.OnRecord(&record);
  }
  bool AwaitWrite() {
    return RunUntil(loop.get(), [&] { return !store.writes.empty(); });
  }
  // Lets the keeper look so often.
  void Looks(int count) {
    const int until = looks + count;
    REQUIRE(RunUntil(loop.get(), [&] { return looks >= until; }));
  }
  const BackEndEntry* Choose(EngineRole role,
                             const std::set<BackEndId>& exclude) {
    SelectionQuery query;
    query.service = ServiceId("llm");
    query.role = role;
    query.exclude = &exclude;
    return choice.SelectBackEnd(query, loop->Now());
  }

  std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  std::unique_ptr<HttpClient> client = MakeHttpClient(loop.get());
  SeededRandom random{3};
  LineLog log{STDERR_FILENO, loop.get(), testing::DisabledLogOptions()};
  BackEndList list;
  BackEndSelector choice{&list, &random, BackEndSelector::Options{}};
  PlatformRequestFormat format;
  ScriptedStore store;
  OrderedEngine engine{loop.get()};
  int looks = 0;
  bool collects = true;
  RoleController keeper{
      loop.get(), client.get(), &store,   &format,
      &list,      &choice,      &log,     [this] { return Work(); },
      "entry-1",  /*boot=*/7,   Options()};
};

TEST_CASE_METHOD(KeeperFixture, "a move is announced, then ordered") {
  keeper.Start();
  REQUIRE(AwaitWrite());
  CHECK(store.writes[0].key == kKey);
  CHECK(store.writes[0].expect == Revision(0));
  CHECK(engine.reports == 0);
  Acknowledge(41);
  const size_t moves = keeper.active_moves();
  CHECK(moves >= 1);
  REQUIRE(RunUntil(loop.get(), [&] { return engine.orders.size() >= moves; }));
  const Json::Value& order = engine.orders[0];
  CHECK(order["op"] == "stage");
  CHECK(order["stage"] == "decode");
  CHECK(order["holder"] == "entry-1");
  CHECK(order["fencing_token"] == 41);
  CHECK(order["expected"] == 3);
  CHECK(engine.expected[0] == "e0");
  // No more of them while these are under way.
  Looks(20);
  CHECK(engine.orders.size() == moves);
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(KeeperFixture, "no order without a timely acknowledgement") {
  keeper.Start();
  REQUIRE(AwaitWrite());
  RunFor(loop.get(), Options().ack_timeout + milliseconds(20));
  Acknowledge(41);
  Looks(10);
  CHECK(engine.reports == 0);
  CHECK(engine.orders.empty());
}

TEST_CASE_METHOD(KeeperFixture, "a lost answer is asked after, not repeated") {
  engine.order_status = 0;
  keeper.Start();
  REQUIRE(AwaitWrite());
  Acknowledge(41);
  const size_t moves = keeper.active_moves();
  REQUIRE(RunUntil(loop.get(), [&] { return engine.orders.size() >= moves; }));
  engine.report = R"({"stage":"prefill","busy":true,"sequence":4})";
  const int reports = engine.reports;
  REQUIRE(RunUntil(loop.get(), [&] {
    return engine.reports >= reports + static_cast<int>(moves);
  }));
  Looks(10);
  CHECK(engine.orders.size() == moves);
}

TEST_CASE_METHOD(KeeperFixture, "orders end with their window") {
  engine.order_status = 409;
  keeper.Start();
  REQUIRE(AwaitWrite());
  Acknowledge(41);
  RunFor(loop.get(), Options().propagation_delay + Options().order_window);
  const size_t sent = engine.orders.size();
  CHECK(sent >= 2);
  RunFor(loop.get(), Options().call_timeout * 4);
  CHECK(engine.orders.size() == sent);
}

TEST_CASE_METHOD(KeeperFixture, "a refused fence ends all orders of it") {
  engine.order_status = 412;
  keeper.Start();
  REQUIRE(AwaitWrite());
  Acknowledge(41);
  const size_t moves = keeper.active_moves();
  REQUIRE(RunUntil(loop.get(), [&] { return !engine.orders.empty(); }));
  Looks(30);
  CHECK(engine.orders.size() <= moves);
}

TEST_CASE_METHOD(KeeperFixture, "another daemon's moves are left alone") {
  Record("entry-2", 1, 30, "gone");
  keeper.Start();
  RunFor(loop.get(), Options().takeover_delay / 2);
  CHECK(store.writes.empty());
  REQUIRE(AwaitWrite());
  CHECK(store.writes[0].expect == Revision(30));
}

TEST_CASE_METHOD(KeeperFixture, "a former start's moves are another's") {
  Record("entry-1", 6, 30, "gone");
  keeper.Start();
  RunFor(loop.get(), Options().takeover_delay / 2);
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(KeeperFixture, "only who adds up the load writes") {
  collects = false;
  keeper.Start();
  Looks(30);
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(KeeperFixture, "a race for the record is lost quietly") {
  keeper.Start();
  REQUIRE(AwaitWrite());
  const ScriptedStore::Write write = store.writes.front();
  store.writes.clear();
  Record("entry-2", 1, 44, "e0");
  write.done({KvStatus::kConflict, {}});
  Looks(10);
  CHECK(engine.orders.empty());
  CHECK(store.writes.empty());
}

TEST_CASE_METHOD(KeeperFixture, "who moves takes nothing until it is there") {
  collects = false;
  keeper.Start();
  for (int i = 1; i < 6; ++i) {
    BackEndEntry entry =
        list.entries().at(BackEndId("e" + std::to_string(i))).entry;
    entry.draining = true;
    list.Put(entry, loop->Now());
  }
  REQUIRE(Choose(EngineRole::kPrefill, {}) != nullptr);
  Record("entry-2", 1, 30, "e0");
  CHECK(Choose(EngineRole::kPrefill, {}) == nullptr);
  SECTION("listed under the new role") {
    List("e0", EngineRole::kDecode);
    Looks(2);
    const std::set<BackEndId> others = {BackEndId("e6"), BackEndId("e7")};
    REQUIRE(Choose(EngineRole::kDecode, others) != nullptr);
    CHECK(keeper.active_moves() == 0);
  }
  SECTION("started anew before it moved") {
    List("e0", EngineRole::kPrefill, /*incarnation=*/2);
    Looks(2);
    CHECK(Choose(EngineRole::kPrefill, {}) != nullptr);
  }
  SECTION("the record is gone") {
    keeper.OnRecord(nullptr);
    CHECK(Choose(EngineRole::kPrefill, {}) != nullptr);
  }
  SECTION("the record can't be read") {
    const KvRecord record{kKey, "\xff", Revision(31)};
    keeper.OnRecord(&record);
    CHECK(Choose(EngineRole::kPrefill, {}) != nullptr);
  }
}

TEST_CASE_METHOD(KeeperFixture, "a leaving daemon sends no orders") {
  keeper.Start();
  REQUIRE(AwaitWrite());
  keeper.Stop();
  Acknowledge(41);
  RunFor(loop.get(), Options().propagation_delay * 4);
  CHECK(engine.reports == 0);
}

}  // namespace
}  // namespace mimosa
