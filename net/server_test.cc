// Tests HttpServer against raw TCP peers: ambiguous framing, slow and
// disconnected clients, pipelining, and complete and truncated responses.
#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/test_peer.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Records the requests and responds to each with `respond`, if set.
class RecordingHandler : public HttpHandler {
 public:
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    exchanges.push_back(exchange);
    if (respond) respond(exchange.get());
  }

  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  std::function<void(HttpExchange*)> respond;
};

// Responds with the method, target and body of the request.
void Echo(HttpExchange* exchange) {
  const HttpRequest& request = exchange->request();
  HttpResponse response;
  response.status = 200;
  response.body =
      "[" + request.method + " " + request.target + " " + request.body + "]";
  exchange->Respond(std::move(response));
}

size_t CountOccurrences(const std::string& text, const std::string& what) {
  size_t count = 0;
  for (size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + 1)) {
    ++count;
  }
  return count;
}

bool Contains(const std::string& text, const std::string& what) {
  return text.find(what) != std::string::npos;
}

class ServerFixture {
 protected:
  ServerFixture() : loop_(LwsLoop::Create()) {
    options_.listen.ip = "127.0.0.1";
    options_.max_body_bytes = 100000;
    handler_.respond = Echo;
  }

  void Listen() {
    server_ = MakeHttpServer(loop_.get(), options_, &handler_);
    REQUIRE(server_ != nullptr);
  }
  std::unique_ptr<RawPeer> Connect(int receive_buffer = 0) {
    auto peer = RawPeer::Connect(server_->port(), receive_buffer);
    REQUIRE(peer != nullptr);
    return peer;
  }
  bool Until(const std::function<bool()>& condition) {
    return RunUntil(loop_.get(), condition);
  }
  void RunLoopFor(Duration duration = milliseconds(1)) {
    RunFor(loop_.get(), duration);
  }
  // Connects, sends `text` and waits until the handler has received a request.
  std::unique_ptr<RawPeer> SendRequest(std::string_view text) {
    auto peer = Connect();
    const size_t before = handler_.exchanges.size();
    peer->Send(text);
    REQUIRE(Until([&] { return handler_.exchanges.size() > before; }));
    return peer;
  }
  // The exchange of the most recent request.
  HttpExchange* exchange() { return handler_.exchanges.back().get(); }

  std::unique_ptr<LwsLoop> loop_;
  HttpServerOptions options_;
  RecordingHandler handler_;
  std::unique_ptr<HttpServer> server_;
};

constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

std::string Post(const std::string& framing_and_body) {
  return "POST /p HTTP/1.1\r\nHost: h\r\n" + framing_and_body;
}

// Input with valid requests, and the expected echoes.
struct Accepted {
  std::string text;
  std::vector<std::string> echoes;  // in order
};

