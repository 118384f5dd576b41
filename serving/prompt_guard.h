// Interface through which requests are checked against the prompts that crash
// engines, and through which the relays report what became of theirs.
#ifndef SERVING_PROMPT_GUARD_H_
#define SERVING_PROMPT_GUARD_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "decide/prompt_quarantine.h"
#include "decide/site.h"

namespace mimosa {

// A pending claim of a trial. Destroying it drops the callback.
class PromptTrialClaim {
 public:
  virtual ~PromptTrialClaim() = default;
};

class PromptGuard {
 public:
  using ClaimCallback = std::function<void(bool granted)>;

  virtual ~PromptGuard() = default;

  // Decides on a request whose prompt has these shared parts.
  virtual PromptQuarantine::Decision Decide(
      const std::vector<PromptPartId>& parts) = 0;
  // Returns whether one of the parts is in quarantine. For requests that were
  // admitted and have not run yet.
  virtual bool IsQuarantined(const std::vector<PromptPartId>& parts) const = 0;
  // Claims a trial of a quarantined part. At most one daemon is granted it.
  // Runs `callback` once, from the loop.
  [[nodiscard]] virtual std::unique_ptr<PromptTrialClaim> ClaimTrial(
      const PromptPartId& part, ClaimCallback callback) = 0;
  // A run on a prompt with these shared parts has generated beyond its first
  // event.
  virtual void RecordGenerated(const std::vector<PromptPartId>& parts) = 0;
  // `engine` has broken off a run on a prompt with these shared parts that was
  // about to generate.
  virtual void RecordCrash(const RequestId& request,
                           const std::vector<PromptPartId>& parts,
                           const BackEndEntry& engine) = 0;
};

}  // namespace mimosa

#endif  // SERVING_PROMPT_GUARD_H_
