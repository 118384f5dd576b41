// Tests the codecs with the messages of the platform's documentation and with
// input that other writers and callers may send.
#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "decide/warm_up.h"
#include "platform/request_codec.h"
#include "platform/site_codec.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;

const char kConfig[] = R"({"version":7,"routes":[
 {"name":"r1","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming",
  "timeout_ms":14000,"target_latency_ms":900,"priority":1,
  "traffic_split":[{"service":"llm","weight":90},{"service":"desk","weight":10}],
  "max_attempts":1,"public":false,"sticky":true,"resumable":false,
  "target_gap_ms":300,"a_new_field":{}},
 {"name":"r2","host":"ficu95.example","prefix":"/pufi791/","kind":"streaming",
  "timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"llm",
  "max_attempts":2,"public":true,"resumable":true,"target_gap_ms":300},
 {"name":"r3","host":"ficu95.example","prefix":"/desk/",
  "kind":"non_idempotent","timeout_ms":800,"service":"desk","max_attempts":1},
 {"name":"r4","host":"ficu95.example","prefix":"/look/","kind":"idempotent",
  "timeout_ms":800,"service":"desk","max_attempts":2}],
 "services":[
 {"name":"llm","health_path":"/health","max_connections":300,
  "engine":{"slots":48,"kv_tokens":35962,"kv_token_bytes":131072,
   "link_mbps":1100000.0,"backups":true,"stride":18,"kv_hold_s":0.5,
   "role_switch_s":6.0,"hold_ms":2000.0}},
 {"name":"desk","health_path":"/health","max_connections":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["k1","k2"],"priority":1,
  "unit":"tokens","plain_tokens":200,"rate_per_s":87500,"burst":50000}]})";

template <typename Result>
std::optional<SiteFormatError> ErrorOf(Result result) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<SiteFormatError>> {
        BOOST_LEAF_CHECK(result());
        return std::optional<SiteFormatError>();
      },
      [](const SiteFormatError& error) {
        return std::optional<SiteFormatError>(error);
      },
      [] { return std::optional<SiteFormatError>(); });
}

TEST_CASE("a configuration is read completely") {
  const PlatformSiteFormat format;
  const auto read = format.ReadConfig(kConfig);
  REQUIRE(read);
  const SiteConfig& config = **read;
  CHECK(config.version() == 7);
  const SiteRoute* split = config.FindRoute("ficu95.example", "/lohu930/2f");
  REQUIRE(split != nullptr);
  CHECK(split->retry_policy == RetryPolicy::kStream);
  CHECK(split->timeout == milliseconds(14000));
  CHECK(split->target_latency == milliseconds(900));
  CHECK(split->target_event_gap == milliseconds(300));
  REQUIRE(split->traffic_split.size() == 2);
  CHECK(split->traffic_split[1].service == ServiceId("desk"));
  CHECK(split->traffic_split[1].weight == 10);
  const SiteRoute* resumed = config.FindRoute("ficu95.example", "/pufi791/x");
  REQUIRE(resumed != nullptr);
  CHECK(resumed->retry_policy == RetryPolicy::kResumableStream);
  CHECK(resumed->allows_anonymous);
  CHECK(resumed->max_attempts == 2);
  CHECK(config.FindRoute("ficu95.example", "/desk/1")->retry_policy ==
        RetryPolicy::kAtMostOnce);
  CHECK(config.FindRoute("ficu95.example", "/look/1")->retry_policy ==
        RetryPolicy::kIdempotent);
  const SiteService* llm = config.FindService(ServiceId("llm"));
  REQUIRE(llm != nullptr);
  REQUIRE(llm->engine);
  CHECK(llm->engine->kv_memory == Tokens(35962));
  CHECK(llm->engine->kv_handle_lifetime == milliseconds(500));
  CHECK(llm->engine->reservation_lifetime == milliseconds(2000));
  CHECK(llm->engine->role_switch_time == milliseconds(6000));
  CHECK(llm->engine->tokens_per_event == 18);
  CHECK(llm->engine->replicates_runs);
  CHECK_FALSE(config.FindService(ServiceId("desk"))->engine);
  const SiteCustomer* customer = config.FindCustomerByKey("k2");
  REQUIRE(customer != nullptr);
  CHECK(customer->id == CustomerId("hule930"));
  CHECK(customer->rate_in_tokens);
  CHECK(customer->default_tokens == 200);
  CHECK(customer->rate_per_second == 87500);
  CHECK(customer->burst == 50000);
  CHECK(config.limits().idle_timeout == milliseconds(15000));
}

