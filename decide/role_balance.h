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
#ifndef DECIDE_ROLE_BALANCE_H_
#define DECIDE_ROLE_BALANCE_H_

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

class RoleBalance {
 public:
  struct Options {
    // The means cover about so long: several bursts' length.
    Duration memory = std::chrono::seconds(10);
    // Work is measured for so long before anything is moved: about twice a
    // usual run, since short ones are measured first.
    Duration first_look = std::chrono::seconds(8);
    // Between two batches: a move takes several seconds, and its effect on the
    // mean as long again.
    Duration rest = std::chrono::seconds(12);
    // A share that is off by less stays: of all engines, and one at least. What
    // a move costs for seconds is more than a nearly right share loses.
    double slack = 0.15;
    // Engines that prefill gets per engine that its work keeps busy.
    double prefill_headroom = 1.1;
    // Nothing is moved while the fuller stage uses less of its engines.
    double worth_a_move = 0.45;
    // Share of a stage's engines that leave it at once, one at least.
    double most_at_once = 0.34;
    // Engines that each stage keeps, so that one can fail.
    int least_engines = 2;
  };

  struct Engine {
    BackEndId id;
    FailureDomain zone;
    EngineRole role = EngineRole::kNone;
    int calls = 0;       // open at it
    bool usable = true;  // takes new work
  };

  explicit RoleBalance(const Options& options) : options_(options) {}

  // What the fleet's requests have cost since the last call, and the tokens
  // that one engine's KV memory holds.
  void Observe(const StageSums& sums, Tokens kv_memory, MonoTime now);
  // The moves to make now, all to one role; mostly none. The caller makes them
  // all or says nothing more until the next call.
  std::vector<RoleMove> Propose(const std::vector<Engine>& engines,
                                MonoTime now);

  // Engines that the two stages' work keeps busy, as a mean.
  double prefill_work() const;
  double decode_work() const;

 private:
  // How many engines prefill should have where it has `prefills` of `total`.
  int WantedPrefill(int prefills, int total) const;

  const Options options_;
  // Requests that reach the engines, a second.
  double Rate() const;

  bool observed_ = false;
  MonoTime since_{};    // of the first observation
  MonoTime at_{};       // of the last one
  MonoTime moved_{};    // the epoch: never
  Tokens kv_memory_;    // of one engine
  StageSums sums_;      // fading
  double seconds_ = 0;  // that they cover, fading as well
};

}  // namespace mimosa

#endif  // DECIDE_ROLE_BALANCE_H_
