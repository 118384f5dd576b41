// Tests that no call is written to a back end that has left, pauses, restarted
// or changes its role since the call was decided on, and that what the request
// has elsewhere isn't lost by it.
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "serving/back_end_call.h"
#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

constexpr char kHandle[] = R"({"handle":"kv1","tokens":10,"version":1})";

// Records how a call ended.
class RecordingHandler : public BackEndCall::Handler {
 public:
  void OnResponseHead(BackEndCall*, int, const HttpHeaders&) override {}
  void OnResponseBody(BackEndCall*, std::string_view) override {}
  bool IsResponseTruncated(const BackEndCall&) const override { return false; }
  void OnResponseComplete(BackEndCall*) override { end = "complete"; }
  void OnCallFailed(BackEndCall*, CallFailure failure) override {
    end = CallFailureName(failure);
  }

  std::string end;
};

struct LateCallsFixture : RelayFixture {
  virtual ~LateCallsFixture() = default;
  const BackEndEntry& EntryOf(const std::string& id) const {
    return back_ends.entries().at(BackEndId(id)).entry;
  }
  void Drain(const std::string& id) {
    BackEndEntry entry = EntryOf(id);
    entry.draining = true;
    back_ends.Put(entry, loop->Now());
  }
  // Lets the back end become unavailable in one of several ways.
  void Apply(const std::string& change, const std::string& id) {
    BackEndEntry entry = EntryOf(id);
    if (change == "drains") {
      Drain(id);
    } else if (change == "says that it leaves") {
      selector.RecordLeaving(entry);
    } else if (change == "changes its role") {
      selector.SetRoleChanges({{entry.id, EngineRole::kPrefill}});
    } else if (change == "is removed") {
      back_ends.Remove(entry.id, loop->Now());
    } else if (change == "starts again") {
      ++entry.incarnation;
      back_ends.Put(entry, loop->Now());
      OnRestart(entry.id.value());
    } else if (change == "pauses") {
      selector.RecordPause(entry, loop->Now() + std::chrono::seconds(5));
    } else if (change == "is evacuated") {
      Evacuate({FailureDomain("z")});
    }
  }
  // The process of the server is another one now.
  virtual void OnRestart(const std::string& /*id*/) {}
  // Whether memory may be released at a back end after the change.
  static bool MayRelease(const std::string& change) {
    return change == "drains" || change == "says that it leaves" ||
           change == "changes its role" || change == "none";
  }
  void ReleaseReservation(const BackEndEntry& engine) {
    releaser.ReleaseReservation(engine, "hold1");
  }
};

// Two decode engines, of which one has granted a reservation, and a prefill
// engine that responds when the test says so.
struct ReservedFixture : LateCallsFixture {
  ReservedFixture() {
    AddBackEnd("p", "llm", EngineRole::kPrefill, prefill.back_end.port());
    AddBackEnd("d0", "llm", EngineRole::kDecode, decode[0].back_end.port());
    AddBackEnd("d1", "llm", EngineRole::kDecode, decode[1].back_end.port());
    prefill.on_prefill = [this](const FakeBackEnd::Exchange& exchange) {
      waiting = exchange;
    };
  }

  // Returns when the prefill is at work.
  void StartRequest(const std::string& target) {
    HttpCallOptions options;
    options.to = {"127.0.0.1", server->port()};
    call = Fetch(client.get(), options, MakeRequest(target),
                 [this](HttpResult http) { result = std::move(http); });
    REQUIRE(RunUntil(loop.get(), [&] { return waiting != nullptr; }));
    reserved = decode[0].back_end.requests.empty() ? 1 : 0;
    REQUIRE(Reserved().back_end.requests.size() == 1);
    REQUIRE(Other().back_end.requests.empty());
  }
  void EndPrefill() {
    waiting->Respond({200, {}, kHandle});
    REQUIRE(RunUntil(loop.get(), [&] { return result.has_value(); }));
    RunFor(loop.get(), milliseconds(30));
  }
  int CountReservations() const {
    int count = 0;
    for (const FakeEngine& engine : decode)
      for (const HttpRequest& request : engine.back_end.requests)
        if (request.target == "/mimosarouter/hold-take") ++count;
    return count;
  }
  FakeEngine& Reserved() { return decode[reserved]; }
  FakeEngine& Other() { return decode[1 - reserved]; }
  std::string ReservedId() const { return reserved == 0 ? "d0" : "d1"; }
  std::string OtherId() const { return reserved == 0 ? "d1" : "d0"; }

  void OnRestart(const std::string& id) override {
    if (id == "d0" || id == "d1") ++decode[id == "d1"].back_end.incarnation;
  }

