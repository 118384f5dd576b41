// Engines of several software versions may serve one service, and what two
// versions generate doesn't fit together. These tests check that a stream goes
// on only at the version that began it: within one response, and when a caller
// takes it up again.
#include <catch2/catch.hpp>
#include <string>

#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

// Decode engines e1 and e2 of version "v1", and f1 and f2 of "v2".
struct VersionFixture : RelayFixture {
  VersionFixture() {
    AddBackEnd("e1", "llm", EngineRole::kDecode, e1.back_end.port(), "v1");
    AddBackEnd("f1", "llm", EngineRole::kDecode, f1.back_end.port(), "v2");
    AddBackEnd("f2", "llm", EngineRole::kDecode, f2.back_end.port(), "v2");
    for (FakeEngine* engine : {&e1, &e2, &f1, &f2})
      engine->on_run = [this](const FakeBackEnd::Exchange& exchange) {
        Run(exchange);
      };
  }
  void AddSecondEngineOfV1() {
    AddBackEnd("e2", "llm", EngineRole::kDecode, e2.back_end.port(), "v1");
  }

  // Streams three events in all, or aborts after the first one.
  void Run(const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    const std::string* last = Header(exchange->request(), "Last-Event-Id");
    int id = last == nullptr ? 1 : std::stoi(*last) + 1;
    if (runs_to_abort > 0) {
      --runs_to_abort;
      exchange->Write(MakeEvent(id) + "id: 9");
      exchange->OnDrained([exchange] { exchange->Abort(); });
      return;
    }
    for (; id <= 3; ++id) exchange->Write(MakeEvent(id));
    exchange->Finish();
  }

  // Begins a stream at version "v1" and breaks it after the first event.
  // Returns the id of the request.
  std::string BeginAtV1() {
    f1.has_capacity = f2.has_capacity = false;
    runs_to_abort = 1;
    HttpRequest request = MakeRequest("/note/1");
    std::string id = *Header(request, "Mimosarouter-Request-Id");
    e2.has_capacity = false;
    const auto run = e1.on_run;
    e1.on_run = [this, run](const FakeBackEnd::Exchange& exchange) {
      e1.has_capacity = false;
      run(exchange);
    };
    request.headers.Set("Mimosarouter-Deadline-Ms", "400");
    const CallerResponse response = CallFrontend(request);
    CHECK_FALSE(response.ok);
    e1.on_run = run;
    for (FakeEngine* engine : {&e1, &e2, &f1, &f2}) engine->has_capacity = true;
    return id;
  }

  HttpRequest MakeResumption(const std::string& resumed) {
    HttpRequest request = MakeRequest("/note/1");
    request.headers.Set("Last-Event-Id", "1");
    if (!resumed.empty()) request.headers.Set("Resumes", resumed);
    return request;
  }

  int RunsOfV2() const { return f1.runs + f2.runs; }

  FakeEngine e1{loop.get()};
  FakeEngine e2{loop.get()};
  FakeEngine f1{loop.get()};
  FakeEngine f2{loop.get()};
  int runs_to_abort = 0;
};

TEST_CASE_METHOD(VersionFixture,
                 "a broken stream doesn't resume at another software version") {
  f1.has_capacity = f2.has_capacity = false;
  runs_to_abort = 1;
  const auto run = e1.on_run;
  e1.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    f1.has_capacity = f2.has_capacity = true;
    run(exchange);
  };
  CHECK_FALSE(CallFrontend("/note/1").ok);
  CHECK(RunsOfV2() == 0);
}

TEST_CASE_METHOD(VersionFixture,
                 "a broken stream resumes at an engine of its version") {
  AddSecondEngineOfV1();
  f1.has_capacity = f2.has_capacity = false;
  for (FakeEngine* engine : {&e1, &e2}) {
    const auto run = engine->on_run;
    engine->on_run = [this, run](const FakeBackEnd::Exchange& exchange) {
      f1.has_capacity = f2.has_capacity = true;
      run(exchange);
    };
  }
  runs_to_abort = 1;
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
  CHECK(e1.runs == 1);
  CHECK(e2.runs == 1);
  CHECK(RunsOfV2() == 0);
}

TEST_CASE_METHOD(
    VersionFixture,
    "a stream that a caller takes up goes on at the version that began it") {
  AddSecondEngineOfV1();
  const std::string id = BeginAtV1();
  for (int i = 0; i < 5; ++i) {
    const CallerResponse response = CallFrontend(MakeResumption(id));
    CHECK(response.ok);
    CHECK(response.body == MakeEvent(2) + MakeEvent(3));
    CHECK(RunsOfV2() == 0);
  }
}

