// Bucket owner, the daemons' allotments, and the static split of limits.
#include "decide/rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "decide/member_lease.h"
#include "decide/slots.h"

namespace mimosa {
namespace {

// A hand-over that the slot table does not name within this time will never be
// used.
constexpr Duration kHandOverRetention = std::chrono::minutes(1);

// Time constant of the decaying demand estimate.
constexpr double kDemandSeconds = 5;
// Tokens are prefetched for this much demand, and fetched again when less than
// half of that is left.
constexpr double kPrefetchSeconds = 2;
// If the demand brings fewer charges than this in kPrefetchSeconds, nothing is
// prefetched, and each charge requests its own tokens.
constexpr int64_t kMinPrefetchCharges = 2;

// Refunds are collected for this long before a request is sent for them alone.
constexpr Duration kRefundDelay = std::chrono::seconds(2);
// Unused prefetched tokens are returned when one part in this many of their
// lifetime is left.
constexpr int64_t kReturnLifetimeDivisor = 4;

constexpr Duration kMinResendBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxResendBackoff = std::chrono::seconds(1);
// Used while no owner of the customer's bucket answers.
constexpr Duration kNoOwnerRetryAfter = std::chrono::seconds(1);
constexpr Duration kOwnerPollInterval = std::chrono::milliseconds(200);
// Bounds on the interval between requests while charges wait.
constexpr Duration kMaxRequestInterval = std::chrono::seconds(2);
constexpr Duration kMinRequestInterval = std::chrono::milliseconds(20);

// For a charge beyond the burst, which can never be granted.
constexpr Duration kNeverRetry = std::chrono::hours(1);

// More closely spaced timestamps add nothing (HeadroomHistory's step).
constexpr Duration kMinTimestampSpacing = std::chrono::seconds(4);
constexpr size_t kMaxTimestamps = 64;

}  // namespace

void BucketOwner::AcquireSlot(int slot, const std::string& initial_state,
                              MonoTime now) {
  OwnedSlot owned;
  owned.ready_at = now;
  owned.starts_full = initial_state == kInitiallyFull;
  auto it = received_hand_overs_.find(initial_state);
  if (it != received_hand_overs_.end()) {
    const ReceivedHandOver& received = it->second;
    const Duration lifetime = FromMillis(received.hand_over.lifetime_ms());
    const MonoTime expires_at =
        received.received_at + lifetime + DriftMargin(lifetime);
    for (const auto& state : received.hand_over.buckets()) {
      const CustomerId customer(state.customer());
      if (SlotOfCustomer(customer, slot_count_) != slot) continue;
      TokenBucket bucket({state.rate(), state.burst()}, 0, now);
      bucket.ImportState(state.level_micros(), state.outstanding(), expires_at);
      owned.buckets.emplace(customer, std::move(bucket));
    }
  } else if (!initial_state.empty() && !owned.starts_full) {
    // The former owner is alive, but its hand-over message is lost. Its
    // allotments have all expired after the longest lifetime, and the
    // bucket is refilled from then on.
    owned.ready_at = now + max_lifetime_ + DriftMargin(max_lifetime_);
  }
  owned_slots_[slot] = std::move(owned);
}

void BucketOwner::DropSlot(int slot) { owned_slots_.erase(slot); }

wire::HandOver BucketOwner::ExportSlots(const std::string& id,
                                        const std::vector<int>& slots,
                                        MonoTime now) {
  wire::HandOver hand_over;
  hand_over.set_id(id);
  hand_over.set_lifetime_ms(
      ToMillis(max_lifetime_ + DriftMargin(max_lifetime_)) + 1);
  for (const int slot : slots) {
    auto it = owned_slots_.find(slot);
    if (it == owned_slots_.end()) continue;
    it->second.handing_over = true;
    hand_over.add_slots(slot);
    for (auto& [customer, bucket] : it->second.buckets) {
      bucket.AdvanceWithSameLimits(now);
      auto* state = hand_over.add_buckets();
      state->set_customer(customer.value());
      state->set_level_micros(bucket.level_micros());
      state->set_outstanding(bucket.outstanding());
      state->set_rate(bucket.limits().rate);
      state->set_burst(bucket.limits().burst);
    }
  }
  return hand_over;
}

void BucketOwner::CancelHandOver(int slot) {
  auto it = owned_slots_.find(slot);
  if (it != owned_slots_.end()) it->second.handing_over = false;
}

void BucketOwner::ReceiveHandOver(const wire::HandOver& hand_over,
                                  MonoTime now) {
  for (auto it = received_hand_overs_.begin();
       it != received_hand_overs_.end();) {
    it = now - it->second.received_at > kHandOverRetention
             ? received_hand_overs_.erase(it)
             : std::next(it);
  }
  // A repeated hand-over does not extend the lifetime of its allotments, which
  // counts from the first receipt.
  received_hand_overs_.emplace(hand_over.id(),
                               ReceivedHandOver{hand_over, now});
}

TokenBucket& BucketOwner::FindOrCreateBucket(OwnedSlot* owned,
                                             const CustomerId& customer,
                                             const BucketLimits& limits) {
  auto it = owned->buckets.find(customer);
  if (it != owned->buckets.end()) return it->second;
  TokenBucket bucket(limits, owned->starts_full ? limits.burst : 0,
                     owned->ready_at);
  return owned->buckets.emplace(customer, std::move(bucket)).first->second;
}

wire::AllotmentReply::Item BucketOwner::HandleRequest(
    const MemberId& member, const wire::AllotmentRequest::Item& item,
    const BucketLimits& limits, MonoTime lease_deadline, MonoTime now) {
  const CustomerId customer(item.customer());
  auto it = owned_slots_.find(SlotOfCustomer(customer, slot_count_));
  if (it == owned_slots_.end() || it->second.handing_over ||
      now >= lease_deadline || now < it->second.ready_at) {
    wire::AllotmentReply::Item reply;
    reply.set_customer(item.customer());
    reply.set_serial(item.serial());
    reply.set_not_home(true);
    return reply;
  }
  TokenBucket& bucket = FindOrCreateBucket(&it->second, customer, limits);
  bucket.Advance(limits, now);
  return bucket.HandleRequest(
      member, item, std::min(max_lifetime_, lease_deadline - now), now);
}

size_t BucketOwner::bucket_count() const {
  size_t count = 0;
  for (const auto& [slot, owned] : owned_slots_) count += owned.buckets.size();
  return count;
}

uint64_t AllotmentRateLimiter::RequestCharge(const CustomerId& customer,
                                             Tokens tokens, MonoTime wait_until,
                                             MonoTime now) {
  const uint64_t ticket = next_ticket_++;
  const std::optional<BucketLimits> limits = find_limits_(customer);
  if (!limits || tokens.count() > limits->burst) {
    unreported_decisions_.push_back({ticket, false, kNeverRetry});
    return ticket;
  }
  CustomerState& state = customers_[customer];
  RecordDemand(&state, tokens.count(), now);
  state.waiting_charges.push_back(
      {ticket, tokens.count(), wait_until, wait_until <= now});
  dirty_customers_.insert(customer);
  return ticket;
}

void AllotmentRateLimiter::CancelCharge(const CustomerId& customer,
                                        uint64_t ticket) {
  auto it = customers_.find(customer);
  if (it == customers_.end()) return;
  auto& waiting = it->second.waiting_charges;
  waiting.erase(std::remove_if(
                    waiting.begin(), waiting.end(),
                    [&](const WaitingCharge& w) { return w.ticket == ticket; }),
                waiting.end());
  dirty_customers_.insert(customer);
}

void AllotmentRateLimiter::Refund(const CustomerId& customer, Tokens tokens,
                                  MonoTime charged_at, MonoTime now) {
  auto it = customers_.find(customer);
  if (it == customers_.end() || tokens.count() <= 0) return;
  CustomerState& state = it->second;
  // Use the newest timestamp received before the charge. Without one, the
  // charge was made under another owner and can't be refunded.
  const auto after = std::upper_bound(
      state.owner_timestamps.begin(), state.owner_timestamps.end(), charged_at,
      [](MonoTime t, const OwnerTimestamp& timestamp) {
        return t < timestamp.received_at;
      });
  if (after == state.owner_timestamps.begin()) return;
  state.unsent_refunds[std::prev(after)->owner_ms] += tokens.count();
  if (state.refunds_due_at == kNever) state.refunds_due_at = now + kRefundDelay;
  dirty_customers_.insert(customer);
}

void AllotmentRateLimiter::OnReply(const wire::AllotmentReply::Item& reply,
                                   MonoTime now) {
  const CustomerId customer(reply.customer());
  auto it = customers_.find(customer);
  if (it == customers_.end()) return;
  CustomerState& state = it->second;
  if (!state.pending_request ||
      state.pending_request->item.serial() != reply.serial())
    return;
  if (reply.not_home()) {
    OnNoReply(customer, reply.serial(), now);
    return;
  }
  const MonoTime sent = state.pending_request->first_sent_at;
  state.pending_request.reset();
  if (state.owner_timestamps.empty() ||
      now - state.owner_timestamps.back().received_at >= kMinTimestampSpacing) {
    state.owner_timestamps.push_back({now, reply.stamp_ms()});
    if (state.owner_timestamps.size() > kMaxTimestamps)
      state.owner_timestamps.pop_front();
  }
  if (reply.granted() > 0) {
    const Duration lifetime = FromMillis(reply.lifetime_ms());
    state.allotments.push_back(
        {reply.serial(), reply.granted(), lifetime, sent + lifetime});
  }
  const Duration wait = FromMillis(reply.retry_after_ms());
  state.next_request_at =
      reply.granted() > 0
          ? now
          : now + std::clamp(wait, kMinRequestInterval, kMaxRequestInterval);
  Actions actions;
  RemoveExpiredAllotments(&state, now);
  GrantWaitingCharges(&state, now, &actions);
  RefuseWaitingCharges(&state, true, std::max(wait, kMinRequestInterval),
                       &actions);
  unreported_decisions_.insert(unreported_decisions_.end(),
                               actions.decisions.begin(),
                               actions.decisions.end());
  dirty_customers_.insert(customer);
}

void AllotmentRateLimiter::OnNoReply(const CustomerId& customer,
                                     uint64_t serial, MonoTime now) {
  auto it = customers_.find(customer);
  if (it == customers_.end()) return;
  CustomerState& state = it->second;
  if (!state.pending_request || state.pending_request->item.serial() != serial)
    return;
  PendingRequest& request = *state.pending_request;
  request.backoff =
      std::clamp(request.backoff * 2, kMinResendBackoff, kMaxResendBackoff);
  request.resend_at = now + request.backoff;
  Actions actions;
  RefuseWaitingCharges(&state, true, kNoOwnerRetryAfter, &actions);
  unreported_decisions_.insert(unreported_decisions_.end(),
                               actions.decisions.begin(),
                               actions.decisions.end());
  dirty_customers_.insert(customer);
}

RateLimiter::Actions AllotmentRateLimiter::Step(MonoTime now) {
  while (!wake_queue_.empty() && wake_queue_.begin()->first <= now) {
    dirty_customers_.insert(wake_queue_.begin()->second);
    wake_queue_.erase(wake_queue_.begin());
  }
  Actions actions;
  actions.decisions.swap(unreported_decisions_);
  std::set<CustomerId> dirty;
  dirty.swap(dirty_customers_);
  for (const CustomerId& customer : dirty) {
    auto it = customers_.find(customer);
    if (it != customers_.end())
      ProcessCustomer(customer, &it->second, now, &actions);
  }
  return actions;
}

MonoTime AllotmentRateLimiter::NextWake() const {
  if (!dirty_customers_.empty() || !unreported_decisions_.empty())
    return MonoTime::min();
  return wake_queue_.empty() ? kNever : wake_queue_.begin()->first;
}

void AllotmentRateLimiter::ProcessCustomer(const CustomerId& customer,
                                           CustomerState* state, MonoTime now,
                                           Actions* actions) {
  UpdateOwner(customer, state);
  RemoveExpiredAllotments(state, now);
  GrantWaitingCharges(state, now, actions);
  RefuseTimedOutCharges(state, now, actions);
  const std::optional<BucketLimits> limits = find_limits_(customer);
  if (!limits) {
    RefuseWaitingCharges(state, false, kNeverRetry, actions);
  } else if (state->owner.empty()) {
    for (WaitingCharge& w : state->waiting_charges) w.requested = true;
    RefuseWaitingCharges(state, true, kNoOwnerRetryAfter, actions);
  } else {
    SendRequestIfNeeded(customer, state, *limits, now, actions);
  }
  ScheduleWake(customer, state, now);
}

// Messages sent to a former owner mean nothing to the current one. Allotments
// granted by a former owner stay valid until they expire.
void AllotmentRateLimiter::UpdateOwner(const CustomerId& customer,
                                       CustomerState* state) {
  const MemberId owner = find_owner_(customer).value_or(MemberId());
  if (owner == state->owner) return;
  state->owner = owner;
  state->pending_request.reset();
  state->unsent_reports.clear();
  state->unsent_refunds.clear();
  state->refunds_due_at = kNever;
  state->owner_timestamps.clear();
  state->next_request_at = MonoTime::min();
  for (WaitingCharge& w : state->waiting_charges) w.requested = false;
}

void AllotmentRateLimiter::RemoveExpiredAllotments(CustomerState* state,
                                                   MonoTime now) {
  if (ignore_expiry_) return;
  auto& allotments = state->allotments;
  allotments.erase(std::remove_if(allotments.begin(), allotments.end(),
                                  [&](const Allotment& allotment) {
                                    return now >= allotment.expires_at;
                                  }),
                   allotments.end());
}

int64_t AllotmentRateLimiter::UnspentTokens(const CustomerState& state) {
  int64_t tokens = 0;
  for (const Allotment& allotment : state.allotments)
    tokens += allotment.unspent_tokens;
  return tokens;
}

void AllotmentRateLimiter::SpendTokens(CustomerState* state, int64_t tokens) {
  // Spend from the allotments that expire first.
  std::sort(state->allotments.begin(), state->allotments.end(),
            [](const Allotment& a, const Allotment& b) {
              return a.expires_at < b.expires_at;
            });
  while (tokens > 0) {
    Allotment& allotment = state->allotments.front();
    const int64_t spent = std::min(tokens, allotment.unspent_tokens);
    allotment.unspent_tokens -= spent;
    tokens -= spent;
    state->unsent_reports[allotment.serial].first += spent;
    if (allotment.unspent_tokens == 0) state->allotments.pop_front();
  }
}

void AllotmentRateLimiter::GrantWaitingCharges(CustomerState* state,
                                               MonoTime now, Actions* actions) {
  int64_t unspent = UnspentTokens(*state);
  while (!state->waiting_charges.empty() &&
         state->waiting_charges.front().tokens <= unspent) {
    const WaitingCharge& first = state->waiting_charges.front();
    if (!first.decide_on_reply && first.wait_until <= now) break;  // Timed out.
    SpendTokens(state, first.tokens);
    unspent -= first.tokens;
    actions->decisions.push_back({first.ticket, true, {}});
    state->waiting_charges.pop_front();
  }
}

void AllotmentRateLimiter::RefuseTimedOutCharges(CustomerState* state,
                                                 MonoTime now,
                                                 Actions* actions) {
  const Duration wait =
      std::max(Duration(kMinRequestInterval), state->next_request_at > now
                                                  ? state->next_request_at - now
                                                  : Duration(0));
  auto& waiting = state->waiting_charges;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (it->decide_on_reply || it->wait_until > now) {
      ++it;
      continue;
    }
    actions->decisions.push_back({it->ticket, false, wait});
    it = waiting.erase(it);
  }
}

