// A fixture for tests of the relays over real connections on loopback: one
// event loop runs the frontend, its callers and scripted backend servers.
#ifndef TESTS_RELAY_FIXTURE_H_
#define TESTS_RELAY_FIXTURE_H_

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "net/test_peer.h"
#include "platform/request_codec.h"
#include "serving/crash_exchange.h"
#include "serving/entry_frontend.h"
#include "serving/member_list.h"
#include "serving/permit_exchange.h"
#include "serving/stream_origin_exchange.h"
#include "serving/stream_origin_journal.h"
#include "serving/version_registry.h"
#include "tests/serving_fakes.h"
#include "wire/usage.pb.h"

namespace mimosa::testing {

using std::chrono::milliseconds;

// A backend server whose responses are scripted by the test.
// Returns the report of an engine of that incarnation; AddBackEnd() registers
// the first one.
inline std::string MakeReport(int64_t incarnation) {
  return R"({"stage":"decode","busy":false,"sequence":0,"born":)" +
         std::to_string(incarnation) + "}";
}

class FakeBackEnd : public HttpHandler {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;
  using Script = std::function<void(const Exchange&)>;

  explicit FakeBackEnd(LwsLoop* loop) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    server_ = MakeHttpServer(loop, options, this);
  }
  void OnRequest(Exchange exchange) override {
    if (states_itself && exchange->request().target == "/mimosarouter/report") {
      ++reports;
      exchange->Respond({200, {}, MakeReport(incarnation)});
      return;
    }
    requests.push_back(exchange->request());
    exchanges.push_back(exchange);
    exchange->OnClientDisconnected([this] { ++client_disconnects; });
    script(exchange);
  }
  uint16_t port() const { return server_->port(); }
  int CountRequestsWith(const std::string& header) const {
    int count = 0;
    for (const HttpRequest& request : requests)
      count += request.headers.Find(header) != nullptr ? 1 : 0;
    return count;
  }

  Script script = [](const Exchange&) {};  // never responds
  // Whether it responds to requests for its report; else the script does.
  bool states_itself = true;
  int64_t incarnation = 1;
  int reports = 0;
  std::vector<HttpRequest> requests;
  std::vector<Exchange> exchanges;
  int client_disconnects = 0;

 private:
  std::unique_ptr<HttpServer> server_;
};

inline const std::string* Header(const HttpRequest& request, const char* name) {
  return request.headers.Find(name);
}

inline HttpHeaders MakeMarkers(const HttpRequest& request) {
  HttpHeaders headers;
  headers.Add("Mimosarouter-Request-Id",
              *Header(request, "Mimosarouter-Request-Id"));
  headers.Add("Mimosarouter-Response-Seal", "seal");
  return headers;
}

inline void SendResponse(const FakeBackEnd::Exchange& exchange, int status,
                         const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers = MakeMarkers(exchange->request());
  response.body = body;
  exchange->Respond(std::move(response));
}

inline void SendNotExecuted(const FakeBackEnd::Exchange& exchange) {
  HttpResponse response;
  response.status = 503;
  response.headers.Add("Mimosarouter-Not-Executed", "1");
  exchange->Respond(std::move(response));
}

inline std::string MakeEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) +
         "\n\n";
}

// An engine of the platform: it grants reservations, responds to prefills and
// streams runs of three events.
struct FakeEngine {
  explicit FakeEngine(LwsLoop* loop) : back_end(loop) {
    back_end.script = [this](const FakeBackEnd::Exchange& exchange) {
      Serve(exchange);
    };
  }
  void Serve(const FakeBackEnd::Exchange& exchange) {
    const HttpRequest& request = exchange->request();
    if (request.target == "/mimosarouter/hold-take") {
      HttpResponse response;
      response.status = has_capacity ? 200 : 503;
      response.body = R"({"hold":"hold1"})";
      exchange->Respond(std::move(response));
    } else if (request.method == "DELETE") {
      exchange->Respond({200, {}, ""});
    } else if (Header(request, "Mimosarouter-Serving-Stage") != nullptr) {
      ++prefills;
      on_prefill(exchange);
    } else {
      ++runs;
      on_run(exchange);
    }
  }
  int CountDeletes(const std::string& path) const {
    int count = 0;
    for (const HttpRequest& request : back_end.requests)
      count += request.method == "DELETE" && request.target == path ? 1 : 0;
    return count;
  }

  FakeBackEnd back_end;
  bool has_capacity = true;
  int prefills = 0;
  int runs = 0;
  FakeBackEnd::Script on_prefill = [](const FakeBackEnd::Exchange& exchange) {
    exchange->Respond({200, {}, R"({"handle":"kv1","tokens":10,"version":1})"});
  };
  FakeBackEnd::Script on_run = [](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    for (int id = 1; id <= 3; ++id) exchange->Write(MakeEvent(id));
    exchange->Finish();
  };
};

