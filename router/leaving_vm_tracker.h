// Learns from the platform's list which VMs are leaving: records "vms/<ip>" of
// its store.
//
// Model: asking the list costs a platform call, and the fleet's calls must not
// grow with its size. So kAskers members, the first in rendezvous order, ask
// every kAskPause; when the set of leaving VMs changes an asker tells every
// member, and any member asks one of the askers now and then in case it missed
// that. A VM counts as leaving while any recent report says so: taking no new
// work by mistake costs little.
#ifndef ROUTER_LEAVING_VM_TRACKER_H_
#define ROUTER_LEAVING_VM_TRACKER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/kv_store.h"
#include "net/event_loop.h"
#include "router/drain_checker.h"
#include "router/fleet.h"
#include "router/peer_bus.h"
#include "wire/fleet.pb.h"

namespace mimosa {

// Prefix of the records that list the VMs; the rest of a key is an address.
inline constexpr char kVmKeyPrefix[] = "vms/";

// Whether a listing of kVmPrefix has the VM at `ip`.
bool ContainsVm(const KvListResult& listing, const std::string& ip);

class LeavingVmTracker : public LeavingVms {
 public:
  static constexpr size_t kPollerCount = 2;
  static constexpr Duration kPlatformPollInterval = std::chrono::seconds(1);
  static constexpr Duration kPeerPollInterval = std::chrono::seconds(5);
  // A report that was not repeated for so long is dropped.
  static constexpr Duration kReportTtl = std::chrono::seconds(30);

  LeavingVmTracker(EventLoop* loop, KvStore* kv, PeerBus* bus,
                   const Fleet* fleet);
  ~LeavingVmTracker() override;

  bool IsLeaving(const std::string& ip) const override;

  // `observer` runs when a report changed what is leaving.
  void SetObserver(std::function<void()> observer) {
    observer_ = std::move(observer);
  }

 private:
  struct Report {
    std::set<std::string> leaving;
    MonoTime received_at;
  };
  struct PeerReportCall {
    std::unique_ptr<PeerCall> call;
    wire::LeavingReport result;
  };

  void Tick();
  std::vector<const FleetMember*> Pollers() const;
  void PollPlatform();
  void OnVmListing(const KvListResult& result);
  void PollPeer(const FleetMember& asker);
  void BroadcastReport(const wire::LeavingReport& report);
  void ApplyReport(const wire::LeavingReport& report);
  wire::LeavingReport OwnReport() const;

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  const Fleet* const fleet_;
  std::map<std::string, Report> reports_;  // by the member that asked
  KvStore::CallPtr platform_call_;
  PeerReportCall peer_poll_;
  // Tellings under way; each removes itself.
  std::list<PeerReportCall> broadcast_calls_;
  std::function<void()> observer_;
  MonoTime next_peer_poll_at_{};
  TimerHandle timer_;
};

}  // namespace mimosa

#endif  // ROUTER_LEAVING_VM_TRACKER_H_