TEST_CASE("reading an invalid configuration returns the reason") {
  const PlatformSiteFormat format;
  const auto error = [&](const char* text) {
    return ErrorOf([&] { return format.ReadConfig(text); });
  };
  REQUIRE(error("\xff\x01garbage"));
  CHECK(error("[]")->kind == SiteFormatError::Kind::kNotJson);
  CHECK(error("{}")->field == "version");
  CHECK(error(R"({"version":"7"})")->kind ==
        SiteFormatError::Kind::kMissingField);
  CHECK(error(R"({"version":7,"routes":[7]})")->field == "routes");
  CHECK(error(R"({"version":7,"routes":[{"host":"h","prefix":"/",
              "kind":"telepathic","service":"s"}]})")
            ->kind == SiteFormatError::Kind::kUnknownValue);
  CHECK(error(R"({"version":7,"routes":[{"host":"h","prefix":"/",
              "kind":"idempotent"}]})")
            ->field == "service");
}

TEST_CASE("a backend server's entry is read") {
  const PlatformSiteFormat format;
  const auto read = format.ReadBackEnd(
      BackEndId("i-1"),
      R"({"service":"llm","address":"10.128.0.9:8080","zone":"kochi",
          "version":"v1","slots":48,"state":"draining","cold_remaining_ms":250,
          "stage":"decode","models":[],"sequence":4,"born":1773042786049})");
  REQUIRE(read);
  CHECK(read->id == BackEndId("i-1"));
  CHECK(read->ip == "10.128.0.9");
  CHECK(read->port == 8080);
  CHECK(read->zone == FailureDomain("kochi"));
  CHECK(read->draining);
  CHECK(read->warm_up_time == milliseconds(250));
  CHECK(read->role == EngineRole::kDecode);
  CHECK(read->incarnation == 1773042786049);
}

TEST_CASE("the time that a back end warms up is read from its entry") {
  const PlatformSiteFormat format;
  const auto read = [&](const std::string& time) {
    const auto entry = format.ReadBackEnd(
        BackEndId("i"), R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                        R"("slots":1,"state":"ready")" +
                            time + "}");
    REQUIRE(entry);
    return std::pair(entry->warm_up_time, entry->has_invalid_warm_up_time);
  };
  const Duration none{};
  CHECK(read("") == std::pair(none, false));
  CHECK(read(R"(,"cold_remaining_ms":0)") == std::pair(none, false));
  CHECK(read(R"(,"cold_remaining_ms":12.5)") ==
        std::pair(Duration(std::chrono::microseconds(12500)), false));
  CHECK(read(R"(,"cold_remaining_ms":1e300)") ==
        std::pair(Duration(WarmUpTracker::kMaxWarmUpTime), false));
  for (const char* time : {"-1", "-1e300", "\"3\"", "null", "[]", "true"})
    CHECK(read(std::string(R"(,"cold_remaining_ms":)") + time) ==
          std::pair(none, true));
}

TEST_CASE("the warm-up of a service is read") {
  const PlatformSiteFormat format;
  const auto read = [&](const std::string& fields) {
    const auto config = format.ReadConfig(
        R"({"version":1,"services":[{"name":"s")" + fields + "}]}");
    REQUIRE(config);
    return *(*config)->FindService(ServiceId("s"));
  };
  const SiteService service = read(R"(,"cold_start_s":3.5,"cold_per_s":12)");
  CHECK(service.warm_up_time == milliseconds(3500));
  CHECK(service.warm_up_rate == 12);
  for (const char* rate : {"0", "-1", "\"12\"", "null", "{}"})
    CHECK_FALSE(read(std::string(R"(,"cold_start_s":3,"cold_per_s":)") + rate)
                    .warm_up_rate);
  CHECK_FALSE(read("").warm_up_rate);
  CHECK(read("").warm_up_time == Duration::zero());
  CHECK(read(R"(,"cold_start_s":-3)").warm_up_time == Duration::zero());
  CHECK(read(R"(,"cold_start_s":1e300)").warm_up_time ==
        WarmUpTracker::kMaxWarmUpTime);
}

