// Tests HttpClient against raw TCP peers: truncated responses, the meaning of
// `sent`, connection reuse, timeouts, back pressure and cancellation.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/http.h"
#include "net/test_peer.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;

// Records the callbacks of a call.
class RecordingHandler : public HttpCallHandler {
 public:
  void OnHead(int status_in, const HttpHeaders& headers_in) override {
    ++heads;
    status = status_in;
    headers = headers_in;
    if (on_head) on_head();
  }
  void OnBody(std::string_view data) override {
    body.append(data);
    if (on_body) on_body();
  }
  void OnDone(ResponseEnd /*end*/) override {
    ++ends;
    done = true;
    if (on_end) on_end();
  }
  void OnFailed(HttpFailure failure_in, bool sent_in) override {
    ++ends;
    failure = failure_in;
    sent = sent_in;
    if (on_end) on_end();
  }

  int heads = 0;
  int ends = 0;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool done = false;
  HttpFailure failure = HttpFailure::kConnect;
  bool sent = false;
  std::function<void()> on_head, on_body, on_end;
};

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

class ClientFixture {
 protected:
  ClientFixture()
      : loop_(LwsLoop::Create()), client_(MakeHttpClient(loop_.get())) {
    options_.to = listener_.endpoint();
  }

  void Start(const std::string& method = "GET", const std::string& body = "") {
    recorded_ = RecordingHandler();
    call_ = client_->Start(options_, {method, "/t", {}, body}, &recorded_);
  }
  bool Until(const std::function<bool()>& condition) {
    return RunUntil(loop_.get(), condition);
  }
  // Accepts the next connection and waits until it has received a request head.
  std::unique_ptr<RawPeer> AcceptRequest() {
    std::unique_ptr<RawPeer> peer;
    REQUIRE(Until([&] { return (peer = listener_.Accept()) != nullptr; }));
    AwaitRequest(peer.get());
    return peer;
  }
  void AwaitRequest(RawPeer* peer) {
    REQUIRE(Until([&] {
      return peer->received().find("\r\n\r\n") != std::string::npos;
    }));
  }
  void AwaitEnd() {
    REQUIRE(Until([&] { return recorded_.ends > 0; }));
    CHECK(recorded_.ends == 1);
  }
  // Starts a call, sends `response` on the next connection and waits until the
  // call is done. The connection stays open.
  std::unique_ptr<RawPeer> CompleteCall(std::string_view response = kOk) {
    Start();
    auto peer = AcceptRequest();
    peer->Clear();
    peer->Send(response);
    AwaitEnd();
    CHECK(recorded_.done);
    return peer;
  }

  RawListener listener_;
  std::unique_ptr<LwsLoop> loop_;
  std::unique_ptr<HttpClient> client_;
  HttpCallOptions options_;
  RecordingHandler recorded_;
  std::unique_ptr<HttpCall> call_;
};

// What a peer sends before it closes, and the expected outcome of the call.
struct ResponseCase {
  std::string text;
  bool done;
  HttpFailure failure;  // valid if not done
  std::string body;
  const char* method = "GET";
};

