// Selects the backend server of a plain service for each call.
//
// Each daemon counts its own open calls per backend server. The eligible one
// with the fewest open calls is selected. A backend server to which a
// connection failed isn't used during a backoff. Backend servers that drain
// (catalogue) or leave (platform's list) take no new work.
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
  // How long a backend server isn't used after a failed connection.
  static constexpr Duration kConnectFailureBackoff = std::chrono::seconds(2);

  ServicePool(const DrainChecker* drain_checker, FailureDomain own_domain);

  struct Choice {
    BackEndId id;
    Endpoint address;
  };
  // Returns nothing if no backend server of the pool accepts new work and has
  // capacity left. `excluded` are never selected.
  std::optional<Choice> SelectBackEnd(const CatalogueSnapshot& catalogue,
                                      const std::string& pool,
                                      const std::set<BackEndId>& excluded,
                                      MonoTime now);

  void OnCallStarted(const BackEndId& id) { ++open_calls_[id]; }
  void OnCallEnded(const BackEndId& id);
  void OnConnectFailed(const BackEndId& id, MonoTime now);

 private:
  bool IsEligible(const wire::BackEnd& back_end, MonoTime now) const;

  const DrainChecker* const drain_checker_;
  const FailureDomain own_domain_;
  // Open calls by backend server; without an entry, none are open.
  std::map<BackEndId, int64_t> open_calls_;
  std::map<BackEndId, MonoTime> backoff_until_;
  uint64_t rotation_ = 0;  // start of the scan; makes ties rotate
};

}  // namespace mimosa

#endif  // ROUTER_SERVICE_POOL_H_
