// One incarnation of this daemon as a member: its record in the platform, its
// term, and its promises as a witness of others.
//
// decide/term.h has the rules; this class sends the rounds of grant requests,
// renews the platform lease where there are too few witnesses, and writes the
// record. A write that got no reply is repeated unchanged under the same
// revision and change id until the platform says what became of it.
#ifndef ROUTER_TERM_KEEPER_H_
#define ROUTER_TERM_KEEPER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/kv_store.h"
#include "base/random.h"
#include "decide/membership.h"
#include "decide/term.h"
#include "net/event_loop.h"
#include "router/fleet_options.h"
#include "router/fleet_records.h"
#include "router/peer_bus.h"

namespace mimosa {

class TermKeeper {
 public:
  struct Observers {
    std::function<void()> joined;  // the record is written
    // The record was ended or is gone: this incarnation is over.
    std::function<void()> ended;
    std::function<void()> renewed;  // a deadline was reached for the first time
  };

  TermKeeper(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
             FleetRecords* records, const FleetOptions& options,
             const std::string& incarnation, bool listed, Observers observers);

  const MemberId& self() const { return self_; }
  uint64_t epoch() const { return record_.epoch(); }
  bool joined() const { return joined_; }
  // Named in the record as last settled; 0: the term rests on a lease.
  int witnesses() const { return record_.witnesses_size(); }
  MonoTime Deadline() const;

  // Several times a grant: renews, joins, changes the witnesses.
  void Tick();

  // Writes that this member is leaving, or has ended; `done(ok)`.
  void WriteLeaving(std::function<void(bool)> done);
  void WriteEnded(std::function<void(bool)> done);

  // Peers' calls.
  wire::GrantReply Grant(const wire::GrantRequest& request);
  wire::EndReply Agree(const wire::EndRequest& request);
  const WitnessBook& book() const { return book_; }
  WitnessBook* mutable_book() { return &book_; }

 private:
  // What holds the record up: witnesses, or a lease as the set's only member.
  struct Backing {
    WitnessSet witnesses;
    std::string lease;

    bool on_lease() const { return !lease.empty(); }
  };
  struct Write {
    wire::MemberRecord record;
    Backing backing;
    Revision expect;
    bool in_doubt = false;  // an attempt got no reply
    bool sending = false;
    MonoTime retry_at;
    std::function<void(bool)> done;
  };
  struct Asked {
    std::unique_ptr<PeerCall> call;
    wire::GrantReply reply;
  };
  struct PeerState {
    int failures = 0;  // in a row
    MonoTime avoid_until = MonoTime::min();
  };

  static WitnessSet SetOf(const Backing& backing);

  void Round();
  void AskWitness(const MemberId& witness);
  void OnGrantReply(const MemberId& witness, uint64_t round, MonoTime sent,
                    PeerStatus status);
  void RenewLease(const std::string& lease);
  void OnGranted(const MemberId& witness, MonoTime sent);

  void ConsiderChange();
  bool Usable(const MemberId& id) const;
  bool Fits(const MemberId& witness) const;
  void StartCandidate(WitnessSet witnesses);
  void ProgressCandidate();
  void CreateLease();

  void StartWrite(wire::MemberRecord record, Backing backing,
                  std::function<void(bool)> done);
  void SendWrite();
  void OnWritten(const KvResult& result);
  void SettleWrite(bool took_effect);
  void OnOver();

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  FleetRecords* const records_;
  const FleetOptions options_;
  const Observers observers_;
  const MemberId self_;
  const MonoTime born_;  // promises of former incarnations end before this

  wire::MemberRecord record_;  // as last settled
  Revision revision_;          // of record_; 0: not written yet
  Backing backing_;            // of record_
  bool joined_ = false;
  bool over_ = false;
  bool was_held_ = false;
  TermHolder holder_;
  WitnessBook book_;

  std::optional<Write> write_;  // one at a time
  KvStore::CallPtr write_call_;
  // A backing that is asked for grants before the record is changed to it.
  std::optional<Backing> candidate_;
  MonoTime candidate_since_;
  KvStore::CallPtr lease_create_;
  std::map<std::string, KvStore::CallPtr> lease_renewals_;  // by lease
  uint64_t round_ = 0;
  std::map<std::pair<MemberId, uint64_t>, std::unique_ptr<Asked>> asked_;
  std::map<MemberId, PeerState> peers_;
};

}  // namespace mimosa

#endif  // ROUTER_TERM_KEEPER_H_
