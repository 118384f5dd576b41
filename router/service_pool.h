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
#include "router/draining.h"

namespace mimosa {

class ServicePool {
 public:
  // How long a backend server is passed over after a failed connection.
  static constexpr Duration kPenalty = std::chrono::seconds(2);

  ServicePool(const Draining* draining, FailureDomain own_domain);

  struct Choice {
    BackEndId id;
    Endpoint address;
  };
  // None: no backend server of the pool takes new work and has a free place.
  std::optional<Choice> Choose(const CatalogueSnapshot& catalogue,
                               const std::string& pool,
                               const std::set<BackEndId>& avoid, MonoTime now);

  void CallBegan(const BackEndId& id) { ++open_[id]; }
  void CallEnded(const BackEndId& id);
  void ConnectFailed(const BackEndId& id, MonoTime now);

 private:
  bool Takes(const wire::BackEnd& back_end, MonoTime now) const;

  const Draining* const draining_;
  const FailureDomain own_domain_;
  std::map<BackEndId, int64_t> open_;  // no entry: none open
  std::map<BackEndId, MonoTime> penalty_until_;
  uint64_t turn_ = 0;  // breaks ties in rotation
};

}  // namespace mimosa

#endif  // ROUTER_SERVICE_POOL_H_
