// The platform's client against a scripted platform and raw peers.
#include "router/kv_client.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/test_peer.h"

namespace mimosa {
namespace {

// Answers each request with the next reply of the script.
class ScriptedPlatform : public HttpHandler {
 public:
  explicit ScriptedPlatform(LwsLoop* loop) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    server_ = MakeHttpServer(loop, options, this);
  }

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    requests_.push_back(exchange->request());
    HttpResponse response;
    response.status = status_;
    response.body = body_;
    exchange->Respond(std::move(response));
  }

  void Reply(int status, std::string body) {
    status_ = status;
    body_ = std::move(body);
  }
  const HttpRequest& last() const { return requests_.back(); }
  Endpoint endpoint() const { return {"127.0.0.1", server_->port()}; }

 private:
  std::unique_ptr<HttpServer> server_;
  std::vector<HttpRequest> requests_;
  int status_ = 200;
  std::string body_;
};

struct Fixture {
  std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  std::unique_ptr<HttpClient> http = MakeHttpClient(loop.get());
  ScriptedPlatform platform{loop.get()};
  MetricsRegistry metrics;
  KvClient kv{http.get(), OptionsFor(platform.endpoint()), &metrics};

  static KvClientOptions OptionsFor(const Endpoint& endpoint) {
    KvClientOptions options;
    options.platform = endpoint;
    options.call_timeout = std::chrono::milliseconds(300);
    return options;
  }

  // Starts a call and runs the loop until its answer is there.
  template <typename Result, typename Start>
  Result Await(Start start) {
    std::optional<Result> got;
    const KvStore::CallPtr call =
        start([&](Result result) { got = std::move(result); });
    REQUIRE_FALSE(got.has_value());  // never from within the call
    REQUIRE(RunUntil(loop.get(), [&] { return got.has_value(); }));
    return *got;
  }

  KvResult Put(KvStore* store, Revision expect, const std::string& lease = "") {
    return Await<KvResult>([&](KvStore::Done done) {
      return store->Put("mimosa/members/r1#2", "value", expect, lease,
                        std::move(done));
    });
  }
};

TEST_CASE_METHOD(Fixture, "records are read and written by revision") {
  platform.Reply(200, R"({"key":"k","value":"v","revision":7})");
  const auto read = Await<KvResult>(
      [&](KvStore::Done done) { return kv.Get("a/b#1", std::move(done)); });
  CHECK(read.status == KvStatus::kOk);
  CHECK(read.record.value == "v");
  CHECK(read.record.revision == Revision(7));
  CHECK(platform.last().target == "/v1/kv/a/b%231");

  platform.Reply(200, R"({"revision":8})");
  const KvResult written = Put(&kv, Revision(7), "l 1");
  CHECK(written.status == KvStatus::kOk);
  CHECK(written.record.revision == Revision(8));
  CHECK(platform.last().method == "PUT");
  CHECK(platform.last().target ==
        "/v1/kv/mimosa/members/r1%232?expect=7&lease=l%201");
  CHECK(platform.last().body == "value");

  platform.Reply(409, R"({"key":"k","value":"theirs","revision":9})");
  const KvResult lost = Put(&kv, Revision(7));
  CHECK(lost.status == KvStatus::kConflict);
  CHECK(lost.record.value == "theirs");
  CHECK(lost.record.revision == Revision(9));
}

TEST_CASE_METHOD(Fixture, "what an answer's status means for a write") {
  const auto status_of = [&](int http, const std::string& body = "") {
    platform.Reply(http, body);
    return Put(&kv, Revision(1)).status;
  };
  CHECK(status_of(404) == KvStatus::kNotFound);
  CHECK(status_of(413) == KvStatus::kUnavailable);
  CHECK(status_of(429) == KvStatus::kUnavailable);
  CHECK(status_of(503) == KvStatus::kUnavailable);
  CHECK(status_of(500) == KvStatus::kNoReply);
  CHECK(status_of(502) == KvStatus::kNoReply);
  CHECK(status_of(200, "nonsense") == KvStatus::kNoReply);
  CHECK(status_of(200, R"({"revision":"8"})") == KvStatus::kNoReply);
  CHECK(status_of(409, "[]") == KvStatus::kNoReply);
  CHECK(metrics.Render().find("mimosa_platform_calls_total{kind=\"put\","
                              "result=\"no_reply\"} 2") != std::string::npos);
}