std::vector<ResponseCase> ResponseCases() {
  constexpr HttpFailure kUnused = HttpFailure::kConnect;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  return {
      {kOk, true, kUnused, "hi"},
      {ok + "Content-Length: 0\r\n\r\n", true, kUnused, ""},
      {chunked + "2\r\nhi\r\n3;a=b\r\nyou\r\n0\r\nT: v\r\n\r\n", true, kUnused,
       "hiyou"},
      {"HTTP/1.1 204 No\r\n\r\n", true, kUnused, ""},
      {"HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", true, kUnused, ""},
      {std::string("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\n") +
           kOk,
       true, kUnused, "hi"},
      {ok + "Content-Length: 9\r\n\r\n", true, kUnused, "", "HEAD"},
      {chunked, true, kUnused, "", "HEAD"},
      // Truncated responses, in every form that libwebsockets' own HTTP client
      // reported as complete.
      {chunked + "5\r\nhi", false, HttpFailure::kTruncated, "hi"},
      {chunked + "2\r\nhi", false, HttpFailure::kTruncated, "hi"},
      {chunked + "2\r\nhi\r\n", false, HttpFailure::kTruncated, "hi"},
      {chunked + "2\r\nhi\r\n0\r\n", false, HttpFailure::kTruncated, "hi"},
      {chunked + "2\r\nhi\r\n0\r\nT: v\r\n", false, HttpFailure::kTruncated,
       "hi"},
      {ok + "Content-Length: 3\r\n\r\nhi", false, HttpFailure::kTruncated,
       "hi"},
      {ok + "\r\nhi", false, HttpFailure::kTruncated, "hi"},
      {"HTTP/1.0 200 OK\r\n\r\nhi", false, HttpFailure::kTruncated, "hi"},
      {"", false, HttpFailure::kNoResponse, ""},
      {"HTTP/1.1 200 OK\r\nContent-Le", false, HttpFailure::kNoResponse, ""},
      {"HTTP/1.1 100 C\r\n\r\n", false, HttpFailure::kNoResponse, ""},
      {"garbage\r\n\r\n", false, HttpFailure::kMalformed, ""},
      {"HTTP/1.1 abc OK\r\n\r\n", false, HttpFailure::kMalformed, ""},
      {"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n", false,
       HttpFailure::kMalformed, ""},
      {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nhi", false,
       HttpFailure::kMalformed, ""},
      {"HTTP/1.1 000 \r\n\r\nhi", false, HttpFailure::kMalformed, ""},
      {"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nhi", false,
       HttpFailure::kMalformed, ""},
      {"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nhi", false,
       HttpFailure::kMalformed, ""},
      {"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nhi", false,
       HttpFailure::kMalformed, ""},
      {ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!", false,
       HttpFailure::kMalformed, ""},
      {ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       false, HttpFailure::kMalformed, ""},
      {ok + "Transfer-Encoding: gzip\r\n\r\nhi", false, HttpFailure::kMalformed,
       ""},
      {ok + "Content-Length: -2\r\n\r\nhi", false, HttpFailure::kMalformed, ""},
      {chunked + "zz\r\nhi\r\n", false, HttpFailure::kMalformed, ""},
      {ok + "Content-Length: 1001\r\n\r\n", false, HttpFailure::kTooLarge, ""},
      {chunked + "3e9\r\n", false, HttpFailure::kTooLarge, ""},
      {ok + "X: " + std::string(40000, 'x'), false, HttpFailure::kTooLarge, ""},
  };
}

TEST_CASE_METHOD(ClientFixture,
                 "a call is done only if its response is complete",
                 "[client]") {
  options_.max_response_bytes = 1000;
  options_.reuse_connection = GENERATE(false, true);
  for (const ResponseCase& response : ResponseCases()) {
    // Tries every split, but only about 200 of long responses.
    const size_t step = response.text.size() / 200 + 1;
    for (size_t split = 0; split <= response.text.size(); split += step) {
      CAPTURE(response.text.substr(0, 200), split);
      Start(response.method);
      auto peer = AcceptRequest();
      peer->Send(response.text.substr(0, split));
      if (split > 0) RunFor(loop_.get(), milliseconds(1));
      peer->Send(response.text.substr(split));
      peer->Close();
      AwaitEnd();
      CHECK(recorded_.done == response.done);
      CHECK(call_->sent());
      CHECK(recorded_.body == response.body);
      if (!response.done) {
        CHECK(recorded_.failure == response.failure);
        CHECK(recorded_.sent);
      }
    }
  }
}

TEST_CASE_METHOD(ClientFixture, "a request is sent once with sanitized headers",
                 "[client]") {
  HttpRequest request{"POST", "/p?q", {}, "body"};
  request.headers.Add("X-Own", "1");
  request.headers.Add("x-own", "2");
  request.headers.Add("Content-Length", "77");
  request.headers.Add("Transfer-Encoding", "chunked");
  request.headers.Add("Upgrade", "h2c");
  request.headers.Add("X-Split", "a\r\nX-Evil: 1");
  call_ = client_->Start(options_, request, &recorded_);
  CHECK_FALSE(call_->sent());
  auto peer = AcceptRequest();
  const std::string expected =
      "POST /p?q HTTP/1.1\r\nX-Own: 1\r\nx-own: 2\r\nHost: " +
      options_.to.ToString() +
      "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
  CHECK(Until([&] { return peer->received().size() >= expected.size(); }));
  CHECK(peer->received() == expected);
  CHECK(call_->sent());
  peer->Send(kOk);
  AwaitEnd();
}