TEST_CASE_METHOD(
    VersionFixture,
    "a stream whose version is gone is refused at once if taken up") {
  const std::string id = BeginAtV1();
  back_ends.Remove(BackEndId("e1"), loop->Now());
  const MonoTime start = loop->Now();
  const CallerResponse response = CallFrontend(MakeResumption(id));
  CHECK(response.status == 503);
  CHECK(loop->Now() - start < milliseconds(500));
  CHECK(RunsOfV2() == 0);
}

TEST_CASE_METHOD(
    VersionFixture,
    "with two versions, a stream of unknown origin is refused at once") {
  for (const char* resumed : {"", "unknown"}) {
    const MonoTime start = loop->Now();
    const CallerResponse response = CallFrontend(MakeResumption(resumed));
    CHECK(response.status == 503);
    CHECK(response.headers.Find("Retry-After") != nullptr);
    CHECK(loop->Now() - start < milliseconds(500));
  }
  CHECK(e1.runs + e2.runs + RunsOfV2() == 0);
}

TEST_CASE_METHOD(StreamFixture,
                 "a stream that a caller takes up stays at its service") {
  SplitNotes();
  FakeEngine other(loop.get());
  AddBackEnd("o", "llm2", EngineRole::kDecode, other.back_end.port());
  const auto run = [](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(2));
    exchange->Finish();
  };
  decode.on_run = other.on_run = run;
  for (int i = 0; i < 20; ++i) {
    const int runs_before = decode.runs;
    HttpRequest first = MakeRequest("/note/1");
    REQUIRE(CallFrontend(first).ok);
    const bool began_at_decode = decode.runs > runs_before;
    HttpRequest takeup = MakeRequest("/note/1");
    takeup.headers.Set("Last-Event-Id", "1");
    takeup.headers.Set("Resumes", *Header(first, "Mimosarouter-Request-Id"));
    const int decode_runs = decode.runs;
    REQUIRE(CallFrontend(takeup).ok);
    CHECK((decode.runs > decode_runs) == began_at_decode);
  }
  CHECK(decode.runs > 0);
  CHECK(other.runs > 0);
}

TEST_CASE_METHOD(StreamFixture,
                 "with one version, a stream of unknown origin goes on") {
  decode.on_run = [](const FakeBackEnd::Exchange& exchange) {
    CHECK(*Header(exchange->request(), "Last-Event-Id") == "1");
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(2) + MakeEvent(3));
    exchange->Finish();
  };
  for (const char* resumed : {"", "unknown"}) {
    HttpRequest request = MakeRequest("/note/1");
    request.headers.Set("Last-Event-Id", "1");
    request.headers.Set("Resumes", resumed);
    const CallerResponse response = CallFrontend(request);
    CHECK(response.ok);
    CHECK(response.body == MakeEvent(2) + MakeEvent(3));
  }
}

TEST_CASE_METHOD(StreamFixture,
                 "a stream near its end goes on with little time left") {
  decode.has_capacity = false;
  decode.on_run = [](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(991));
    exchange->Finish();
  };
  HttpRequest request = MakeRequest("/note/1");
  request.headers.Set("Mimosarouter-Token-Counts", "500,1000");
  request.headers.Set("Mimosarouter-Deadline-Ms", "1500");
  request.headers.Set("Last-Event-Id", "990");
  const TimerHandle timer =
      loop->After(milliseconds(100), [&] { decode.has_capacity = true; });
  CHECK(CallFrontend(request).body == MakeEvent(991));
  // A whole stream of that size would not end in time.
  decode.has_capacity = false;
  request.headers.Set("Last-Event-Id", "1");
  CHECK(CallFrontend(request).status == 503);
}

TEST_CASE_METHOD(VersionFixture,
                 "a prefill result isn't used by another software version") {
  FakeEngine prefill(loop.get());
  AddBackEnd("p", "llm", EngineRole::kPrefill, prefill.back_end.port(), "v2");
  f1.has_capacity = f2.has_capacity = false;
  CHECK(CallFrontend("/note/1").ok);
  CHECK(e1.runs == 1);
  CHECK(e1.back_end.CountRequestsWith("Mimosarouter-Kv-Source") == 0);
  e1.has_capacity = false;
  f1.has_capacity = true;
  CHECK(CallFrontend("/note/1").ok);
  CHECK(f1.runs == 1);
  CHECK(f1.back_end.CountRequestsWith("Mimosarouter-Kv-Source") == 1);
}