struct CallerResponse {
  bool ok = false;
  int status = 0;
  std::string body;
  HttpHeaders headers;
};

// A temporary file that a test's log is written to.
class LogFile {
 public:
  LogFile() : file_(std::tmpfile()) { REQUIRE(file_ != nullptr); }
  ~LogFile() { std::fclose(file_); }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  int fd() const { return fileno(file_); }
  static LineLog::Options LogOptions() {
    LineLog::Options options;
    options.burst = 1000;
    return options;
  }
  // Returns the lines of `event`.
  std::vector<std::string> ReadLines(LineLog* log,
                                     const std::string& event) const {
    log->Flush();
    std::string text(1U << 20, '\0');
    const ssize_t size = pread(fd(), text.data(), text.size(), 0);
    REQUIRE(size >= 0);
    std::istringstream stream(text.substr(0, static_cast<size_t>(size)));
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);)
      if (line.find("\"event\":\"" + event + "\"") != std::string::npos)
        lines.push_back(line);
    return lines;
  }

 private:
  std::FILE* const file_;
};

struct RelayFixture {
  explicit RelayFixture(BufferMonitor::Options buffers_in = {})
      : buffer_options(buffers_in) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.body_budget = &buffers;
    frontend = std::make_unique<EntryFrontend>(&deps, &rate_limiter,
                                               [this] { return config; });
    server = MakeHttpServer(loop.get(), options, frontend.get());
    SetConfig();
  }

  void SetConfig() {
    const auto route = [this](const char* prefix, RetryPolicy retry_policy,
                              const char* service, int attempts) {
      SiteRoute site_route;
      site_route.id = RouteId(prefix);
      site_route.host = "h";
      site_route.prefix = prefix;
      site_route.retry_policy = retry_policy;
      site_route.timeout = route_timeout;
      site_route.first_event_timeout = first_event_timeout;
      site_route.target_latency = milliseconds(100);
      site_route.target_event_gap = milliseconds(100);
      site_route.max_attempts = attempts;
      site_route.traffic_split = {{ServiceId(service), 1}};
      site_route.allowed_regions = route_regions;
      if (splits_notes && site_route.prefix == "/note/")
        site_route.traffic_split.push_back({ServiceId("llm2"), 1});
      return site_route;
    };
    SiteService desk;
    desk.id = ServiceId("desk");
    SiteService llm;
    llm.id = ServiceId("llm");
    llm.engine = EngineSpec{};
    llm.engine->kv_memory = Tokens(36000);
    llm.engine->kv_handle_lifetime = milliseconds(500);
    llm.engine->reservation_lifetime = reservation_lifetime;
    SiteService llm2 = llm;
    llm2.id = ServiceId("llm2");
    SiteCustomer customer;
    customer.id = CustomerId("c");
    customer.keys = {"k"};
    customer.rate_per_second = rate;
    customer.burst = rate;
    customer.allowed_regions = customer_regions;
    config = std::make_shared<SiteConfig>(
        1,
        std::vector<SiteRoute>{
            route("/book/", RetryPolicy::kAtMostOnce, "desk", 1),
            route("/look/", RetryPolicy::kIdempotent, "desk", 2),
            route("/letter/", RetryPolicy::kStream, "llm", 1),
            route("/note/", RetryPolicy::kResumableStream, "llm", 2)},
        std::vector<SiteService>{desk, llm, llm2},
        std::vector<SiteCustomer>{customer}, CallerLimits{});
    rate_limiter.SetCustomers(config->customers(), loop->Now());
  }

  void SetTimeouts(Duration timeout) {
    route_timeout = timeout;
    SetConfig();
  }

  // Half of the requests under /note/ go to the engines of "llm2" from now on.
  void SplitNotes() {
    splits_notes = true;
    SetConfig();
  }

  // Only these failure domains are evacuated from now on.
  void Evacuate(const std::set<FailureDomain>& domains) {
    boundaries.SetEvacuated(domains, loop->Now());
  }

  // Lists a back end of which the fleet's record names the version, so that
  // streams may begin at it.
  void AddBackEnd(const std::string& id, const char* service, EngineRole role,
                  uint16_t port, const std::string& version = "v1",
                  int64_t incarnation = 1, const char* domain = "z") {
    ListBackEnd(id, service, role, port, version, incarnation, domain);
    if (role != EngineRole::kNone) RecordVersion(service, version);
  }
  void ListBackEnd(const std::string& id, const char* service, EngineRole role,
                   uint16_t port, const std::string& version = "v1",
                   int64_t incarnation = 1, const char* domain = "z") {
    BackEndEntry entry;
    entry.id = BackEndId(id);
    entry.service = ServiceId(service);
    entry.role = role;
    entry.ip = "127.0.0.1";
    entry.port = port;
    entry.slots = 8;
    entry.zone = FailureDomain(domain);
    entry.incarnation = incarnation;
    entry.software_version = SoftwareVersion(version);
    back_ends.Put(entry, loop->Now());
    versions.OnBackEndsChanged();
  }
  void RecordVersion(const std::string& service_name,
                     const std::string& version) {
    recorded_versions[service_name].insert(version);
    wire::ServiceVersionsRecord record;
    for (const auto& [service, names] : recorded_versions) {
      wire::ServiceVersions* const item = record.add_services();
      item->set_service(service);
      for (const std::string& name : names) item->add_software_versions(name);
    }
    const std::string key = VersionOptions().key;
    const KvResult written = version_store.Write(
        key, ToJson(record), version_store.Find(key).record.revision);
    versions.OnRecord(&written.record);
  }

  HttpRequest MakeRequest(const std::string& target) {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.Add("Host", "h");
    request.headers.Add("Mimosarouter-Request-Id",
                        "r" + std::to_string(++serial));
    request.headers.Add("Mimosarouter-Deadline-Ms", "1500");
    request.headers.Add("X-Api-Key", "k");
    if (target.rfind("/letter/", 0) == 0 || target.rfind("/note/", 0) == 0)
      request.headers.Add("Mimosarouter-Token-Counts", "100,20");
    request.body = "body";
    return request;
  }

  CallerResponse CallFrontend(HttpRequest request) {
    HttpCallOptions options;
    options.to = {"127.0.0.1", server->port()};
    std::optional<HttpResult> result;
    const auto call = Fetch(client.get(), options, std::move(request),
                            [&](HttpResult http) { result = std::move(http); });
    REQUIRE(RunUntil(loop.get(), [&] { return result.has_value(); }));
    return {result->ok, result->response.status, result->response.body,
            result->response.headers};
  }
  CallerResponse CallFrontend(const std::string& target) {
    return CallFrontend(MakeRequest(target));
  }

  const BufferMonitor::Options buffer_options;  // No bound by default.
  std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  std::unique_ptr<HttpClient> client = MakeHttpClient(loop.get());
  SeededRandom random{5};
  LogFile log_file;
  LineLog log{log_file.fd(), loop.get(), LogFile::LogOptions()};
  BackEndList back_ends;
  RetryBudget budget{RetryBudget::Options{}};
  ReservationRetryPolicy reservation_retry{ReservationRetryPolicy::Options{},
                                           &random};
  ReplicatedRateLimiter rate_limiter{ReplicatedRateLimiter::Options{}, &random};
  PlatformRequestFormat format;
  EngineMemoryReleaser releaser{loop.get(), client.get(), &format, &selector};
  RelayCounters counters;
  StageMeter meter;
  UnresponsiveStore store;
  MemberList members{loop.get(), &store, &random, &log, {}, {}};
  PermitExchange permits{loop.get(), &members, &random, &log, {}};
  TrafficBoundaries boundaries{{{FailureDomain("z"), Region("near")},
                                {FailureDomain("y"), Region("near")},
                                {FailureDomain("x"), Region("far")}}};
  BackEndSelector selector{&back_ends, &random, BackEndSelector::Options{},
                           &permits, &boundaries};
  ReachabilityMonitor reachability{loop.get(), client.get(), &format,
                                   &back_ends, &selector,    &log,
                                   {},         &boundaries};
  HelperExchange helpers{loop.get(),
                         &members,
                         &reachability,
                         &random,
                         [this] { return frontend->running_requests(); },
                         {},
                         &boundaries};
  static VersionRegistry::Options VersionOptions() {
    VersionRegistry::Options options;
    options.key = "service_versions";
    return options;
  }
  std::map<std::string, std::set<std::string>> recorded_versions;
  RecordStore version_store{loop.get()};
  VersionRegistry versions{loop.get(),          &members,        &version_store,
                           &back_ends,          &random,         &log,
                           [] { return true; }, VersionOptions()};
  StreamOriginJournal origin_journal{loop.get(), &members, &store, &log, {}};
  StreamOriginExchange origins{loop.get(), &members,  &log,
                               {},         &versions, &origin_journal};
  CrashExchange prompt_crashes{loop.get(), &members, &store, &random, &log, {}};
  BufferMonitor buffers{loop.get(), &log, buffer_options};
  ShutdownPolicy shutdown;
  StreamDurations stream_durations;
  RelayDeps deps{loop.get(),
                 client.get(),
                 &format,
                 &selector,
                 &budget,
                 &reservation_retry,
                 &random,
                 &log,
                 &releaser,
                 &counters,
                 &meter,
                 &origins,
                 &prompt_crashes,
                 &permits,
                 &reachability,
                 &helpers,
                 FailureDomain("z"),
                 &buffers,
                 &shutdown,
                 &stream_durations};
  std::shared_ptr<const SiteConfig> config;
  std::unique_ptr<EntryFrontend> frontend;
  std::unique_ptr<HttpServer> server;
  double rate = 0;
  Duration route_timeout = milliseconds(1500);
  Duration first_event_timeout{};
  Duration reservation_lifetime = milliseconds(2000);
  bool splits_notes = false;
  // Taken over by SetConfig().
  std::vector<Region> route_regions;
  std::vector<Region> customer_regions;
  int serial = 0;
};