  FakeEngine prefill{loop.get()};
  FakeEngine decode[2] = {FakeEngine(loop.get()), FakeEngine(loop.get())};
  FakeBackEnd::Exchange waiting;
  std::unique_ptr<HttpCall> call;
  std::optional<HttpResult> result;
  size_t reserved = 0;
  const std::string complete_stream =
      MakeEvent(1) + MakeEvent(2) + MakeEvent(3);
};

TEST_CASE_METHOD(ReservedFixture,
                 "a run doesn't go to a reserved engine that left during the "
                 "prefill, and takes the prefill to another") {
  const std::string target = GENERATE("/letter/1", "/note/1");
  const std::string change =
      GENERATE("drains", "says that it leaves", "changes its role",
               "is removed", "pauses");
  CAPTURE(target, change);
  StartRequest(target);
  Apply(change, ReservedId());
  EndPrefill();
  REQUIRE(result->ok);
  CHECK(result->response.status == 200);
  CHECK(result->response.body == complete_stream);
  CHECK(Reserved().runs == 0);
  CHECK(Reserved().CountDeletes("/mimosarouter/hold-drop/hold1") ==
        (MayRelease(change) ? 1 : 0));
  CHECK(Other().runs == 1);
  CHECK(Other().back_end.CountRequestsWith("Mimosarouter-Kv-Source") == 1);
  CHECK(Other().back_end.CountRequestsWith("Mimosarouter-Kv-Hold") == 1);
  CHECK(prefill.prefills == 1);
  CHECK(counters.prefills_unused == 0);
  CHECK(counters.retries == 0);
}

TEST_CASE_METHOD(ReservedFixture,
                 "a reservation doesn't outlive its engine's restart") {
  StartRequest("/letter/1");
  Apply("starts again", ReservedId());
  EndPrefill();
  CHECK(result->response.body == complete_stream);
  CHECK(CountReservations() == 2);
  CHECK(Reserved().runs + Other().runs == 1);
  CHECK(prefill.prefills == 1);
}

TEST_CASE_METHOD(ReservedFixture,
                 "an engine of the prefill's software version is preferred in "
                 "place of one that left") {
  FakeEngine newer(loop.get());
  StartRequest("/letter/1");
  // The engine of the newer version has less to do.
  AddBackEnd("d2", "llm", EngineRole::kDecode, newer.back_end.port(), "v2");
  for (int i = 0; i < 4; ++i)
    selector.OnCallStarted(EntryOf(OtherId()), {Tokens(100), Tokens(120)});
  Drain(ReservedId());
  EndPrefill();
  CHECK(result->response.body == complete_stream);
  CHECK(Other().runs == 1);
  CHECK(newer.back_end.requests.empty());
  CHECK(prefill.prefills == 1);
}

TEST_CASE_METHOD(ReservedFixture,
                 "a late request doesn't wait with its prefill result while an "
                 "engine has memory") {
  StartRequest("/letter/1");
  // Most memory of the other engine is in use.
  selector.OnCallStarted(EntryOf(OtherId()), {Tokens(20000), Tokens(25000)});
  RunFor(loop.get(), milliseconds(150));  // The target latency is over.
  Drain(ReservedId());
  EndPrefill();
  CHECK(result->response.body == complete_stream);
  CHECK(Other().runs == 1);
  CHECK(Other().back_end.CountRequestsWith("Mimosarouter-Kv-Source") == 1);
  CHECK(prefill.prefills == 1);
}

TEST_CASE_METHOD(ReservedFixture,
                 "a request whose last engine left is refused as not run") {
  StartRequest("/letter/1");
  Drain("d0");
  Drain("d1");
  EndPrefill();
  CHECK(result->response.status == 503);
  CHECK(decode[0].runs + decode[1].runs == 0);
  // The prefill result is released.
  CHECK(prefill.CountDeletes("/mimosarouter/kv-handle/kv1") == 1);
}

TEST_CASE_METHOD(ReservedFixture,
                 "a run doesn't name a reservation that has lapsed") {
  reservation_lifetime = milliseconds(100);
  SetConfig();
  StartRequest("/letter/1");
  RunFor(loop.get(), milliseconds(120));
  EndPrefill();
  CHECK(result->response.body == complete_stream);
  CHECK(decode[0].runs + decode[1].runs == 1);
  CHECK(CountReservations() == 2);
  CHECK(prefill.prefills == 1);
}