TEST_CASE_METHOD(Fixture, "lists, watches, leases and VMs") {
  platform.Reply(200, R"({"revision":5,"records":[{"key":"a/x","value":"1",)"
                      R"("revision":4}],"deleted":["a/y"]})");
  const auto watched = Await<KvListResult>([&](KvStore::ListDone done) {
    return kv.Watch("a/", Revision(3), std::chrono::seconds(2),
                    std::move(done));
  });
  CHECK(watched.status == KvStatus::kOk);
  CHECK(watched.revision == Revision(5));
  REQUIRE(watched.records.size() == 1);
  CHECK(watched.records[0].key == "a/x");
  CHECK(watched.deleted == std::vector<std::string>{"a/y"});
  CHECK(platform.last().target == "/v1/watch?prefix=a/&after=3&wait_ms=2000");
  platform.Reply(410, "");
  CHECK(Await<KvListResult>([&](KvStore::ListDone done) {
          return kv.List("a/", std::move(done));
        }).status == KvStatus::kCompacted);

  platform.Reply(200, R"({"lease":"l1"})");
  CHECK(Await<KvResult>([&](KvStore::Done done) {
          return kv.CreateLease(std::chrono::seconds(3), std::move(done));
        }).record.value == "l1");
  CHECK(platform.last().target == "/v1/lease?ttl_ms=3000");

  platform.Reply(200, R"({"vms":[{"address":"10.0.0.1","failure_domain":)"
                      R"("kochi","state":"leaving"},7]})");
  const auto vms = Await<VmListResult>(
      [&](KvStore::VmsDone done) { return kv.ListVms(std::move(done)); });
  REQUIRE(vms.vms.size() == 1);
  CHECK(vms.vms[0].leaving);
}

TEST_CASE_METHOD(Fixture, "nobody listens: certainly no effect") {
  RawListener closed;
  const Endpoint endpoint = closed.endpoint();
  closed.Close();
  KvClient lonely(http.get(), OptionsFor(endpoint), nullptr);
  CHECK(Put(&lonely, Revision(0)).status == KvStatus::kUnavailable);
}

TEST_CASE_METHOD(Fixture, "sent and unanswered: may have taken effect") {
  RawListener listener;
  KvClient silent(http.get(), OptionsFor(listener.endpoint()), nullptr);
  // Timeout.
  CHECK(Put(&silent, Revision(0)).status == KvStatus::kNoReply);
  // The connection closes after the request was read.
  std::optional<KvResult> got;
  const KvStore::CallPtr call = silent.Put("k", "v", Revision(0), "",
                                           [&](const KvResult& r) { got = r; });
  (void)listener.Accept();  // that of the first call
  std::unique_ptr<RawPeer> peer;
  REQUIRE(RunUntil(loop.get(), [&] {
    if (peer == nullptr) peer = listener.Accept();
    return peer != nullptr && !peer->received().empty();
  }));
  peer->Close();
  REQUIRE(RunUntil(loop.get(), [&] { return got.has_value(); }));
  CHECK(got->status == KvStatus::kNoReply);
}

TEST_CASE_METHOD(Fixture, "a dropped call is silent") {
  bool called = false;
  platform.Reply(200, R"({"revision":8})");
  KvStore::CallPtr call = kv.Get("k", [&](const KvResult&) { called = true; });
  call.reset();
  RunFor(loop.get(), std::chrono::milliseconds(50));
  CHECK_FALSE(called);
}

}  // namespace
}  // namespace mimosa