void AllotmentRateLimiter::RefuseWaitingCharges(CustomerState* state,
                                                bool only_decide_on_reply,
                                                Duration retry_after,
                                                Actions* actions) {
  auto& waiting = state->waiting_charges;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (only_decide_on_reply && !(it->decide_on_reply && it->requested)) {
      ++it;
      continue;
    }
    actions->decisions.push_back({it->ticket, false, retry_after});
    it = waiting.erase(it);
  }
}

void AllotmentRateLimiter::RecordDemand(CustomerState* state, int64_t tokens,
                                        MonoTime now) {
  if (state->demand_updated_at != MonoTime::min()) {
    const double elapsed = ToSeconds(now - state->demand_updated_at);
    state->demand_per_second *= std::exp(-elapsed / kDemandSeconds);
  }
  state->demand_per_second += static_cast<double>(tokens) / kDemandSeconds;
  state->demand_updated_at = now;
}

// Returns the number of tokens to prefetch for the current demand.
int64_t AllotmentRateLimiter::PrefetchTarget(const CustomerState& state,
                                             MonoTime now) const {
  if (state.demand_updated_at == MonoTime::min()) return 0;
  const double elapsed = ToSeconds(now - state.demand_updated_at);
  const double demand =
      state.demand_per_second * std::exp(-elapsed / kDemandSeconds);
  return static_cast<int64_t>(demand * kPrefetchSeconds);
}

