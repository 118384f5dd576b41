// Selects a back end for each request: a prefill engine, a decode engine or a
// plain server, from the load and failures that this daemon has observed.
//
// Model: for each back end the daemon counts its own open calls, keeps a
// decayed failure count and a backoff deadline, and receives the open work of
// its peer daemons. A request goes to the back end with the lowest expected
// time to the first response. The estimate adds up the work queued ahead, the
// extra cost of crossing failure domains, and a penalty for recent failures.
// After a failure a back end gets no requests for a backoff that grows with
// each consecutive failure; after that it gets one request at a time until one
// succeeds. The backoff after a rejection is shorter and grows likewise.
//
// A back end that says that it is about to terminate gets nothing new from the
// daemon that it told; the others learn it from its entry or its responses to
// them.
//
// A back end that names a limit on the calls of all daemons is called with a
// permit only; meanwhile, requests go to others. So is one that warms up, but a
// permit is only requested for it if the others have longer queues.
//
// Engines of unlike speed (decide/engine_speeds.h) are compared by what their
// work takes them. Then only a few candidates, drawn at random, are compared:
// otherwise all daemons would choose the same fast engine until they learn of
// each other's calls.
//
// Between the selection of a back end and the first byte of the call, time
// passes: reservations, prefills, connects. FindObstacle() judges the back end
// once more at that moment, so that no call follows from an older view.
//
// Load patterns covered: engines that reject most requests for seconds; a burst
// of twice the usual rate while a quarter of the engines don't respond or
// respond slowly; engines that are full for a moment; prefill engines whose
// results expire at once; a restart of many engines; a failure domain whose
// engines come back slow during a burst; engines of unlike speed in one service
// under many daemons with old views.
#ifndef DECIDE_BACK_END_SELECTOR_H_
#define DECIDE_BACK_END_SELECTOR_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/back_end_list.h"
#include "decide/call_permits.h"
#include "decide/engine_speeds.h"
#include "decide/open_work.h"
#include "decide/site.h"
#include "decide/traffic_boundaries.h"

