// Buckets at the home, accounts at the daemons, and the static split.
#include "decide/limits.h"

#include <algorithm>
#include <cmath>

#include "decide/slots.h"
#include "decide/term.h"

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

void LimitsHome::Own(int slot, const std::string& start, MonoTime now) {
  Owned owned;
  owned.since = now;
  owned.full = start == kStartFull;
  auto it = received_.find(start);
  if (it != received_.end()) {
    const Received& received = it->second;
    const Duration lifetime =
        std::chrono::milliseconds(received.hand_over.lifetime_ms());
    const MonoTime over = received.at + lifetime + DriftMargin(lifetime);
    for (const auto& state : received.hand_over.buckets()) {
      const CustomerId customer(state.customer());
      if (SlotOfCustomer(customer, slots_) != slot) continue;
      HomeBucket bucket({state.rate(), state.burst()}, 0, now);
      bucket.Carry(state.level_micros(), state.outstanding(), over);
      owned.buckets.emplace(customer, std::move(bucket));
    }
  } else if (!start.empty() && !owned.full) {
    // The former owner lives and its message is lost: what it gave out is over
    // after the longest lifetime, and minting starts then.
    owned.since = now + grant_ + DriftMargin(grant_);
  }
  owned_[slot] = std::move(owned);
}

void LimitsHome::Lose(int slot) { owned_.erase(slot); }