TEST_CASE_METHOD(ClientFixture, "sent is false only if nothing was written",
                 "[client]") {
  options_.reuse_connection = GENERATE(false, true);
  SECTION("connection refused") {
    listener_.Close();
    Start("POST", "x");
    CHECK(recorded_.ends == 0);  // not from within Start()
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kRefused);
    CHECK_FALSE(recorded_.sent);
  }
  SECTION("invalid address") {
    options_.to.ip = "not an address";
    Start();
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kConnect);
    CHECK_FALSE(recorded_.sent);
  }
  SECTION("request target with line breaks") {
    call_ =
        client_->Start(options_, {"GET", "/ x\r\nA: b", {}, ""}, &recorded_);
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kConnect);
    CHECK_FALSE(recorded_.sent);
  }
  SECTION("connection closed after the request") {
    Start("POST", "x");
    AcceptRequest();
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kNoResponse);
    CHECK(recorded_.sent);
  }
  SECTION("connection reset before the request was read") {
    Start("POST", std::string(1 << 20, 'x'));
    std::unique_ptr<RawPeer> peer;
    REQUIRE(Until([&] { return (peer = listener_.Accept()) != nullptr; }));
    peer->CloseWithReset();
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kNoResponse);
    CHECK(recorded_.sent == call_->sent());
  }
}

TEST_CASE_METHOD(ClientFixture, "connect, head and idle timeouts are enforced",
                 "[client]") {
  options_.connect_timeout = milliseconds(100);
  options_.head_timeout = milliseconds(100);
  options_.idle_timeout = milliseconds(100);
  SECTION("connect timeout") {
    RawListener full(0);
    std::array<std::unique_ptr<RawPeer>, 4> fillers;
    for (auto& filler : fillers) {
      filler = RawPeer::ConnectNonBlocking(full.port());
    }
    options_.to = full.endpoint();
    Start();
    AwaitEnd();
    CHECK_FALSE(recorded_.sent);
  }
  SECTION("head timeout") {
    Start();
    auto peer = AcceptRequest();
    peer->Send("HTTP/1.1 200 OK\r\n");
    AwaitEnd();
    CHECK(recorded_.sent);
    CHECK(Until([&] { return peer->closed(); }));
  }
  SECTION("idle timeout within the body") {
    Start();
    auto peer = AcceptRequest();
    peer->Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi");
    AwaitEnd();
    CHECK(recorded_.body == "hi");
  }
  CHECK(recorded_.failure == HttpFailure::kTimeout);
}

