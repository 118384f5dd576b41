// Finds, together with the other daemons, what in requests crashes engines, and
// keeps the requests with it from all engines.
//
// Model: a daemon reports each crash under a run to a few keepers of each of
// the run's suspects, the members with the highest rendezvous hashes for it. A
// keeper whose evidence against a suspect becomes conclusive
// (decide/crash_evidence.h) asks all members for a run with it that has
// survived. Without one, it puts the suspect into quarantine
// (decide/crash_quarantine.h): it notifies all members, and writes the suspect
// to a record in the platform's store. The record reaches daemons that the
// keeper can't, and those that start later before they are ready. Its revision
// decides which daemon gets a trial. Whoever sees a run with a quarantined
// suspect survive releases it in the same way.
//
// Cost: nothing while no engine crashes; kKeepers datagrams for a crash, and
// for each suspect that is put into quarantine some datagrams to each member
// and one write.
#ifndef SERVING_CRASH_EXCHANGE_H_
#define SERVING_CRASH_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "base/random.h"
#include "decide/abandoned_calls.h"
#include "decide/back_end_list.h"
#include "decide/crash_evidence.h"
#include "decide/crash_quarantine.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/crash_guard.h"
#include "serving/member_list.h"

namespace mimosa {

class CrashExchange : public CrashGuard {
 public:
  struct Options {
    std::string record_key;
    // Time between the two queries of an inquiry, and from the second one to
    // the verdict.
    Duration query_interval = std::chrono::milliseconds(60);
    // By how much later each further keeper begins its inquiry, so that it
    // learns of the verdict of the one before.
    Duration keeper_delay = std::chrono::milliseconds(200);
    // Delay after a failed write of the record, before jitter.
    Duration write_retry_delay = std::chrono::milliseconds(500);
    // Time for which a notice holds without a record that confirms it.
    Duration notice_lifetime = std::chrono::seconds(30);
    // Time between two notices of a suspect whose record can't be written.
    Duration notice_interval = std::chrono::seconds(10);
    AbandonedCalls::Options abandoned;
    CrashEvidence::Options evidence;
    CrashQuarantine::Options quarantine;
  };
  struct Counters {
    uint64_t refused = 0;  // Requests with a quarantined suspect.
    uint64_t trials = 0;   // Granted to this daemon.
    uint64_t crashes = 0;  // Reported by this daemon.
    uint64_t quarantined = 0;
    uint64_t released = 0;
  };

  // Number of members that judge a suspect: so many that one of them is in
  // reach while a third of the fleet is cut off.
  static constexpr size_t kKeepers = 7;

  CrashExchange(EventLoop* loop, const MemberList* members, KvStore* store,
                RandomSource* random, LineLog* log, const Options& options);
  ~CrashExchange() override;

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket) { socket_ = socket; }
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);
  // The list of backend servers has changed.
  void OnBackEndsChanged(const BackEndList& back_ends);
  // Called when the store has come back from an older copy, before its record
  // is applied: what the copy lacks is written again.
  void OnStoreRestored();
  // The record in the store; nullptr if it was removed.
  void OnRecord(const KvRecord* record);

  // CrashGuard:
  CrashQuarantine::Decision Decide(
      const std::vector<CrashSuspectId>& suspects) override;
  bool IsQuarantined(
      const std::vector<CrashSuspectId>& suspects) const override {
    return quarantine_.ContainsAny(suspects);
  }
  std::unique_ptr<CrashTrialClaim> ClaimTrial(const CrashSuspectId& suspect,
                                              ClaimCallback callback) override;
  size_t CountCrashes(
      const std::vector<CrashSuspectId>& suspects) const override;
  void RecordSurvived(const std::vector<CrashSuspectId>& suspects) override;
  void RecordAbandoned(const RequestId& request,
                       const std::vector<CrashSuspectId>& suspects,
                       const BackEndEntry& engine) override;
  void RecordCrash(const RequestId& request,
                   const std::vector<CrashSuspectId>& suspects,
                   const BackEndEntry& engine) override;

  const Counters& counters() const { return counters_; }
  size_t quarantined_count() const { return quarantine_.size(); }
  // Of those, the whole requests.
  size_t quarantined_request_count() const;

 private:
  class TrialClaim;

  // A suspect in the record.
  struct RecordedSuspect {
    size_t trials = 0;
    std::vector<BackEndId> engines;
  };
  // What this daemon has decided and the record doesn't show yet.
  struct PendingChange {
    bool release = false;
    std::vector<BackEndId> engines;  // Unless it is a release.
    MonoTime notified_at{};
  };
  // What another daemon has decided and the record doesn't show yet.
  struct Notice {
    bool released = false;
    MonoTime expires_at{};
  };
  // By keeper and crashed engine.
  using CrashReports =
      std::map<std::pair<std::string, CrashEvidence::Incarnation>,
               wire::UsageDatagram>;
  using RecordedSuspects = std::map<CrashSuspectId, RecordedSuspect>;

  // Adds the crashes known under `suspect` to the reports to its keepers.
  void AddReports(const CrashSuspectId& suspect, CrashReports* reports) const;
  void OnEvidence(const CrashSuspectId& suspect);
  void SendQuery(const CrashSuspectId& suspect, int queries_left);
  void Quarantine(const CrashSuspectId& suspect);
  void Release(const CrashSuspectId& suspect);
  void HandleCrashReport(const wire::CrashReport& report);
  void HandleNotice(const wire::CrashSuspectNotice& notice);
  void Notify(const CrashSuspectId& suspect, PendingChange* change);
  void SendToMember(const std::string& name,
                    const wire::UsageDatagram& datagram);
  void SendToAll(const wire::UsageDatagram& datagram);

  // Takes the contents of the record over; nullptr if there is none.
  void ApplyRecord(const KvRecord* record);
  // Makes the quarantine what the record, the pending changes and the notices
  // say together.
  void UpdateQuarantine();
  // Writes the pending changes unless a write is in flight.
  void WritePendingChanges();
  void Write(const RecordedSuspects& suspects,
             std::function<void(KvStatus status)> done);
  void ScheduleWrite();

  EventLoop* const loop_;
  const MemberList* const members_;
  KvStore* const store_;
  RandomSource* const random_;
  LineLog* const log_;
  const Options options_;
  DatagramSocket* socket_ = nullptr;
  AbandonedCalls abandoned_;
  CrashEvidence evidence_;
  CrashQuarantine quarantine_;
  std::map<CrashSuspectId, TimerHandle> inquiries_;

  RecordedSuspects recorded_;  // As of revision_.
  Revision revision_;          // Of the record; 0 if there is none.
  std::map<CrashSuspectId, PendingChange> pending_;
  std::map<CrashSuspectId, Notice> notices_;
  KvStore::CallPtr write_;           // nullptr if none is in flight.
  KvStore::CallPtr previous_write_;  // May be on the stack.
  TimerHandle write_timer_;
  Counters counters_;
};

}  // namespace mimosa

#endif  // SERVING_CRASH_EXCHANGE_H_
