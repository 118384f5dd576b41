// Balances the engines of one service between the prefill and decode roles.
//
// Model: requests pass both stages at the same rate. The engine time that a
// request costs at each stage therefore gives the proportion in which the
// stages need engines, at any request rate. Prefill gets some headroom, since
// its queue delays the first events, while decode engines that are full only
// refuse reservations. An engine is moved when the stage with the higher
// utilization is well used and the required proportion has differed for longer
// than a move takes. The averages cover several seconds, a share that is nearly
// right is left alone, and each batch of moves is followed by a cooldown, so
// that a short shift of the traffic doesn't move engines back and forth.
//
// Prefill engines that stay idle even in a burst cost nothing when they leave.
// They are therefore given to a well used decode stage earlier and at a smaller
// deviation than others; the way back needs the usual deviation. The forecast
// of the prefill work is the larger of its average and a decaying peak.
//
// Load patterns covered: a site whose engines were started in a proportion that
// doesn't fit its requests (decode memory full, prefill engines idle); a
// lasting shift between long prompts and long outputs; engines of one stage
// lost for good; idle prefill engines beside decode memory that is short in
// bursts only; failure domains whose demand swings out of step.
#ifndef DECIDE_ROLE_BALANCER_H_
#define DECIDE_ROLE_BALANCER_H_

#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"
#include "decide/stage_meter.h"

namespace mimosa {

// Assigns another role to an engine.
struct RoleMove {
  BackEndId engine;
  EngineRole role = EngineRole::kNone;
};

class RoleBalancer {
 public:
  struct Options {
    // Time constant of the averages: several times the length of a burst.
    Duration averaging_time = std::chrono::seconds(10);
    // Time for which work is measured before anything is moved. It is about
    // twice the length of a usual run, since short runs end and are measured
    // first.
    Duration warm_up = std::chrono::seconds(8);
    // Minimum time between two batches of moves. A move takes several seconds,
    // and its effect on the average takes as long again.
    Duration cooldown = std::chrono::seconds(12);
    // A deviation below this share of all engines (and at least one engine) is
    // left alone: a move costs more for seconds than a nearly right share
    // loses.
    double tolerance = 0.15;
    // Engines assigned to prefill per engine that its work keeps busy.
    double prefill_headroom = 1.1;
    // No engine is moved while the stage with the higher utilization is below
    // this value.
    double min_utilization = 0.45;
    // Largest share of a stage's engines that may leave it in one batch; at
    // least one engine may.
    double max_moved_share = 0.34;
    // Prefill engines kept per engine that the forecast work keeps busy: a
    // burst doubles the rate, and a queue delays first events. The work is
    // measured by daemons, so it includes transfers and some of the queue and
    // overstates an engine's time by a third.
    double burst_headroom = 1.2;
    // Engines kept in addition, as a multiple of the square root of the work:
    // the fewer engines there are, the more one prompt's arrival matters.
    double root_headroom = 1.2;
    // Engines above burst_headroom move to decode if they are at least this
    // share of all engines, and at least min_idle_moves.
    double idle_tolerance = 0.08;
    int min_idle_moves = 3;
    // Time for which work is measured before idle engines move. Only short runs
    // have ended by then, so decode work is rather underestimated.
    Duration idle_warm_up = std::chrono::seconds(4);
    // As max_moved_share, for idle prefill engines.
    double max_idle_moved_share = 0.5;
    // Time constant of the prefill rate whose peak is remembered, and the time
    // in which the peak halves.
    Duration peak_averaging_time = std::chrono::seconds(3);
    Duration peak_half_life = std::chrono::seconds(20);
    // Minimum number of engines in each stage, so that one can fail.
    int min_engines_per_stage = 2;
  };

  struct Engine {
    BackEndId id;
    FailureDomain zone;
    EngineRole role = EngineRole::kNone;
    int open_calls = 0;
    bool accepts_work = true;
    // Relative to the middle of the service. A faster engine occupies decode
    // memory for a shorter time, while prefill engines mostly wait for work.
    double speed = 1;
  };

  explicit RoleBalancer(const Options& options) : options_(options) {}

  // Records the cost of the fleet's requests since the last call. `kv_memory`
  // is the number of tokens that one engine's KV memory holds.
  void RecordWork(const StageSums& sums, Tokens kv_memory, MonoTime now);
  // Returns the moves to make now, all to the same role; usually empty. The
  // caller must carry out all of them or none until its next call.
  std::vector<RoleMove> ProposeMoves(const std::vector<Engine>& engines,
                                     MonoTime now);

  // Average number of engines that the work of each stage keeps busy.
  double prefill_work() const;
  double decode_work() const;

 private:
  // Returns how many of `total` engines prefill should have, given that it has
  // `prefills` now.
  int TargetPrefillCount(int prefills, int total) const;
  // Returns how many of `prefills` engines stay idle even in a burst and are
  // worth moving to decode.
  int IdlePrefillCount(int prefills, int total) const;
  // Returns the engines to move now, of the stage `from`.
  std::vector<RoleMove> ChooseMoves(std::vector<const Engine*> from,
                                    EngineRole new_role, int count) const;
  void UpdatePeak(const StageSums& sums, double elapsed);

  const Options options_;
  // Requests per second that reach the engines.
  double RequestRate() const;

  bool has_sample_ = false;
  MonoTime first_sample_at_{};
  MonoTime last_sample_at_{};
  // Time of the last batch of moves; the epoch if there was none.
  MonoTime last_move_at_{};
  Tokens kv_memory_;        // KV memory of one engine
  StageSums decayed_sums_;  // decayed with averaging_time
  // Time that decayed_sums_ covers, decayed as well.
  double decayed_seconds_ = 0;
  double recent_prefill_work_ = 0;  // averaged over peak_averaging_time
  double peak_prefill_work_ = 0;    // decaying maximum of recent_prefill_work_
};

}  // namespace mimosa

#endif  // DECIDE_ROLE_BALANCER_H_
