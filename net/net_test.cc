// HttpServer, HttpClient and the loop, against well-behaved and raw peers.
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/test_peer.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Keeps every exchange; answers at once if `answer` is set.
class RecordingHandler : public HttpHandler {
 public:
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    exchanges.push_back(exchange);
    if (answer) answer(exchange.get());
  }

  std::vector<std::shared_ptr<HttpExchange>> exchanges;
  std::function<void(HttpExchange*)> answer;
};

// Answers with "<method> <target> <body>".
void Echo(HttpExchange* exchange) {
  const HttpRequest& request = exchange->request();
  HttpResponse response;
  response.status = 200;
  response.body = request.method + " " + request.target + " " + request.body;
  exchange->Respond(std::move(response));
}

struct ServerFixture {
  ServerFixture() : loop(LwsLoop::Create()) {
    options.listen.ip = "127.0.0.1";
    handler.answer = Echo;
  }
  void Listen() { server = MakeHttpServer(loop.get(), options, &handler); }
  std::unique_ptr<RawPeer> Connect() {
    return RawPeer::Connect(server->port());
  }

  std::unique_ptr<LwsLoop> loop;
  HttpServerOptions options;
  RecordingHandler handler;
  std::unique_ptr<HttpServer> server;
};

class RecordingCall : public HttpCallHandler {
 public:
  void OnHead(int status_in, const HttpHeaders& headers_in) override {
    ++heads;
    status = status_in;
    headers = headers_in;
  }
  void OnBody(std::string_view data) override { body.append(data); }
  void OnDone() override {
    ++ends;
    done = true;
  }
  void OnFailed(HttpFailure failure_in, bool sent_in) override {
    ++ends;
    failure = failure_in;
    sent = sent_in;
  }
  int heads = 0;
  int ends = 0;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool done = false;
  HttpFailure failure = HttpFailure::kConnect;
  bool sent = false;
};

TEST_CASE_METHOD(ServerFixture, "a client gets whole answers from a server") {
  Listen();
  auto client = MakeHttpClient(loop.get());
  HttpCallOptions call_options;
  call_options.to = {"127.0.0.1", server->port()};
  call_options.reuse_connection = GENERATE(false, true);
  for (const char* method :
       {"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    HttpRequest request;
    request.method = method;
    request.target = "/a?b=c";
    request.body = "x";
    RecordingCall call;
    auto handle = client->Start(call_options, request, &call);
    REQUIRE(RunUntil(loop.get(), [&] { return call.ends > 0; }));
    CHECK(call.done);
    CHECK(call.status == 200);
    CHECK(call.body == std::string(method) + " /a?b=c x");
  }
}

TEST_CASE_METHOD(ServerFixture, "a streamed answer arrives whole") {
  handler.answer = [](HttpExchange* exchange) {
    exchange->StartStream(200, {});
    for (int i = 0; i < 1000; ++i) exchange->Write(std::string(1000, 'a'));
    exchange->Finish();
  };
  Listen();
  auto client = MakeHttpClient(loop.get());
  HttpCallOptions call_options;
  call_options.to = {"127.0.0.1", server->port()};
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  HttpResult result;
  bool over = false;
  auto call =
      Fetch(client.get(), call_options, request, [&](HttpResult fetched) {
        result = std::move(fetched);
        over = true;
      });
  REQUIRE(RunUntil(loop.get(), [&] { return over; }));
  CHECK(result.ok);
  CHECK(result.response.body == std::string(1000000, 'a'));
}

}  // namespace
}  // namespace mimosa
