// Shares the engines of one service between prefill and decode.
//
// Model: requests pass both stages at the same rate, so that what one costs at
// each stage, counted in engine time, says in which proportion the stages need
// engines, at any rate. Prefill gets some headroom,
// since its queue delays first events, while decode engines that are full only
// refuse room. An engine is moved when the fuller stage is well used and the
// proportion has been another one for long against the time that a move takes.
// The means cover several seconds, a share that is nearly right is left alone
// and a batch of moves is followed by a rest, so that a short shift of the
// traffic moves nothing back and forth.
//
// Load patterns answered: a site whose engines were started in a proportion
// that its requests don't have (decode memory full, prefill engines idle); a
// lasting shift between long prompts and long answers; engines of one stage
// lost for good.
#ifndef DECIDE_ROLE_BALANCER_H_
#define DECIDE_ROLE_BALANCER_H_

#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"
#include "decide/stage_meter.h"

namespace mimosa {

// Another role for an engine.
struct RoleMove {
  BackEndId engine;
  EngineRole role = EngineRole::kNone;
};

class RoleBalancer {
 public:
  struct Options {
    // The means cover about so long: several bursts' length.
    Duration averaging_time = std::chrono::seconds(10);
    // Work is measured for so long before anything is moved: about twice a
    // usual run, since short ones are measured first.
    Duration warm_up = std::chrono::seconds(8);
    // Between two batches: a move takes several seconds, and its effect on the
    // mean as long again.
    Duration cooldown = std::chrono::seconds(12);
    // A share that is off by less stays: of all engines, and one at least. What
    // a move costs for seconds is more than a nearly right share loses.
    double tolerance = 0.15;
    // Engines that prefill gets per engine that its work keeps busy.
    double prefill_headroom = 1.1;
    // Nothing is moved while the fuller stage uses less of its engines.
    double min_utilization = 0.45;
    // Share of a stage's engines that leave it at once, one at least.
    double max_moved_share = 0.34;
    // Engines that each stage keeps, so that one can fail.
    int min_engines_per_stage = 2;
  };

  struct Engine {
    BackEndId id;
    FailureDomain zone;
    EngineRole role = EngineRole::kNone;
    int open_calls = 0;        // open at it
    bool accepts_work = true;  // takes new work
  };

  explicit RoleBalancer(const Options& options) : options_(options) {}

  // What the fleet's requests have cost since the last call, and the tokens
  // that one engine's KV memory holds.
  void RecordWork(const StageSums& sums, Tokens kv_memory, MonoTime now);
  // The moves to make now, all to one role; mostly none. The caller makes them
  // all or says nothing more until the next call.
  std::vector<RoleMove> ProposeMoves(const std::vector<Engine>& engines,
                                     MonoTime now);

  // Engines that the two stages' work keeps busy, as a mean.
  double prefill_work() const;
  double decode_work() const;

 private:
  // How many engines prefill should have where it has `prefills` of `total`.
  int TargetPrefillCount(int prefills, int total) const;

  const Options options_;
  // Requests that reach the engines, a second.
  double RequestRate() const;

  bool has_sample_ = false;
  MonoTime first_sample_at_{};  // of the first observation
  MonoTime last_sample_at_{};   // of the last one
  MonoTime last_move_at_{};     // the epoch: never
  Tokens kv_memory_;            // of one engine
  StageSums decayed_sums_;      // fading
  double decayed_seconds_ = 0;  // that they cover, fading as well
};

}  // namespace mimosa

#endif  // DECIDE_ROLE_BALANCER_H_