struct StreamFixture : RelayFixture {
  StreamFixture() {
    AddBackEnd("p", "llm", EngineRole::kPrefill, prefill.back_end.port());
    AddBackEnd("e", "llm", EngineRole::kDecode, decode.back_end.port());
  }
  FakeEngine prefill{loop.get()};
  FakeEngine decode{loop.get()};
  const std::string complete_stream =
      MakeEvent(1) + MakeEvent(2) + MakeEvent(3);
};

// A backend server that sends raw bytes, for responses that HttpServer doesn't
// send. Serves one request on each connection, apart from requests for its
// report before a run.
class RawBackEnd {
 public:
  using Script = std::function<void(const std::string& request, RawPeer* peer)>;

  explicit RawBackEnd(LwsLoop* loop) : loop_(loop) { Poll(); }
  uint16_t port() const { return listener_.port(); }
  // New connections are refused from now on, as after the end of a process.
  void StopListening() { listener_.Close(); }

  Script script;
  // Whether requests are served once their heads have arrived. What follows is
  // never read.
  bool serves_early = false;
  // What it responds when it is asked for its incarnation before a run; empty:
  // the script responds.
  std::string statement = MakeReport(1);
  // Whether requests for its report after a run are signs of life; else it
  // always responds with its statement.
  bool has_signs = true;