TEST_CASE_METHOD(ClientFixture, "a keep-alive connection is reused",
                 "[client]") {
  options_.reuse_connection = true;
  auto peer = CompleteCall();
  for (int i = 0; i < 3; ++i) {
    Start();
    AwaitRequest(peer.get());
    peer->Clear();
    peer->Send(kOk);
    AwaitEnd();
    CHECK(recorded_.done);
  }
  CHECK(listener_.Accept() == nullptr);
  SECTION("but not by a call without reuse_connection") {
    options_.reuse_connection = false;
    auto fresh = CompleteCall();
    CHECK(peer->received().empty());
    CHECK(Until([&] { return fresh->closed(); }));
  }
  SECTION("but not after Connection: close or extra bytes") {
    Start();
    AwaitRequest(peer.get());
    const bool extra = GENERATE(false, true);
    peer->Send(extra ? std::string(kOk) + "X"
                     : "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                       "Content-Length: 0\r\n\r\n");
    AwaitEnd();
    CHECK(recorded_.done);
    CHECK(Until([&] { return peer->closed(); }));
    CompleteCall();
  }
  SECTION("but not after bytes that arrived without a request") {
    peer->Send(kOk);
    CHECK(Until([&] { return peer->closed(); }));
    CompleteCall();
  }
}

// Calls whose requests and responses bear ids.
class RequestIdFixture : public ClientFixture {
 protected:
  RequestIdFixture() {
    options_.reuse_connection = true;
    options_.read_request_id = [](const HttpHeaders& headers) {
      const std::string* id = headers.Find("Id");
      return id == nullptr ? "" : *id;
    };
  }
  static std::string ResponseText(const std::string& id, int status = 200,
                                  const std::string& body = "hi") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
           (id.empty() ? "" : "Id: " + id + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Completes a call with an id, or without one, on a new connection.
  std::unique_ptr<RawPeer> CompleteCallWithId(const std::string& id,
                                              const std::string& named_id,
                                              int status = 200) {
    options_.request_id = id;
    return CompleteCall(ResponseText(named_id, status));
  }
  // Starts a call and returns whether it uses the connection to `peer`.
  bool Uses(RawPeer* peer, const std::string& id) {
    peer->Clear();
    options_.request_id = id;
    Start();
    std::unique_ptr<RawPeer> other;
    REQUIRE(Until([&] {
      if (other == nullptr) other = listener_.Accept();
      return !peer->received().empty() ||
             (other != nullptr && !other->received().empty());
    }));
    call_.reset();
    return !peer->received().empty();
  }
};

// Guards against a late copy of a response without an id, which looks like the
// response to whatever was sent last.
TEST_CASE_METHOD(RequestIdFixture,
                 "a request with an id isn't sent where a response named none",
                 "[client]") {
  const std::string first_id = GENERATE("", "a");
  SECTION("a failure") {
    auto peer = CompleteCallWithId(first_id, "", 503);
    CHECK_FALSE(Uses(peer.get(), "b"));
    // A call that doesn't tell responses apart may use it.
    CHECK(Uses(peer.get(), ""));
  }
  SECTION("a success") {
    auto peer = CompleteCallWithId(first_id, "", 200);
    CHECK_FALSE(Uses(peer.get(), "b"));
  }
  SECTION("a success, which can't be a response to this request") {
    auto peer = CompleteCallWithId(first_id, "", 200);
    options_.success_names_request = true;
    CHECK(Uses(peer.get(), "b"));
  }
}

// Guards against a late copy of the response to an earlier attempt.
TEST_CASE_METHOD(RequestIdFixture,
                 "a request isn't sent twice on one connection", "[client]") {
  auto peer = CompleteCallWithId("a", "a");
  SECTION("but another one is") { CHECK(Uses(peer.get(), "b")); }
  SECTION("the same request") { CHECK_FALSE(Uses(peer.get(), "a")); }
  SECTION("also when it isn't the last one") {
    options_.request_id = "b";
    Start();
    AwaitRequest(peer.get());
    peer->Send(ResponseText("b"));
    AwaitEnd();
    CHECK_FALSE(Uses(peer.get(), "a"));
  }
}

TEST_CASE_METHOD(RequestIdFixture,
                 "late copies of responses to other requests are skipped",
                 "[client]") {
  auto peer = CompleteCallWithId("a", "a");
  options_.request_id = GENERATE("", "b");
  Start();
  AwaitRequest(peer.get());
  peer->Send(ResponseText("a", 200, "late") + ResponseText("a", 503) +
             ResponseText(options_.request_id, 200, "own"));
  AwaitEnd();
  CHECK(recorded_.done);
  CHECK(recorded_.body == "own");
  CHECK(call_->connection_use().skipped_responses == 2);
  CHECK(call_->connection_use().earlier_calls == 1);
}

TEST_CASE_METHOD(RequestIdFixture,
                 "a late copy of a success without an id is skipped",
                 "[client]") {
  auto peer = CompleteCallWithId("", "");
  options_.success_names_request = true;
  options_.request_id = "a";
  Start();
  AwaitRequest(peer.get());
  peer->Send(ResponseText("", 200, "late") + ResponseText("a", 200, "own"));
  AwaitEnd();
  CHECK(recorded_.body == "own");
  // Without an earlier one, it can't be a copy.
  auto fresh = CompleteCallWithId("a", "");
  CHECK(call_->connection_use().skipped_responses == 0);
}

// Calls to the incarnation 7 of a server, which states it in the body of its
// response to "/who".
class IncarnationFixture : public RequestIdFixture {
 protected:
  IncarnationFixture() {
    options_.success_names_request = true;
    options_.request_id = "a";
    IncarnationCheck check;
    check.expected = 7;
    check.query = {"GET", "/who", {}, ""};
    check.timeout = milliseconds(50);
    check.read = [](const HttpResponse& response) -> std::optional<int64_t> {
      if (response.status != 200 || response.body.empty()) return std::nullopt;
      return std::stoll(response.body);
    };
    check.may_ask = [this] { return may_ask_; };
    options_.incarnation_check = check;
  }
  // Accepts a connection on which the call asks for the incarnation.
  std::unique_ptr<RawPeer> AcceptQuery() {
    auto peer = AcceptRequest();
    CHECK(peer->received().find("GET /who HTTP/1.1\r\n") == 0);
    CHECK_FALSE(call_->sent());
    peer->Clear();
    return peer;
  }
  static std::string Statement(const std::string& incarnation) {
    return ResponseText("", 200, incarnation);
  }
  void AwaitCallOn(RawPeer* peer) {
    AwaitRequest(peer);
    CHECK(peer->received().find("GET /t HTTP/1.1\r\n") == 0);
    CHECK(call_->sent());
    CHECK(call_->has_expected_incarnation());
    peer->Clear();
  }
  void Respond(RawPeer* peer) {
    peer->Send(ResponseText(options_.request_id));
    AwaitEnd();
    CHECK(recorded_.done);
    CHECK(recorded_.body == "hi");
  }

  bool may_ask_ = true;
};

TEST_CASE_METHOD(IncarnationFixture,
                 "the incarnation is asked for once on each connection",
                 "[client]") {
  Start();
  auto peer = AcceptQuery();
  peer->Send(Statement("7"));
  AwaitCallOn(peer.get());
  Respond(peer.get());
  options_.request_id = "b";
  Start();
  AwaitCallOn(peer.get());
  Respond(peer.get());
  CHECK(listener_.Accept() == nullptr);
  // The server has started again, which the daemon has learned, but the
  // connection is still there.
  options_.incarnation_check->expected = 8;
  options_.request_id = "c";
  Start();
  auto other = AcceptQuery();
  CHECK(peer->received().empty());
  other->Send(Statement("8"));
  AwaitCallOn(other.get());
  Respond(other.get());
}

TEST_CASE_METHOD(IncarnationFixture,
                 "a pooled connection is asked for its incarnation",
                 "[client]") {
  const auto check = std::exchange(options_.incarnation_check, std::nullopt);
  auto peer = CompleteCallWithId("z", "z");
  options_.incarnation_check = check;
  options_.request_id = "a";
  Start();
  AwaitRequest(peer.get());
  CHECK(peer->received().find("GET /who ") == 0);
  peer->Clear();
  // A late copy of the first response arrives in front of the statement.
  peer->Send(ResponseText("z") + Statement("7"));
  AwaitCallOn(peer.get());
  // A late copy of the statement is no response to the request.
  peer->Send(Statement("7"));
  Respond(peer.get());
  CHECK(call_->connection_use().skipped_responses == 1);
}

TEST_CASE_METHOD(IncarnationFixture,
                 "another incarnation than the expected one gets no request",
                 "[client]") {
  options_.incarnation_check->is_required = GENERATE(true, false);
  Start();
  auto peer = AcceptQuery();
  peer->Send(Statement("8"));
  AwaitEnd();
  CHECK(recorded_.failure == HttpFailure::kOtherIncarnation);
  CHECK_FALSE(recorded_.sent);
  CHECK(peer->received().empty());
}

// How a server fails to state its incarnation.
enum class NoStatement {
  kSilent,
  kCloses,
  kRejects,
  kStatesNone,
  kEndsWithClose,
  kSendsMore
};

TEST_CASE_METHOD(IncarnationFixture,
                 "a server that doesn't state its incarnation is asked twice",
                 "[client]") {
  const auto how =
      GENERATE(NoStatement::kSilent, NoStatement::kCloses,
               NoStatement::kRejects, NoStatement::kStatesNone,
               NoStatement::kEndsWithClose, NoStatement::kSendsMore);
  options_.incarnation_check->is_required = GENERATE(true, false);
  CAPTURE(static_cast<int>(how), options_.incarnation_check->is_required);
  Start();
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int i = 0; i < 2; ++i) {
    peers.push_back(AcceptQuery());
    RawPeer* const peer = peers.back().get();
    switch (how) {
      case NoStatement::kSilent:
        break;
      case NoStatement::kCloses:
        peer->Close();
        break;
      case NoStatement::kRejects:
        peer->Send(ResponseText("", 503));
        break;
      case NoStatement::kStatesNone:
        peer->Send(ResponseText("", 200, ""));
        break;
      case NoStatement::kEndsWithClose:
        peer->Send("HTTP/1.1 200 X\r\n\r\n7");
        peer->ShutdownWrite();
        break;
      case NoStatement::kSendsMore:
        peer->Send(Statement("7") + "HTTP");
        break;
    }
  }
  if (options_.incarnation_check->is_required) {
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kUnknownIncarnation);
    CHECK_FALSE(recorded_.sent);
    CHECK(listener_.Accept() == nullptr);
    return;
  }
  // On a connection on which no copy of a response can arrive.
  auto peer = AcceptRequest();
  CHECK(peer->received().find("GET /t ") == 0);
  CHECK_FALSE(call_->has_expected_incarnation());
  Respond(peer.get());
}

