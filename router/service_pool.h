// Chooses a plain service's backend server for a call.
//
// Model: each daemon counts its own open calls per backend server. The least
// busy one that takes new work gets the call; one that could not be connected
// to is passed over for a while. Draining (catalogue) and leaving (platform's
// list) backend servers take no new work.
#ifndef ROUTER_SERVICE_POOL_H_
#define ROUTER_SERVICE_POOL_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/catalogue.h"
#include "net/http.h"
#include "router/drain_checker.h"

namespace mimosa {

class ServicePool {
 public:
  // How long a backend server is passed over after a failed connection.
  static constexpr Duration kConnectFailureBackoff = std::chrono::seconds(2);

  ServicePool(const DrainChecker* draining, FailureDomain own_domain);

  struct Choice {
    BackEndId id;
    Endpoint address;
  };
  // None: no backend server of the pool takes new work and has a free place.
  std::optional<Choice> SelectBackEnd(const CatalogueSnapshot& catalogue,
                                      const std::string& pool,
                                      const std::set<BackEndId>& avoid,
                                      MonoTime now);

  void OnCallStarted(const BackEndId& id) { ++open_calls_[id]; }
  void OnCallEnded(const BackEndId& id);
  void OnConnectFailed(const BackEndId& id, MonoTime now);

 private:
  bool IsEligible(const wire::BackEnd& back_end, MonoTime now) const;

  const DrainChecker* const drain_checker_;
  const FailureDomain own_domain_;
  std::map<BackEndId, int64_t> open_calls_;  // no entry: none open
  std::map<BackEndId, MonoTime> backoff_until_;
  uint64_t rotation_ = 0;  // breaks ties in rotation
};

}  // namespace mimosa

#endif  // ROUTER_SERVICE_POOL_H_
