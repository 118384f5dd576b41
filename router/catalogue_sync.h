// Keeps this daemon's active catalogue up to date. Implements CatalogueView.
//
// A newer catalogue head becomes known in one of three ways: the platform's
// watch (held by a few members), a peer that announces a newer version, or a
// read at start. Parts that the head names and that are not cached are fetched
// from the peer, or from the platform if there is no peer or the peer lacks
// them. A catalogue becomes active when it is complete and passes the same
// check that mimosactl runs; its version is always higher than the previous
// one. A catalogue that fails the check is rejected and the previous one stays
// active.
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

  // If `ask_peers` is false, only the platform is read (test only,
  // "peer-catalogue").
  CatalogueSync(EventLoop* loop, KvStore* kv, PeerBus* bus, FleetManager* fleet,
                std::string deployment, bool ask_peers = true);
  ~CatalogueSync() override;

  // Reads the head from the platform and retries until a catalogue is active.
  void Start();

  // CatalogueView:
  std::shared_ptr<const CatalogueSnapshot> current() const override {
    return current_;
  }
  void AddObserver(std::function<void()> observer) override {
    observers_.push_back(std::move(observer));
  }

  // Number of catalogues that were complete but failed the check.
  uint64_t rejected_count() const { return rejected_count_; }

 private:
  // A newer head whose parts are being fetched.
  struct Candidate {
    wire::CatalogueHead head;
    std::string head_text;
    Endpoint peer;  // source of the parts; port 0: the platform
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
  // Head of the active catalogue.
  wire::CatalogueHead active_head_;
  // Text of active_head_; empty while no catalogue is active.
  std::string active_head_text_;
  // Parts of the active catalogue and of candidate_, by digest.
  PartTexts parts_;

  std::unique_ptr<Candidate> candidate_;
  KvStore::CallPtr kv_call_;
  std::unique_ptr<PeerCall> peer_call_;
  wire::CatalogueFetchReply peer_reply_;
  TimerHandle retry_timer_;
  uint64_t rejected_count_ = 0;
  // Version of the last catalogue that failed the check; it isn't fetched
  // again.
  uint64_t rejected_version_ = 0;
};

}  // namespace mimosa

#endif  // ROUTER_CATALOGUE_SYNC_H_