// An engine may read the number that an unreadable Last-Event-Id begins with.
TEST_CASE_METHOD(VersionFixture,
                 "a takeup with an unreadable Last-Event-Id reaches no engine "
                 "of another version") {
  const std::string id = BeginAtV1();
  for (const char* last : {"1x", "1 2", "1.0", "1,2", "1;"}) {
    for (int i = 0; i < 4; ++i) {
      HttpRequest request = MakeResumption(id);
      request.headers.Set("Last-Event-Id", last);
      CallFrontend(request);
    }
    INFO("Last-Event-Id: " << last);
    CHECK(RunsOfV2() == 0);
  }
}

// Engines that were started again under their ids, while their entries are
// still those of the processes before, at version "v1".
struct RestartedEngineFixture : VersionFixture {
  static void Restart(FakeEngine* engine) { ++engine->back_end.incarnation; }
  void ListAsRestarted(const char* id, const FakeEngine& engine,
                       EngineRole role = EngineRole::kDecode) {
    AddBackEnd(id, "llm", role, engine.back_end.port(), "v2",
               engine.back_end.incarnation);
  }
  // Has two of three events sent and the stream broken off, and no other engine
  // but `other` take it.
  void BreakAt(FakeEngine* engine, FakeEngine* other) {
    engine->on_run = [this, other](const FakeBackEnd::Exchange& exchange) {
      for (FakeEngine* each : {&e1, &e2, &f1, &f2})
        each->has_capacity = each == other;
      exchange->StartStream(200, MakeMarkers(exchange->request()));
      exchange->Write(MakeEvent(1));
      exchange->OnDrained([exchange] { exchange->Abort(); });
    };
  }
};

TEST_CASE_METHOD(RestartedEngineFixture,
                 "a restarted engine gets no stream before it is listed") {
  f1.has_capacity = f2.has_capacity = false;
  Restart(&e1);
  CHECK(CallFrontend("/note/1").status == 503);
  CHECK(e1.runs == 0);
  CHECK(counters.unlisted_incarnations > 0);
  CHECK_FALSE(log_file.ReadLines(&log, "unlisted_incarnation").empty());
  // Another engine serves meanwhile, without a retry.
  AddSecondEngineOfV1();
  CHECK(CallFrontend("/note/2").ok);
  CHECK(e2.runs == 1);
  CHECK(counters.retries == 0);
  e2.has_capacity = false;
  ListAsRestarted("e1", e1);
  CHECK(CallFrontend("/note/3").ok);
  CHECK(e1.runs == 1);
}

TEST_CASE_METHOD(RestartedEngineFixture,
                 "a broken stream doesn't go on at a restarted engine that is "
                 "listed at its version") {
  AddSecondEngineOfV1();
  BreakAt(&e1, &e2);
  e2.has_capacity = f1.has_capacity = f2.has_capacity = false;
  Restart(&e2);
  CHECK_FALSE(CallFrontend("/note/1").ok);
  CHECK(e1.runs == 1);
  CHECK(e2.runs == 0);
  CHECK(RunsOfV2() == 0);
}

TEST_CASE_METHOD(RestartedEngineFixture,
                 "a stream that a caller takes up doesn't go on at a restarted "
                 "engine that is listed at its version") {
  const std::string id = BeginAtV1();
  Restart(&e1);
  CHECK(CallFrontend(MakeResumption(id)).status == 503);
  CHECK(e1.runs == 1);
  CHECK(RunsOfV2() == 0);
}

TEST_CASE_METHOD(RestartedEngineFixture,
                 "a restarted prefill engine gets no prefill before it is "
                 "listed") {
  FakeEngine prefill(loop.get());
  AddBackEnd("p", "llm", EngineRole::kPrefill, prefill.back_end.port(), "v1");
  f1.has_capacity = f2.has_capacity = false;
  Restart(&prefill);
  CHECK(CallFrontend("/note/1").ok);
  CHECK(prefill.prefills == 0);
  CHECK(e1.back_end.CountRequestsWith("Mimosarouter-Kv-Source") == 0);
}

// Begins a stream at an engine whose statements don't arrive.
struct SilentEngineFixture : RestartedEngineFixture {
  SilentEngineFixture() {
    f1.has_capacity = f2.has_capacity = false;
    AddSecondEngineOfV1();
    e2.has_capacity = false;
    BreakAt(&e1, &e2);
    e1.back_end.states_itself = false;
    const auto serve = e1.back_end.script;
    e1.back_end.script = [serve](const FakeBackEnd::Exchange& exchange) {
      if (exchange->request().target == "/mimosarouter/report") return;
      serve(exchange);
    };
  }
};