TEST_CASE_METHOD(IncarnationFixture,
                 "a lost statement is asked for on another connection",
                 "[client]") {
  Start();
  auto first = AcceptQuery();
  first->Close();
  auto second = AcceptQuery();
  second->Send(Statement("7"));
  AwaitCallOn(second.get());
  Respond(second.get());
}

TEST_CASE_METHOD(IncarnationFixture,
                 "a server that may not be asked gets nothing", "[client]") {
  may_ask_ = false;
  Start();
  AwaitEnd();
  CHECK(recorded_.failure == HttpFailure::kWithheld);
  CHECK_FALSE(recorded_.sent);
}

TEST_CASE_METHOD(IncarnationFixture,
                 "a call may be destroyed while it asks for the incarnation",
                 "[client]") {
  Start();
  auto peer = AcceptQuery();
  call_.reset();
  CHECK(Until([&] { return peer->closed(); }));
  peer->Send(Statement("7"));
  RunFor(loop_.get(), milliseconds(60));
  CHECK(recorded_.ends == 0);
}

TEST_CASE_METHOD(ClientFixture,
                 "a request on a closed pooled connection is retried once",
                 "[client]") {
  options_.reuse_connection = true;
  auto peer = CompleteCall();
  const int close_mode = GENERATE(0, 1, 2);
  CAPTURE(close_mode);
  Start();
  // Mode 0 closes the connection before the loop runs, so that the request is
  // written to a connection that the peer has closed already.
  if (close_mode != 0) AwaitRequest(peer.get());
  if (close_mode == 2) {
    peer->CloseWithReset();
  } else {
    peer->Close();
  }
  auto second = AcceptRequest();
  SECTION("the retry succeeds") {
    second->Send(kOk);
    AwaitEnd();
    CHECK(recorded_.done);
  }
  SECTION("a failed retry is not retried again") {
    second->Close();
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kNoResponse);
    CHECK(recorded_.sent);
    RunFor(loop_.get(), milliseconds(50));
    CHECK(listener_.Accept() == nullptr);
  }
}

