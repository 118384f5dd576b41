// Finds members that serve requests for this daemon while it doesn't reach the
// back ends of a service, and answers such questions of other members.
//
// Model: while a service is unreachable (serving/reachability_monitor.h), a few
// members are asked every now and then whether they reach it; so is when a
// single request has reached no back end. decide/helper_choice.h chooses among
// those that do.
//
// Cost: nothing while all services are reached; else at most six datagrams and
// their answers in each interval, for each service, whatever the fleet's size.
#ifndef SERVING_HELPER_EXCHANGE_H_
#define SERVING_HELPER_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/random.h"
#include "decide/helper_choice.h"
#include "decide/traffic_boundaries.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/member_list.h"
#include "serving/reachability_monitor.h"

namespace mimosa {

class HelperExchange {
 public:
  struct Options {
    // Time between two inquiries about a service.
    Duration inquiry_interval = std::chrono::milliseconds(400);
    // The same while requests wait for a first answer.
    Duration min_inquiry_interval = std::chrono::milliseconds(50);
    HelperChoice::Options choice;
  };
  // Returns how many requests this daemon is serving.
  using RunningCount = std::function<size_t()>;

  // Where a request for a service goes.
  enum class Advice {
    kServe,    // To the back ends.
    kForward,  // To a helper.
    kRefuse,   // Nowhere: neither this daemon nor others reach any back end.
  };
  struct Helper {
    std::string name;
    std::string recipient;  // See serving/forwarded_request.h.
    Endpoint address;
  };

  // Without `boundaries`, allowed regions are ignored.
  HelperExchange(EventLoop* loop, const MemberList* members,
                 const ReachabilityMonitor* reachability, RandomSource* random,
                 RunningCount running_count, const Options& options,
                 const TrafficBoundaries* boundaries = nullptr);

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket) { socket_ = socket; }
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);
  // A service has become unreachable, or is reached again.
  void OnReachabilityChanged(const ServiceId& service);
  // This daemon helps no more.
  void BeginLeaving() { leaving_ = true; }

  Advice Advise(const ServiceId& service,
                const AllowedRegions& allowed_regions) const;
  // Asks members about the service, unless it has just done so.
  void Inquire(const ServiceId& service);
  // Picks a helper that may get a request of these regions.
  std::optional<Helper> PickHelper(const ServiceId& service,
                                   const std::set<std::string>& excluded,
                                   const AllowedRegions& allowed_regions) const;
  // Returns whether the member may send a request of these regions here.
  bool MayReceive(const std::string& sender,
                  const AllowedRegions& allowed_regions) const;
  // Returns whether a member is known to have had a recent contact with the
  // service.
  bool HasCertainHelper(const ServiceId& service) const;
  // Returns whether members have lately answered that none reaches the service.
  bool IsUnreachableForAll(const ServiceId& service) const;

  // Report what became of a request at a helper.
  void OnRequestStarted(const Helper& helper);
  void OnRequestEnded(const Helper& helper);
  void RecordFailure(const Helper& helper);
  void RecordRefusal(const ServiceId& service, const Helper& helper);

  const wire::EntryMember& self() const { return members_->self(); }
  const MemberList& members() const { return *members_; }

 private:
  void ScheduleInquiry(const ServiceId& service);
  void HandleQuery(const wire::ServiceReachQuery& query, const Endpoint& from);
  void HandleAnswer(const wire::ServiceReachAnswer& answer,
                    const wire::EntryMember& member);

  EventLoop* const loop_;
  const MemberList* const members_;
  const ReachabilityMonitor* const reachability_;
  const TrafficBoundaries* const boundaries_;  // May be null.
  const RunningCount running_count_;
  const Options options_;
  HelperChoice choice_;
  DatagramSocket* socket_ = nullptr;
  bool leaving_ = false;
  std::map<ServiceId, MonoTime> last_inquiry_;
  std::map<ServiceId, TimerHandle> inquiry_timers_;
};

}  // namespace mimosa

#endif  // SERVING_HELPER_EXCHANGE_H_