namespace mimosa {

// How a call to a back end ended, as far as the back end's health is concerned.
enum class CallOutcome {
  // The back end responded, whatever the status code.
  kSuccess,
  // The back end refused a reservation for lack of capacity, or asked for a
  // pause.
  kFull,
  // The back end stated that it did not run the request, and asked for no
  // pause.
  kRejected,
  // There was no response, or it broke off or could not be parsed.
  kFailed,
  // The connection could not be established.
  kUnreachable,
  // Another server now has the back end's address.
  kAddressReused,
  // The result of a prefill engine was no longer available when it was fetched.
  kPrefillResultLost,
  // The caller or this daemon gave up; this says nothing about the back end's
  // health.
  kUnknown,
};

const char* CallOutcomeName(CallOutcome outcome);

struct WorkSize {
  Tokens prompt;  // tokens to prefill
  Tokens total;   // prompt and output tokens: KV memory at a decode engine
};

struct SelectionQuery {
  ServiceId service;
  EngineRole role = EngineRole::kNone;
  WorkSize work;
  // Failure domain of the other end of the traffic.
  FailureDomain preferred_zone;
  // KV memory of one engine of the service, in tokens; zero if the service has
  // no model engines.
  Tokens kv_memory;
  // Back ends that must not be selected; may be null.
  const std::set<BackEndId>* exclude = nullptr;
  // Only these back ends may be selected; absent: any.
  std::optional<std::set<BackEndId>> among;
  // Skips decode engines whose memory is exhausted by the known runs, and never
  // falls back to an engine in backoff.
  bool require_free_memory = false;
  // Only back ends of this software version are selected; absent: any version.
  std::optional<SoftwareVersion> software_version;
  // Only back ends of these software versions are selected; may be null: any.
  const std::set<SoftwareVersion>* startable_versions = nullptr;
  // Only back ends in these regions are selected; may be null: anywhere.
  const AllowedRegions* allowed_regions = nullptr;
  // Largest share of kv_memory that may be in use once this request is added.
  double max_memory_share = 1;
};

// Why no back end may get a request, however many are free.
enum class Barrier {
  kNone,       // One may, or the service has none at all.
  kRegions,    // None lies in the request's regions.
  kEvacuated,  // All of those that do are evacuated.
};
inline constexpr size_t kBarrierCount = 3;
const char* BarrierName(Barrier barrier);

// What a call asks of a back end.
enum class CallPurpose {
  kWork,     // Something for a request: a reservation, a prefill or a run.
  kControl,  // Something of the daemon's own, such as a release of memory.
};

// Why a call to a back end that was selected earlier must not begin now.
enum class CallObstacle {
  kNone,
  kUnlisted,      // Its entry has been removed.
  kRestarted,     // It is listed as another incarnation.
  kEvacuated,     // Its failure domain is evacuated.
  kPausing,       // It is in the pause that it asked for.
  kReplaced,      // Another incarnation of it is at work, which isn't listed.
  kLeaving,       // It drains, or has said that it is about to terminate.
  kChangingRole,  // It gets work once it is listed under its new role.
};
const char* CallObstacleName(CallObstacle obstacle);

class BackEndSelector {
 public:
  struct Options {
    // Prompt tokens that a prefill engine processes per millisecond, until it
    // is measured. All engine types in use have about this speed.
    double prefill_tokens_per_ms = 30;
    // Extra expected time of a request to another failure domain, in
    // milliseconds: one round trip, and a KV transfer at half the speed.
    double other_zone_penalty_ms = 8;
    // Expected time added per recent failure, in milliseconds. A failed request
    // that may not be retried is lost, so a failure weighs as much as a long
    // queue.
    double failure_penalty_ms = 400;
    // Backoff after the first failure. It doubles with each consecutive one.
    Duration initial_backoff = std::chrono::milliseconds(300);
    Duration max_backoff = std::chrono::seconds(6);
    // Backoff after kFull: the time in which some of the engine's requests end.
    // After kRejected it doubles with each rejection in a row, up to the
    // maximum.
    Duration full_backoff = std::chrono::milliseconds(100);
    Duration max_rejection_backoff = std::chrono::milliseconds(1600);
    // The failure count halves in this time.
    Duration failure_half_life = std::chrono::seconds(8);
    // Expected time added if a back end rejects all calls, in milliseconds. It
    // grows with the square of the share that is rejected, since a few
    // rejections only mean that the back end was full for a moment.
    double rejection_penalty_ms = 400;
    // The share of rejected calls halves in this time.
    Duration rejection_half_life = std::chrono::seconds(3);
    // Weight of the last call in the share of rejections.
    double rejection_weight = 0.3;
  };

  // Without `permits`, limits that back ends name are ignored; without
  // `boundaries`, evacuations and allowed regions are.
  BackEndSelector(const BackEndList* list, RandomSource* random,
                  const Options& options, CallPermits* permits = nullptr,
                  const TrafficBoundaries* boundaries = nullptr)
      : list_(list),
        random_(random),
        options_(options),
        permits_(permits),
        boundaries_(boundaries) {}

  // Returns nullptr if no back end of the service and role takes new work. If a
  // call to the selected one needs a permit, it is used up; one is requested
  // for the best back end that only lacks a permit.
  const BackEndEntry* SelectBackEnd(const SelectionQuery& query, MonoTime now);
  // Returns when the first back end that the query matches has ended the pause
  // that it asked for, is presumably listed as it is and can be called within
  // its limit; `now` if that holds for one already, or if none matches.
  MonoTime EndOfPauses(const SelectionQuery& query, MonoTime now) const;
  // Returns whether a back end that the query matches only lacks a permit.
  bool AwaitsPermit(const SelectionQuery& query, MonoTime now) const;
  // Returns whether the query matches a back end at all, however loaded or
  // unhealthy it is now.
  bool HasCandidate(const SelectionQuery& query) const;
  // Returns whether the service has a back end of that role that takes new
  // work, regardless of its health, in the regions (null: anywhere).
  bool HasBackEnd(const ServiceId& service, EngineRole role,
                  const AllowedRegions* allowed_regions = nullptr) const;
  // Returns what keeps the request from all back ends of the query's service
  // and role.
  Barrier FindBarrier(const SelectionQuery& query) const;
  // Returns whether no failure domain lies in the regions, as far as known.
  bool IsNowhere(const AllowedRegions& allowed_regions) const;
  // Returns whether nothing new may be sent to the back end.
  bool IsEvacuated(const BackEndEntry& back_end) const;
  // Returns whether a request of these regions may still be sent to a back end
  // that was selected for it before.
  bool MayStillCall(const BackEndEntry& back_end,
                    const AllowedRegions& allowed_regions) const;
  // Returns what keeps a call from a back end that was selected for it before;
  // kNone for what SelectBackEnd() would return now. Only kWork is kept from
  // back ends that leave, change their role or aren't the listed incarnation.
  CallObstacle FindObstacle(const BackEndEntry& back_end, CallPurpose purpose,
                            MonoTime now) const;
  // A back end has stated its incarnation. Its entry may lag behind.
  void RecordIncarnation(const BackEndId& back_end, int64_t incarnation);
  // Returns the latest incarnation of the back end that is known, by its entry
  // or by what it has stated since; 0 if none is.
  int64_t LatestIncarnation(const BackEndId& back_end) const;
  // Returns whether the query matches a back end that is not in backoff.
  bool HasHealthyCandidate(const SelectionQuery& query, MonoTime now) const;

