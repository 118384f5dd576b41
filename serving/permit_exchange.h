// Keeps the limits that back ends name for the requests of all daemons
// together.
//
// Model: a daemon that learns of a limit from a response tells all members.
// From then on a call to that back end needs a permit. One member, the first by
// rendezvous hash, issues the permits of a back end at the rate of its limit;
// the others ask it when they would have called the back end, and use others
// meanwhile. If the issuer doesn't respond, the second member issues permits at
// a lower rate, so that both together stay within the tolerance of a limit; a
// daemon that reaches neither uses a small share of the limit. A permit expires
// soon, since an unused one adds to what is issued later.
//
// A back end that warms up (decide/warm_up.h) has a limit by itself, which each
// daemon derives from its entry. Its permits are fewer and expire sooner, since
// it crashes under what an overloaded one merely rejects. Who learns of a
// warm-up from a response tells all members; six of them also tell the others
// of one that it has read from the entry, since some may not reach the store.
//
// Cost: nothing while no back end names a limit or warms up; else two datagrams
// for each permit or denial, and one to each member when a limit begins or ends
// and when a warm-up begins. A daemon asks for the permits of back ends that
// warm up a limited number of times a second.
#ifndef SERVING_PERMIT_EXCHANGE_H_
#define SERVING_PERMIT_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/line_log.h"
#include "base/random.h"
#include "decide/back_end_limits.h"
#include "decide/back_end_list.h"
#include "decide/call_permits.h"
#include "decide/permit_issuer.h"
#include "decide/warm_up.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/member_list.h"

namespace mimosa {

class PermitExchange : public CallPermits {
 public:
  struct Options {
    // Time after which a request for permits counts as unanswered.
    Duration request_timeout = std::chrono::milliseconds(30);
    // After so many unanswered requests in a row, the first issuer isn't asked
    // for this long.
    int misses_until_unreachable = 2;
    Duration unreachable_time = std::chrono::seconds(5);
    // Time from the request in which a permit has to be used.
    Duration permit_lifetime = std::chrono::milliseconds(500);
    // Share of a limit that the second issuer issues.
    double backup_share = 0.2;
    // Share of a limit that daemons which reach no issuer use together, if all
    // of them do.
    double isolated_share = 0.5;
    // The same of the rate of a back end that warms up. Two daemons may take
    // themselves for its first issuer for a moment, while the calls of a
    // reservation arrive late.
    double warm_up_share = 0.5;
    double warm_up_backup_share = 0.15;
    double warm_up_isolated_share = 0.15;
    // Time from the request in which a permit for it has to be used.
    Duration warm_up_permit_lifetime = std::chrono::milliseconds(200);
    // Requests a second for permits of back ends that warm up.
    double warm_up_requests_per_second = 20;
    // An issuer that was not asked for this long is dropped.
    Duration issuer_lifetime = std::chrono::seconds(60);
  };
  struct Counters {
    uint64_t requests = 0;  // For permits, to other daemons or this one.
    uint64_t granted = 0;   // Permits that this daemon got.
    uint64_t issued = 0;    // Permits that this daemon issued.
    uint64_t unanswered = 0;
  };