TEST_CASE_METHOD(ClientFixture,
                 "a server that terminates under a pooled call didn't respond",
                 "[client]") {
  options_.reuse_connection = true;
  auto peer = CompleteCall();
  Start();
  AwaitRequest(peer.get());
  // The retry on a fresh connection finds nobody.
  listener_.Close();
  peer->CloseWithReset();
  AwaitEnd();
  CHECK(recorded_.failure == HttpFailure::kNoResponse);
  CHECK(recorded_.sent);
}

// With TCP_USER_TIMEOUT, a connection to a server that is silent for a moment
// would be reset, and keep-alive probes would give up early.
TEST_CASE_METHOD(ClientFixture, "connections have no user timeout",
                 "[client]") {
  options_.reuse_connection = true;
  auto peer = CompleteCall();
  Start();
  AwaitRequest(peer.get());
  int sockets = 0;
  for (int fd = 0; fd < 256; ++fd) {
    int type = 0;
    socklen_t length = sizeof(type);
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0 ||
        type != SOCK_STREAM)
      continue;
    unsigned timeout = 1;
    length = sizeof(timeout);
    if (getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &length) != 0)
      continue;
    CHECK(timeout == 0);
    ++sockets;
  }
  CHECK(sockets >= 3);  // A listener and both ends of a connection.
}

TEST_CASE_METHOD(ClientFixture, "no retry after the first byte of a response",
                 "[client]") {
  options_.reuse_connection = true;
  auto peer = CompleteCall();
  Start();
  AwaitRequest(peer.get());
  peer->Send("H");
  RunFor(loop_.get(), milliseconds(5));
  peer->Close();
  AwaitEnd();
  CHECK(recorded_.failure == HttpFailure::kNoResponse);
  CHECK(recorded_.sent);
  RunFor(loop_.get(), milliseconds(50));
  CHECK(listener_.Accept() == nullptr);
}

TEST_CASE_METHOD(ClientFixture,
                 "without reuse_connection a request is written once",
                 "[client]") {
  // A pooled connection is available but must not be used.
  options_.reuse_connection = true;
  auto pooled = CompleteCall();
  options_.reuse_connection = false;
  Start("POST", "x");
  auto peer = AcceptRequest();
  const bool reset = GENERATE(false, true);
  if (reset) {
    peer->CloseWithReset();
  } else {
    peer->Close();
  }
  AwaitEnd();
  CHECK(recorded_.failure == HttpFailure::kNoResponse);
  CHECK(recorded_.sent);
  RunFor(loop_.get(), milliseconds(100));
  CHECK(listener_.Accept() == nullptr);
  CHECK(pooled->received().empty());
}

TEST_CASE_METHOD(ClientFixture,
                 "a request is written only if that is still allowed",
                 "[client]") {
  options_.reuse_connection = GENERATE(false, true);
  std::unique_ptr<RawPeer> pooled;
  if (options_.reuse_connection) pooled = CompleteCall();
  int asked = 0;
  bool is_allowed = false;
  options_.may_send = [&] {
    ++asked;
    CHECK_FALSE(call_->sent());
    return is_allowed;
  };
  SECTION("withheld") {
    Start("POST", "x");
    AwaitEnd();
    CHECK(recorded_.failure == HttpFailure::kWithheld);
    CHECK_FALSE(recorded_.sent);
    RunFor(loop_.get(), milliseconds(50));
    if (pooled != nullptr) CHECK(pooled->received().empty());
    if (const auto peer = listener_.Accept()) CHECK(peer->received().empty());
  }
  SECTION("written") {
    is_allowed = true;
    Start("POST", "x");
    if (pooled != nullptr) {
      AwaitRequest(pooled.get());
      pooled->Send(kOk);
    } else {
      AcceptRequest()->Send(kOk);
    }
    AwaitEnd();
  }
  CHECK(asked == 1);
}