void AllotmentRateLimiter::SendRequestIfNeeded(const CustomerId& customer,
                                               CustomerState* state,
                                               const BucketLimits& limits,
                                               MonoTime now, Actions* actions) {
  if (state->pending_request) {
    PendingRequest& request = *state->pending_request;
    if (request.resend_at == kNever) return;
    // The owner did not answer the last request. Charges that are decided on a
    // reply are refused below instead of waiting for one.
    for (WaitingCharge& w : state->waiting_charges) w.requested = true;
    if (now < request.resend_at) {
      RefuseWaitingCharges(state, true, kNoOwnerRetryAfter, actions);
      return;
    }
    request.resend_at = kNever;
    actions->requests.push_back({state->owner, request.item});
    return;
  }
  const int64_t unspent = UnspentTokens(*state);
  int64_t waiting_tokens = 0;
  bool must_request = false;
  int64_t largest = 0;
  for (const WaitingCharge& w : state->waiting_charges) {
    waiting_tokens += w.tokens;
    largest = std::max(largest, w.tokens);
    must_request = must_request || (w.decide_on_reply && !w.requested);
  }
  int64_t prefetch_target = std::min(PrefetchTarget(*state, now), limits.burst);
  if (prefetch_target < kMinPrefetchCharges * largest) prefetch_target = 0;
  const bool prefetch_low =
      prefetch_target > 0 && unspent < prefetch_target / 2;
  const bool may_request = must_request || now >= state->next_request_at;
  const bool needs_tokens =
      may_request && (!state->waiting_charges.empty() || prefetch_low);

  // Return unused prefetched tokens before they expire.
  bool returns_tokens = false;
  if (state->waiting_charges.empty() && !prefetch_low && !ignore_expiry_) {
    for (Allotment& allotment : state->allotments) {
      if (now <
          allotment.expires_at - allotment.lifetime / kReturnLifetimeDivisor)
        continue;
      state->unsent_reports[allotment.serial].second +=
          allotment.unspent_tokens;
      allotment.unspent_tokens = 0;
      returns_tokens = true;
    }
    state->allotments.erase(
        std::remove_if(state->allotments.begin(), state->allotments.end(),
                       [](const Allotment& allotment) {
                         return allotment.unspent_tokens == 0;
                       }),
        state->allotments.end());
  }
  if (!needs_tokens && !returns_tokens && now < state->refunds_due_at) return;

  PendingRequest request;
  request.first_sent_at = now;
  request.resend_at = kNever;
  auto& item = request.item;
  item.set_customer(customer.value());
  item.set_serial(++state->last_serial);
  if (needs_tokens) {
    const int64_t missing = std::max<int64_t>(waiting_tokens - unspent, 0);
    item.set_waiting(missing);
    item.set_want(missing + std::max<int64_t>(prefetch_target - unspent, 0));
    if (!state->waiting_charges.empty()) {
      item.set_least(state->waiting_charges.front().tokens - unspent);
    }
    for (WaitingCharge& w : state->waiting_charges) w.requested = true;
  }
  for (const auto& [serial, report] : state->unsent_reports) {
    auto* out = item.add_reports();
    out->set_serial(serial);
    out->set_spent(report.first);
    out->set_returned(report.second);
  }
  state->unsent_reports.clear();
  for (const auto& [timestamp, tokens] : state->unsent_refunds) {
    auto* out = item.add_refunds();
    out->set_stamp_ms(timestamp);
    out->set_tokens(tokens);
  }
  state->unsent_refunds.clear();
  state->refunds_due_at = kNever;
  actions->requests.push_back({state->owner, item});
  state->pending_request = std::move(request);
}

