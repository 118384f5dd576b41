// Places by reservation at the owners of the engines' books.
//
// Model: a request waits for a turn at a prefill engine, and with that for
// memory at a decode engine; nothing is started before it has both, so no
// prefill is computed whose result has nowhere to go. The turn comes first:
// while it waits a request then holds no memory, and a prefill engine that
// idles for want of memory costs nothing that could be used. PlaceSearch says
// whom to ask. When this member owns the book itself, it is asked without
// network.
//
// The daemon keeps the last summary that it heard of each engine; summaries
// come with replies only. A reservation lapses at the owner unless renewed:
// what is held longer than half its hold is renewed in one call per engine,
// and everything at an engine is told to a new owner of its book at once.
//
// The naive policies (decide/placement.h) reserve nothing: a place is just the
// choice of two engines.
#ifndef ROUTER_PLACES_DRIVER_H_
#define ROUTER_PLACES_DRIVER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/place_search.h"
#include "decide/placement.h"
#include "decide/prefix_index.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/book_server.h"
#include "router/catalogue_view.h"
#include "router/fleet.h"
#include "router/peer_bus.h"
#include "router/places.h"
#include "wire/fleet.pb.h"

namespace mimosa {

struct PlacesOptions {
  PlacementKind placement = PlacementKind::kReserve;
  BookServerOptions books;
  // A reservation lapses so long after its grant or last renewal.
  Duration hold = std::chrono::seconds(20);
  // Expected times, until some requests were seen.
  Duration prefill_per_token = std::chrono::microseconds(100);
  Duration decode_time = std::chrono::seconds(5);
};

class PlacesDriver : public Places {
 public:
  // All pointers outlive this.
  PlacesDriver(EventLoop* loop, PeerBus* bus, Fleet* fleet,
               CatalogueView* catalogue, HttpClient* client,
               RandomSource* random, const PlacesOptions& options);
  ~PlacesDriver() override;

  [[nodiscard]] std::unique_ptr<PendingPlace> Reserve(
      const PlaceRequest& request, Done done) override;

  BookServer* books() { return &books_; }
  // Reservations that this daemon holds at any engine.
  size_t held() const { return held_.size(); }

 private:
  class Attempt;
  class GrantedPlace;

  // The last word on an engine's book.
  struct HeardSummary {
    wire::EngineSummary summary;
    MonoTime heard;
  };
  // A reservation that was granted to this daemon and not released.
  struct Held {
    wire::ReserveRequest request;
    MonoTime renewed;
  };
  using HeldKey = std::pair<BackEndId, RequestId>;
  // Calls of releases and renewals under way.
  struct Errand;

  void ForgetRemovedEngines();
  // Whether the owner of the engine's book did not answer lately.
  bool IsSuspect(const BackEndId& engine);
  void Hear(const wire::EngineSummary& summary);
  void Hold(const wire::ReserveRequest& request);
  // Gives back a reservation, or one that may have been granted.
  void GiveBack(const BackEndId& engine, const RequestId& request);
  void SendReleases();
  void SendRelease(const wire::ReleaseRequest& release, int tries_left);
  void RenewOld();
  void RenewAtNewOwners();
  void SendRenewal(const BackEndId& engine,
                   const std::vector<wire::ReserveRequest>& held);
  void RunErrand(const Endpoint& to, const std::string& method,
                 const google::protobuf::Message& params,
                 std::unique_ptr<google::protobuf::Message> result,
                 std::function<void(PeerStatus)> done);
  // Learns from one observation of a duration.
  static void Learn(Duration seen, Duration* mean);

  EventLoop* const loop_;
  PeerBus* const bus_;
  Fleet* const fleet_;
  CatalogueView* const catalogue_;
  RandomSource* const random_;
  const PlacesOptions options_;
  BookServer books_;
  const std::unique_ptr<PlacementPolicy> policy_;
  PrefixIndex prefixes_;
  Duration prefill_per_token_;
  Duration decode_time_;
  std::map<BackEndId, HeardSummary> summaries_;
  std::map<HeldKey, Held> held_;
  std::map<MemberId, MonoTime> suspects_;  // until when
  // Owner at the last look, of each engine in held_.
  std::map<BackEndId, MemberId> owners_;
  std::map<BackEndId, std::vector<RequestId>> to_release_;
  std::map<uint64_t, std::unique_ptr<Errand>> errands_;
  uint64_t next_errand_ = 0;
  std::set<Attempt*> attempts_;  // those that were not answered or dropped
  // Expires with this object; what outlives it (places, posted calls) checks.
  std::shared_ptr<PlacesDriver*> self_;
  TimerHandle renew_timer_;
};

}  // namespace mimosa

#endif  // ROUTER_PLACES_DRIVER_H_