std::vector<Accepted> AcceptedCases() {
  return {
      {kGet, {"[GET / ]"}},
      {std::string("\r\n\r\n") + kGet, {"[GET / ]"}},
      {Post("Content-Length: 2\r\n\r\nhi"), {"[POST /p hi]"}},
      {Post("Content-Length: 0\r\n\r\n"), {"[POST /p ]"}},
      // Bytes after a body are the next request. libwebsockets' HTTP role
      // completed the first request again in this case.
      {Post("Content-Length: 2\r\n\r\nhi") +
           Post("Content-Length: 3\r\n\r\nyou"),
       {"[POST /p hi]", "[POST /p you]"}},
      {Post("Content-Length: 2\r\n\r\nhi\r\n") + kGet,
       {"[POST /p hi]", "[GET / ]"}},
      {std::string(kGet) + kGet + kGet, {"[GET / ]", "[GET / ]", "[GET / ]"}},
      {Post("Transfer-Encoding: chunked\r\n\r\n"
            "2\r\nhi\r\n5;x=y\r\nthere\r\n0\r\nT: v\r\n\r\n") +
           kGet,
       {"[POST /p hithere]", "[GET / ]"}},
      {"DELETE /d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
       {"[DELETE /d x]"}},
      {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", {"[OPTIONS * ]"}},
      {"MYOWN /?q=%20 HTTP/1.1\r\nHost: h\r\n\r\n", {"[MYOWN /?q=%20 ]"}},
  };
}

TEST_CASE_METHOD(ServerFixture,
                 "each request is dispatched once, wherever the input is split",
                 "[server]") {
  Listen();
  for (const Accepted& accepted : AcceptedCases()) {
    const size_t n = accepted.text.size();
    for (size_t split = 0; split < n; ++split) {
      CAPTURE(accepted.text, split);
      handler_.exchanges.clear();
      auto peer = Connect();
      peer->Send(accepted.text.substr(0, split));
      if (split > 0) RunLoopFor();
      peer->Send(accepted.text.substr(split));
      REQUIRE(Until([&] {
        return CountOccurrences(peer->received(), "]") ==
               accepted.echoes.size();
      }));
      size_t at = 0;
      for (const std::string& echo : accepted.echoes) {
        at = peer->received().find(echo, at);
        CHECK(at != std::string::npos);
      }
      CHECK(handler_.exchanges.size() == accepted.echoes.size());
      CHECK_FALSE(peer->closed());
    }
  }
}

TEST_CASE_METHOD(ServerFixture,
                 "requests with invalid or ambiguous framing are refused",
                 "[server]") {
  struct Refused {
    std::string text;
    int status;
  };
  const std::string long_field = "X: " + std::string(40000, 'x');
  std::string many_fields;
  for (int i = 0; i < 300; ++i) many_fields += "X: y\r\n";
  const std::vector<Refused> cases = {
      {Post("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            "2\r\nhi\r\n0\r\n\r\n"),
       400},
      {Post("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
            "2\r\nhi\r\n0\r\n\r\n"),
       400},
      {Post("Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!"), 400},
      {Post("Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi"), 400},
      {Post("Content-Length: 2, 2\r\n\r\nhi"), 400},
      {Post("Content-Length: -1\r\n\r\nhi"), 400},
      {Post("Content-Length: +2\r\n\r\nhi"), 400},
      {Post("Content-Length: 0x2\r\n\r\nhi"), 400},
      {Post("Content-Length: \r\n\r\nhi"), 400},
      {Post("Content-Length: 99999999999999999999\r\n\r\nhi"), 400},
      {Post("Content-Length : 2\r\n\r\nhi"), 400},
      {Post("Transfer-Encoding: gzip\r\n\r\nhi"), 400},
      {Post("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n"),
       400},
      {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {Post("Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n\r\n-2\r\nhi\r\n0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n\r\n2\r\nhiXX0\r\n\r\n"), 400},
      {Post("Transfer-Encoding: chunked\r\n\r\n"
            "fffffffffffffffff\r\nhi\r\n0\r\n\r\n"),
       400},
      {Post("Transfer-Encoding: chunked\r\n\r\n2;" + std::string(40000, 'x')),
       400},
      {Post("Content-Length: 100001\r\n\r\n"), 413},
      {Post("Transfer-Encoding: chunked\r\n\r\n186a1\r\n"), 413},
      {Post("Expect: 100-continue\r\nContent-Length: 100001\r\n\r\n"), 413},
      {Post("Expect: miracles\r\nContent-Length: 1\r\n\r\nx"), 417},
      {"GET / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
      {"GET / HTTP/1.1\nHost: a\n\n", 505},
      {"GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", 400},
      {std::string("GET / HTTP/1.1\r\nHost: a\r\nX: a\0b\r\n\r\n", 35), 400},
      {"GET / HTTP/1.1\r\nHost: a\r\n: no name\r\n\r\n", 400},
      {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"GET /\r\n\r\n", 400},
      {"\x16\x03\x01\x02\x01\x01\xfc\x03\x03 hello\r\n\r\n", 400},
      {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
      {"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 501},
      {"GET /" + std::string(40000, 'x') + " HTTP/1.1\r\n\r\n", 431},
      {"GET / HTTP/1.1\r\nHost: a\r\n" + long_field + "\r\n\r\n", 431},
      {"GET / HTTP/1.1\r\nHost: a\r\n" + many_fields + "\r\n", 431},
  };
  Listen();
  auto other_peer = SendRequest(kGet);
  handler_.exchanges.clear();
  for (const Refused& refused : cases) {
    CAPTURE(refused.text.substr(0, 200));
    auto peer = Connect();
    // The valid request after it must not be dispatched.
    peer->Send(refused.text + kGet);
    REQUIRE(Until([&] { return peer->closed(); }));
    CHECK(peer->received().substr(0, 13) ==
          "HTTP/1.1 " + std::to_string(refused.status) + " ");
    CHECK(CountOccurrences(peer->received(), "HTTP/1.1") == 1);
    CHECK(Contains(peer->received(), "Connection: close"));
    CHECK(handler_.exchanges.empty());
  }
  other_peer->Clear();
  other_peer->Send(kGet);
  CHECK(Until([&] { return Contains(other_peer->received(), "[GET / ]"); }));
}

TEST_CASE_METHOD(ServerFixture,
                 "connections of slow and idle clients are closed",
                 "[server]") {
  options_.head_timeout = milliseconds(50);
  options_.body_timeout = milliseconds(50);
  options_.idle_timeout = milliseconds(50);
  Listen();
  struct Slow {
    std::string text;
    std::string response;
  };
  const std::vector<Slow> cases = {
      {"", ""},
      {"GET / HT", "HTTP/1.1 408 "},
      {"GET / HTTP/1.1\r\nHost", "HTTP/1.1 408 "},
      {Post("Content-Length: 5\r\n\r\nhi"), "HTTP/1.1 408 "},
      {Post("Transfer-Encoding: chunked\r\n\r\n5\r\n"), "HTTP/1.1 408 "},
  };
  for (const Slow& slow : cases) {
    CAPTURE(slow.text);
    auto peer = Connect();
    peer->Send(slow.text);
    REQUIRE(Until([&] { return peer->closed(); }));
    CHECK(peer->received().substr(0, slow.response.size()) == slow.response);
    CHECK(peer->received().empty() == slow.response.empty());
  }
  CHECK(handler_.exchanges.empty());

  SECTION("single bytes of a head don't extend the head timeout") {
    auto peer = Connect();
    const std::string text = "GET / HTTP/1.1\r\nX: " + std::string(9999, 'x');
    size_t sent = 0;
    CHECK(Until([&] {
      sent += peer->Send(text.substr(sent, 1));
      return peer->closed();
    }));
    CHECK(sent < text.size());
  }
  SECTION("the idle timeout doesn't apply during a response") {
    handler_.respond = nullptr;
    auto peer = SendRequest(kGet);
    RunLoopFor(milliseconds(200));
    CHECK_FALSE(exchange()->closed());
    Echo(exchange());
    CHECK(Until([&] { return Contains(peer->received(), "[GET / ]"); }));
  }
}

TEST_CASE_METHOD(ServerFixture, "a client disconnect is reported once",
                 "[server]") {
  handler_.respond = nullptr;
  Listen();
  const bool streaming = GENERATE(false, true);
  const int disconnect_mode = GENERATE(0, 1, 2);
  const bool pipelined = GENERATE(false, true);
  CAPTURE(streaming, disconnect_mode, pipelined);
  auto peer = SendRequest(std::string(kGet) + (pipelined ? kGet : ""));
  int disconnects = 0;
  exchange()->OnClientDisconnected([&] { ++disconnects; });
  if (streaming) {
    exchange()->StartStream(200, {});
    exchange()->Write("part");
    REQUIRE(Until([&] { return Contains(peer->received(), "part"); }));
  }
  CHECK(server_->open_exchanges() == 1);
  if (disconnect_mode == 0) peer->Close();
  if (disconnect_mode == 1) peer->CloseWithReset();
  if (disconnect_mode == 2) peer->ShutdownWrite();
  REQUIRE(Until([&] { return disconnects > 0; }));
  CHECK(disconnects == 1);
  CHECK(exchange()->closed());
  CHECK(server_->open_exchanges() == 0);
  // All calls are no-ops after the disconnect.
  exchange()->Write("more");
  exchange()->Finish();
  exchange()->Abort();
  Echo(exchange());
  CHECK(exchange()->UnsentBytes() == 0);
  CHECK(handler_.exchanges.size() == 1);
}

TEST_CASE_METHOD(ServerFixture,
                 "a connection is closed if its client doesn't read",
                 "[server]") {
  options_.write_stall_timeout = milliseconds(100);
  handler_.respond = nullptr;
  Listen();
  auto peer = Connect(4096);
  peer->Send(kGet);
  REQUIRE(Until([&] { return handler_.exchanges.size() == 1; }));
  bool disconnected = false;
  exchange()->OnClientDisconnected([&] { disconnected = true; });
  exchange()->StartStream(200, {});
  exchange()->Write(std::string(32 << 20, 'x'));
  CHECK(exchange()->UnsentBytes() > 0);
  CHECK(Until([&] { return disconnected; }));
}

TEST_CASE_METHOD(ServerFixture,
                 "OnDrained runs each time the client has read everything",
                 "[server]") {
  handler_.respond = nullptr;
  Listen();
  auto peer = SendRequest(kGet);
  constexpr size_t kPiece = 1 << 20;
  constexpr size_t kPieces = 32;
  size_t written = 0;
  size_t most_unsent = 0;
  exchange()->StartStream(200, {}, kPiece * kPieces);
  const auto write = [&] {
    CHECK(exchange()->UnsentBytes() == 0);
    if (written == kPieces) {
      exchange()->Finish();
      return;
    }
    ++written;
    exchange()->Write(std::string(kPiece, 'x'));
    most_unsent = std::max(most_unsent, exchange()->UnsentBytes());
  };
  exchange()->OnDrained(write);
  REQUIRE(Until([&] { return peer->received().size() > kPiece * kPieces; }));
  CHECK(Until([&] { return exchange()->closed(); }));
  CHECK(most_unsent <= kPiece);
  CHECK(CountOccurrences(peer->received(), "HTTP/1.1 200") == 1);
}

TEST_CASE_METHOD(ServerFixture,
                 "large responses are written whole, also behind each other",
                 "[server]") {
  constexpr size_t kBytes = 16U << 20;
  handler_.respond = [](HttpExchange* exchange) {
    HttpResponse response;
    response.status = 200;
    response.body.assign(kBytes, 'x');
    exchange->Respond(std::move(response));
  };
  Listen();
  auto peer = Connect(/*receive_buffer=*/4096);
  peer->Send(std::string(kGet) + kGet + kGet);
  CHECK(Until([&] { return peer->received().size() > 3 * kBytes; }));
  CHECK(CountOccurrences(peer->received(), "HTTP/1.1 200") == 3);
}

TEST_CASE_METHOD(ServerFixture,
                 "a response is complete or recognizably truncated",
                 "[server]") {
  handler_.respond = nullptr;
  Listen();
  struct Case {
    const char* name;
    std::string request;
    std::function<void(HttpExchange*)> respond;
    bool open;                          // the connection stays open
    std::vector<std::string> contains;  // expected in the received bytes
    std::vector<std::string> excludes;
  };
  const std::string http10 = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
  const std::string head = "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::vector<Case> cases = {
      {"chunked response",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {});
         e->Write("ab");
         e->Write("");
         e->Write("cde");
         e->Finish();
       },
       true,
       {"Transfer-Encoding: chunked", "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"},
       {"Content-Length"}},
      {"aborted chunked response",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {});
         e->Write("ab");
         e->Abort();
       },
       false,
       {},
       {"0\r\n\r\n"}},
      {"response with length",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {}, 4);
         e->Write("ab");
         e->Write("cd");
         e->Finish();
       },
       true,
       {"Content-Length: 4", "\r\n\r\nabcd"},
       {"chunked"}},
      {"body shorter than its length",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {}, 4);
         e->Write("ab");
         e->Finish();
       },
       false,
       {},
       {"abcd"}},
      {"body longer than its length",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {}, 2);
         e->Write("abc");
         e->Finish();
       },
       false,
       {},
       {"abc"}},
      {"stream to an HTTP/1.0 client",
       http10,
       [](HttpExchange* e) {
         e->StartStream(200, {});
         e->Write("ab");
         e->Write("cd");
         e->Finish();
       },
       false,
       {"Content-Length: 4", "Connection: close", "\r\n\r\nabcd"},
       {"chunked"}},
      {"response to HEAD",
       head,
       [](HttpExchange* e) {
         HttpResponse response;
         response.status = 200;
         response.body = "body";
         e->Respond(std::move(response));
       },
       true,
       {"Content-Length: 4"},
       {"body"}},
      {"forwarded response to HEAD",
       head,
       [](HttpExchange* e) {
         HttpHeaders headers;
         headers.Add("Content-Length", "77");
         e->StartStream(200, headers);
         e->Finish();
       },
       true,
       {"Content-Length: 77"},
       {"chunked"}},
      {"status without body",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(204, {});
         e->Finish();
       },
       true,
       {"204 "},
       {"chunked", "Content-Length"}},
      {"response fields",
       kGet,
       [](HttpExchange* e) {
         HttpResponse response;
         response.status = 299;
         response.headers.Add("X-Twice", "1");
         response.headers.Add("x-twice", "2");
         response.headers.Add("Content-Length", "999");
         response.headers.Add("Transfer-Encoding", "chunked");
         response.headers.Add("X-Split", "a\r\nX-Evil: 1");
         response.headers.Add("X Evil", "1");
         response.headers.Add("", "X-Evil");
         response.body = "b";
         e->Respond(std::move(response));
       },
       true,
       {" 299 ", "X-Twice: 1\r\n", "x-twice: 2\r\n", "Content-Length: 1\r\n"},
       {"Evil", "999", "chunked"}},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    auto peer = SendRequest(c.request);
    c.respond(exchange());
    CHECK(exchange()->closed());
    exchange()->Write("late");  // no-op
    if (c.open) {
      // Another request shows that the response ended where it should.
      peer->Send("GET /end HTTP/1.1\r\nHost: h\r\n\r\n");
      const size_t before = handler_.exchanges.size();
      REQUIRE(Until([&] { return handler_.exchanges.size() > before; }));
      Echo(exchange());
      REQUIRE(Until([&] { return Contains(peer->received(), "[GET /end ]"); }));
    } else {
      REQUIRE(Until([&] { return peer->closed(); }));
    }
    std::string received = peer->received();
    // Leaves the second response out.
    if (c.open) received.resize(received.rfind("HTTP/1.1 "));
    for (const std::string& text : c.contains) {
      CHECK_THAT(received, Catch::Contains(text));
    }
    for (const std::string& text : c.excludes) {
      CHECK_THAT(received, !Catch::Contains(text));
    }
    CHECK_THAT(received, !Catch::Contains("late"));
  }
}

