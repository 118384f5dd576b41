// router-bench: compares latency and throughput of calls through the router
// with direct calls of the same service in the same run.
//
//   router-bench DIRECT_IP:PORT ROUTER_IP:PORT KEY [CALLS]
//
// Runs one call at a time first (latency), then 32 concurrent calls
// (throughput). All calls are GET /lookup/x on kept-alive connections. Direct
// and routed rounds alternate so that both see the same load of the machine.
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

constexpr int kRoundCount = 5;
constexpr int kConcurrentCalls = 32;

// One round of calls to one endpoint.
class Round {
 public:
  Round(LwsLoop* loop, HttpClient* client, Endpoint endpoint, std::string key,
        int calls, int concurrent)
      : loop_(loop),
        client_(client),
        endpoint_(std::move(endpoint)),
        key_(std::move(key)),
        calls_left_(calls),
        calls_(static_cast<size_t>(concurrent)) {}

  // Returns the duration in seconds and appends the latency of each call, in
  // microseconds.
  double Run(std::vector<int64_t>* latencies) {
    latencies_ = latencies;
    const MonoTime begin = loop_->Now();
    for (size_t i = 0; i < calls_.size(); ++i) StartNextCall(i);
    loop_->Run();
    return ToSeconds(loop_->Now() - begin);
  }
  int failed() const { return failed_; }

 private:
  void StartNextCall(size_t worker) {
    if (calls_left_ == 0) {
      if (calls_running_ == 0) loop_->Stop();
      return;
    }
    --calls_left_;
    ++calls_running_;
    HttpRequest request;
    request.method = "GET";
    request.target = "/lookup/x";
    request.headers.Set("Authorization", "Bearer " + key_);
    HttpCallOptions options;
    options.to = endpoint_;
    options.reuse_connection = true;
    const MonoTime begin = loop_->Now();
    calls_[worker] = Fetch(client_, options, std::move(request),
                           [this, worker, begin](const HttpResult& result) {
                             OnResult(worker, begin, result);
                           });
  }

  void OnResult(size_t worker, MonoTime begin, const HttpResult& result) {
    if (!result.ok || result.response.status != 200) ++failed_;
    latencies_->push_back((loop_->Now() - begin).count());
    --calls_running_;
    loop_->Post([this, worker] { StartNextCall(worker); });
  }

  LwsLoop* const loop_;
  HttpClient* const client_;
  const Endpoint endpoint_;
  const std::string key_;
  int calls_left_;
  int calls_running_ = 0;
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
  for (int round = 0; round < kRoundCount; ++round) {
    for (int target = 0; target < 2; ++target) {
      Round run(loop, client, targets[target], key, calls, concurrent);
      seconds[target] += run.Run(&latencies[target]);
      failed[target] += run.failed();
    }
  }
  for (int target = 0; target < 2; ++target) {
    std::printf(
        "concurrent=%d %s calls=%zu failed=%d median_us=%lld p99_us=%lld "
        "per_s=%.0f\n",
        concurrent, kNames[target], latencies[target].size(), failed[target],
        static_cast<long long>(Percentile(latencies[target], 0.5)),
        static_cast<long long>(Percentile(latencies[target], 0.99)),
        static_cast<double>(latencies[target].size()) / seconds[target]);
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
  Measure(loop.get(), client.get(), targets, argv[3], calls, kConcurrentCalls);
  return 0;
}

}  // namespace
}  // namespace mimosa

int main(int argc, char** argv) { return mimosa::Main(argc, argv); }
