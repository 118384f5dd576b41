// Tracks which VMs are leaving according to the platform's list of VMs, the
// records "vms/<ip>" of its store.
//
// Each poll of the list costs a platform call, and the number of these calls
// must not grow with the size of the fleet. Therefore only the first
// kPollerCount members in rendezvous order poll the list, every
// kPlatformPollInterval. When the set of leaving VMs changes, a poller
// broadcasts it to every member; in case a member missed a broadcast, it also
// polls one of the pollers every kPeerPollInterval. A VM counts as leaving
// while any recent report says so, because sending it no new work by mistake
// costs little.
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

// Key prefix of the records that list the VMs; the rest of a key is the VM's IP
// address.
inline constexpr char kVmKeyPrefix[] = "vms/";

// Returns true if `listing`, a listing of kVmKeyPrefix, has the VM at `ip`.
bool ContainsVm(const KvListResult& listing, const std::string& ip);

class LeavingVmTracker : public LeavingVms {
 public:
  static constexpr size_t kPollerCount = 2;
  static constexpr Duration kPlatformPollInterval = std::chrono::seconds(1);
  static constexpr Duration kPeerPollInterval = std::chrono::seconds(5);
  // A report expires if it is not repeated for this long.
  static constexpr Duration kReportTtl = std::chrono::seconds(30);

  LeavingVmTracker(EventLoop* loop, KvStore* kv, PeerBus* bus,
                   const Fleet* fleet);
  ~LeavingVmTracker() override;

  bool IsLeaving(const std::string& ip) const override;

  // Sets the observer that runs when a report changed the set of leaving VMs.
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
  void PollPeer(const FleetMember& poller);
  void BroadcastReport(const wire::LeavingReport& report);
  void ApplyReport(const wire::LeavingReport& report);
  wire::LeavingReport OwnReport() const;

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  const Fleet* const fleet_;
  // Latest report of each poller, by its member id.
  std::map<std::string, Report> reports_;
  KvStore::CallPtr platform_call_;
  PeerReportCall peer_poll_;
  // Broadcast calls in progress; each removes itself when it ends.
  std::list<PeerReportCall> broadcast_calls_;
  std::function<void()> observer_;
  MonoTime next_peer_poll_at_{};
  TimerHandle timer_;
};

}  // namespace mimosa

#endif  // ROUTER_LEAVING_VM_TRACKER_H_
