// The callers' port: admits each request and hands it to its relay.
//
// Admission, in this order: configuration known, request readable, route, key,
// allotment, service. A request that fails any of these was not sent anywhere.
// Each request ends in exactly one line of the log and one observation.
#ifndef SERVING_ENTRY_FRONT_H_
#define SERVING_ENTRY_FRONT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/metrics.h"
#include "decide/allotments.h"
#include "serving/relay_deps.h"

namespace mimosa {

// What the front counts, for the metrics page.
struct FrontCounters {
  std::array<uint64_t, 600> by_status{};  // answers, by HTTP status; 0: none
  uint64_t callers_gone = 0;
  Histogram latency;      // seconds to the end of an answer
  Histogram first_event;  // seconds to the head of a stream
};

class EntryFront : public HttpHandler {
 public:
  // `config` returns the configuration in force, nullptr while none is known.
  using ConfigSource = std::function<std::shared_ptr<const SiteConfig>()>;

  EntryFront(const RelayDeps* deps, Allotments* allotments,
             ConfigSource config);
  ~EntryFront() override;

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

  // Streams that arrive after `last_stream` are refused from now on: they could
  // be cut by the daemon's end.
  void BeginLeaving(MonoTime last_stream) { last_stream_ = last_stream; }

  size_t running() const { return running_.size(); }
  const FrontCounters& counters() const { return counters_; }

 private:
  struct Running;

  // The answer owed at once, or none if `*request` is admitted.
  struct Refusal {
    int status = 0;
    Duration retry_after{};  // zero: coming back is no use
    const char* why = "";
  };
  bool Admit(const SiteConfig& config, RelayRequest* request, Refusal* refusal);
  bool ChargeAllotment(const SiteCustomer& customer, RelayRequest* request,
                       Refusal* refusal);
  const SiteService* PickService(const SiteConfig& config,
                                 const SiteRoute& route) const;
  void Refuse(HttpExchange* exchange, const RelayRequest& request,
              const Refusal& refusal);
  void Begin(RelayRequest request,
             const std::shared_ptr<HttpExchange>& exchange);
  void OnDone(uint64_t serial, const RelayResult& result);

  const RelayDeps* const deps_;
  Allotments* const allotments_;
  const ConfigSource config_;
  FrontCounters counters_;
  MonoTime last_stream_ = kNever;
  uint64_t next_serial_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Running>> running_;
};

}  // namespace mimosa

#endif  // SERVING_ENTRY_FRONT_H_