TEST_CASE("the warm-up time in a response is read") {
  const PlatformRequestFormat format;
  const auto read = [&](const char* value) {
    HttpHeaders headers;
    headers.Add("Mimosarouter-Cold-Ms", value);
    return format.ReadResponseMarkers(headers).warm_up_time;
  };
  CHECK(read("250") == milliseconds(250));
  CHECK(read("99999999999999999999") == WarmUpTracker::kMaxWarmUpTime);
  for (const char* value : {"", "0", "-5", "soon", "nan", "5 ms"})
    CHECK(read(value) == Duration::zero());
}

TEST_CASE("invalid entries of other writers are rejected") {
  const PlatformSiteFormat format;
  for (const char* text :
       {"", "\x01\x02", "7", "{}",
        R"({"service":7,"address":"1.2.3.4:5","zone":"z","slots":1,)"
        R"("state":"ready"})",
        R"({"service":"s","address":"host:5","zone":"z","slots":1,)"
        R"("state":"ready"})",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":"1",)"
        R"("state":"ready"})",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
        R"("state":"dancing"})",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,)"
        R"("state":"ready","stage":"encore"})"}) {
    INFO(text);
    CHECK(ErrorOf([&] { return format.ReadBackEnd(BackEndId("i"), text); }));
  }
}

HttpRequest ModelRequest() {
  HttpRequest http;
  http.method = "POST";
  http.target = "/lohu930/2f";
  http.headers.Add("Host", "ficu95.example");
  http.headers.Add("Mimosarouter-Request-Id", "9c41d07be2a35f68");
  http.headers.Add("Mimosarouter-Model", "m");
  http.headers.Add("Mimosarouter-Token-Counts", "1460,80");
  http.headers.Add("Mimosarouter-Prompt-Prefix", "5c1e07a2:800,91bd3f06:660");
  http.headers.Add("Mimosarouter-Length-Hint", "40");
  http.headers.Add("Mimosarouter-Deadline-Ms", "14000");
  http.headers.Add("X-Api-Key", "secret-key");
  http.headers.Add("Last-Event-Id", "12");
  http.body = "letter";
  return http;
}

TEST_CASE("a caller's request is read") {
  const PlatformRequestFormat format;
  const auto read = format.ReadRequest(ModelRequest());
  REQUIRE(read);
  CHECK(read->id == RequestId("9c41d07be2a35f68"));
  CHECK(read->host == "ficu95.example");
  CHECK(read->key == "secret-key");
  CHECK(read->timeout == milliseconds(14000));
  REQUIRE(read->token_counts);
  CHECK(read->token_counts->prompt == Tokens(1460));
  CHECK(read->token_counts->max_output == Tokens(80));
  CHECK(read->token_counts->expected_output == Tokens(40));
  CHECK(read->last_event_id == 12);
}

TEST_CASE("the shared parts of a prompt are read, malformed ones left out") {
  const PlatformRequestFormat format;
  const auto read = [&](const std::string& value) {
    HttpRequest http;
    http.headers.Add("Mimosarouter-Request-Id", "r1");
    http.headers.Add("Mimosarouter-Prompt-Prefix", value);
    const auto request = format.ReadRequest(std::move(http));
    REQUIRE(request);
    std::string parts;
    for (const PromptPartId& part : request->shared_prompt_parts)
      parts += part.value() + ";";
    return parts;
  };
  CHECK(read("5c1e07a2:800,91BD3f06:410, e4402b7d:250,77:1") ==
        "5c1e07a2;91bd3f06;e4402b7d;");
  CHECK(read("5c1e07a2:800").empty());
  CHECK(read("").empty());
  CHECK(read(",,:,").empty());
  CHECK(read("a:1,zz:2,b,:3, ,c:,77:1") == "a;c;");
  CHECK(read(std::string(65, 'a') + ":1,b:2,77:1") == "b;");
  CHECK(read("a:1,a:1,77:1") == "a;a;");
}

