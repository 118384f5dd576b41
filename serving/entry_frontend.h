// The callers' port: admits each request and hands it to its relay.
//
// Admission, in this order: configuration known, request readable, route, key,
// allotment, service. A request that fails any of these was not sent anywhere.
// Each request ends in exactly one line of the log and one observation.
#ifndef SERVING_ENTRY_FRONTEND_H_
#define SERVING_ENTRY_FRONTEND_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/metrics.h"
#include "decide/replicated_rate_limiter.h"
#include "serving/relay_deps.h"

namespace mimosa {

// What the front counts, for the metrics page.
struct EntryCounters {
  std::array<uint64_t, 600> by_status{};  // answers, by HTTP status; 0: none
  uint64_t callers_disconnected = 0;
  Histogram latency;              // seconds to the end of an answer
  Histogram time_to_first_event;  // seconds to the head of a stream
};

class EntryFrontend : public HttpHandler {
 public:
  // `config` returns the configuration in force, nullptr while none is known.
  using ConfigSource = std::function<std::shared_ptr<const SiteConfig>()>;

  EntryFrontend(const RelayDeps* deps, ReplicatedRateLimiter* allotments,
                ConfigSource config);
  ~EntryFrontend() override;

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

  // Streams that arrive after `last_stream` are refused from now on: they could
  // be cut by the daemon's end.
  void BeginShutdown(MonoTime last_stream) { stream_cutoff_ = last_stream; }

  size_t running_requests() const { return running_requests_.size(); }
  const EntryCounters& counters() const { return counters_; }

 private:
  struct RunningRequest;

  // The answer owed at once, or none if `*request` is admitted.
  struct Refusal {
    int status = 0;
    Duration retry_after{};  // zero: coming back is no use
    const char* reason = "";
  };
  bool Admit(const SiteConfig& config, RelayRequest* request, Refusal* refusal);
  bool ChargeAllotment(const SiteCustomer& customer, RelayRequest* request,
                       Refusal* refusal);
  const SiteService* PickService(const SiteConfig& config,
                                 const SiteRoute& route) const;
  void Refuse(HttpExchange* exchange, const RelayRequest& request,
              const Refusal& refusal);
  void StartRelay(RelayRequest request,
                  const std::shared_ptr<HttpExchange>& exchange);
  void OnRelayDone(uint64_t serial, const RelayResult& result);

  const RelayDeps* const deps_;
  ReplicatedRateLimiter* const rate_limiter_;
  const ConfigSource config_;
  EntryCounters counters_;
  MonoTime stream_cutoff_ = kNever;
  uint64_t next_serial_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<RunningRequest>>
      running_requests_;
};

}  // namespace mimosa

#endif  // SERVING_ENTRY_FRONTEND_H_