TEST_CASE_METHOD(ServerFixture,
                 "requests are delivered without connection-level fields",
                 "[server]") {
  Listen();
  auto peer = SendRequest(
      "POST /p HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\nx-own: 2\r\n"
      "Connection: keep-alive, X-Hop\r\nKeep-Alive: 5\r\nX-Hop: 3\r\n"
      "TE: trailers\r\nUpgrade: h2c\r\nExpect: 100-Continue\r\n"
      "Content-Length: 1\r\n\r\nx");
  const HttpHeaders& headers = exchange()->request().headers;
  CHECK(headers.fields() == std::vector<HttpHeaders::Field>{
                                {"Host", "h"}, {"X-Own", "1"}, {"x-own", "2"}});
  CHECK(exchange()->client().ip == "127.0.0.1");
  CHECK(exchange()->client().port != 0);
}

TEST_CASE_METHOD(ServerFixture,
                 "100 Continue is sent when the body is not there yet",
                 "[server]") {
  Listen();
  auto peer = Connect();
  peer->Send(Post("Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"));
  REQUIRE(Until(
      [&] { return peer->received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  CHECK(handler_.exchanges.empty());
  peer->Send("hi");
  CHECK(Until([&] { return Contains(peer->received(), "[POST /p hi]"); }));
  CHECK(CountOccurrences(peer->received(), "100 Continue") == 1);
}

TEST_CASE_METHOD(ServerFixture,
                 "pipelined input behind an open request is bounded",
                 "[server]") {
  handler_.respond = nullptr;
  Listen();
  auto peer = SendRequest(Post("Content-Length: 2\r\n\r\nhi"));
  const std::string more(16384, 'P');
  size_t sent = 0;
  REQUIRE(Until([&] {
    sent += peer->Send(more);
    return sent > (4U << 20);
  }));
  CHECK(handler_.exchanges.size() == 1);
  CHECK_FALSE(exchange()->closed());
  Echo(exchange());
  REQUIRE(Until([&] { return peer->closed(); }));
  CHECK(Contains(peer->received(), "[POST /p hi]"));
  CHECK(Contains(peer->received(), "Connection: close"));
  CHECK(CountOccurrences(peer->received(), "HTTP/1.1") == 1);
  CHECK(handler_.exchanges.size() == 1);
}

// Guards against a part of a request that runs as a request of its own: what a
// caller quotes in a body would run in its name.
TEST_CASE_METHOD(ServerFixture,
                 "a request behind a response that is read slowly stays whole",
                 "[server]") {
  handler_.respond = [this](HttpExchange* exchange) {
    if (handler_.exchanges.size() > 1) {
      Echo(exchange);
      return;
    }
    HttpResponse response;
    response.status = 200;
    response.body.assign(8U << 20, 's');
    exchange->Respond(std::move(response));
  };
  Listen();
  auto peer = Connect(/*receive_buffer=*/4096);
  peer->Send(kGet);
  REQUIRE(Until([&] { return handler_.exchanges.size() == 1; }));
  const std::string quoted =
      "POST /quoted HTTP/1.1\r\nHost: h\r\n"
      "Content-Length: 0\r\n\r\n";
  std::string body;
  while (body.size() + quoted.size() <= options_.max_body_bytes) body += quoted;
  const std::string letter = Post(
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  size_t sent = 0;
  const auto send_up_to = [&](size_t end) {
    REQUIRE(Until([&] {
      sent += peer->Send(std::string_view(letter).substr(sent, end - sent));
      return sent == end;
    }));
    RunLoopFor(milliseconds(20));
  };
  // More than is buffered, while much of the response waits.
  send_up_to(letter.size() - quoted.size() * 100);
  constexpr size_t kLittle = 200U << 10;
  REQUIRE(Until([&] {
    peer->ReadSome(65536);
    return server_->unsent_bytes() <= kLittle;
  }));
  send_up_to(letter.size());
  REQUIRE(Until([&] {
    peer->ReadSome(65536);
    return handler_.exchanges.size() == 2 || peer->closed();
  }));
  REQUIRE(handler_.exchanges.size() == 2);
  CHECK(exchange()->request().target == "/p");
  CHECK(exchange()->request().body == body);
}

TEST_CASE_METHOD(ServerFixture,
                 "StopAccepting lets open and arriving requests complete",
                 "[server]") {
  handler_.respond = nullptr;
  Listen();
  auto running = SendRequest(kGet);
  auto idle = Connect();
  auto waiting = Connect();  // established, but not yet accepted
  waiting->Send(kGet);
  const uint16_t port = server_->port();
  server_->StopAccepting();
  CHECK(RawPeer::Connect(port) == nullptr);
  REQUIRE(Until([&] { return handler_.exchanges.size() == 2; }));
  // A request that arrives on an idle connection after the stop is still
  // served.
  idle->Send(kGet);
  REQUIRE(Until([&] { return handler_.exchanges.size() == 3; }));
  CHECK(server_->open_exchanges() == 3);
  for (const auto& pending : handler_.exchanges) Echo(pending.get());
  for (RawPeer* peer : {running.get(), waiting.get(), idle.get()}) {
    REQUIRE(Until([&] { return peer->closed(); }));
    CHECK(Contains(peer->received(), "[GET / ]"));
    CHECK(Contains(peer->received(), "Connection: close"));
    CHECK_FALSE(peer->reset());
  }
  CHECK(server_->open_exchanges() == 0);
}

TEST_CASE_METHOD(ServerFixture, "StopAccepting closes idle connections",
                 "[server]") {
  Listen();
  auto idle = SendRequest(kGet);
  server_->StopAccepting();
  CHECK(Until([&] { return idle->closed(); }));
}

TEST_CASE_METHOD(ServerFixture, "two servers can't listen on the same port",
                 "[server]") {
  Listen();
  HttpServerOptions same = options_;
  same.listen.port = server_->port();
  CHECK(MakeHttpServer(loop_.get(), same, &handler_) == nullptr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server_->port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0);
  close(fd);
  // The port is free again as soon as the server is destroyed.
  server_.reset();
  server_ = MakeHttpServer(loop_.get(), same, &handler_);
  REQUIRE(server_ != nullptr);
  CHECK(server_->port() == same.listen.port);
  SendRequest(kGet);
}

TEST_CASE_METHOD(ServerFixture, "connections beyond the limit are closed",
                 "[server]") {
  options_.max_connections = 2;
  Listen();
  auto first = SendRequest(kGet);
  auto second = SendRequest(kGet);
  auto third = Connect();
  CHECK(Until([&] { return third->closed(); }));
  first->Close();
  second->Clear();
  second->Send(kGet);
  CHECK(Until([&] { return Contains(second->received(), "[GET / ]"); }));
  SendRequest(kGet);
}

// Sets the descriptor limit so that the process has no free descriptors;
// restores the limit when destroyed.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(0);  // the lowest free one
    close(next);
    const rlimit exhausted{static_cast<rlim_t>(next), before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &exhausted);
  }
  DescriptorExhaustion(const DescriptorExhaustion&) = delete;
  DescriptorExhaustion& operator=(const DescriptorExhaustion&) = delete;
  ~DescriptorExhaustion() { setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

TEST_CASE_METHOD(ServerFixture,
                 "server and client recover from descriptor exhaustion",
                 "[server]") {
  Listen();
  auto client = MakeHttpClient(loop_.get());
  HttpCallOptions call_options;
  call_options.to = {"127.0.0.1", server_->port()};
  auto peer = Connect();
  peer->Send(kGet);
  HttpResult result;
  bool done = false;
  std::unique_ptr<HttpCall> call;
  std::clock_t cpu_time = 0;
  {
    // No Catch checks within this block: with sanitizers they need descriptors.
    const DescriptorExhaustion exhaustion;
    call = Fetch(client.get(), call_options, {"GET", "/", {}, ""},
                 [&](HttpResult fetched) {
                   result = std::move(fetched);
                   done = true;
                 });
    Until([&] { return done; });
    const std::clock_t before = std::clock();
    RunLoopFor(milliseconds(300));
    cpu_time = std::clock() - before;
  }
  CHECK(done);
  CHECK_FALSE(result.ok);
  CHECK(result.failure == HttpFailure::kConnect);
  CHECK_FALSE(result.sent);
  // A busy loop would use nearly all of the 300 ms.
  CHECK(cpu_time < CLOCKS_PER_SEC / 5);
  CHECK(handler_.exchanges.empty());
  CHECK(Until([&] { return Contains(peer->received(), "[GET / ]"); }));
}

TEST_CASE_METHOD(ServerFixture, "a handler may destroy its server",
                 "[server]") {
  handler_.respond = [this](HttpExchange* e) {
    server_.reset();
    CHECK(e->closed());
    Echo(e);
  };
  Listen();
  auto peer = SendRequest(std::string(kGet) + kGet);
  CHECK(Until([&] { return peer->closed(); }));
  CHECK(peer->received().empty());
  CHECK(handler_.exchanges.size() == 1);
}

TEST_CASE_METHOD(ServerFixture, "a server listens on an IPv6 address",
                 "[server]") {
  options_.listen.ip = "::1";
  Listen();
  auto client = MakeHttpClient(loop_.get());
  HttpCallOptions call_options;
  call_options.to = {"::1", server_->port()};
  HttpResult result;
  bool done = false;
  auto call = Fetch(client.get(), call_options, {"GET", "/", {}, ""},
                    [&](HttpResult fetched) {
                      result = std::move(fetched);
                      done = true;
                    });
  REQUIRE(Until([&] { return done; }));
  CHECK(result.response.body == "[GET / ]");
  CHECK(exchange()->client().ip == "::1");
}

TEST_CASE_METHOD(ServerFixture,
                 "an exception of a handler ends one connection only") {
  Listen();
  bool disconnected = false;
  handler_.respond = [&](HttpExchange* exchange) {
    if (exchange->request().target != "/throw") return Echo(exchange);
    exchange->OnClientDisconnected([&] { disconnected = true; });
    throw std::runtime_error("unexpected");
  };
  const auto other = SendRequest(kGet);
  const auto peer =
      SendRequest("GET /throw HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(kGet));
  CHECK(Until([&] { return peer->closed(); }));
  CHECK(peer->received().empty());
  CHECK(disconnected);
  CHECK(server_->open_exchanges() == 0);
  other->Send(kGet);
  CHECK(Until(
      [&] { return CountOccurrences(other->received(), "[GET / ]") == 2; }));
  // The same for a pipelined request, which is dispatched by itself.
  const auto pipelining =
      SendRequest(std::string(kGet) + "GET /throw HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(Until([&] { return pipelining->closed(); }));
  CHECK(CountOccurrences(pipelining->received(), "[GET / ]") == 1);
}

}  // namespace
}  // namespace mimosa
