// The rights under which the calls of one request may be sent to back ends.
//
// Model: a service counts each arrival of a request at one of its back ends,
// also one that is rejected. The first arrival is free, and so is the first
// prefill that an engine accepts. Each other call is charged to the retry
// budget before it is sent. A call takes a CallRight to start, so that none can
// arrive uncharged. A right is used up unless it is given back, which a call
// that was certainly not sent does.
//
// Load pattern covered: back ends that reject or reset most requests for
// seconds, so that each request takes several calls.
#ifndef DECIDE_CALL_RIGHTS_H_
#define DECIDE_CALL_RIGHTS_H_

#include <memory>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "decide/retry_budget.h"
#include "decide/site.h"

namespace mimosa {

class CallRights;

// The right to send a call to a back end once.
class CallRight {
 public:
  CallRight(CallRight&&) = default;
  CallRight& operator=(CallRight&&) = default;

  // For a call that isn't counted as an arrival of a request, since the daemon
  // makes it for itself.
  static CallRight ForControlCall() { return CallRight(nullptr, std::nullopt); }

  // The call was not sent. Has an effect once.
  void GiveBack();
  // The call was a prefill that the engine has accepted. The first one of a
  // request is free.
  void OnPrefillAccepted();
  // Returns the right to send the same call once more, as Acquire() does.
  std::optional<CallRight> AcquireAnother(MonoTime now) const;
  // Whether the call was charged to the retry budget.
  bool is_charged() const { return charge_.has_value(); }

 private:
  friend class CallRights;
  CallRight(std::shared_ptr<CallRights> rights,
            std::optional<RetryBudget::Charge> charge)
      : rights_(std::move(rights)), charge_(charge) {}

  std::shared_ptr<CallRights> rights_;         // nullptr for a control call.
  std::optional<RetryBudget::Charge> charge_;  // Absent: the free call.
  bool was_given_back_ = false;
};

// What a request has left of its free calls.
class CallRights : public std::enable_shared_from_this<CallRights> {
 public:
  // For a request that has not been sent to any back end, or for one that is
  // handed on with the right to one more call. `prefill_accepted`: it has had
  // its free prefill.
  static std::shared_ptr<CallRights> Create(RetryBudget* budget,
                                            const ServiceId& service,
                                            bool prefill_accepted = false);

  // Returns the right to one more call, charged to the budget if the free call
  // is taken; nullopt if the budget is exhausted.
  std::optional<CallRight> Acquire(MonoTime now);
  // Whether no call may have reached a back end, prefills that were accepted
  // excepted.
  bool has_free_call() const { return has_free_call_; }
  bool prefill_accepted() const { return prefill_accepted_; }

 private:
  friend class CallRight;
  CallRights(RetryBudget* budget, ServiceId service, bool prefill_accepted);
  void GiveBack(const std::optional<RetryBudget::Charge>& charge);

  RetryBudget* const budget_;
  const ServiceId service_;
  bool has_free_call_ = true;
  bool prefill_accepted_;
};

}  // namespace mimosa

#endif  // DECIDE_CALL_RIGHTS_H_
