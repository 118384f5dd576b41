// Measures the HTTP layer on loopback, one process and one loop for both ends:
// requests a second and memory for each open stream. Prints one figure a line.
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

constexpr size_t kCalls = 20000;  // for each figure
constexpr size_t kConcurrent = 32;
constexpr size_t kStreams = 1000;

int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  int64_t total = 0;
  int64_t resident = 0;
  statm >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

// Echoes bodies; leaves streams open for "/stream".
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

// Keeps kConcurrent calls under way until kCalls are done.
class Load {
 public:
  Load(LwsLoop* loop, HttpClient* client, HttpCallOptions options,
       HttpRequest request)
      : loop_(loop),
        client_(client),
        options_(std::move(options)),
        request_(std::move(request)),
        calls_(kConcurrent) {}

  // Requests a second.
  double Run() {
    const MonoTime begin = loop_->Now();
    for (size_t slot = 0; slot < kConcurrent; ++slot) Next(slot);
    loop_->Run();
    if (failed_ > 0) std::printf("failed calls: %zu\n", failed_);
    return kCalls / ToSeconds(loop_->Now() - begin);
  }

 private:
  void Next(size_t slot) {
    calls_[slot] = Fetch(client_, options_, request_,
                         [this, slot](const HttpResult& result) {
                           if (!result.ok) ++failed_;
                           ++done_;
                           if (done_ == kCalls) loop_->Stop();
                           if (done_ < kCalls) Next(slot);
                         });
  }

  LwsLoop* const loop_;
  HttpClient* const client_;
  const HttpCallOptions options_;
  const HttpRequest request_;
  std::vector<std::unique_ptr<HttpCall>> calls_;
  size_t done_ = 0;
  size_t failed_ = 0;
};

// Counts heads; used for streams that stay open.
class StreamSink : public HttpCallHandler {
 public:
  StreamSink(LwsLoop* loop, size_t wanted) : loop_(loop), wanted_(wanted) {}
  void OnHead(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnBody(std::string_view /*data*/) override {
    if (++begun_ == wanted_) loop_->Stop();
  }
  void OnDone() override {}
  void OnFailed(HttpFailure failure, bool /*sent*/) override {
    std::printf("stream failed: %s\n", HttpFailureName(failure));
  }

 private:
  LwsLoop* const loop_;
  const size_t wanted_;
  size_t begun_ = 0;
};

void MeasureRequests(LwsLoop* loop, HttpClient* client, const Endpoint& to) {
  for (const bool reuse : {true, false}) {
    for (const char* method : {"GET", "POST"}) {
      HttpCallOptions options;
      options.to = to;
      options.reuse_connection = reuse;
      HttpRequest request{method, "/echo", {}, ""};
      if (request.method == "POST") request.body.assign(1024, 'x');
      const double rate = Load(loop, client, options, request).Run();
      std::printf("%s %s: %.0f requests/s\n", method,
                  reuse ? "kept-alive" : "fresh connection", rate);
    }
  }
}

void MeasureStreams(LwsLoop* loop, HttpClient* client, const Endpoint& to) {
  HttpCallOptions options;
  options.to = to;
  StreamSink sink(loop, kStreams);
  const int64_t before = ResidentBytes();
  std::vector<std::unique_ptr<HttpCall>> calls;
  calls.reserve(kStreams);
  for (size_t i = 0; i < kStreams; ++i) {
    calls.push_back(client->Start(options, {"GET", "/stream", {}, ""}, &sink));
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
