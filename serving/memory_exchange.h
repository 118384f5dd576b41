// Asks for memory of decode engines, and keeps the ledgers of the services that
// this daemon owns.
//
// Model: for each service with a ledger (decide/memory_ledger.h) one member,
// the first by rendezvous hash among the members with the fastest links, owns
// it. A daemon sends it one request for each model request, and gets a grant, a
// place in the queue or a refusal. A grant for a request that waits is sent
// when memory comes free. If the owner doesn't respond, the second member is
// asked; it also counts the open work that daemons report, since it knows few
// grants. A daemon that reaches neither polls the engines by itself.
//
// State is soft. An owner that has just started gets the holdings of each
// daemon with its first reply to it, and grants less at first. Members of
// builds that know no ledgers are neither asked nor chosen; their open work
// counts as memory used by others. The engine's own reservation stays the guard
// against a wrong ledger: its refusal ends the grant.
//
// Cost: three datagrams for a request that is granted at once, one more if it
// waits, and two for each refresh of a long wait; none while no requests come.
#ifndef SERVING_MEMORY_EXCHANGE_H_
#define SERVING_MEMORY_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/line_log.h"
#include "base/random.h"
#include "decide/back_end_list.h"
#include "decide/back_end_selector.h"
#include "decide/memory_ledger.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/member_list.h"

namespace mimosa {

class MemoryExchange {
 public:
  struct Options {
    MemoryLedgerMode mode = MemoryLedgerMode::kAuto;
    // Time after which a request counts as unanswered, and is sent again.
    Duration request_timeout = std::chrono::milliseconds(30);
    // How long an owner that didn't respond isn't asked.
    Duration unreachable_time = std::chrono::seconds(2);
    // Time between two repetitions of a request that waits.
    Duration refresh_interval = std::chrono::milliseconds(500);
    // Time between two looks at the engines and at what has expired.
    Duration tick_interval = std::chrono::milliseconds(100);
    // How long after its start a ledger counts the open work that daemons
    // report, in addition to its grants.
    Duration settling_time = std::chrono::seconds(5);
    // A ledger that is empty and wasn't used for this long is dropped.
    Duration idle_time = std::chrono::seconds(10);
    MemoryLedger::Options ledger;
  };
  struct Counters {
    uint64_t requests = 0;  // Of this daemon.
    uint64_t granted = 0;
    uint64_t waited = 0;
    uint64_t refused = 0;
    uint64_t unanswered = 0;      // Datagrams without a reply in time.
    uint64_t unavailable = 0;     // Requests that reached no owner.
    uint64_t engine_refused = 0;  // Grants that the engine refused.
    uint64_t issued = 0;          // Grants of ledgers that this daemon owns.
    uint64_t dropped = 0;  // Datagrams that made no sense or came too late.
  };

  enum class Result { kGranted, kRefused, kUnavailable };
  struct Answer {
    Result result = Result::kUnavailable;
    std::optional<BackEndEntry> engine;  // kGranted
    Duration retry_after{};              // kRefused
  };
  using AnswerCallback = std::function<void(const Answer&)>;

  // A request for memory, or the memory that it got. Destroying it withdraws
  // the request or releases the memory.
  class Claim {
   public:
    ~Claim();
    Claim(const Claim&) = delete;
    Claim& operator=(const Claim&) = delete;
    // The engine refused the run, or couldn't be reached. The claim holds
    // nothing any more.
    void ReportRefused(bool unreachable);
    // The run needs `tokens` in total. Does nothing if it holds as much.
    void Grow(Tokens tokens);

   private:
    friend class MemoryExchange;
    enum class State { kAsking, kWaiting, kHolding, kEnded };

    Claim(MemoryExchange* exchange, ServiceId service, uint64_t serial)
        : exchange_(exchange), service_(std::move(service)), serial_(serial) {}

    MemoryExchange* const exchange_;
    const ServiceId service_;
    const uint64_t serial_;
    RequestId request_;
    MemoryDemand demand_;
    AnswerCallback callback_;
    State state_ = State::kAsking;
    MonoTime started_{};
    MonoTime start_by_{};         // a later grant is useless
    MonoTime target_{};           // a later grant misses the latency target
    int tries_ = 0;               // since the last reply
    std::string asked_;           // the member asked last
    std::set<std::string> told_;  // members that may hold it in a ledger
    BackEndId engine_;            // if kHolding
    int64_t incarnation_ = 0;
    TimerHandle timer_;
  };