void AllotmentRateLimiter::ScheduleWake(const CustomerId& customer,
                                        CustomerState* state, MonoTime now) {
  wake_queue_.erase({state->wake_at, customer});
  MonoTime wake = kNever;
  for (const WaitingCharge& w : state->waiting_charges) {
    if (!w.decide_on_reply) wake = std::min(wake, w.wait_until);
  }
  if (state->pending_request) {
    wake = std::min(wake, state->pending_request->resend_at);
  } else {
    wake = std::min(wake, state->refunds_due_at);
    if (!state->waiting_charges.empty()) {
      wake = std::min(
          wake, std::max(state->next_request_at, now + kMinRequestInterval));
    }
    for (const Allotment& allotment : state->allotments) {
      // Demand keeps an allotment beyond its return time; then its expiry is
      // next.
      if (ignore_expiry_) break;
      const MonoTime return_at =
          allotment.expires_at - allotment.lifetime / kReturnLifetimeDivisor;
      wake = std::min(wake, return_at > now ? return_at : allotment.expires_at);
    }
  }
  // The owner may change without a notification.
  if (!state->waiting_charges.empty())
    wake = std::min(wake, now + kOwnerPollInterval);
  state->wake_at = wake == kNever ? wake : std::max(wake, now + Duration(1));
  if (wake != kNever) wake_queue_.insert({state->wake_at, customer});
}