  PermitExchange(EventLoop* loop, const MemberList* members,
                 RandomSource* random, LineLog* log, const Options& options);

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket) { socket_ = socket; }
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);
  // The list of backend servers has changed.
  void OnBackEndsChanged(const BackEndList& back_ends);
  void SetServices(const std::vector<SiteService>& services);

  // `back_end` named `limit`, or none, in the response to a call for `request`
  // that was started at `call_started`.
  void RecordLimit(const BackEndEntry& back_end, std::optional<double> limit,
                   const RequestId& request, MonoTime call_started);
  std::optional<double> FindLimit(const BackEndEntry& back_end) const {
    return limits_.Find(back_end);
  }
  // A response of `back_end` said that it warms up for `time` from now; zero if
  // it said nothing.
  void RecordWarmUp(const BackEndEntry& back_end, Duration time);

  // CallPermits:
  bool IsAvailable(const BackEndEntry& back_end, MonoTime now) const override;
  MonoTime AvailableAt(const BackEndEntry& back_end,
                       MonoTime now) const override;
  bool IsWarmingUp(const BackEndEntry& back_end, MonoTime now) const override;
  void Take(const BackEndEntry& back_end) override;
  void Request(const BackEndEntry& back_end) override;

  size_t limit_count() const { return limits_.size(); }
  size_t warm_up_count() const {
    return warm_ups_.CountWarmingUp(loop_->Now());
  }
  uint64_t invalid_warm_up_times() const {
    return warm_ups_.invalid_statements();
  }
  const Counters& counters() const { return counters_; }

 private:
  // Who issues permits, in the order in which they are asked.
  enum class Issuer { kFirst, kSecond, kSelf };

  // The permits of one incarnation of a back end, at this daemon.
  struct Permits {
    int64_t incarnation = 0;
    int held = 0;
    MonoTime held_until{};
    int wanted = 0;          // Calls since the last request.
    MonoTime not_before{};   // Of the next request.
    int missed_answers = 0;  // Of the first issuer, in a row.
    MonoTime first_unreachable_until{};
    // The pending request: its serial, 0 if there is none.
    uint64_t serial = 0;
    Issuer asked = Issuer::kFirst;
    std::string asked_member;
    int asked_count = 0;
    MonoTime asked_at{};
    TimerHandle timeout;
    // Issues this daemon's share while no issuer answers.
    std::optional<PermitIssuer> own_share;
  };
  // The permits that this daemon issues.
  struct Issued {
    int64_t incarnation = 0;
    PermitIssuer issuer;
    MonoTime last_asked{};
  };

  bool NeedsPermit(const BackEndEntry& back_end, MonoTime now) const {
    return limits_.Find(back_end) || IsWarmingUp(back_end, now);
  }
  // Returns the permits a second of which `issuer` issues its share.
  double IssueRate(const BackEndEntry& back_end, Issuer issuer) const;
  Duration PermitLifetime(const BackEndEntry& back_end) const;
  // Permits of a call to `back_end`.
  static int PermitsPerCall(const BackEndEntry& back_end);
  Permits* PermitsOf(const BackEndEntry& back_end);
  const Permits* FindPermits(const BackEndEntry& back_end) const;
  void Ask(const BackEndEntry& back_end, Permits* permits, Issuer issuer);
  void OnUnanswered(const BackEndEntry& back_end);
  void OnGranted(const BackEndEntry& back_end, Permits* permits, int count,
                 Duration wait);
  // Issues up to `count` permits as the first or second issuer, or none if
  // there are fewer than `minimum`. Sets `*wait` if there are none.
  int Issue(const BackEndEntry& back_end, int count, int minimum,
            Duration* wait);
  void HandleRequest(const wire::PermitRequest& request, const Endpoint& from);
  void HandleGrant(const wire::PermitGrant& grant, const Endpoint& from);
  void HandleNotice(const wire::LimitNotice& notice);
  void OnWarmUps(const std::vector<WarmUpTracker::Change>& begun);
  void ScheduleWarmUpEnd();
  // Takes over what another member has heard, if it is newer. Returns false if
  // it is invalid.
  bool MergeStatement(const BackEndEntry& back_end,
                      const wire::LimitStatement& statement);
  // Returns what this daemon knows of a back end that names or named a limit.
  wire::LimitStatement StatementOf(const BackEndEntry& back_end) const;
  // `request` is the one whose response named the limit; empty if another
  // member told it.
  void LogLimit(const BackEndEntry& back_end, const RequestId& request);
  // Tells all members what is known of the back end, and that it warms up for
  // `warm_up_time` unless that is zero.
  void NotifyAll(const BackEndEntry& back_end, Duration warm_up_time);
  // Returns whether this daemon tells the others when it sees a start of the
  // back end.
  bool TellsWarmUps(const BackEndEntry& back_end) const;
  void SendToMember(const std::string& name,
                    const wire::UsageDatagram& datagram);

  EventLoop* const loop_;
  const MemberList* const members_;
  RandomSource* const random_;
  LineLog* const log_;
  const Options options_;
  DatagramSocket* socket_ = nullptr;
  BackEndLimits limits_;
  WarmUpTracker warm_ups_;
  TimerHandle warm_up_timer_;
  // Requests for permits of back ends that warm up.
  PermitIssuer warm_up_requests_;
  std::map<BackEndId, Permits> permits_;
  std::map<BackEndId, Issued> issued_;
  uint64_t last_serial_ = 0;
  Counters counters_;
};

}  // namespace mimosa

#endif  // SERVING_PERMIT_EXCHANGE_H_