TEST_CASE_METHOD(LateCallsFixture,
                 "a call is withheld if its back end left while the call was "
                 "connecting") {
  const std::string kind = GENERATE("run", "internal");
  const std::string change =
      GENERATE("drains", "says that it leaves", "changes its role",
               "is removed", "starts again", "pauses", "is evacuated");
  CAPTURE(kind, change);
  FakeBackEnd desk(loop.get());
  desk.script = [](const FakeBackEnd::Exchange& exchange) {
    SendResponse(exchange, 200, "ok");
  };
  AddBackEnd("a", "desk", EngineRole::kNone, desk.port());
  RelayRequest request;
  request.runs = RunRights::Create(RetryPolicy::kAtMostOnce, 1);
  request.rights = CallRights::Create(&budget, ServiceId("desk"));
  auto right = request.rights->Acquire(loop->Now());
  REQUIRE(right);
  RecordingHandler handler;
  BackEndCall call(deps, EntryOf("a"), WorkSize{}, RequestId("r1"), &handler);
  BackEndCall::Options options;
  options.request = &request;
  options.head_timeout = options.idle_timeout = milliseconds(500);
  if (kind == "run") {
    options.runs = request.runs;
  } else {
    options.internal_call = true;
  }
  HttpRequest http = MakeRequest("/book/1");
  call.Start(std::move(http), options, *std::move(right));
  Apply(change, "a");
  REQUIRE(RunUntil(loop.get(), [&] { return !handler.end.empty(); }));
  RunFor(loop.get(), milliseconds(30));
  CHECK(handler.end == "withheld");
  CHECK(desk.requests.empty());
  CHECK_FALSE(request.runs->may_have_run());
  CHECK(request.rights->has_free_call());
  // The back end isn't at fault.
  CHECK(selector.GetObservedState(BackEndId("a"), loop->Now()).failures == 0);
}

TEST_CASE_METHOD(LateCallsFixture,
                 "a plain request whose server left while it was connecting "
                 "goes to another server") {
  FakeBackEnd desk[2] = {FakeBackEnd(loop.get()), FakeBackEnd(loop.get())};
  for (FakeBackEnd& server : desk)
    server.script = [](const FakeBackEnd::Exchange& exchange) {
      SendResponse(exchange, 200, "ok");
    };
  AddBackEnd("a", "desk", EngineRole::kNone, desk[0].port());
  std::optional<HttpResult> result;
  HttpCallOptions options;
  options.to = {"127.0.0.1", server->port()};
  const auto call = Fetch(client.get(), options, MakeRequest("/book/1"),
                          [&](HttpResult http) { result = std::move(http); });
  const bool has_another = GENERATE(true, false);
  std::function<void()> drain_once_called = [&] {
    if (selector.GetObservedState(BackEndId("a"), loop->Now()).open_calls > 0) {
      Drain("a");
      if (has_another)
        AddBackEnd("b", "desk", EngineRole::kNone, desk[1].port());
    } else {
      loop->Post(drain_once_called);
    }
  };
  drain_once_called();
  REQUIRE(RunUntil(loop.get(), [&] { return result.has_value(); }));
  if (has_another) {
    CHECK(result->response.body == "ok");
    CHECK(desk[1].requests.size() == 1);
  } else {
    // Refused as not run.
    CHECK(result->response.status == 503);
    CHECK(result->response.headers.Find("Retry-After") != nullptr);
  }
  CHECK(desk[0].requests.empty());
}

TEST_CASE_METHOD(LateCallsFixture,
                 "memory isn't released at engines that must not be called") {
  FakeEngine engine(loop.get());
  AddBackEnd("d", "llm", EngineRole::kDecode, engine.back_end.port());
  const BackEndEntry entry = EntryOf("d");
  const std::string change =
      GENERATE("none", "drains", "says that it leaves", "changes its role",
               "is removed", "starts again", "pauses", "is evacuated");
  CAPTURE(change);
  selector.OnCallStarted(entry, {});
  Apply(change, "d");
  ReleaseReservation(entry);
  RunFor(loop.get(), milliseconds(50));
  CHECK(engine.CountDeletes("/mimosarouter/hold-drop/hold1") ==
        (MayRelease(change) ? 1 : 0));
}

TEST_CASE_METHOD(LateCallsFixture,
                 "a release of memory is withheld if the engine asked for a "
                 "pause while it was connecting") {
  FakeEngine engine(loop.get());
  AddBackEnd("d", "llm", EngineRole::kDecode, engine.back_end.port());
  selector.OnCallStarted(EntryOf("d"), {});
  ReleaseReservation(EntryOf("d"));
  Apply("pauses", "d");
  RunFor(loop.get(), milliseconds(50));
  CHECK(engine.back_end.requests.empty());
}

}  // namespace
}  // namespace mimosa::testing
