// Free calls, charges, and what is given back of them.
#include "decide/call_rights.h"

namespace mimosa {

void CallRight::GiveBack() {
  if (rights_ == nullptr || std::exchange(was_given_back_, true)) return;
  rights_->GiveBack(charge_);
}

void CallRight::OnPrefillAccepted() {
  if (rights_ == nullptr || rights_->prefill_accepted_) return;
  rights_->prefill_accepted_ = true;
  GiveBack();
}

std::optional<CallRight> CallRight::AcquireAnother(MonoTime now) const {
  return rights_ == nullptr ? ForControlCall() : rights_->Acquire(now);
}

CallRights::CallRights(RetryBudget* budget, ServiceId service,
                       bool prefill_accepted)
    : budget_(budget),
      service_(std::move(service)),
      prefill_accepted_(prefill_accepted) {}

std::shared_ptr<CallRights> CallRights::Create(RetryBudget* budget,
                                               const ServiceId& service,
                                               bool prefill_accepted) {
  return std::shared_ptr<CallRights>(
      new CallRights(budget, service, prefill_accepted));
}

std::optional<CallRight> CallRights::Acquire(MonoTime now) {
  if (std::exchange(has_free_call_, false))
    return CallRight(shared_from_this(), std::nullopt);
  const auto charge = budget_->TryAcquireRetry(service_, now);
  if (!charge) return std::nullopt;
  return CallRight(shared_from_this(), charge);
}

void CallRights::GiveBack(const std::optional<RetryBudget::Charge>& charge) {
  if (charge) {
    budget_->Refund(service_, *charge);
  } else {
    has_free_call_ = true;
  }
}

}  // namespace mimosa
