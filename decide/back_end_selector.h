// Places requests on prefill engines, decode engines and plain servers by what
// this daemon has seen of them.
//
// Model: for each back end the daemon counts its own open work, keeps a decayed
// count of failures and the time until which it is passed over, and is told
// what its peers have open. A request goes where its first answer is expected
// soonest: work ahead of it, the way to another failure domain, and what past
// failures make it expect. Whoever failed is passed over for a pause that grows
// with each failure in a row, and is then tried again with one request at a
// time.
//
// Load patterns answered: a quarter of the engines dark or grey in a burst of
// twice the rate; engines that are full for a moment; prefill engines whose
// results lapse at once; a restart of many engines.
#ifndef DECIDE_BACK_END_SELECTOR_H_
#define DECIDE_BACK_END_SELECTOR_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/back_end_list.h"
#include "decide/open_work.h"
#include "decide/site.h"

namespace mimosa {

// How a call to a back end ended, as far as its health is concerned.
enum class CallOutcome {
  kSuccess,        // an answer of its own, whatever its status
  kFull,           // it said that it did not run the request for want of room
  kFailed,         // no answer, a broken or an unreadable one
  kUnreachable,    // no connection
  kAddressReused,  // another server has its address
  kPrefillResultLost,  // a prefill engine's result was gone when it was taken
  kUnknown,            // given up by the caller or by us: says nothing
};

const char* CallOutcomeName(CallOutcome verdict);

struct WorkSize {
  Tokens prompt;  // to be read by a prefill
  Tokens total;   // prompt and output: KV memory at a decode engine
};

struct SelectionQuery {
  ServiceId service;
  EngineRole role = EngineRole::kNone;
  WorkSize work;
  FailureDomain preferred_zone;  // where the other end of the traffic is
  // KV memory of an engine; zero: not a model engine.
  Tokens kv_memory;
  const std::set<BackEndId>* exclude = nullptr;
  // Passes over decode engines whose memory the known runs will fill.
  bool require_free_memory = false;
  // Of it, how much may be taken with this request.
  double max_memory_share = 1;
};

class BackEndSelector {
 public:
  struct Options {
    // Prompt tokens that a prefill engine reads in a millisecond, until
    // measured. Of the same order on all engine types in use.
    double prefill_tokens_per_ms = 30;
    // What a request to another failure domain costs more than one within, in
    // expected milliseconds: two ways and a transfer at half the speed.
    double other_zone_penalty_ms = 8;
    // What one recent failure adds to the expected time. A failed request that
    // may not be repeated is lost: a failure weighs as much as a long queue.
    double failure_penalty_ms = 400;
    // First pause after a failure; doubles with each further one in a row.
    Duration initial_backoff = std::chrono::milliseconds(300);
    Duration max_backoff = std::chrono::seconds(6);
    // Pause after "full": the time in which some of its requests end.
    Duration full_backoff = std::chrono::milliseconds(100);
    // Failures fade by half in this time.
    Duration failure_half_life = std::chrono::seconds(8);
  };

  BackEndSelector(const BackEndList* list, RandomSource* random,
                  const Options& options)
      : list_(list), random_(random), options_(options) {}

  // nullptr: no back end of the service and role takes new work.
  const BackEndEntry* SelectBackEnd(const SelectionQuery& query, MonoTime now);
  // Whether the service has a back end of that role that takes new work, apart
  // from its health.
  bool HasBackEnd(const ServiceId& service, EngineRole role) const;
  // Whether some back end of that role is listed that isn't passed over now.
  bool HasHealthyBackEnd(const ServiceId& service, EngineRole role,
                         MonoTime now) const;

  // `size` as given to Choose(); each CallBegan needs one CallEnded.
  void OnCallStarted(const BackEndEntry& back_end, const WorkSize& size);
  void OnCallEnded(const BackEndEntry& back_end, const WorkSize& size,
                   CallOutcome verdict, MonoTime now);
  // A verdict apart from a call's end, such as silence where an answer was due.
  void RecordOutcome(const BackEndEntry& back_end, CallOutcome verdict,
                     MonoTime now);

  // Engines that are changing their role take nothing until they are listed
  // under the new one.
  void SetRoleChanges(std::map<BackEndId, EngineRole> moving) {
    role_changes_ = std::move(moving);
  }

  // What the other daemons have open.
  void SetPeerLoad(OpenWorkByBackEnd load) { peer_load_ = std::move(load); }
  // What this daemon has open, for its peers; only where there is something.
  OpenWorkByBackEnd LocalLoad() const;
  // Whether nobody is known to have anything open there.
  bool IsIdle(const BackEndId& id) const;

  // For status pages: what is believed of a back end.
  struct ObservedState {
    int open_calls = 0;
    int peer_calls = 0;   // as last told
    double failures = 0;  // decayed
    bool in_backoff = false;
    CallOutcome last_failure = CallOutcome::kSuccess;  // kGood: none
    bool changing_role = false;
  };
  ObservedState GetObservedState(const BackEndId& id, MonoTime now) const;

 private:
  struct BackEndState {
    int64_t incarnation = 0;  // all below is about this one
    int open_calls = 0;
    Tokens open_prompt;
    Tokens open_total;
    int consecutive_failures = 0;
    double failures = 0;  // as of failures_at
    MonoTime failures_at{};
    MonoTime backoff_until{};
    CallOutcome last_failure = CallOutcome::kSuccess;
    bool probe_only = false;  // one call at a time until it has answered
  };

  BackEndState& StateOf(const BackEndEntry& back_end);
  bool IsEligible(const BackEndEntry& entry, const ServiceId& service,
                  EngineRole role) const;
  bool IsInBackoff(const BackEndState& seen, MonoTime now) const;
  double DecayedFailures(const BackEndState& seen, MonoTime now) const;
  OpenWork PeerLoadOf(const BackEndId& id) const;
  // Whether the runs at an engine, this one with them, outgrow its memory.
  bool ExceedsMemory(const BackEndId& id, const BackEndState& seen,
                     const SelectionQuery& query) const;
  double ExpectedMillis(const BackEndList::ListedBackEnd& listed,
                        const BackEndState& seen, const SelectionQuery& query,
                        MonoTime now) const;
  void ApplyOutcome(BackEndState* seen, CallOutcome verdict, MonoTime now);

  const BackEndList* const list_;
  RandomSource* const random_;
  const Options options_;
  std::map<BackEndId, BackEndState> states_;
  OpenWorkByBackEnd peer_load_;
  std::map<BackEndId, EngineRole> role_changes_;  // to these roles
};

}  // namespace mimosa

#endif  // DECIDE_BACK_END_SELECTOR_H_