wire::HandOver LimitsHome::Export(const std::string& id,
                                  const std::vector<int>& slots, MonoTime now) {
  wire::HandOver hand_over;
  hand_over.set_id(id);
  hand_over.set_lifetime_ms(ToMillis(grant_ + DriftMargin(grant_)) + 1);
  for (const int slot : slots) {
    auto it = owned_.find(slot);
    if (it == owned_.end()) continue;
    it->second.frozen = true;
    hand_over.add_slots(slot);
    for (auto& [customer, bucket] : it->second.buckets) {
      bucket.AdvanceUnchanged(now);
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

void LimitsHome::Resume(int slot) {
  auto it = owned_.find(slot);
  if (it != owned_.end()) it->second.frozen = false;
}

void LimitsHome::Import(const wire::HandOver& hand_over, MonoTime now) {
  for (auto it = received_.begin(); it != received_.end();) {
    it = now - it->second.at > kHandOverKept ? received_.erase(it)
                                             : std::next(it);
  }
  // A repetition does not make its allotments live longer than the first did.
  received_.emplace(hand_over.id(), Received{hand_over, now});
}

HomeBucket& LimitsHome::BucketOf(Owned* owned, const CustomerId& customer,
                                 const BucketLimits& limits) {
  auto it = owned->buckets.find(customer);
  if (it != owned->buckets.end()) return it->second;
  HomeBucket bucket(limits, owned->full ? limits.burst : 0, owned->since);
  return owned->buckets.emplace(customer, std::move(bucket)).first->second;
}

wire::AllotmentReply::Item LimitsHome::Handle(
    const MemberId& member, const wire::AllotmentRequest::Item& item,
    const BucketLimits& limits, MonoTime term, MonoTime now) {
  const CustomerId customer(item.customer());
  auto it = owned_.find(SlotOfCustomer(customer, slots_));
  if (it == owned_.end() || it->second.frozen || now >= term ||
      now < it->second.since) {
    wire::AllotmentReply::Item reply;
    reply.set_customer(item.customer());
    reply.set_serial(item.serial());
    reply.set_not_home(true);
    return reply;
  }
  HomeBucket& bucket = BucketOf(&it->second, customer, limits);
  bucket.Advance(limits, now);
  return bucket.Handle(member, item, std::min(grant_, term - now), now);
}

size_t LimitsHome::buckets() const {
  size_t count = 0;
  for (const auto& [slot, owned] : owned_) count += owned.buckets.size();
  return count;
}

uint64_t HomeLimits::Charge(const CustomerId& customer, Tokens tokens,
                            MonoTime wait_until, MonoTime now) {
  const uint64_t ticket = next_ticket_++;
  const std::optional<BucketLimits> limits = limits_of_(customer);
  if (!limits || tokens.count() > limits->burst) {
    decided_.push_back({ticket, false, kNeverRetry});
    return ticket;
  }
  Account& account = accounts_[customer];
  NoteDemand(&account, tokens.count(), now);
  account.waiting.push_back(
      {ticket, tokens.count(), wait_until, wait_until <= now});
  touched_.insert(customer);
  return ticket;
}

void HomeLimits::Abandon(const CustomerId& customer, uint64_t ticket) {
  auto it = accounts_.find(customer);
  if (it == accounts_.end()) return;
  auto& waiting = it->second.waiting;
  waiting.erase(
      std::remove_if(waiting.begin(), waiting.end(),
                     [&](const Waiting& w) { return w.ticket == ticket; }),
      waiting.end());
  touched_.insert(customer);
}

void HomeLimits::Refund(const CustomerId& customer, Tokens tokens,
                        MonoTime charged_at, MonoTime now) {
  auto it = accounts_.find(customer);
  if (it == accounts_.end() || tokens.count() <= 0) return;
  Account& account = it->second;
  // The newest stamp that came before the charge; none: another home's time.
  const auto after = std::upper_bound(
      account.stamps.begin(), account.stamps.end(), charged_at,
      [](MonoTime t, const Stamp& stamp) { return t < stamp.received; });
  if (after == account.stamps.begin()) return;
  account.refunds[std::prev(after)->home_ms] += tokens.count();
  if (account.refund_due == kNever) account.refund_due = now + kRefundDelay;
  touched_.insert(customer);
}

void HomeLimits::OnReply(const wire::AllotmentReply::Item& reply,
                         MonoTime now) {
  const CustomerId customer(reply.customer());
  auto it = accounts_.find(customer);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  if (!account.under_way || account.under_way->item.serial() != reply.serial())
    return;
  if (reply.not_home()) {
    OnNoReply(customer, reply.serial(), now);
    return;
  }
  const MonoTime sent = account.under_way->first_sent;
  account.under_way.reset();
  if (account.stamps.empty() ||
      now - account.stamps.back().received >= kStampStep) {
    account.stamps.push_back({now, reply.stamp_ms()});
    if (account.stamps.size() > kMaxStamps) account.stamps.pop_front();
  }
  if (reply.granted() > 0) {
    const Duration lifetime = std::chrono::milliseconds(reply.lifetime_ms());
    account.lots.push_back(
        {reply.serial(), reply.granted(), lifetime, sent + lifetime});
  }
  const Duration wait = std::chrono::milliseconds(reply.retry_after_ms());
  account.ask_after =
      reply.granted() > 0
          ? now
          : now + std::clamp(wait, kShortestAskWait, kLongestAskWait);
  Actions actions;
  Expire(&account, now);
  Serve(&account, now, &actions);
  RefuseAll(&account, true, std::max(wait, kShortestAskWait), &actions);
  decided_.insert(decided_.end(), actions.decisions.begin(),
                  actions.decisions.end());
  touched_.insert(customer);
}

void HomeLimits::OnNoReply(const CustomerId& customer, uint64_t serial,
                           MonoTime now) {
  auto it = accounts_.find(customer);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  if (!account.under_way || account.under_way->item.serial() != serial) return;
  UnderWay& under_way = *account.under_way;
  under_way.backoff =
      std::clamp(under_way.backoff * 2, kFirstResend, kLastResend);
  under_way.resend_at = now + under_way.backoff;
  Actions actions;
  RefuseAll(&account, true, kHomelessRetry, &actions);
  decided_.insert(decided_.end(), actions.decisions.begin(),
                  actions.decisions.end());
  touched_.insert(customer);
}

LocalLimits::Actions HomeLimits::Step(MonoTime now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    touched_.insert(wakes_.begin()->second);
    wakes_.erase(wakes_.begin());
  }
  Actions actions;
  actions.decisions.swap(decided_);
  std::set<CustomerId> touched;
  touched.swap(touched_);
  for (const CustomerId& customer : touched) {
    auto it = accounts_.find(customer);
    if (it != accounts_.end()) Process(customer, &it->second, now, &actions);
  }
  return actions;
}

MonoTime HomeLimits::NextWake() const {
  if (!touched_.empty() || !decided_.empty()) return MonoTime::min();
  return wakes_.empty() ? kNever : wakes_.begin()->first;
}

void HomeLimits::Process(const CustomerId& customer, Account* account,
                         MonoTime now, Actions* actions) {
  FollowHome(customer, account);
  Expire(account, now);
  Serve(account, now, actions);
  RefuseLate(account, now, actions);
  const std::optional<BucketLimits> limits = limits_of_(customer);
  if (!limits) {
    RefuseAll(account, false, kNeverRetry, actions);
  } else if (account->home.empty()) {
    for (Waiting& w : account->waiting) w.asked = true;
    RefuseAll(account, true, kHomelessRetry, actions);
  } else {
    AskHome(customer, account, *limits, now, actions);
  }
  SetWake(customer, account, now);
}

// Nothing that was said to a former home means anything to the present one;
// what a former one granted stays good until it is over.
void HomeLimits::FollowHome(const CustomerId& customer, Account* account) {
  const MemberId home = home_of_(customer).value_or(MemberId());
  if (home == account->home) return;
  account->home = home;
  account->under_way.reset();
  account->reports.clear();
  account->refunds.clear();
  account->refund_due = kNever;
  account->stamps.clear();
  account->ask_after = MonoTime::min();
  for (Waiting& w : account->waiting) w.asked = false;
}

void HomeLimits::Expire(Account* account, MonoTime now) {
  if (ignore_expiry_) return;
  auto& lots = account->lots;
  lots.erase(std::remove_if(lots.begin(), lots.end(),
                            [&](const Lot& lot) { return now >= lot.expires; }),
             lots.end());
}

int64_t HomeLimits::AtHand(const Account& account) {
  int64_t tokens = 0;
  for (const Lot& lot : account.lots) tokens += lot.tokens;
  return tokens;
}

void HomeLimits::Spend(Account* account, int64_t tokens) {
  // What ends first goes first.
  std::sort(account->lots.begin(), account->lots.end(),
            [](const Lot& a, const Lot& b) { return a.expires < b.expires; });
  while (tokens > 0) {
    Lot& lot = account->lots.front();
    const int64_t part = std::min(tokens, lot.tokens);
    lot.tokens -= part;
    tokens -= part;
    account->reports[lot.serial].first += part;
    if (lot.tokens == 0) account->lots.pop_front();
  }
}

void HomeLimits::Serve(Account* account, MonoTime now, Actions* actions) {
  int64_t at_hand = AtHand(*account);
  while (!account->waiting.empty() &&
         account->waiting.front().tokens <= at_hand) {
    const Waiting& first = account->waiting.front();
    if (!first.prompt && first.until <= now) break;  // too late for it
    Spend(account, first.tokens);
    at_hand -= first.tokens;
    actions->decisions.push_back({first.ticket, true, {}});
    account->waiting.pop_front();
  }
}

void HomeLimits::RefuseLate(Account* account, MonoTime now, Actions* actions) {
  const Duration wait = std::max(
      Duration(kShortestAskWait),
      account->ask_after > now ? account->ask_after - now : Duration(0));
  auto& waiting = account->waiting;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (it->prompt || it->until > now) {
      ++it;
      continue;
    }
    actions->decisions.push_back({it->ticket, false, wait});
    it = waiting.erase(it);
  }
}

void HomeLimits::RefuseAll(Account* account, bool prompt_only,
                           Duration retry_after, Actions* actions) {
  auto& waiting = account->waiting;
  for (auto it = waiting.begin(); it != waiting.end();) {
    if (prompt_only && !(it->prompt && it->asked)) {
      ++it;
      continue;
    }
    actions->decisions.push_back({it->ticket, false, retry_after});
    it = waiting.erase(it);
  }
}

void HomeLimits::NoteDemand(Account* account, int64_t tokens, MonoTime now) {
  if (account->demand_at != MonoTime::min()) {
    const double gap = ToSeconds(now - account->demand_at);
    account->demand *= std::exp(-gap / kDemandSeconds);
  }
  account->demand += static_cast<double>(tokens) / kDemandSeconds;
  account->demand_at = now;
}

// The stock that the demand calls for.
int64_t HomeLimits::Need(const Account& account, MonoTime now) const {
  if (account.demand_at == MonoTime::min()) return 0;
  const double gap = ToSeconds(now - account.demand_at);
  const double demand = account.demand * std::exp(-gap / kDemandSeconds);
  return static_cast<int64_t>(demand * kStockSeconds);
}

void HomeLimits::AskHome(const CustomerId& customer, Account* account,
                         const BucketLimits& limits, MonoTime now,
                         Actions* actions) {
  if (account->under_way) {
    UnderWay& under_way = *account->under_way;
    if (under_way.resend_at == kNever) return;
    // The home did not answer last time: nothing to wait for here and now.
    for (Waiting& w : account->waiting) w.asked = true;
    if (now < under_way.resend_at) {
      RefuseAll(account, true, kHomelessRetry, actions);
      return;
    }
    under_way.resend_at = kNever;
    actions->asks.push_back({account->home, under_way.item});
    return;
  }
  const int64_t at_hand = AtHand(*account);
  int64_t waiting = 0;
  bool prompt_unasked = false;
  int64_t largest = 0;
  for (const Waiting& w : account->waiting) {
    waiting += w.tokens;
    largest = std::max(largest, w.tokens);
    prompt_unasked = prompt_unasked || (w.prompt && !w.asked);
  }
  int64_t need = std::min(Need(*account, now), limits.burst);
  if (need < kStockCharges * largest) need = 0;
  const bool low = need > 0 && at_hand < need / 2;
  const bool may_ask = prompt_unasked || now >= account->ask_after;
  const bool wants = may_ask && (!account->waiting.empty() || low);

  // An idle stock goes back before it is lost.
  bool returns = false;
  if (account->waiting.empty() && !low && !ignore_expiry_) {
    for (Lot& lot : account->lots) {
      if (now < lot.expires - lot.lifetime / kReturnPart) continue;
      account->reports[lot.serial].second += lot.tokens;
      lot.tokens = 0;
      returns = true;
    }
    account->lots.erase(
        std::remove_if(account->lots.begin(), account->lots.end(),
                       [](const Lot& lot) { return lot.tokens == 0; }),
        account->lots.end());
  }
  if (!wants && !returns && now < account->refund_due) return;

  UnderWay under_way;
  under_way.first_sent = now;
  under_way.resend_at = kNever;
  auto& item = under_way.item;
  item.set_customer(customer.value());
  item.set_serial(++account->serial);
  if (wants) {
    const int64_t lacking = std::max<int64_t>(waiting - at_hand, 0);
    item.set_waiting(lacking);
    item.set_want(lacking + std::max<int64_t>(need - at_hand, 0));
    if (!account->waiting.empty()) {
      item.set_least(account->waiting.front().tokens - at_hand);
    }
    for (Waiting& w : account->waiting) w.asked = true;
  }
  for (const auto& [serial, report] : account->reports) {
    auto* out = item.add_reports();
    out->set_serial(serial);
    out->set_spent(report.first);
    out->set_returned(report.second);
  }
  account->reports.clear();
  for (const auto& [stamp, tokens] : account->refunds) {
    auto* out = item.add_refunds();
    out->set_stamp_ms(stamp);
    out->set_tokens(tokens);
  }
  account->refunds.clear();
  account->refund_due = kNever;
  actions->asks.push_back({account->home, item});
  account->under_way = std::move(under_way);
}

void HomeLimits::SetWake(const CustomerId& customer, Account* account,
                         MonoTime now) {
  wakes_.erase({account->wake, customer});
  MonoTime wake = kNever;
  for (const Waiting& w : account->waiting) {
    if (!w.prompt) wake = std::min(wake, w.until);
  }
  if (account->under_way) {
    wake = std::min(wake, account->under_way->resend_at);
  } else {
    wake = std::min(wake, account->refund_due);
    if (!account->waiting.empty()) {
      wake =
          std::min(wake, std::max(account->ask_after, now + kShortestAskWait));
    }
    for (const Lot& lot : account->lots) {
      // Kept beyond the time to return it: demand spoke for it.
      if (ignore_expiry_) break;
      const MonoTime returned = lot.expires - lot.lifetime / kReturnPart;
      wake = std::min(wake, returned > now ? returned : lot.expires);
    }
  }
  // The home may change without a word.
  if (!account->waiting.empty()) wake = std::min(wake, now + kHomelessLook);
  account->wake = wake == kNever ? wake : std::max(wake, now + Duration(1));
  if (wake != kNever) wakes_.insert({account->wake, customer});
}

std::optional<BucketLimits> StaticLimits::ShareOf(
    const CustomerId& customer) const {
  std::optional<BucketLimits> limits = limits_of_(customer);
  if (!limits) return limits;
  const auto daemons = static_cast<int64_t>(std::max<size_t>(daemons_(), 1));
  return BucketLimits{limits->rate / daemons, limits->burst / daemons};
}

uint64_t StaticLimits::Charge(const CustomerId& customer, Tokens tokens,
                              MonoTime wait_until, MonoTime now) {
  const uint64_t ticket = next_ticket_++;
  const BucketLimits limits = ShareOf(customer).value_or(BucketLimits());
  auto it = shares_.find(customer);
  if (it == shares_.end()) {
    Share share{HomeBucket(limits, limits.burst, now), {}, kNever};
    it = shares_.emplace(customer, std::move(share)).first;
  }
  it->second.waiting.push_back({ticket, tokens.count(), wait_until});
  it->second.wake = now;
  return ticket;
}

void StaticLimits::Abandon(const CustomerId& customer, uint64_t ticket) {
  auto it = shares_.find(customer);
  if (it == shares_.end()) return;
  auto& waiting = it->second.waiting;
  waiting.erase(
      std::remove_if(waiting.begin(), waiting.end(),
                     [&](const Waiting& w) { return w.ticket == ticket; }),
      waiting.end());
}

void StaticLimits::Refund(const CustomerId& customer, Tokens tokens,
                          MonoTime charged_at, MonoTime now) {
  auto it = shares_.find(customer);
  if (it == shares_.end()) return;
  it->second.bucket.Advance(ShareOf(customer).value_or(BucketLimits()), now);
  it->second.bucket.Refund(tokens.count(), charged_at, now);
}

void StaticLimits::Process(const CustomerId& customer, Share* share,
                           MonoTime now, Actions* actions) {
  share->bucket.Advance(ShareOf(customer).value_or(BucketLimits()), now);
  share->wake = kNever;
  while (!share->waiting.empty()) {
    const Waiting& first = share->waiting.front();
    const bool granted = share->bucket.Spend(first.tokens);
    const Duration wait = std::max(share->bucket.WaitFor(first.tokens, now),
                                   Duration(kShortestAskWait));
    if (!granted && now + wait <= first.until) {
      share->wake = now + wait;
      return;
    }
    actions->decisions.push_back({first.ticket, granted, wait});
    share->waiting.pop_front();
  }
}

LocalLimits::Actions StaticLimits::Step(MonoTime now) {
  Actions actions;
  for (auto& [customer, share] : shares_) {
    if (share.wake <= now) Process(customer, &share, now, &actions);
  }
  return actions;
}

MonoTime StaticLimits::NextWake() const {
  MonoTime wake = kNever;
  for (const auto& [customer, share] : shares_) {
    wake = std::min(wake, share.wake);
  }
  return wake;
}

}  // namespace mimosa