  // Returns whether the query matches back ends, and all of them are in backoff
  // since they could not be connected to.
  bool IsNoneConnectable(const SelectionQuery& query, MonoTime now) const;

  // Count the open calls and their `size`, as given to SelectBackEnd(). Each
  // OnCallStarted() needs exactly one OnCallEnded().
  void OnCallStarted(const BackEndEntry& back_end, const WorkSize& size);
  void OnCallEnded(const BackEndEntry& back_end, const WorkSize& size,
                   CallOutcome outcome, MonoTime now);
  // Records an outcome apart from the end of a call, such as silence when a
  // response was due.
  void RecordOutcome(const BackEndEntry& back_end, CallOutcome outcome,
                     MonoTime now);

  // The back end has begun to work on a request. A reservation says nothing
  // about that.
  void RecordAcceptance(const BackEndEntry& back_end, MonoTime now);
  // Returns whether the back end has rejected several calls in a row, so that a
  // rejection says nothing about the request.
  bool RejectsMany(const BackEndEntry& back_end) const;

  // The failures of the service's back ends so far say nothing about them: the
  // daemon could not reach any.
  void ForgetFailures(const ServiceId& service);

  // The back end has said that it is about to terminate. From now on it is not
  // selected, whatever its entry says, until another incarnation of it is
  // listed. Returns false if that was known.
  bool RecordLeaving(const BackEndEntry& back_end);
  // The back end has rejected a request and wants none before `until`. It is
  // not selected until then, not even if there is no other.
  void RecordPause(const BackEndEntry& back_end, MonoTime until);
  // Another incarnation than the listed one, `back_end`, has answered. The
  // listed one gets no work before `until`.
  void RecordReplacement(const BackEndEntry& back_end, MonoTime until);
  // Returns whether this incarnation of the back end is about to terminate.
  bool IsLeaving(const BackEndEntry& back_end) const;
  size_t leaving_count() const { return leaving_.size(); }

  // Sets the engines that are changing their role, with the new role. They get
  // no requests until they are listed under the new role.
  void SetRoleChanges(std::map<BackEndId, EngineRole> role_changes) {
    role_changes_ = std::move(role_changes);
  }

  // Sets the open work of the other daemons.
  void SetPeerLoad(OpenWorkByBackEnd load) { peer_load_ = std::move(load); }
  // Returns the open work of this daemon, to be sent to its peers. Back ends
  // without open work are left out.
  OpenWorkByBackEnd LocalLoad() const;
  // The speeds of the engines, to be kept up to date by the owner.
  EngineSpeedView& engine_speeds() { return engine_speeds_; }
  const EngineSpeedView& engine_speeds() const { return engine_speeds_; }
  // Returns the speed of the engine in that role, relative to the middle of its
  // service.
  double SpeedOf(const BackEndEntry& back_end, EngineRole role) const;
  const BackEndList& list() const { return *list_; }
  // Returns whether neither this daemon nor its peers are known to have open
  // calls at the back end.
  bool IsIdle(const BackEndId& id) const;

