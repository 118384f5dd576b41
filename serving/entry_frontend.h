// Serves the callers' port: admits each request and passes it to a relay. A
// request for a service that this daemon doesn't reach goes to another daemon,
// whose frontend admits it as forwarded: what depends on the caller's key and
// rate was checked before.
//
// Admission checks, in this order: configuration known, request well-formed,
// route, key, service, prompt, regions, rate limit. A request that fails one of
// them was not sent to any back end. Each request ends in exactly one log line
// and is counted once in the metrics.
#ifndef SERVING_ENTRY_FRONTEND_H_
#define SERVING_ENTRY_FRONTEND_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/metrics.h"
#include "decide/replicated_rate_limiter.h"
#include "serving/helper_exchange.h"
#include "serving/relay_deps.h"

namespace mimosa {

// Counts responses by status.
class StatusCounts {
 public:
  // Counts a response; 0 stands for a request whose connection was closed
  // without one. What HTTP doesn't define is no response.
  void Add(int status) { ++counts_[IndexOf(status)]; }
  uint64_t Get(int status) const { return counts_[IndexOf(status)]; }

 private:
  static constexpr size_t IndexOf(int status) {
    const std::optional<HttpStatus> defined = HttpStatus::FromCode(status);
    return defined ? static_cast<size_t>(defined->code()) : 0;
  }

  std::array<uint64_t, HttpStatus::kMax + 1> counts_{};
};

// Counters of EntryFrontend for the metrics page.
struct EntryCounters {
  StatusCounts responses;
  uint64_t callers_disconnected = 0;
  uint64_t forwarded = 0;          // Requests sent to other daemons.
  uint64_t forwarded_here = 0;     // Requests of other daemons admitted.
  uint64_t forwarded_refused = 0;  // Requests of other daemons turned away.
  // Requests that no back end may run, by Barrier.
  std::array<uint64_t, kBarrierCount> refused_by_barrier{};
  Histogram latency;              // Seconds to the end of a response.
  Histogram time_to_first_event;  // Seconds to the head of a stream.
};

class EntryFrontend : public HttpHandler {
 public:
  // Returns the configuration in force, nullptr while none is known.
  using ConfigSource = std::function<std::shared_ptr<const SiteConfig>()>;

  EntryFrontend(const RelayDeps* deps, ReplicatedRateLimiter* rate_limiter,
                ConfigSource config);
  ~EntryFrontend() override;

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;
  // A request arrived at the members' port.
  void OnForwardedRequest(const std::shared_ptr<HttpExchange>& exchange);

  // Ends all running requests, at the end of a shutdown: those that no back end
  // has got are refused, those that may have run fail, and responses that have
  // started are aborted. Those whose ends are being checked go on until the
  // shutdown's checks_end_at().
  void EndRunningRequests();

  size_t running_requests() const { return running_requests_.size(); }
  const EntryCounters& counters() const { return counters_; }

 private:
  struct RunningRequest;

  // Why a request is not admitted, and the response to it.
  struct Refusal {
    int status = 0;
    Duration retry_after{};  // Zero: a retry is of no use.
    const char* reason = "";
  };
  // Checks the parts of admission that don't depend on the caller's key, and
  // sets the request's suspects and priority.
  bool AdmitForService(const SiteCustomer* customer, RelayRequest* request,
                       Refusal* refusal);
  // Returns whether the request ends, by what is known, before a daemon that
  // shuts down does.
  bool AdmitsStream(const RelayRequest& request) const;
  // Refuses a request that no back end of the service may run because of its
  // regions and the evacuated failure domains.
  bool AdmitWithinBoundaries(const RelayRequest& request, Refusal* refusal);
  // Returns why a forwarded request isn't admitted, or nullptr.
  const char* AdmitForwarded(const HttpExchange& exchange,
                             RelayRequest* request);
  void RefuseForwarded(HttpExchange* exchange, const RelayRequest& request,
                       const char* reason);
  // Return true if `*request` is admitted, or set `*refusal`.
  bool Admit(const SiteConfig& config, RelayRequest* request, Refusal* refusal);
  bool ChargeRateLimit(const SiteCustomer& customer, RelayRequest* request,
                       Refusal* refusal);
  // Picks a service of the route by weight, the same one for a stream and for
  // the requests that take it up again. Picks one without any back end only if
  // there is no other.
  const SiteService* PickService(const SiteConfig& config,
                                 const RelayRequest& request) const;
  void Refuse(HttpExchange* exchange, const RelayRequest& request,
              const Refusal& refusal);
  void StartRelay(RelayRequest request,
                  const std::shared_ptr<HttpExchange>& exchange);
  // Starts a relay of a running request.
  void StartRelay(uint64_t serial, RelayRequest request, bool forward);
  void OnRelayDone(uint64_t serial, const RelayResult& result);
  // Ends the response of a caller that holds memory and reads nothing.
  void EndStalledReader(uint64_t serial);
  // The relay has reached no back end.
  void OnUnreachable(uint64_t serial);

  const RelayDeps* const deps_;
  ReplicatedRateLimiter* const rate_limiter_;
  const ConfigSource config_;
  EntryCounters counters_;
  uint64_t next_serial_ = 1;
  size_t running_forwarded_ = 0;  // Of other daemons.
  std::unordered_map<uint64_t, std::unique_ptr<RunningRequest>>
      running_requests_;
};

}  // namespace mimosa

#endif  // SERVING_ENTRY_FRONTEND_H_