  MemoryExchange(EventLoop* loop, const MemberList* members,
                 const BackEndList* back_ends, const BackEndSelector* selector,
                 RandomSource* random, LineLog* log, const Options& options);
  ~MemoryExchange();

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket) { socket_ = socket; }
  void SetConfig(const SiteConfig& config);
  void OnBackEndsChanged();
  // A member's record was written (with its boot) or removed.
  void OnMemberChanged(const std::string& name, std::optional<uint64_t> boot);
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);

  // Whether requests for the service ask for memory.
  bool IsUsed(const ServiceId& service) const {
    return engine_memory_.count(service) > 0;
  }
  // Asks for memory for `request`. `demand` needs no id and zone. Calls
  // `callback` once, and never from within this call, unless the claim is
  // destroyed first. The callback may destroy the claim.
  std::unique_ptr<Claim> Ask(const ServiceId& service, const RequestId& request,
                             MemoryDemand demand, AnswerCallback callback);
  // Enters memory that was reserved at the engine without a grant.
  std::unique_ptr<Claim> Register(const ServiceId& service,
                                  const BackEndEntry& engine, Tokens tokens,
                                  Duration hold_time);

  const Counters& counters() const { return counters_; }
  // The ledgers that this daemon owns, for status pages.
  const MemoryLedger* FindLedger(const ServiceId& service) const;
  // The members that are asked for the service's memory, the first one first.
  std::vector<std::string> Issuers(const ServiceId& service) const;
  std::vector<ServiceId> services() const;
  int64_t waiting_count() const;
  int64_t granted_tokens() const;

 private:
  void Send(Claim* claim);
  void OnUnanswered(Claim* claim);
  void Finish(Claim* claim, const Answer& answer);
  void OnReply(Claim* claim, MemoryDecision::Result result,
               const BackEndId& engine, int64_t incarnation, Duration wait);
  void Renew(Claim* claim);
  void ScheduleRenewal(Claim* claim);
  enum class EndCause { kReleased, kRefused, kUnreachable };
  void End(Claim* claim, EndCause cause);
  wire::MemoryHolding HoldingOf(const Claim& claim) const;
  void SendHoldings(const ServiceId& service, const std::string& member);
  void SendUpdate(const std::string& member, const wire::MemoryUpdate& update);
  void SendToMember(const std::string& name,
                    const wire::UsageDatagram& datagram);

  // --- As an owner ---
  // Returns nullptr if this daemon doesn't own the service's ledger.
  MemoryLedger* LedgerOf(const ServiceId& service);
  void RefreshEngines(const ServiceId& service, MemoryLedger* ledger);
  bool CountsOthers(const ServiceId& service, const MemoryLedger& ledger) const;
  void Deliver(const ServiceId& service, const MemoryDecisions& decisions);
  void HandleRequest(const std::string& member,
                     const wire::MemoryRequest& request);
  void HandleReply(const std::string& member, const Endpoint& from,
                   const wire::MemoryReply& reply);
  // `member` is this daemon for its own claims.
  void HandleUpdate(const std::string& member,
                    const wire::MemoryUpdate& update);
  void ScheduleTick();
  void Tick();

  EventLoop* const loop_;
  const MemberList* const members_;
  const BackEndList* const back_ends_;
  const BackEndSelector* const selector_;
  RandomSource* const random_;
  LineLog* const log_;
  const Options options_;
  DatagramSocket* socket_ = nullptr;
  // The services that have a ledger, and the memory of one engine.
  std::map<ServiceId, Tokens> engine_memory_;
  uint64_t last_serial_ = 0;
  std::map<uint64_t, Claim*> claims_;
  // Owners that didn't respond, with the time from which they are asked again.
  std::map<std::string, MonoTime> unreachable_until_;
  // The boots of owners that know what this daemon holds.
  std::map<std::pair<ServiceId, std::string>, uint64_t> informed_;
  std::map<ServiceId, std::unique_ptr<MemoryLedger>> ledgers_;
  TimerHandle tick_timer_;
  // Expires with the exchange; guards callbacks of Post().
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Counters counters_;
};

}  // namespace mimosa

#endif  // SERVING_MEMORY_EXCHANGE_H_