TEST_CASE("neither keys nor internal headers of callers reach an engine") {
  const PlatformRequestFormat format;
  HttpRequest http = ModelRequest();
  for (const char* name :
       {"Mimosarouter-Tenant", "Mimosarouter-Serving-Stage",
        "Mimosarouter-Kv-Hold", "Mimosarouter-Pin-Ms", "Mimosarouter-Kv-Backup",
        "Mimosarouter-Kv-Source", "Mimosarouter-Expect-Instance",
        "Mimosarouter-Request-Priority", "Mimosarouter-Expect-Version",
        "mimosarouter-kv-source", "Kv-Fetch"})
    http.headers.Add(name, "smuggled");
  const auto read = format.ReadRequest(http);
  REQUIRE(read);
  BackEndCallParams call;
  call.expected_back_end = BackEndId("i-7");
  call.time_left = milliseconds(9000);
  const HttpRequest written = format.WriteCall(*read, call);
  for (const auto& [name, value] : written.headers.fields()) {
    INFO(name);
    CHECK(value.find("smuggled") == std::string::npos);
    CHECK(value.find("secret-key") == std::string::npos);
  }
  CHECK(written.body == "letter");
  CHECK(written.target == "/lohu930/2f");
  CHECK(*written.headers.Find("Mimosarouter-Token-Counts") == "1460,80");
  CHECK(*written.headers.Find("Mimosarouter-Request-Id") == "9c41d07be2a35f68");
}

TEST_CASE("a call adds the internal headers") {
  const PlatformRequestFormat format;
  const auto read = format.ReadRequest(ModelRequest());
  REQUIRE(read);
  BackEndCallParams call;
  call.expected_back_end = BackEndId("i-7");
  call.time_left = milliseconds(9000);
  call.customer = CustomerId("hule930");
  call.priority = 2;
  call.kv_handle = KvHandle{{"10.1.64.9", 8080}, "3fa09c41b7d5"};
  call.last_event_id = 33;
  call.reservation_id = "h1";
  const HttpHeaders headers = format.WriteCall(*read, call).headers;
  CHECK(*headers.Find("Mimosarouter-Deadline-Ms") == "9000");
  CHECK(*headers.Find("Mimosarouter-Expect-Instance") == "i-7");
  CHECK(*headers.Find("Mimosarouter-Tenant") == "hule930");
  CHECK(*headers.Find("Mimosarouter-Request-Priority") == "2");
  CHECK(*headers.Find("Mimosarouter-Kv-Source") ==
        "10.1.64.9:8080/3fa09c41b7d5");
  CHECK(*headers.Find("Last-Event-Id") == "33");
  CHECK(headers.Count("Last-Event-Id") == 1);
  CHECK(*headers.Find("Mimosarouter-Kv-Hold") == "h1");
  CHECK(headers.Find("Mimosarouter-Serving-Stage") == nullptr);
  CHECK(headers.Find("Mimosarouter-Expect-Version") == nullptr);
  call.weight_version = WeightVersion(7);
  CHECK(*format.WriteCall(*read, call)
             .headers.Find("Mimosarouter-Expect-Version") == "7");
  call.prefill_only = true;
  CHECK(*format.WriteCall(*read, call)
             .headers.Find("Mimosarouter-Serving-Stage") == "prefill");
}

TEST_CASE("each kind of malformed request has its own error") {
  const PlatformRequestFormat format;
  const auto error_with = [&](const char* name, const char* value) {
    HttpRequest http = ModelRequest();
    http.headers.Set(name, value);
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<RequestError>> {
          BOOST_LEAF_CHECK(format.ReadRequest(http));
          return std::optional<RequestError>();
        },
        [](RequestError error) { return std::optional<RequestError>(error); },
        [] { return std::optional<RequestError>(); });
  };
  CHECK(error_with("Mimosarouter-Request-Id", "") == RequestError::kMissingId);
  CHECK(error_with("Mimosarouter-Deadline-Ms", "soon") ==
        RequestError::kBadTimeout);
  CHECK(error_with("Mimosarouter-Deadline-Ms", "-1") ==
        RequestError::kBadTimeout);
  CHECK(error_with("Mimosarouter-Token-Counts", "7") ==
        RequestError::kBadTokenCounts);
  CHECK(error_with("Mimosarouter-Token-Counts", "7,x") ==
        RequestError::kBadTokenCounts);
  CHECK_FALSE(error_with("Mimosarouter-Length-Hint", "many"));
  CHECK_FALSE(error_with("Last-Event-Id", "some"));
}