 private:
  struct Connection {
    std::unique_ptr<RawPeer> peer;
    bool served = false;
  };

  bool IsComplete(const std::string& request) const {
    constexpr char kLength[] = "Content-Length: ";
    const size_t head_end = request.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    if (serves_early) return true;
    const size_t field = request.find(kLength);
    const size_t length =
        field == std::string::npos
            ? 0
            : std::stoul(request.substr(field + sizeof(kLength) - 1));
    return request.size() >= head_end + 4 + length;
  }

  // Responds if the request asks for the incarnation.
  bool State(const std::string& request, RawPeer* peer) {
    const bool is_reservation = request.find("/hold-") != std::string::npos;
    const bool is_get = request.find("GET ") == 0;
    if (is_reservation) has_run_ = false;
    if (!is_reservation && !is_get) has_run_ = true;
    if (request.find("GET /mimosarouter/report") != 0 ||
        (has_run_ && has_signs) || statement.empty())
      return false;
    peer->Clear();
    peer->Send("HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(statement.size()) + "\r\n\r\n" + statement);
    return true;
  }

  void Poll() {
    while (auto peer = listener_.Accept())
      connections_.push_back({std::move(peer)});
    for (Connection& connection : connections_) {
      if (connection.served || !IsComplete(connection.peer->received()))
        continue;
      if (State(connection.peer->received(), connection.peer.get())) continue;
      connection.served = true;
      script(connection.peer->received(), connection.peer.get());
    }
    timer_ = loop_->After(milliseconds(1), [this] { Poll(); });
  }

  LwsLoop* const loop_;
  RawListener listener_;
  std::vector<Connection> connections_;
  bool has_run_ = false;  // Since the last reservation.
  TimerHandle timer_;
};

// Returns the value of a field of a raw request, or an empty string.
inline std::string RawField(const std::string& request,
                            const std::string& name) {
  const size_t field = request.find("\r\n" + name + ": ");
  if (field == std::string::npos) return "";
  const size_t begin = field + name.size() + 4;
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

// Returns the head of a successful response to a raw request, with `fields`,
// each ending in CRLF, added.
inline std::string RawResponseHead(const std::string& request,
                                   const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nMimosarouter-Request-Id: " +
         RawField(request, "Mimosarouter-Request-Id") +
         "\r\nMimosarouter-Response-Seal: seal\r\n" + fields + "\r\n";
}

}  // namespace mimosa::testing

#endif  // TESTS_RELAY_FIXTURE_H_