  // What is known of a back end, for status pages.
  struct ObservedState {
    int open_calls = 0;
    int peer_calls = 0;   // as last reported by the peers
    double failures = 0;  // decayed to now
    bool in_backoff = false;
    CallOutcome last_failure = CallOutcome::kSuccess;  // kSuccess: none
    bool changing_role = false;
  };
  ObservedState GetObservedState(const BackEndId& id, MonoTime now) const;

 private:
  // What is known of one incarnation of a back end.
  struct BackEndState {
    int open_calls = 0;
    Tokens open_prompt;
    Tokens open_total;
    int consecutive_failures = 0;
    int consecutive_rejections = 0;
    double rejection_share = 0;  // as of rejections_at
    MonoTime rejections_at{};
    double failures = 0;  // as of failures_at
    MonoTime failures_at{};
    MonoTime backoff_until{};
    MonoTime pause_until{};     // As asked for by the back end.
    MonoTime replaced_until{};  // Another incarnation is at work.
    CallOutcome last_failure = CallOutcome::kSuccess;
    // After a failure, allows one open call at a time until one succeeds.
    bool probe_only = false;
  };

  using IncarnationStates = std::map<int64_t, BackEndState>;

  BackEndState& StateOf(const BackEndEntry& back_end);
  // Return nullptr if nothing is known of this incarnation.
  const BackEndState* FindState(const BackEndEntry& back_end) const;
  BackEndState* FindState(const BackEndEntry& back_end);
  // The same for the incarnation that is listed.
  const BackEndState* FindListedState(const BackEndId& id) const;
  // Removes the states without open calls.
  static void RemoveIdle(IncarnationStates* states);
  bool IsEligible(const BackEndEntry& entry, const ServiceId& service,
                  EngineRole role) const;
  bool IsChangingRole(const BackEndEntry& entry) const;
  bool IsInside(const BackEndEntry& entry,
                const AllowedRegions* allowed_regions) const;
  bool Matches(const BackEndEntry& entry, const SelectionQuery& query) const;
  void RemoveUnlistedLeaving();
  bool IsInBackoff(const BackEndState& state, MonoTime now) const;
  double DecayedFailures(const BackEndState& state, MonoTime now) const;
  double DecayedRejectionShare(const BackEndState& state, MonoTime now) const;
  OpenWork PeerLoadOf(const BackEndId& id) const;
  // Returns whether the open runs at an engine, together with this one, exceed
  // the share of its memory that the query allows.
  bool ExceedsMemory(const BackEndId& id, const BackEndState& state,
                     const SelectionQuery& query) const;
  double ExpectedMillis(const BackEndList::ListedBackEnd& listed,
                        const BackEndState& state, const SelectionQuery& query,
                        MonoTime now) const;
  struct Candidate {
    const BackEndEntry* entry = nullptr;
    double expected_ms = 0;
  };
  // Returns the best of a few candidates drawn at random in the preferred
  // failure domain and as many elsewhere; nullptr if there are none.
  const BackEndEntry* BestOfSample(std::vector<Candidate> candidates,
                                   const FailureDomain& preferred_zone);
  void ApplyOutcome(BackEndState* state, CallOutcome outcome, MonoTime now);

  const BackEndList* const list_;
  RandomSource* const random_;
  const Options options_;
  CallPermits* const permits_;                 // May be null.
  const TrafficBoundaries* const boundaries_;  // May be null.
  std::map<BackEndId, IncarnationStates> states_;
  OpenWorkByBackEnd peer_load_;
  EngineSpeedView engine_speeds_;
  struct StatedIncarnation {
    int64_t stated = 0;  // Later than `listed`.
    // That of its entry at the time. Once another one is listed, the statement
    // is out of date, whichever is the later start: clocks may step back.
    int64_t listed = 0;
  };
  // What back ends have stated whose entries lag behind.
  std::map<BackEndId, StatedIncarnation> stated_incarnations_;
  // The incarnations that have said that they are about to terminate, also
  // after their entries are gone: an entry may come back after an outage.
  std::map<BackEndId, int64_t> leaving_;
  // Engines that are changing their role, with the new role.
  std::map<BackEndId, EngineRole> role_changes_;
};

}  // namespace mimosa

#endif  // DECIDE_BACK_END_SELECTOR_H_
