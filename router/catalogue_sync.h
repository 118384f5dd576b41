// Keeps the catalogue in force at this daemon up to date: implements
// CatalogueView.
//
// Model: a newer head is heard of in one of three ways: the platform's watch
// (at the few members that hold one), a peer that says it has a newer version,
// or a read at the start. The parts that the head names and that are not at
// hand are fetched from the peer, or from the platform if there is none or it
// lacks them. A catalogue comes into force when it is whole and passes the same
// check that mimosactl made; its version is always higher than the one before.
// A catalogue that fails the check is left aside; the former one stays.
#ifndef ROUTER_CATALOGUE_SYNC_H_
#define ROUTER_CATALOGUE_SYNC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/kv_store.h"
#include "decide/catalogue_parts.h"
#include "net/event_loop.h"
#include "router/catalogue_view.h"
#include "router/fleet_manager.h"
#include "router/peer_bus.h"
#include "wire/fleet.pb.h"

namespace mimosa {

class CatalogueSync : public CatalogueView {
 public:
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
  static constexpr Duration kPeerTimeout = std::chrono::seconds(2);

  // `ask_peers` false: only the platform is heard (test only,
  // "peer-catalogue").
  CatalogueSync(EventLoop* loop, KvStore* kv, PeerBus* bus, FleetManager* fleet,
                std::string deployment, bool ask_peers = true);
  ~CatalogueSync() override;

  // Reads the head once; repeats that until one is in force.
  void Start();

  // CatalogueView:
  std::shared_ptr<const CatalogueSnapshot> current() const override {
    return current_;
  }
  void AddObserver(std::function<void()> observer) override {
    observers_.push_back(std::move(observer));
  }

  // Catalogues that were whole but failed the check.
  uint64_t rejected_count() const { return rejected_count_; }

 private:
  // A newer head whose parts are being fetched.
  struct Candidate {
    wire::CatalogueHead head;
    std::string head_text;
    Endpoint peer;  // whom to ask for parts; port 0: the platform
  };

  void RegisterFetchMethod();
  void ServeFetch(const wire::CatalogueFetch& fetch, PeerReply* reply) const;
  void ReadHead();
  void OnHeadText(const std::string& text, const Endpoint& peer);
  void FetchHeadFromPeer(const MemberId& peer);
  void FetchMissingParts();
  void FetchFromPeer(const std::vector<std::string>& digests);
  void FetchFromPlatform(const std::string& digest);
  void OnPart(const std::string& digest, const std::string& text);
  void ActivateCandidate();
  void RestartFetch();

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  FleetManager* const fleet_;
  const std::string deployment_;
  std::vector<std::function<void()>> observers_;

  std::shared_ptr<const CatalogueSnapshot> current_;
  wire::CatalogueHead active_head_;  // in force
  std::string active_head_text_;     // of head_; empty: none is in force
  PartTexts parts_;                  // of the head in force, and of candidate_

  std::unique_ptr<Candidate> candidate_;
  KvStore::CallPtr kv_call_;
  std::unique_ptr<PeerCall> peer_call_;
  wire::CatalogueFetchReply peer_reply_;
  TimerHandle retry_timer_;
  uint64_t rejected_count_ = 0;
  // Version of the last catalogue that failed the check: not fetched again.
  uint64_t rejected_version_ = 0;
};

}  // namespace mimosa

#endif  // ROUTER_CATALOGUE_SYNC_H_
