// Buckets at the home, accounts at the daemons, and the static split.
#include "decide/rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "decide/member_lease.h"
#include "decide/slots.h"

namespace mimosa {
namespace {

// A hand-over that the slot table does not name by then never will be used.
constexpr Duration kHandOverKept = std::chrono::minutes(1);

// Demand forgets what is older than about this.
constexpr double kDemandSeconds = 5;
// A stock is for so long, and is renewed when it falls below half of that.
constexpr double kStockSeconds = 2;
// Demand that brings fewer charges in that time gets no stock: each charge is
// asked for by itself.
constexpr int64_t kStockCharges = 2;

// Refunds are collected for so long before they are a reason for a message.
constexpr Duration kRefundDelay = std::chrono::seconds(2);
// A stock that lies unused is given back when this part of its life is left.
constexpr int64_t kReturnPart = 4;

constexpr Duration kFirstResend = std::chrono::milliseconds(100);
constexpr Duration kLastResend = std::chrono::seconds(1);
// While a customer has no home that answers.
constexpr Duration kHomelessRetry = std::chrono::seconds(1);
constexpr Duration kHomelessLook = std::chrono::milliseconds(200);
// Waiting charges ask again at least so often, and at most so often.
constexpr Duration kLongestAskWait = std::chrono::seconds(2);
constexpr Duration kShortestAskWait = std::chrono::milliseconds(20);

// A charge beyond the burst can never be granted.
constexpr Duration kNeverRetry = std::chrono::hours(1);

// Stamps closer to each other than this add nothing (HeadroomHistory's step).
constexpr Duration kStampStep = std::chrono::seconds(4);
constexpr size_t kMaxStamps = 64;

}  // namespace

void BucketOwner::AcquireSlot(int slot, const std::string& start,
                              MonoTime now) {
  OwnedSlot owned;
  owned.ready_at = now;
  owned.starts_full = start == kInitiallyFull;
  auto it = received_hand_overs_.find(start);
  if (it != received_hand_overs_.end()) {
    const ReceivedHandOver& received = it->second;
    const Duration lifetime =
        std::chrono::milliseconds(received.hand_over.lifetime_ms());
    const MonoTime over =
        received.received_at + lifetime + DriftMargin(lifetime);
    for (const auto& state : received.hand_over.buckets()) {
      const CustomerId customer(state.customer());
      if (SlotOfCustomer(customer, slot_count_) != slot) continue;
      TokenBucket bucket({state.rate(), state.burst()}, 0, now);
      bucket.ImportState(state.level_micros(), state.outstanding(), over);
      owned.buckets.emplace(customer, std::move(bucket));
    }
  } else if (!start.empty() && !owned.starts_full) {
    // The former owner lives and its message is lost: what it gave out is over
    // after the longest lifetime, and minting starts then.
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
    it = now - it->second.received_at > kHandOverKept
             ? received_hand_overs_.erase(it)
             : std::next(it);
  }
  // A repetition does not make its allotments live longer than the first did.
  received_hand_overs_.emplace(hand_over.id(),
                               ReceivedHandOver{hand_over, now});
}

TokenBucket& BucketOwner::BucketOf(OwnedSlot* owned, const CustomerId& customer,
                                   const BucketLimits& limits) {
  auto it = owned->buckets.find(customer);
  if (it != owned->buckets.end()) return it->second;
  TokenBucket bucket(limits, owned->starts_full ? limits.burst : 0,
                     owned->ready_at);
  return owned->buckets.emplace(customer, std::move(bucket)).first->second;
}

wire::AllotmentReply::Item BucketOwner::HandleRequest(
    const MemberId& member, const wire::AllotmentRequest::Item& item,
    const BucketLimits& limits, MonoTime term, MonoTime now) {
  const CustomerId customer(item.customer());
  auto it = owned_slots_.find(SlotOfCustomer(customer, slot_count_));
  if (it == owned_slots_.end() || it->second.handing_over || now >= term ||
      now < it->second.ready_at) {
    wire::AllotmentReply::Item reply;
    reply.set_customer(item.customer());
    reply.set_serial(item.serial());
    reply.set_not_home(true);
    return reply;
  }
  TokenBucket& bucket = BucketOf(&it->second, customer, limits);
  bucket.Advance(limits, now);
  return bucket.HandleRequest(member, item, std::min(max_lifetime_, term - now),
                              now);
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
  CustomerState& account = customers_[customer];
  RecordDemand(&account, tokens.count(), now);
  account.waiting_charges.push_back(
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
  CustomerState& account = it->second;
  // The newest stamp that came before the charge; none: another home's time.
  const auto after = std::upper_bound(
      account.owner_timestamps.begin(), account.owner_timestamps.end(),
      charged_at, [](MonoTime t, const OwnerTimestamp& stamp) {
        return t < stamp.received_at;
      });
  if (after == account.owner_timestamps.begin()) return;
  account.unsent_refunds[std::prev(after)->owner_ms] += tokens.count();
  if (account.refunds_due_at == kNever)
    account.refunds_due_at = now + kRefundDelay;
  dirty_customers_.insert(customer);
}

void AllotmentRateLimiter::OnReply(const wire::AllotmentReply::Item& reply,
                                   MonoTime now) {
  const CustomerId customer(reply.customer());
  auto it = customers_.find(customer);
  if (it == customers_.end()) return;
  CustomerState& account = it->second;
  if (!account.pending_request ||
      account.pending_request->item.serial() != reply.serial())
    return;
  if (reply.not_home()) {
    OnNoReply(customer, reply.serial(), now);
    return;
  }
  const MonoTime sent = account.pending_request->first_sent_at;
  account.pending_request.reset();
  if (account.owner_timestamps.empty() ||
      now - account.owner_timestamps.back().received_at >= kStampStep) {
    account.owner_timestamps.push_back({now, reply.stamp_ms()});
    if (account.owner_timestamps.size() > kMaxStamps)
      account.owner_timestamps.pop_front();
  }
  if (reply.granted() > 0) {
    const Duration lifetime = std::chrono::milliseconds(reply.lifetime_ms());
    account.allotments.push_back(
        {reply.serial(), reply.granted(), lifetime, sent + lifetime});
  }
  const Duration wait = std::chrono::milliseconds(reply.retry_after_ms());
  account.next_request_at =
      reply.granted() > 0
          ? now
          : now + std::clamp(wait, kShortestAskWait, kLongestAskWait);
  Actions actions;
  RemoveExpiredAllotments(&account, now);
  GrantWaitingCharges(&account, now, &actions);
  RefuseWaitingCharges(&account, true, std::max(wait, kShortestAskWait),
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
  CustomerState& account = it->second;
  if (!account.pending_request ||
      account.pending_request->item.serial() != serial)
    return;
  PendingRequest& under_way = *account.pending_request;
  under_way.backoff =
      std::clamp(under_way.backoff * 2, kFirstResend, kLastResend);
  under_way.resend_at = now + under_way.backoff;
  Actions actions;
  RefuseWaitingCharges(&account, true, kHomelessRetry, &actions);
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
  std::set<CustomerId> touched;
  touched.swap(dirty_customers_);
  for (const CustomerId& customer : touched) {
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
                                           CustomerState* account, MonoTime now,
                                           Actions* actions) {
  UpdateOwner(customer, account);
  RemoveExpiredAllotments(account, now);
  GrantWaitingCharges(account, now, actions);
  RefuseTimedOutCharges(account, now, actions);
  const std::optional<BucketLimits> limits = find_limits_(customer);
  if (!limits) {
    RefuseWaitingCharges(account, false, kNeverRetry, actions);
  } else if (account->owner.empty()) {
    for (WaitingCharge& w : account->waiting_charges) w.requested = true;
    RefuseWaitingCharges(account, true, kHomelessRetry, actions);
  } else {
    SendRequestIfNeeded(customer, account, *limits, now, actions);
  }
  ScheduleWake(customer, account, now);
}

// Nothing that was said to a former home means anything to the present one;
// what a former one granted stays good until it is over.
void AllotmentRateLimiter::UpdateOwner(const CustomerId& customer,
                                       CustomerState* account) {
  const MemberId home = find_owner_(customer).value_or(MemberId());
  if (home == account->owner) return;
  account->owner = home;
  account->pending_request.reset();
  account->unsent_reports.clear();
  account->unsent_refunds.clear();
  account->refunds_due_at = kNever;
  account->owner_timestamps.clear();
  account->next_request_at = MonoTime::min();
  for (WaitingCharge& w : account->waiting_charges) w.requested = false;
}

void AllotmentRateLimiter::RemoveExpiredAllotments(CustomerState* account,
                                                   MonoTime now) {
  if (ignore_expiry_) return;
  auto& lots = account->allotments;
  lots.erase(std::remove_if(
                 lots.begin(), lots.end(),
                 [&](const Allotment& lot) { return now >= lot.expires_at; }),
             lots.end());
}

int64_t AllotmentRateLimiter::UnspentTokens(const CustomerState& account) {
  int64_t tokens = 0;
  for (const Allotment& lot : account.allotments) tokens += lot.unspent_tokens;
  return tokens;
}

void AllotmentRateLimiter::SpendTokens(CustomerState* account, int64_t tokens) {
  // What ends first goes first.
  std::sort(account->allotments.begin(), account->allotments.end(),
            [](const Allotment& a, const Allotment& b) {
              return a.expires_at < b.expires_at;
            });
  while (tokens > 0) {
    Allotment& lot = account->allotments.front();
    const int64_t part = std::min(tokens, lot.unspent_tokens);
    lot.unspent_tokens -= part;
    tokens -= part;
    account->unsent_reports[lot.serial].first += part;
    if (lot.unspent_tokens == 0) account->allotments.pop_front();
  }
}

void AllotmentRateLimiter::GrantWaitingCharges(CustomerState* account,
                                               MonoTime now, Actions* actions) {
  int64_t at_hand = UnspentTokens(*account);
  while (!account->waiting_charges.empty() &&
         account->waiting_charges.front().tokens <= at_hand) {
    const WaitingCharge& first = account->waiting_charges.front();
    if (!first.decide_on_reply && first.wait_until <= now)
      break;  // too late for it
    SpendTokens(account, first.tokens);
    at_hand -= first.tokens;
    actions->decisions.push_back({first.ticket, true, {}});
    account->waiting_charges.pop_front();
  }
}

void AllotmentRateLimiter::RefuseTimedOutCharges(CustomerState* account,
                                                 MonoTime now,
                                                 Actions* actions) {
  const Duration wait =
      std::max(Duration(kShortestAskWait), account->next_request_at > now
                                               ? account->next_request_at - now
                                               : Duration(0));
  auto& waiting = account->waiting_charges;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (it->decide_on_reply || it->wait_until > now) {
      ++it;
      continue;
    }
    actions->decisions.push_back({it->ticket, false, wait});
    it = waiting.erase(it);
  }
}

void AllotmentRateLimiter::RefuseWaitingCharges(CustomerState* account,
                                                bool prompt_only,
                                                Duration retry_after,
                                                Actions* actions) {
  auto& waiting = account->waiting_charges;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (prompt_only && !(it->decide_on_reply && it->requested)) {
      ++it;
      continue;
    }
    actions->decisions.push_back({it->ticket, false, retry_after});
    it = waiting.erase(it);
  }
}

void AllotmentRateLimiter::RecordDemand(CustomerState* account, int64_t tokens,
                                        MonoTime now) {
  if (account->demand_updated_at != MonoTime::min()) {
    const double gap = ToSeconds(now - account->demand_updated_at);
    account->demand_per_second *= std::exp(-gap / kDemandSeconds);
  }
  account->demand_per_second += static_cast<double>(tokens) / kDemandSeconds;
  account->demand_updated_at = now;
}

// The stock that the demand calls for.
int64_t AllotmentRateLimiter::PrefetchTarget(const CustomerState& account,
                                             MonoTime now) const {
  if (account.demand_updated_at == MonoTime::min()) return 0;
  const double gap = ToSeconds(now - account.demand_updated_at);
  const double demand =
      account.demand_per_second * std::exp(-gap / kDemandSeconds);
  return static_cast<int64_t>(demand * kStockSeconds);
}

void AllotmentRateLimiter::SendRequestIfNeeded(const CustomerId& customer,
                                               CustomerState* account,
                                               const BucketLimits& limits,
                                               MonoTime now, Actions* actions) {
  if (account->pending_request) {
    PendingRequest& under_way = *account->pending_request;
    if (under_way.resend_at == kNever) return;
    // The home did not answer last time: nothing to wait for here and now.
    for (WaitingCharge& w : account->waiting_charges) w.requested = true;
    if (now < under_way.resend_at) {
      RefuseWaitingCharges(account, true, kHomelessRetry, actions);
      return;
    }
    under_way.resend_at = kNever;
    actions->requests.push_back({account->owner, under_way.item});
    return;
  }
  const int64_t at_hand = UnspentTokens(*account);
  int64_t waiting = 0;
  bool prompt_unasked = false;
  int64_t largest = 0;
  for (const WaitingCharge& w : account->waiting_charges) {
    waiting += w.tokens;
    largest = std::max(largest, w.tokens);
    prompt_unasked = prompt_unasked || (w.decide_on_reply && !w.requested);
  }
  int64_t need = std::min(PrefetchTarget(*account, now), limits.burst);
  if (need < kStockCharges * largest) need = 0;
  const bool low = need > 0 && at_hand < need / 2;
  const bool may_ask = prompt_unasked || now >= account->next_request_at;
  const bool wants = may_ask && (!account->waiting_charges.empty() || low);

  // An idle stock goes back before it is lost.
  bool returns = false;
  if (account->waiting_charges.empty() && !low && !ignore_expiry_) {
    for (Allotment& lot : account->allotments) {
      if (now < lot.expires_at - lot.lifetime / kReturnPart) continue;
      account->unsent_reports[lot.serial].second += lot.unspent_tokens;
      lot.unspent_tokens = 0;
      returns = true;
    }
    account->allotments.erase(
        std::remove_if(
            account->allotments.begin(), account->allotments.end(),
            [](const Allotment& lot) { return lot.unspent_tokens == 0; }),
        account->allotments.end());
  }
  if (!wants && !returns && now < account->refunds_due_at) return;

  PendingRequest under_way;
  under_way.first_sent_at = now;
  under_way.resend_at = kNever;
  auto& item = under_way.item;
  item.set_customer(customer.value());
  item.set_serial(++account->last_serial);
  if (wants) {
    const int64_t lacking = std::max<int64_t>(waiting - at_hand, 0);
    item.set_waiting(lacking);
    item.set_want(lacking + std::max<int64_t>(need - at_hand, 0));
    if (!account->waiting_charges.empty()) {
      item.set_least(account->waiting_charges.front().tokens - at_hand);
    }
    for (WaitingCharge& w : account->waiting_charges) w.requested = true;
  }
  for (const auto& [serial, report] : account->unsent_reports) {
    auto* out = item.add_reports();
    out->set_serial(serial);
    out->set_spent(report.first);
    out->set_returned(report.second);
  }
  account->unsent_reports.clear();
  for (const auto& [stamp, tokens] : account->unsent_refunds) {
    auto* out = item.add_refunds();
    out->set_stamp_ms(stamp);
    out->set_tokens(tokens);
  }
  account->unsent_refunds.clear();
  account->refunds_due_at = kNever;
  actions->requests.push_back({account->owner, item});
  account->pending_request = std::move(under_way);
}

void AllotmentRateLimiter::ScheduleWake(const CustomerId& customer,
                                        CustomerState* account, MonoTime now) {
  wake_queue_.erase({account->wake_at, customer});
  MonoTime wake = kNever;
  for (const WaitingCharge& w : account->waiting_charges) {
    if (!w.decide_on_reply) wake = std::min(wake, w.wait_until);
  }
  if (account->pending_request) {
    wake = std::min(wake, account->pending_request->resend_at);
  } else {
    wake = std::min(wake, account->refunds_due_at);
    if (!account->waiting_charges.empty()) {
      wake = std::min(
          wake, std::max(account->next_request_at, now + kShortestAskWait));
    }
    for (const Allotment& lot : account->allotments) {
      // Kept beyond the time to return it: demand spoke for it.
      if (ignore_expiry_) break;
      const MonoTime returned = lot.expires_at - lot.lifetime / kReturnPart;
      wake = std::min(wake, returned > now ? returned : lot.expires_at);
    }
  }
  // The home may change without a word.
  if (!account->waiting_charges.empty())
    wake = std::min(wake, now + kHomelessLook);
  account->wake_at = wake == kNever ? wake : std::max(wake, now + Duration(1));
  if (wake != kNever) wake_queue_.insert({account->wake_at, customer});
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
                 Duration(kShortestAskWait));
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