TEST_CASE("numbers of more than 60 bits in a request are refused") {
  const PlatformRequestFormat format;
  const std::string largest = std::to_string((int64_t{1} << 60) - 1);
  const auto read_with = [&](const char* name, const std::string& value) {
    HttpRequest http = ModelRequest();
    http.headers.Set(name, value);
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<RequestError>> {
          BOOST_LEAF_CHECK(format.ReadRequest(http));
          return std::optional<RequestError>();
        },
        [](RequestError error) { return std::optional<RequestError>(error); },
        [] { return std::optional<RequestError>(); });
  };
  for (const std::string& number :
       {std::to_string(int64_t{1} << 60), std::string("9223372036854775807"),
        std::string("9223372036854775808"), std::string(400, '9')}) {
    CAPTURE(number);
    for (const char* name : {"Mimosarouter-Deadline-Ms",
                             "Mimosarouter-Length-Hint", "Last-Event-Id"})
      CHECK(read_with(name, number) == RequestError::kNumberTooLarge);
    CHECK(read_with("Mimosarouter-Token-Counts", number + ",1") ==
          RequestError::kNumberTooLarge);
    CHECK(read_with("Mimosarouter-Token-Counts", "1," + number) ==
          RequestError::kNumberTooLarge);
    CHECK(read_with("Mimosarouter-Deadline-Ms", "-" + number) ==
          RequestError::kBadTimeout);
  }
  for (const char* name : {"Mimosarouter-Deadline-Ms",
                           "Mimosarouter-Length-Hint", "Last-Event-Id"})
    CHECK_FALSE(read_with(name, largest));
  CHECK_FALSE(read_with("Mimosarouter-Token-Counts", largest + "," + largest));
}

TEST_CASE("sums of the largest numbers of requests stay in range") {
  const PlatformRequestFormat format;
  const std::string largest = std::to_string((int64_t{1} << 60) - 1);
  HttpRequest http = ModelRequest();
  http.headers.Set("Mimosarouter-Token-Counts", largest + "," + largest);
  http.headers.Set("Mimosarouter-Length-Hint", largest);
  http.headers.Set("Mimosarouter-Deadline-Ms", largest);
  const auto read = format.ReadRequest(http);
  REQUIRE(read);
  // The engine gets what the caller stated.
  CHECK(*read->http.headers.Find("Mimosarouter-Token-Counts") ==
        largest + "," + largest);
  CHECK(read->timeout == kMaxDuration);
  REQUIRE(read->token_counts);
  const Tokens total =
      read->token_counts->prompt + read->token_counts->max_output;
  // More requests than a fleet runs.
  constexpr int64_t kRequests = int64_t{1} << 20;
  CHECK(total.count() <= std::numeric_limits<int64_t>::max() / kRequests);
  CHECK(LikelyOutput(*read->token_counts) <= read->token_counts->max_output);
}

