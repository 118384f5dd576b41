// Measures the HTTP server and client on loopback, with both ends on one loop
// of one process: requests per second, and memory per open stream. Prints one
// result per line.
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {
namespace {

constexpr size_t kCalls = 20000;  // per measurement
constexpr size_t kConcurrentCalls = 32;
constexpr size_t kStreams = 1000;

// Returns the resident memory of this process.
int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  int64_t total = 0;
  int64_t resident = 0;
  statm >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

// Echoes request bodies; a request for "/stream" gets a response that stays
// open.
class BenchHandler : public HttpHandler {
 public:
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    if (exchange->request().target == "/stream") {
      exchange->StartStream(200, {});
      exchange->Write("token");
      streams.push_back(std::move(exchange));
      return;
    }
    HttpResponse response;
    response.status = 200;
    response.body = exchange->request().body;
    exchange->Respond(std::move(response));
  }

  std::vector<std::shared_ptr<HttpExchange>> streams;
};

// Keeps kConcurrentCalls calls open until kCalls have ended.
class LoadGenerator {
 public:
  LoadGenerator(LwsLoop* loop, HttpClient* client, HttpCallOptions options,
                HttpRequest request)
      : loop_(loop),
        client_(client),
        options_(std::move(options)),
        request_(std::move(request)),
        calls_(kConcurrentCalls) {}

  // Runs all calls and returns the requests per second.
  double Run() {
    const MonoTime begin = loop_->Now();
    for (size_t slot = 0; slot < kConcurrentCalls; ++slot) StartCall(slot);
    loop_->Run();
    if (failed_ > 0) std::printf("failed calls: %zu\n", failed_);
    return kCalls / ToSeconds(loop_->Now() - begin);
  }

 private:
  void StartCall(size_t slot) {
    calls_[slot] = Fetch(client_, options_, request_,
                         [this, slot](const HttpResult& result) {
                           if (!result.ok) ++failed_;
                           ++ended_;
                           if (ended_ == kCalls) loop_->Stop();
                           if (ended_ < kCalls) StartCall(slot);
                         });
  }

  LwsLoop* const loop_;
  HttpClient* const client_;
  const HttpCallOptions options_;
  const HttpRequest request_;
  std::vector<std::unique_ptr<HttpCall>> calls_;
  size_t ended_ = 0;
  size_t failed_ = 0;
};

// Stops the loop once `expected` streams have each delivered data.
class StreamCounter : public HttpCallHandler {
 public:
  StreamCounter(LwsLoop* loop, size_t expected)
      : loop_(loop), expected_(expected) {}
  void OnHead(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnBody(std::string_view /*data*/) override {
    if (++started_ == expected_) loop_->Stop();
  }
  void OnDone(ResponseEnd /*end*/) override {}
  void OnFailed(HttpFailure failure, bool /*sent*/) override {
    std::printf("stream failed: %s\n", HttpFailureName(failure));
  }

 private:
  LwsLoop* const loop_;
  const size_t expected_;
  size_t started_ = 0;
};

void MeasureRequests(LwsLoop* loop, HttpClient* client, const Endpoint& to) {
  for (const bool reuse : {true, false}) {
    for (const char* method : {"GET", "POST"}) {
      HttpCallOptions options;
      options.to = to;
      options.reuse_connection = reuse;
      HttpRequest request{method, "/echo", {}, ""};
      if (request.method == "POST") request.body.assign(1024, 'x');
      const double rate = LoadGenerator(loop, client, options, request).Run();
      std::printf("%s %s: %.0f requests/s\n", method,
                  reuse ? "kept-alive" : "fresh connection", rate);
    }
  }
}

void MeasureStreams(LwsLoop* loop, HttpClient* client, const Endpoint& to) {
  HttpCallOptions options;
  options.to = to;
  StreamCounter counter(loop, kStreams);
  const int64_t before = ResidentBytes();
  std::vector<std::unique_ptr<HttpCall>> calls;
  calls.reserve(kStreams);
  for (size_t i = 0; i < kStreams; ++i) {
    calls.push_back(
        client->Start(options, {"GET", "/stream", {}, ""}, &counter));
  }
  loop->Run();
  std::printf("idle stream, both ends: %lld bytes each of %zu\n",
              static_cast<long long>((ResidentBytes() - before) /
                                     static_cast<int64_t>(kStreams)),
              kStreams);
}

int Main() {
  auto loop = LwsLoop::Create();
  BenchHandler handler;
  HttpServerOptions options;
  options.listen.ip = "127.0.0.1";
  auto server = MakeHttpServer(loop.get(), options, &handler);
  if (server == nullptr) return 1;
  auto client = MakeHttpClient(loop.get());
  const Endpoint to{"127.0.0.1", server->port()};
  MeasureStreams(loop.get(), client.get(), to);
  MeasureRequests(loop.get(), client.get(), to);
  return 0;
}

}  // namespace
}  // namespace mimosa

int main() { return mimosa::Main(); }