std::optional<BucketLimits> StaticRateLimiter::ShareLimits(
    const CustomerId& customer) const {
  std::optional<BucketLimits> limits = find_limits_(customer);
  if (!limits) return limits;
  const auto daemons =
      static_cast<int64_t>(std::max<size_t>(daemon_count_(), 1));
  return BucketLimits{limits->rate / daemons, limits->burst / daemons};
}

uint64_t StaticRateLimiter::RequestCharge(const CustomerId& customer,
                                          Tokens tokens, MonoTime wait_until,
                                          MonoTime now) {
  const uint64_t ticket = next_ticket_++;
  const BucketLimits limits = ShareLimits(customer).value_or(BucketLimits());
  auto it = shares_.find(customer);
  if (it == shares_.end()) {
    CustomerShare share{TokenBucket(limits, limits.burst, now), {}, kNever};
    it = shares_.emplace(customer, std::move(share)).first;
  }
  it->second.waiting_charges.push_back({ticket, tokens.count(), wait_until});
  it->second.wake_at = now;
  return ticket;
}

void StaticRateLimiter::CancelCharge(const CustomerId& customer,
                                     uint64_t ticket) {
  auto it = shares_.find(customer);
  if (it == shares_.end()) return;
  auto& waiting = it->second.waiting_charges;
  waiting.erase(std::remove_if(
                    waiting.begin(), waiting.end(),
                    [&](const WaitingCharge& w) { return w.ticket == ticket; }),
                waiting.end());
}

