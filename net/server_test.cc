// HttpServer against raw peers: framing that can't be trusted, slow and absent
// clients, pipelining, and the ends of answers.
#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/test_peer.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RecordingHandler : public HttpHandler {
 public:
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    exchanges.push_back(exchange);
    if (answer) answer(exchange.get());
  }

  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  std::function<void(HttpExchange*)> answer;
};

void Echo(HttpExchange* exchange) {
  const HttpRequest& request = exchange->request();
  HttpResponse response;
  response.status = 200;
  response.body =
      "[" + request.method + " " + request.target + " " + request.body + "]";
  exchange->Respond(std::move(response));
}

size_t CountOf(const std::string& text, const std::string& what) {
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
    handler_.answer = Echo;
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
  void Pause(Duration duration = milliseconds(1)) {
    RunFor(loop_.get(), duration);
  }
  // Connects, sends, and waits until the handler has a request.
  std::unique_ptr<RawPeer> Request(std::string_view text) {
    auto peer = Connect();
    const size_t before = handler_.exchanges.size();
    peer->Send(text);
    REQUIRE(Until([&] { return handler_.exchanges.size() > before; }));
    return peer;
  }
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

// Requests that are answered, and what their handler saw.
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
      // What stands behind a body is another request, never this one again.
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

TEST_CASE_METHOD(ServerFixture, "whole requests run once, however they arrive",
                 "[server]") {
  Listen();
  for (const Accepted& accepted : AcceptedCases()) {
    const size_t n = accepted.text.size();
    for (size_t split = 0; split < n; ++split) {
      CAPTURE(accepted.text, split);
      handler_.exchanges.clear();
      auto peer = Connect();
      peer->Send(accepted.text.substr(0, split));
      if (split > 0) Pause();
      peer->Send(accepted.text.substr(split));
      REQUIRE(Until([&] {
        return CountOf(peer->received(), "]") == accepted.echoes.size();
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

TEST_CASE_METHOD(ServerFixture, "requests of doubtful framing are refused",
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
  auto bystander = Request(kGet);
  handler_.exchanges.clear();
  for (const Refused& refused : cases) {
    CAPTURE(refused.text.substr(0, 200));
    auto peer = Connect();
    // A valid request behind must not be taken up.
    peer->Send(refused.text + kGet);
    REQUIRE(Until([&] { return peer->closed(); }));
    CHECK(peer->received().substr(0, 13) ==
          "HTTP/1.1 " + std::to_string(refused.status) + " ");
    CHECK(CountOf(peer->received(), "HTTP/1.1") == 1);
    CHECK(Contains(peer->received(), "Connection: close"));
    CHECK(handler_.exchanges.empty());
  }
  bystander->Clear();
  bystander->Send(kGet);
  CHECK(Until([&] { return Contains(bystander->received(), "[GET / ]"); }));
}

TEST_CASE_METHOD(ServerFixture, "slow and silent clients are let go",
                 "[server]") {
  options_.head_timeout = milliseconds(50);
  options_.body_timeout = milliseconds(50);
  options_.idle_timeout = milliseconds(50);
  Listen();
  struct Slow {
    std::string text;
    std::string answer;
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
    CHECK(peer->received().substr(0, slow.answer.size()) == slow.answer);
    CHECK(peer->received().empty() == slow.answer.empty());
  }
  CHECK(handler_.exchanges.empty());

  SECTION("one byte now and then doesn't extend the time for a head") {
    auto peer = Connect();
    const std::string text = "GET / HTTP/1.1\r\nX: " + std::string(9999, 'x');
    size_t sent = 0;
    CHECK(Until([&] {
      sent += peer->Send(text.substr(sent, 1));
      return peer->closed();
    }));
    CHECK(sent < text.size());
  }
  SECTION("an answer under way isn't idle") {
    handler_.answer = nullptr;
    auto peer = Request(kGet);
    Pause(milliseconds(200));
    CHECK_FALSE(exchange()->closed());
    Echo(exchange());
    CHECK(Until([&] { return Contains(peer->received(), "[GET / ]"); }));
  }
}

TEST_CASE_METHOD(ServerFixture, "a client that goes away is noticed once",
                 "[server]") {
  handler_.answer = nullptr;
  Listen();
  const bool streaming = GENERATE(false, true);
  const int way = GENERATE(0, 1, 2);
  const bool pipelined = GENERATE(false, true);
  CAPTURE(streaming, way, pipelined);
  auto peer = Request(std::string(kGet) + (pipelined ? kGet : ""));
  int gone = 0;
  exchange()->OnClientDisconnected([&] { ++gone; });
  if (streaming) {
    exchange()->StartStream(200, {});
    exchange()->Write("part");
    REQUIRE(Until([&] { return Contains(peer->received(), "part"); }));
  }
  CHECK(server_->open_exchanges() == 1);
  if (way == 0) peer->Close();
  if (way == 1) peer->CloseWithReset();
  if (way == 2) peer->ShutdownWrite();
  REQUIRE(Until([&] { return gone > 0; }));
  CHECK(gone == 1);
  CHECK(exchange()->closed());
  CHECK(server_->open_exchanges() == 0);
  // All calls are no-ops by now.
  exchange()->Write("more");
  exchange()->Finish();
  exchange()->Abort();
  Echo(exchange());
  CHECK(exchange()->UnsentBytes() == 0);
  CHECK(handler_.exchanges.size() == 1);
}

TEST_CASE_METHOD(ServerFixture, "a client that doesn't read is cut off",
                 "[server]") {
  options_.write_stall_timeout = milliseconds(100);
  handler_.answer = nullptr;
  Listen();
  auto peer = Connect(4096);
  peer->Send(kGet);
  REQUIRE(Until([&] { return handler_.exchanges.size() == 1; }));
  bool gone = false;
  exchange()->OnClientDisconnected([&] { gone = true; });
  exchange()->StartStream(200, {});
  exchange()->Write(std::string(32 << 20, 'x'));
  CHECK(exchange()->UnsentBytes() > 0);
  CHECK(Until([&] { return gone; }));
}

TEST_CASE_METHOD(ServerFixture, "back pressure: OnDrained follows the reader",
                 "[server]") {
  handler_.answer = nullptr;
  Listen();
  auto peer = Request(kGet);
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
  CHECK(CountOf(peer->received(), "HTTP/1.1 200") == 1);
}

TEST_CASE_METHOD(ServerFixture, "an answer ends whole or visibly cut",
                 "[server]") {
  handler_.answer = nullptr;
  Listen();
  struct Case {
    const char* what;
    std::string request;
    std::function<void(HttpExchange*)> answer;
    bool open;                          // the connection stays
    std::vector<std::string> contains;  // in what was received
    std::vector<std::string> lacks;
  };
  const std::string http10 = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
  const std::string head = "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::vector<Case> cases = {
      {"chunks",
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
      {"aborted chunks",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {});
         e->Write("ab");
         e->Abort();
       },
       false,
       {},
       {"0\r\n\r\n"}},
      {"length",
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
      {"too short",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {}, 4);
         e->Write("ab");
         e->Finish();
       },
       false,
       {},
       {"abcd"}},
      {"too long",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(200, {}, 2);
         e->Write("abc");
         e->Finish();
       },
       false,
       {},
       {"abc"}},
      {"HTTP/1.0 stream",
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
      {"HEAD",
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
      {"HEAD passed on",
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
      {"no content",
       kGet,
       [](HttpExchange* e) {
         e->StartStream(204, {});
         e->Finish();
       },
       true,
       {"204 "},
       {"chunked", "Content-Length"}},
      {"fields",
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
    CAPTURE(c.what);
    auto peer = Request(c.request);
    c.answer(exchange());
    CHECK(exchange()->closed());
    exchange()->Write("late");  // no-op
    if (c.open) {
      // Another request shows that the answer ended where it should.
      peer->Send("GET /end HTTP/1.1\r\nHost: h\r\n\r\n");
      const size_t before = handler_.exchanges.size();
      REQUIRE(Until([&] { return handler_.exchanges.size() > before; }));
      Echo(exchange());
      REQUIRE(Until([&] { return Contains(peer->received(), "[GET /end ]"); }));
    } else {
      REQUIRE(Until([&] { return peer->closed(); }));
    }
    std::string received = peer->received();
    if (c.open) received.resize(received.rfind("HTTP/1.1 "));  // only its own
    for (const std::string& text : c.contains) {
      CHECK_THAT(received, Catch::Contains(text));
    }
    for (const std::string& text : c.lacks) {
      CHECK_THAT(received, !Catch::Contains(text));
    }
    CHECK_THAT(received, !Catch::Contains("late"));
  }
}

TEST_CASE_METHOD(ServerFixture,
                 "requests come whole, without connection fields", "[server]") {
  Listen();
  auto peer = Request(
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

TEST_CASE_METHOD(ServerFixture, "100 Continue is sent for a body that waits",
                 "[server]") {
  Listen();
  auto peer = Connect();
  peer->Send(Post("Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"));
  REQUIRE(Until(
      [&] { return peer->received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
  CHECK(handler_.exchanges.empty());
  peer->Send("hi");
  CHECK(Until([&] { return Contains(peer->received(), "[POST /p hi]"); }));
  CHECK(CountOf(peer->received(), "100 Continue") == 1);
}

TEST_CASE_METHOD(ServerFixture, "input behind a pending request is bounded",
                 "[server]") {
  handler_.answer = nullptr;
  Listen();
  auto peer = Request(Post("Content-Length: 2\r\n\r\nhi"));
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
  CHECK(CountOf(peer->received(), "HTTP/1.1") == 1);
  CHECK(handler_.exchanges.size() == 1);
}

TEST_CASE_METHOD(ServerFixture, "StopAccepting lets requests end", "[server]") {
  handler_.answer = nullptr;
  Listen();
  auto running = Request(kGet);
  auto idle = Connect();
  auto waiting = Connect();  // established, but not yet accepted
  waiting->Send(kGet);
  const uint16_t port = server_->port();
  server_->StopAccepting();
  CHECK(RawPeer::Connect(port) == nullptr);
  REQUIRE(Until([&] { return handler_.exchanges.size() == 2; }));
  // A request that crossed the stop on a connection that was idle still runs.
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
  auto idle = Request(kGet);
  server_->StopAccepting();
  CHECK(Until([&] { return idle->closed(); }));
}

TEST_CASE_METHOD(ServerFixture, "a port belongs to one server", "[server]") {
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
  // It is free again as soon as the server is gone.
  server_.reset();
  server_ = MakeHttpServer(loop_.get(), same, &handler_);
  REQUIRE(server_ != nullptr);
  CHECK(server_->port() == same.listen.port);
  Request(kGet);
}

TEST_CASE_METHOD(ServerFixture, "connections beyond the limit are closed",
                 "[server]") {
  options_.max_connections = 2;
  Listen();
  auto first = Request(kGet);
  auto second = Request(kGet);
  auto third = Connect();
  CHECK(Until([&] { return third->closed(); }));
  first->Close();
  second->Clear();
  second->Send(kGet);
  CHECK(Until([&] { return Contains(second->received(), "[GET / ]"); }));
  Request(kGet);
}

// Leaves the process without free descriptors while it lives.
class NoDescriptors {
 public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    const int next = dup(0);  // the lowest free one
    close(next);
    const rlimit none{static_cast<rlim_t>(next), before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
  }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

TEST_CASE_METHOD(ServerFixture, "descriptors may run out for a while",
                 "[server]") {
  Listen();
  auto client = MakeHttpClient(loop_.get());
  HttpCallOptions call_options;
  call_options.to = {"127.0.0.1", server_->port()};
  auto peer = Connect();
  peer->Send(kGet);
  HttpResult result;
  bool over = false;
  std::unique_ptr<HttpCall> call;
  std::clock_t busy = 0;
  {
    // No checks in here: the sanitizers' own want descriptors.
    const NoDescriptors none;
    call = Fetch(client.get(), call_options, {"GET", "/", {}, ""},
                 [&](HttpResult fetched) {
                   result = std::move(fetched);
                   over = true;
                 });
    Until([&] { return over; });
    const std::clock_t before = std::clock();
    Pause(milliseconds(300));
    busy = std::clock() - before;
  }
  CHECK(over);
  CHECK_FALSE(result.ok);
  CHECK(result.failure == HttpFailure::kConnect);
  CHECK_FALSE(result.sent);
  // Busy waiting would take nearly all of the pause.
  CHECK(busy < CLOCKS_PER_SEC / 5);
  CHECK(handler_.exchanges.empty());
  CHECK(Until([&] { return Contains(peer->received(), "[GET / ]"); }));
}

TEST_CASE_METHOD(ServerFixture, "a server may go within its handler",
                 "[server]") {
  handler_.answer = [this](HttpExchange* e) {
    server_.reset();
    CHECK(e->closed());
    Echo(e);
  };
  Listen();
  auto peer = Request(std::string(kGet) + kGet);
  CHECK(Until([&] { return peer->closed(); }));
  CHECK(peer->received().empty());
  CHECK(handler_.exchanges.size() == 1);
}

TEST_CASE_METHOD(ServerFixture, "IPv6", "[server]") {
  options_.listen.ip = "::1";
  Listen();
  auto client = MakeHttpClient(loop_.get());
  HttpCallOptions call_options;
  call_options.to = {"::1", server_->port()};
  HttpResult result;
  bool over = false;
  auto call = Fetch(client.get(), call_options, {"GET", "/", {}, ""},
                    [&](HttpResult fetched) {
                      result = std::move(fetched);
                      over = true;
                    });
  REQUIRE(Until([&] { return over; }));
  CHECK(result.response.body == "[GET / ]");
  CHECK(exchange()->client().ip == "::1");
}

}  // namespace
}  // namespace mimosa