TEST_CASE_METHOD(ClientFixture,
                 "a response before the end of the request completes the call",
                 "[client]") {
  options_.reuse_connection = true;
  Start("POST", std::string(64 << 20, 'x'));
  auto peer = AcceptRequest();
  peer->Send("HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n");
  AwaitEnd();
  CHECK(recorded_.done);
  CHECK(recorded_.status == 413);
  CHECK(Until([&] { return peer->closed(); }));
}

TEST_CASE_METHOD(ClientFixture,
                 "Pause stops reading and suspends the idle timeout",
                 "[client]") {
  options_.idle_timeout = milliseconds(200);
  Start();
  auto peer = AcceptRequest();
  constexpr size_t kSize = 64 << 20;
  const std::string data(1 << 20, 'x');
  peer->Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kSize) +
             "\r\n\r\n");
  recorded_.on_body = [this] { call_->Pause(true); };
  size_t sent = 0;
  const auto send = [&] {
    if (sent < kSize) {
      sent += peer->Send(std::string_view(data).substr(
          0, std::min(data.size(), kSize - sent)));
    }
  };
  REQUIRE(Until([&] {
    send();
    return !recorded_.body.empty();
  }));
  const size_t before = recorded_.body.size();
  // Longer than idle_timeout: a paused call doesn't time out.
  RunUntil(
      loop_.get(),
      [&] {
        send();
        return false;
      },
      milliseconds(500));
  CHECK(recorded_.body.size() == before);
  CHECK(sent < kSize);
  CHECK(recorded_.ends == 0);
  recorded_.on_body = nullptr;
  call_->Pause(false);
  REQUIRE(Until([&] {
    send();
    return recorded_.ends > 0;
  }));
  CHECK(recorded_.done);
  CHECK(recorded_.body.size() == kSize);
}

TEST_CASE_METHOD(ClientFixture,
                 "data received before a close is delivered after a pause",
                 "[client]") {
  Start();
  auto peer = AcceptRequest();
  recorded_.on_head = [this] { call_->Pause(true); };
  peer->Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
  REQUIRE(Until([&] { return recorded_.heads == 1; }));
  REQUIRE(peer->Send(std::string(100000, 'x')) == 100000);
  peer->Close();
  RunFor(loop_.get(), milliseconds(50));
  CHECK(recorded_.ends == 0);
  call_->Pause(false);
  AwaitEnd();
  CHECK(recorded_.done);
  CHECK(recorded_.body.size() == 100000);
}

TEST_CASE_METHOD(ClientFixture, "a call may be destroyed in every state",
                 "[client]") {
  options_.reuse_connection = GENERATE(false, true);
  const auto destroy = [this] { call_.reset(); };
  std::unique_ptr<RawPeer> peer;
  SECTION("before it starts") {
    Start();
    call_.reset();
    RunFor(loop_.get(), milliseconds(20));
    CHECK(listener_.Accept() == nullptr);
  }
  SECTION("while connecting") {
    Start();
    loop_->Post(destroy);
    RunFor(loop_.get(), milliseconds(20));
    if ((peer = listener_.Accept()) != nullptr) {
      CHECK(Until([&] { return peer->closed(); }));
      CHECK(peer->received().empty());
    }
  }
  SECTION("while it waits for the response") {
    Start();
    peer = AcceptRequest();
    call_.reset();
    CHECK(Until([&] { return peer->closed(); }));
  }
  SECTION("within a callback") {
    const int where = GENERATE(0, 1, 2, 3);
    Start();
    if (where == 0) recorded_.on_head = destroy;
    if (where == 1) recorded_.on_body = destroy;
    if (where >= 2) recorded_.on_end = destroy;
    peer = AcceptRequest();
    peer->Send(where < 3 ? kOk : "junk\r\n\r\n");
    REQUIRE(Until([&] { return call_ == nullptr; }));
    RunFor(loop_.get(), milliseconds(20));
    CHECK(recorded_.ends == (where < 2 ? 0 : 1));
    CHECK(recorded_.heads == (where < 3 ? 1 : 0));
    if (where < 2) CHECK(Until([&] { return peer->closed(); }));
  }
  if (call_ == nullptr && recorded_.heads == 0 && peer == nullptr) {
    CHECK(recorded_.ends == 0);
  }
}