TEST_CASE_METHOD(SilentEngineFixture,
                 "a stream of an engine that doesn't state its incarnation "
                 "goes on nowhere") {
  HttpRequest first = MakeRequest("/note/1");
  CHECK_FALSE(CallFrontend(first).ok);
  CHECK(counters.streams_of_unknown_version == 1);
  CHECK(e1.runs == 1);
  CHECK(e2.runs == 0);
  const CallerResponse takeup =
      CallFrontend(MakeResumption(*Header(first, "Mimosarouter-Request-Id")));
  CHECK(takeup.status == 503);
  CHECK(e1.runs + e2.runs + RunsOfV2() == 1);
}

TEST_CASE_METHOD(SilentEngineFixture,
                 "no stream goes on at an engine that doesn't state its "
                 "incarnation") {
  e1.has_capacity = false;
  e2.has_capacity = true;
  HttpRequest first = MakeRequest("/note/1");
  BreakAt(&e2, &e1);
  CHECK_FALSE(CallFrontend(first).ok);
  CHECK(e2.runs == 1);
  CHECK(e1.runs == 0);
  CHECK(CallFrontend(MakeResumption(*Header(first, "Mimosarouter-Request-Id")))
            .status == 503);
  CHECK(e1.runs == 0);
}

// Decode engines e, f and g, which serve weights of their own.
struct WeightsFixture : RelayFixture {
  WeightsFixture() {
    AddBackEnd("e", "llm", EngineRole::kDecode, e.back_end.port());
    AddBackEnd("f", "llm", EngineRole::kDecode, f.back_end.port());
    for (FakeEngine* engine : {&e, &f}) {
      engine->on_run = [this, engine](const FakeBackEnd::Exchange& exchange) {
        Run(engine, exchange);
      };
    }
  }

  // The first run breaks off behind its second event. An engine that doesn't
  // check versions generates with its own.
  void Run(FakeEngine* engine, const FakeBackEnd::Exchange& exchange) {
    const HttpRequest& request = exchange->request();
    const std::string* expected =
        Header(request, "Mimosarouter-Expect-Version");
    const std::string own = std::to_string(weights[engine]);
    if (checks_versions && expected != nullptr && *expected != own) {
      HttpResponse response;
      response.status = 421;
      exchange->Respond(std::move(response));
      return;
    }
    HttpHeaders headers = MakeMarkers(request);
    headers.Add("Mimosarouter-Weight-Versions", own);
    exchange->StartStream(200, headers);
    if (Header(request, "Last-Event-Id") != nullptr) {
      exchange->Write(MakeEvent(3));
      exchange->Finish();
      return;
    }
    CHECK(expected == nullptr);
    // Only the other engine has room from now on.
    for (FakeEngine* other : {&e, &f}) other->has_capacity = other != engine;
    weights[engine == &e ? &f : &e] = weights_of_other;
    exchange->Write(first_events);
    exchange->OnDrained([exchange] { exchange->Abort(); });
  }

  FakeEngine e{loop.get()};
  FakeEngine f{loop.get()};
  std::map<FakeEngine*, int> weights{{&e, 1}, {&f, 1}};
  int weights_of_other = 1;  // Once the first run has begun.
  bool checks_versions = true;
  std::string first_events = MakeEvent(1) + MakeEvent(2);
};

TEST_CASE_METHOD(WeightsFixture,
                 "a broken stream resumes at an engine with the same weights") {
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == first_events + MakeEvent(3));
}

TEST_CASE_METHOD(WeightsFixture,
                 "a broken stream doesn't resume at other weights") {
  weights_of_other = 2;
  checks_versions = GENERATE(true, false);
  CAPTURE(checks_versions);
  CHECK_FALSE(CallFrontend("/note/1").ok);
  CHECK(e.runs + f.runs >= 2);
  // An engine with other weights is none whose address is used again.
  for (const char* id : {"e", "f"})
    CHECK(selector.GetObservedState(BackEndId(id), loop->Now()).last_failure !=
          CallOutcome::kAddressReused);
}

TEST_CASE_METHOD(
    WeightsFixture,
    "weights that change within a run bind the stream from there") {
  first_events =
      MakeEvent(1) + "mimosarouter-weight-versions: 2\n" + MakeEvent(2);
  weights_of_other = GENERATE(1, 2);
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok == (weights_of_other == 2));
}

}  // namespace
}  // namespace mimosa::testing
