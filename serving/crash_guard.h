// Interface through which requests are checked for what crashes engines, and
// through which the relays report what became of their runs.
#ifndef SERVING_CRASH_GUARD_H_
#define SERVING_CRASH_GUARD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "decide/crash_quarantine.h"
#include "decide/crash_suspects.h"
#include "decide/site.h"

namespace mimosa {

// A pending claim of a trial. Destroying it drops the callback.
class CrashTrialClaim {
 public:
  virtual ~CrashTrialClaim() = default;
};

// Returns why a request with a quarantined suspect is refused, for log lines.
inline const char* QuarantineReason(const CrashSuspectId& suspect) {
  return IsRequest(suspect) ? "quarantined_request" : "quarantined_prompt";
}

class CrashGuard {
 public:
  using ClaimCallback = std::function<void(bool granted)>;

  virtual ~CrashGuard() = default;

  // Decides on a request with these suspects.
  virtual CrashQuarantine::Decision Decide(
      const std::vector<CrashSuspectId>& suspects) = 0;
  // Returns whether one of the suspects is in quarantine. For requests that
  // were admitted and have not run yet.
  virtual bool IsQuarantined(
      const std::vector<CrashSuspectId>& suspects) const = 0;
  // Claims a trial of a quarantined suspect. At most one daemon is granted it.
  // Runs `callback` once, from the loop.
  [[nodiscard]] virtual std::unique_ptr<CrashTrialClaim> ClaimTrial(
      const CrashSuspectId& suspect, ClaimCallback callback) = 0;
  // Returns the number of engines that are known to this daemon to have crashed
  // under one of the suspects, at most as many as make the evidence conclusive.
  virtual size_t CountCrashes(
      const std::vector<CrashSuspectId>& suspects) const = 0;
  // A run with these suspects has survived.
  virtual void RecordSurvived(const std::vector<CrashSuspectId>& suspects) = 0;
  // A run with these suspects was given up before `engine` responded. It counts
  // as broken off if the engine turns out to have ended.
  virtual void RecordAbandoned(const RequestId& request,
                               const std::vector<CrashSuspectId>& suspects,
                               const BackEndEntry& engine) = 0;
  // `engine` has broken off a run with these suspects.
  virtual void RecordCrash(const RequestId& request,
                           const std::vector<CrashSuspectId>& suspects,
                           const BackEndEntry& engine) = 0;
};

}  // namespace mimosa

#endif  // SERVING_CRASH_GUARD_H_