// A conversion that is out of range has another result on each processor.
TEST_CASE("numbers of the configuration out of range take the nearest value") {
  const PlatformSiteFormat format;
  for (const std::string& huge :
       {std::string("1e300"), std::string("-1e300")}) {
    CAPTURE(huge);
    std::string config_text =
        R"({"version":7,"routes":[{"host":"h","prefix":"/","kind":"streaming",
         "service":"s","timeout_ms":N,"target_latency_ms":N,"target_gap_ms":N,
         "priority":N,"max_attempts":N}],"services":[{"name":"s",
         "max_connections":N,"engine":{"slots":N,"kv_tokens":N,"stride":N,
         "kv_hold_s":N,"hold_ms":N}}],
         "limits":{"max_body_bytes":N,"idle_timeout_ms":N}})";
    for (size_t at = config_text.find('N'); at != std::string::npos;
         at = config_text.find('N', at))
      config_text.replace(at, 1, huge);
    const auto read = format.ReadConfig(config_text);
    REQUIRE(read);
    const SiteConfig& config = **read;
    const bool is_negative = huge.front() == '-';
    using Int = std::numeric_limits<int>;
    const int nearest = is_negative ? Int::min() : Int::max();
    const Duration longest = is_negative ? -kMaxDuration : kMaxDuration;
    const SiteRoute& route = config.routes().front();
    CHECK(route.timeout == longest);
    CHECK(route.target_latency == longest);
    CHECK(route.first_event_timeout >= std::chrono::seconds(2));
    CHECK(route.priority == nearest);
    CHECK(route.max_attempts == nearest);
    const SiteService& service = config.services().front();
    CHECK(service.max_connections == nearest);
    CHECK(service.engine->slots == nearest);
    CHECK(service.engine->kv_memory >= Tokens(0));
    CHECK(service.engine->kv_memory < Tokens(int64_t{1} << 41));
    CHECK(service.engine->tokens_per_event == (is_negative ? 1 : nearest));
    CHECK(service.engine->kv_handle_lifetime == longest);
    CHECK(config.limits().max_body_bytes ==
          (is_negative ? 0 : std::numeric_limits<size_t>::max()));
  }
}

TEST_CASE("numbers of an entry out of range take the nearest value") {
  const PlatformSiteFormat format;
  const auto read = format.ReadBackEnd(
      BackEndId("i"),
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready",)"
      R"("slots":9000000000000000000,"born":1e300,"cold_remaining_ms":1e300})");
  REQUIRE(read);
  CHECK(read->slots == std::numeric_limits<int>::max());
  CHECK(read->incarnation == std::numeric_limits<int64_t>::max());
  CHECK(read->warm_up_time == WarmUpTracker::kMaxWarmUpTime);
}

TEST_CASE("the limit that a back end names is read") {
  const PlatformRequestFormat format;
  const auto read = [&](const char* value) {
    HttpHeaders headers;
    headers.Add("Server-Limit", value);
    return format.ReadResponseMarkers(headers).limit;
  };
  CHECK(read("2.5") == 2.5);
  CHECK(read("0") == 0.0);
  CHECK(read("100000000") == 1e8);
  for (const char* other :
       {"", "-1", "-0", "nan", "inf", "1e3", "2,5", "2.5 /s"})
    CHECK_FALSE(read(other));
  CHECK_FALSE(format.ReadResponseMarkers(HttpHeaders()).limit);
}

TEST_CASE("engine responses are read") {
  const PlatformRequestFormat format;
  HttpHeaders headers;
  headers.Add("mimosarouter-request-id", "r");
  headers.Add("Mimosarouter-Response-Seal", "3e1b");
  ResponseMarkers markers = format.ReadResponseMarkers(headers);
  CHECK(markers.request_id == RequestId("r"));
  CHECK(markers.sealed);
  CHECK_FALSE(markers.not_executed);
  CHECK_FALSE(markers.weight_version);
  CHECK_FALSE(markers.back_end);
  headers.Add("Mimosarouter-Weight-Versions", "7");
  headers.Add("Mimosarouter-Instance-Id", "i-7");
  headers.Add("Mimosarouter-Not-Executed", "1");
  headers.Add("Content-Encoding", "gzip");
  markers = format.ReadResponseMarkers(headers);
  CHECK(markers.not_executed);
  CHECK(markers.content_encoded);
  CHECK(markers.weight_version == WeightVersion(7));
  CHECK(markers.back_end == BackEndId("i-7"));
  for (const char* other : {"", "x", "7x", " 7", "99999999999999999999"}) {
    headers.Set("Mimosarouter-Weight-Versions", other);
    CHECK_FALSE(format.ReadResponseMarkers(headers).weight_version);
  }
  const Endpoint engine{"10.0.0.1", 80};
  const auto handle = format.ReadPrefillResponse(
      engine, R"({"handle":"3fa0","tokens":1460,"version":1})");
  REQUIRE(handle);
  CHECK(handle->id == "3fa0");
  CHECK_FALSE(format.ReadPrefillResponse(engine, R"({"handle":7})"));
  CHECK(format.WriteReleaseHandle(*handle).target ==
        "/mimosarouter/kv-handle/3fa0");
  const HttpRequest reserve =
      format.WriteReserve(BackEndId("i-7"), Tokens(4300), milliseconds(2000));
  CHECK(reserve.body == R"({"tokens":4300,"ttl_ms":2000})");
  CHECK(format.ReadReservation(R"({"hold":"h1"})") == "h1");
  CHECK_FALSE(format.ReadReservation("no"));
}

