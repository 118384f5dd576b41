// Added latency and throughput of the router, against direct calls of the same
// service in the same run.
//
//   router-bench DIRECT_IP:PORT ROUTER_IP:PORT KEY [CALLS]
//
// First one call at a time (latency), then 32 at a time (throughput), each with
// GET /lookup/x on kept-alive connections; direct and routed rounds alternate,
// so that both see the same machine.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {
namespace {

constexpr int kRounds = 5;
constexpr int kConcurrent = 32;

// One round of calls to one endpoint.
class Round {
 public:
  Round(LwsLoop* loop, HttpClient* client, Endpoint to, std::string key,
        int calls, int concurrent)
      : loop_(loop),
        client_(client),
        to_(std::move(to)),
        key_(std::move(key)),
        left_(calls),
        calls_(static_cast<size_t>(concurrent)) {}

  // Returns the seconds taken; appends each call's latency in microseconds.
  double Run(std::vector<int64_t>* latencies) {
    latencies_ = latencies;
    const MonoTime begin = loop_->Now();
    for (size_t i = 0; i < calls_.size(); ++i) Next(i);
    loop_->Run();
    return ToSeconds(loop_->Now() - begin);
  }
  int failed() const { return failed_; }

 private:
  void Next(size_t lane) {
    if (left_ == 0) {
      if (running_ == 0) loop_->Stop();
      return;
    }
    --left_;
    ++running_;
    HttpRequest request;
    request.method = "GET";
    request.target = "/lookup/x";
    request.headers.Set("Authorization", "Bearer " + key_);
    HttpCallOptions options;
    options.to = to_;
    options.reuse_connection = true;
    const MonoTime begin = loop_->Now();
    calls_[lane] = Fetch(client_, options, std::move(request),
                         [this, lane, begin](const HttpResult& result) {
                           OnResult(lane, begin, result);
                         });
  }

  void OnResult(size_t lane, MonoTime begin, const HttpResult& result) {
    if (!result.ok || result.response.status != 200) ++failed_;
    latencies_->push_back((loop_->Now() - begin).count());
    --running_;
    loop_->Post([this, lane] { Next(lane); });
  }

  LwsLoop* const loop_;
  HttpClient* const client_;
  const Endpoint to_;
  const std::string key_;
  int left_;
  int running_ = 0;
  int failed_ = 0;
  std::vector<std::unique_ptr<HttpCall>> calls_;
  std::vector<int64_t>* latencies_ = nullptr;
};

int64_t Percentile(std::vector<int64_t> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share *
                                    static_cast<double>(values.size() - 1))];
}

void Measure(LwsLoop* loop, HttpClient* client, const Endpoint targets[2],
             const std::string& key, int calls, int concurrent) {
  static const char* const kNames[] = {"direct", "routed"};
  std::vector<int64_t> latencies[2];
  double seconds[2] = {0, 0};
  int failed[2] = {0, 0};
  for (int round = 0; round < kRounds; ++round) {
    for (int which = 0; which < 2; ++which) {
      Round run(loop, client, targets[which], key, calls, concurrent);
      seconds[which] += run.Run(&latencies[which]);
      failed[which] += run.failed();
    }
  }
  for (int which = 0; which < 2; ++which) {
    std::printf(
        "concurrent=%d %s calls=%zu failed=%d median_us=%lld p99_us=%lld "
        "per_s=%.0f\n",
        concurrent, kNames[which], latencies[which].size(), failed[which],
        static_cast<long long>(Percentile(latencies[which], 0.5)),
        static_cast<long long>(Percentile(latencies[which], 0.99)),
        static_cast<double>(latencies[which].size()) / seconds[which]);
  }
}

int Main(int argc, char** argv) {
  Endpoint targets[2];
  if (argc < 4 || !Endpoint::Parse(argv[1], &targets[0]) ||
      !Endpoint::Parse(argv[2], &targets[1])) {
    std::fprintf(stderr, "usage: router-bench DIRECT ROUTER KEY [CALLS]\n");
    return 1;
  }
  const int calls = argc > 4 ? std::atoi(argv[4]) : 2000;
  auto loop = LwsLoop::Create();
  auto client = MakeHttpClient(loop.get());
  Measure(loop.get(), client.get(), targets, argv[3], calls, 1);
  Measure(loop.get(), client.get(), targets, argv[3], calls, kConcurrent);
  return 0;
}

}  // namespace
}  // namespace mimosa

int main(int argc, char** argv) { return mimosa::Main(argc, argv); }