TEST_CASE_METHOD(ClientFixture,
                 "a call completes after its client is destroyed", "[client]") {
  options_.reuse_connection = true;
  Start();
  client_.reset();
  auto peer = AcceptRequest();
  peer->Send(kOk);
  AwaitEnd();
  CHECK(recorded_.done);
  CHECK(Until([&] { return peer->closed(); }));
}

TEST_CASE_METHOD(ClientFixture,
                 "Fetch reports a complete response or a failure", "[client]") {
  HttpResult result;
  int ends = 0;
  call_ = Fetch(client_.get(), options_, {"GET", "/", {}, ""},
                [&](HttpResult fetched) {
                  result = std::move(fetched);
                  ++ends;
                  call_.reset();
                });
  auto peer = AcceptRequest();
  const bool complete = GENERATE(false, true);
  peer->Send(std::string_view(kOk).substr(0, sizeof(kOk) - (complete ? 1 : 2)));
  peer->Close();
  REQUIRE(Until([&] { return ends > 0; }));
  CHECK(ends == 1);
  CHECK(result.ok == complete);
  CHECK(result.response.body == (complete ? "hi" : ""));
  CHECK(result.response.headers.fields().empty());
  if (!complete) CHECK(result.failure == HttpFailure::kTruncated);
}

// A peer that sends a response without framing before it has read the request.
class EarlyResponseFixture : public ClientFixture {
 protected:
  EarlyResponseFixture() {
    // Connections inherit it, so that the request stalls soon.
    const int size = 4096;
    setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    options_.accept_close_delimited = true;
  }

  // Starts a call with a body of `size` bytes, of which the peer reads none,
  // and waits until the client has a part of the response.
  std::unique_ptr<RawPeer> StartUpload(size_t size) {
    Start("POST", std::string(size, 'x'));
    std::unique_ptr<RawPeer> peer;
    REQUIRE(Until([&] { return (peer = listener_.Accept()) != nullptr; }));
    RunFor(loop_.get(), milliseconds(20));
    peer->Send("HTTP/1.1 200 OK\r\n\r\npart");
    REQUIRE(Until([&] { return recorded_.body == "part"; }));
    return peer;
  }
};

TEST_CASE_METHOD(
    ClientFixture,
    "a call whose server may not even be asked for its incarnation "
    "hasn't been sent",
    "[client]") {
  options_.reuse_connection = true;
  const auto pooled = CompleteCall();
  IncarnationCheck check;
  check.expected = 1;
  check.query.method = "GET";
  check.query.target = "/report";
  check.timeout = milliseconds(100);
  check.read = [](const HttpResponse&) { return std::optional<int64_t>(1); };
  check.may_ask = [] { return false; };
  options_.incarnation_check = check;
  Start("POST", "x");
  AwaitEnd();
  CHECK(recorded_.failure == HttpFailure::kWithheld);
  CHECK_FALSE(recorded_.sent);
  CHECK(pooled->received().empty());
}

TEST_CASE_METHOD(EarlyResponseFixture,
                 "a response that ends with its connection before the request "
                 "has arrived is truncated",
                 "[client]") {
  // The kernel takes over the first body whole.
  const size_t size = GENERATE(100'000, 32'000'000);
  const auto peer = StartUpload(size);
  SECTION("orderly") { peer->ShutdownWrite(); }
  SECTION("orderly, then with a reset") {
    peer->ShutdownWrite();
    peer->CloseWithReset();
  }
  SECTION("with a reset") { peer->CloseWithReset(); }
  SECTION("closed with unread bytes") { peer->Close(); }
  AwaitEnd();
  CHECK_FALSE(recorded_.done);
  CHECK(recorded_.failure == HttpFailure::kTruncated);
  CHECK(recorded_.sent);
}

TEST_CASE_METHOD(ClientFixture,
                 "a request that the kernel doesn't take over at once is "
                 "written whole",
                 "[client]") {
  // Connections inherit it, so that the request stalls soon.
  const int size = 4096;
  setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  const std::string body(16U << 20, 'x');
  Start("POST", body);
  auto peer = AcceptRequest();
  CHECK(Until([&] { return peer->received().size() > body.size(); }));
  peer->Send(kOk);
  AwaitEnd();
  CHECK(recorded_.done);
}

}  // namespace
}  // namespace mimosa