TEST_CASE("the runs that a report lists are read") {
  const PlatformRequestFormat format;
  const auto read = [&](const std::string& body) {
    return format.ReadStatement({200, {}, body}).events_by_run;
  };
  CHECK_FALSE(read(R"({"stage":"decode"})"));
  CHECK_FALSE(read(R"({"runs":{}})"));
  CHECK(read(R"({"runs":[]})")->empty());
  const auto runs =
      read(R"({"runs":[["r1",100,7,5],["r2",1],["r3",1,"7",5]]})");
  REQUIRE(runs);
  CHECK(runs->size() == 1);
  CHECK(runs->at(RequestId("r1")) == 7);
}

TEST_CASE("engine reports are read and orders written") {
  const PlatformRequestFormat format;
  const auto report = format.ReadReport(
      R"({"stage":"decode","models":[],"busy":true,"sequence":2,"queued":1})");
  REQUIRE(report);
  CHECK(report->role == EngineRole::kDecode);
  CHECK(report->changing_role);
  CHECK(report->orders_accepted == 2);
  for (const char* text :
       {"", "[]", "{}", R"({"stage":"decode"})", R"({"stage":7,"sequence":1})",
        R"({"stage":"both","sequence":1})",
        R"({"stage":"decode","sequence":"1"})"})
    CHECK_FALSE(format.ReadReport(text));
  const HttpRequest report_request =
      format.WriteReportRequest(BackEndId("i-1"));
  CHECK(report_request.method == "GET");
  CHECK(*report_request.headers.Find("Mimosarouter-Expect-Instance") == "i-1");
  const HttpRequest order = format.WriteOrder(
      {BackEndId("i-1"), EngineRole::kPrefill, "entry-1", Revision(41), 2});
  CHECK(order.target == "/mimosarouter/order");
  CHECK(*order.headers.Find("Mimosarouter-Expect-Instance") == "i-1");
  const auto body = ParseJson(order.body);
  REQUIRE(body);
  CHECK((*body)["op"] == "stage");
  CHECK((*body)["stage"] == "prefill");
  CHECK((*body)["fencing_token"] == 41);
  CHECK((*body)["expected"] == 2);
  CHECK((*body)["holder"] == "entry-1");
}

TEST_CASE("allowed regions of routes and customers are read") {
  const PlatformSiteFormat format;
  const auto config_with = [](const std::string& route,
                              const std::string& tenant) {
    return R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"streaming",)"
           R"("service":"s")" +
           route + R"(}],"tenants":[{"name":"t","api_keys":["k"])" + tenant +
           "}]}";
  };
  const auto read =
      format.ReadConfig(config_with(R"(,"allowed_regions":["north","east"])",
                                    R"(,"allowed_regions":["east"])"));
  REQUIRE(read);
  CHECK((*read)->routes()[0].allowed_regions ==
        std::vector<Region>{Region("north"), Region("east")});
  CHECK((*read)->customers()[0].allowed_regions ==
        std::vector<Region>{Region("east")});
  const auto open = format.ReadConfig(
      config_with(R"(,"allowed_regions":[])", R"(,"allowed_regions":null)"));
  REQUIRE(open);
  CHECK((*open)->routes()[0].allowed_regions.empty());
  CHECK((*open)->customers()[0].allowed_regions.empty());
  // Reading these as "anywhere" would let requests leave their regions.
  for (const char* bad :
       {R"("north")", "7", "{}", R"(["north",7])", R"([""])", "true"}) {
    INFO(bad);
    const std::string field = std::string(R"(,"allowed_regions":)") + bad;
    for (const std::string& config :
         {config_with(field, ""), config_with("", field)}) {
      const auto error = ErrorOf([&] { return format.ReadConfig(config); });
      REQUIRE(error);
      CHECK(error->field == "allowed_regions");
    }
  }
}

}  // namespace
}  // namespace mimosa