void StaticRateLimiter::Refund(const CustomerId& customer, Tokens tokens,
                               MonoTime charged_at, MonoTime now) {
  auto it = shares_.find(customer);
  if (it == shares_.end()) return;
  it->second.bucket.Advance(ShareLimits(customer).value_or(BucketLimits()),
                            now);
  it->second.bucket.Refund(tokens.count(), charged_at, now);
}

void StaticRateLimiter::ProcessCustomer(const CustomerId& customer,
                                        CustomerShare* share, MonoTime now,
                                        Actions* actions) {
  share->bucket.Advance(ShareLimits(customer).value_or(BucketLimits()), now);
  share->wake_at = kNever;
  while (!share->waiting_charges.empty()) {
    const WaitingCharge& first = share->waiting_charges.front();
    const bool granted = share->bucket.TrySpend(first.tokens);
    const Duration wait =
        std::max(share->bucket.TimeUntilAvailable(first.tokens, now),
                 Duration(kMinRequestInterval));
    if (!granted && now + wait <= first.wait_until) {
      share->wake_at = now + wait;
      return;
    }
    actions->decisions.push_back({first.ticket, granted, wait});
    share->waiting_charges.pop_front();
  }
}

RateLimiter::Actions StaticRateLimiter::Step(MonoTime now) {
  Actions actions;
  for (auto& [customer, share] : shares_) {
    if (share.wake_at <= now) ProcessCustomer(customer, &share, now, &actions);
  }
  return actions;
}

MonoTime StaticRateLimiter::NextWake() const {
  MonoTime wake = kNever;
  for (const auto& [customer, share] : shares_) {
    wake = std::min(wake, share.wake_at);
  }
  return wake;
}

}  // namespace mimosa
