// Requests, grants and notices about limits and warm-ups.
#include "serving/permit_exchange.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "base/saturated_cast.h"

namespace mimosa {
namespace {

// A request at a decode engine takes a reservation and a run.
constexpr int kPermitsPerDecodeCall = 2;
// Most calls for which one request asks for permits.
constexpr int kMaxCallsPerRequest = 8;
// Most permits that a member may ask for at once.
constexpr uint32_t kMaxPermitsPerRequest =
    kPermitsPerDecodeCall * kMaxCallsPerRequest;
// Members that issue the permits of a back end.
constexpr size_t kIssuers = 2;
// Members that tell the others that a back end has begun to warm up.
constexpr size_t kWarmUpTellers = 6;
// Estimated time of a request for permits.
constexpr Duration kRequestTime = std::chrono::milliseconds(5);
// Longest time for which a denial holds, since limits change.
constexpr Duration kMaxWait = std::chrono::seconds(1);
constexpr size_t kMaxIssued = 5000;
// A limit of nearly zero still yields a permit now and then, because only a
// response can show that the back end has withdrawn it.
constexpr double kMinRate = 0.2;

// Returns an entry that has only what identifies a back end.
BackEndEntry Identify(const BackEndId& id, int64_t incarnation) {
  BackEndEntry back_end;
  back_end.id = id;
  back_end.incarnation = incarnation;
  return back_end;
}

// Returns the permits a second for a limit.
double RateOf(double limit) { return std::max(limit, kMinRate); }

}  // namespace

PermitExchange::PermitExchange(EventLoop* loop, const MemberList* members,
                               RandomSource* random, LineLog* log,
                               const Options& options)
    : loop_(loop),
      members_(members),
      random_(random),
      log_(log),
      options_(options),
      warm_up_requests_(1, loop->Now()) {
  warm_up_requests_.SetRate(options.warm_up_requests_per_second, loop->Now());
}

// --- Limits ---------------------------------------------------------------

void PermitExchange::RecordLimit(const BackEndEntry& back_end,
                                 std::optional<double> limit,
                                 const RequestId& request,
                                 MonoTime call_started) {
  const bool was_limited = limits_.Find(back_end).has_value();
  if (!limits_.Record(back_end, limit, call_started, loop_->Now())) return;
  LogLimit(back_end, request);
  if (!NeedsPermit(back_end, loop_->Now())) permits_.erase(back_end.id);
  // Another rate spreads with the requests for permits.
  if (was_limited != limit.has_value()) NotifyAll(back_end, Duration::zero());
}

bool PermitExchange::MergeStatement(const BackEndEntry& back_end,
                                    const wire::LimitStatement& statement) {
  if (statement.warm_up_ms() > 0) {
    const auto begun = warm_ups_.Extend(
        back_end.id, std::chrono::milliseconds(statement.warm_up_ms()),
        WarmUpSource::kMember, loop_->Now());
    if (begun) {
      OnWarmUps({*begun});
      // This daemon lacks a start that others have seen, so it hasn't told
      // those that lack it, too.
      if (begun->back_end.incarnation != back_end.incarnation &&
          TellsWarmUps(back_end))
        NotifyAll(back_end, begun->time);
    }
  }
  // An unknown limit isn't the same as none.
  if (!statement.is_known()) return true;
  BackEndLimits::Statement merged;
  if (statement.has_per_second()) {
    if (!std::isfinite(statement.per_second()) || statement.per_second() < 0)
      return false;
    merged.per_second = statement.per_second();
  }
  merged.named_at =
      loop_->Now() - std::chrono::milliseconds(statement.age_ms());
  if (!limits_.Merge(back_end, merged)) return true;
  LogLimit(back_end, RequestId());
  return true;
}

wire::LimitStatement PermitExchange::StatementOf(
    const BackEndEntry& back_end) const {
  wire::LimitStatement statement;
  statement.set_warm_up_ms(SaturatedCast<uint32_t>(
      ToMillis(warm_ups_.FirstHandTimeLeft(back_end.id, loop_->Now()))));
  const auto known = limits_.FindStatement(back_end);
  statement.set_is_known(known.has_value());
  if (!known) return statement;
  if (known->per_second) statement.set_per_second(*known->per_second);
  statement.set_age_ms(
      SaturatedCast<uint32_t>(ToMillis(loop_->Now() - known->named_at)));
  return statement;
}

void PermitExchange::LogLimit(const BackEndEntry& back_end,
                              const RequestId& request) {
  const std::optional<double> limit = limits_.Find(back_end);
  log_->Write(LogLine("back_end_limit")
                  .Add("back_end", back_end.id.value())
                  .Add("incarnation", back_end.incarnation)
                  .Add("request", request.value())
                  .Add("per_second",
                       limit ? std::to_string(*limit) : std::string("none")));
}

void PermitExchange::NotifyAll(const BackEndEntry& back_end,
                               Duration warm_up_time) {
  wire::UsageDatagram datagram;
  wire::LimitNotice* const notice = datagram.mutable_limit_notice();
  notice->set_back_end(back_end.id.value());
  notice->set_incarnation(back_end.incarnation);
  *notice->mutable_statement() = StatementOf(back_end);
  if (warm_up_time > Duration::zero())
    notice->mutable_statement()->set_warm_up_ms(
        SaturatedCast<uint32_t>(ToMillis(warm_up_time)));
  for (const auto& [name, member] : members_->others())
    SendToMember(name, datagram);
}

void PermitExchange::HandleNotice(const wire::LimitNotice& notice) {
  const BackEndEntry back_end =
      Identify(BackEndId(notice.back_end()), notice.incarnation());
  MergeStatement(back_end, notice.statement());
  if (!NeedsPermit(back_end, loop_->Now())) permits_.erase(back_end.id);
}

void PermitExchange::OnBackEndsChanged(const BackEndList& back_ends) {
  const MonoTime now = loop_->Now();
  OnWarmUps(warm_ups_.Update(back_ends, now));
  limits_.ForgetUnlisted(back_ends);
  for (auto it = permits_.begin(); it != permits_.end();) {
    const bool is_limited =
        NeedsPermit(Identify(it->first, it->second.incarnation), now);
    it = is_limited ? std::next(it) : permits_.erase(it);
  }
  for (auto it = issued_.begin(); it != issued_.end();)
    it = now - it->second.last_asked >= options_.issuer_lifetime
             ? issued_.erase(it)
             : std::next(it);
}

// --- Warm-ups -------------------------------------------------------------

void PermitExchange::SetServices(const std::vector<SiteService>& services) {
  OnWarmUps(warm_ups_.SetServices(services, loop_->Now()));
}

void PermitExchange::RecordWarmUp(const BackEndEntry& back_end, Duration time) {
  const auto begun = warm_ups_.Extend(back_end.id, time,
                                      WarmUpSource::kResponse, loop_->Now());
  if (begun) OnWarmUps({*begun});
}

void PermitExchange::OnWarmUps(
    const std::vector<WarmUpTracker::Change>& begun) {
  for (const WarmUpTracker::Change& change : begun) {
    const BackEndEntry& back_end = change.back_end;
    log_->Write(LogLine("back_end_warming_up")
                    .Add("back_end", back_end.id.value())
                    .Add("incarnation", back_end.incarnation)
                    .Add("zone", back_end.zone.value())
                    .Add("source", WarmUpSourceName(change.source))
                    .AddMillis("for_ms", change.time));
    if (change.source == WarmUpSource::kMember) continue;
    if (change.source == WarmUpSource::kResponse || TellsWarmUps(back_end))
      NotifyAll(back_end, change.time);
  }
  if (!begun.empty()) ScheduleWarmUpEnd();
}

bool PermitExchange::TellsWarmUps(const BackEndEntry& back_end) const {
  const std::vector<std::string> tellers =
      members_->TopMembers(back_end.id.value(), kWarmUpTellers);
  return std::find(tellers.begin(), tellers.end(), members_->self().name()) !=
         tellers.end();
}

void PermitExchange::ScheduleWarmUpEnd() {
  const auto next = warm_ups_.NextEnd();
  if (!next) return;
  const Duration wait = std::max(Duration::zero(), *next - loop_->Now());
  warm_up_timer_ = loop_->After(wait, [this] {
    for (const WarmUpTracker::Change& change :
         warm_ups_.TakeEnded(loop_->Now())) {
      log_->Write(LogLine("back_end_warmed_up")
                      .Add("back_end", change.back_end.id.value())
                      .Add("incarnation", change.back_end.incarnation));
      if (!limits_.Find(change.back_end)) permits_.erase(change.back_end.id);
    }
    ScheduleWarmUpEnd();
  });
}

bool PermitExchange::IsWarmingUp(const BackEndEntry& back_end,
                                 MonoTime now) const {
  return warm_ups_.FindRate(back_end.id, now).has_value();
}

double PermitExchange::IssueRate(const BackEndEntry& back_end,
                                 Issuer issuer) const {
  const std::optional<double> limit = limits_.Find(back_end);
  const std::optional<double> warm_up_rate =
      warm_ups_.FindRate(back_end.id, loop_->Now());
  double share = 1;
  double warm_up_share = options_.warm_up_share;
  if (issuer == Issuer::kSecond) {
    share = options_.backup_share;
    warm_up_share = options_.warm_up_backup_share;
  } else if (issuer == Issuer::kSelf) {
    share = options_.isolated_share / members_->size();
    warm_up_share = options_.warm_up_isolated_share / members_->size();
  }
  if (!warm_up_rate) return RateOf(limit.value_or(0)) * share;
  const double rate = RateOf(*warm_up_rate) * warm_up_share;
  return limit ? std::min(RateOf(*limit) * share, rate) : rate;
}

Duration PermitExchange::PermitLifetime(const BackEndEntry& back_end) const {
  return IsWarmingUp(back_end, loop_->Now()) ? options_.warm_up_permit_lifetime
                                             : options_.permit_lifetime;
}

// --- Permits of this daemon -----------------------------------------------

int PermitExchange::PermitsPerCall(const BackEndEntry& back_end) {
  return back_end.role == EngineRole::kDecode ? kPermitsPerDecodeCall : 1;
}

PermitExchange::Permits* PermitExchange::PermitsOf(
    const BackEndEntry& back_end) {
  Permits& permits = permits_[back_end.id];
  if (permits.incarnation != back_end.incarnation) {
    permits = Permits{};
    permits.incarnation = back_end.incarnation;
  }
  return &permits;
}

const PermitExchange::Permits* PermitExchange::FindPermits(
    const BackEndEntry& back_end) const {
  const auto it = permits_.find(back_end.id);
  return it == permits_.end() || it->second.incarnation != back_end.incarnation
             ? nullptr
             : &it->second;
}

bool PermitExchange::IsAvailable(const BackEndEntry& back_end,
                                 MonoTime now) const {
  if (!NeedsPermit(back_end, now)) return true;
  const Permits* const permits = FindPermits(back_end);
  return permits != nullptr && permits->held >= PermitsPerCall(back_end) &&
         now < permits->held_until;
}

MonoTime PermitExchange::AvailableAt(const BackEndEntry& back_end,
                                     MonoTime now) const {
  if (IsAvailable(back_end, now)) return now;
  const Permits* const permits = FindPermits(back_end);
  const MonoTime soon = now + kRequestTime;
  return permits == nullptr ? soon : std::max(soon, permits->not_before);
}

void PermitExchange::Take(const BackEndEntry& back_end) {
  if (!NeedsPermit(back_end, loop_->Now())) return;
  Permits* const permits = PermitsOf(back_end);
  permits->held = std::max(0, permits->held - PermitsPerCall(back_end));
}

void PermitExchange::Request(const BackEndEntry& back_end) {
  Permits* const permits = PermitsOf(back_end);
  permits->wanted = std::min(permits->wanted + 1, kMaxCallsPerRequest);
  const MonoTime now = loop_->Now();
  if (permits->serial != 0 || now < permits->not_before) return;
  if (IsWarmingUp(back_end, now) && warm_up_requests_.Issue(1, 1, now) == 0)
    return;
  const bool first_is_reachable = now >= permits->first_unreachable_until;
  Ask(back_end, permits, first_is_reachable ? Issuer::kFirst : Issuer::kSecond);
}

void PermitExchange::Ask(const BackEndEntry& back_end, Permits* permits,
                         Issuer issuer) {
  const MonoTime now = loop_->Now();
  const int per_call = PermitsPerCall(back_end);
  permits->asked = issuer;
  permits->asked_at = now;
  permits->asked_count = std::max(1, permits->wanted) * per_call;
  permits->wanted = 0;
  ++counters_.requests;
  if (issuer == Issuer::kSelf) {
    // The shares begin at random levels, so that daemons that were cut off
    // together don't get their permits together.
    if (!permits->own_share)
      permits->own_share.emplace(random_->UniformDouble() * per_call, now);
    permits->own_share->SetRate(IssueRate(back_end, Issuer::kSelf), now);
    const int count = permits->own_share->Issue(per_call, per_call, now);
    OnGranted(back_end, permits, count,
              permits->own_share->TimeUntil(per_call, now));
    return;
  }
  const std::vector<std::string> issuers =
      members_->TopMembers(back_end.id.value(), kIssuers);
  const size_t rank = issuer == Issuer::kFirst ? 0 : 1;
  if (rank >= issuers.size()) {
    Ask(back_end, permits, Issuer::kSelf);
    return;
  }
  if (issuers[rank] == members_->self().name()) {
    Duration wait{};
    const int count = Issue(back_end, permits->asked_count, per_call, &wait);
    permits->missed_answers = 0;
    permits->own_share.reset();
    OnGranted(back_end, permits, count, wait);
    return;
  }
  permits->serial = ++last_serial_;
  permits->asked_member = issuers[rank];
  wire::UsageDatagram datagram;
  wire::PermitRequest* const request = datagram.mutable_permit_request();
  request->set_serial(permits->serial);
  request->set_back_end(back_end.id.value());
  request->set_incarnation(back_end.incarnation);
  *request->mutable_statement() = StatementOf(back_end);
  request->set_count(static_cast<uint32_t>(permits->asked_count));
  request->set_minimum(static_cast<uint32_t>(per_call));
  SendToMember(issuers[rank], datagram);
  permits->timeout = loop_->After(options_.request_timeout,
                                  [this, back_end] { OnUnanswered(back_end); });
}

void PermitExchange::OnUnanswered(const BackEndEntry& back_end) {
  Permits* const permits = PermitsOf(back_end);
  permits->serial = 0;
  ++counters_.unanswered;
  if (!NeedsPermit(back_end, loop_->Now())) return;
  if (permits->asked == Issuer::kFirst &&
      ++permits->missed_answers >= options_.misses_until_unreachable)
    permits->first_unreachable_until = loop_->Now() + options_.unreachable_time;
  Ask(back_end, permits,
      permits->asked == Issuer::kFirst ? Issuer::kSecond : Issuer::kSelf);
}

void PermitExchange::OnGranted(const BackEndEntry& back_end, Permits* permits,
                               int count, Duration wait) {
  const MonoTime now = loop_->Now();
  if (now >= permits->held_until) permits->held = 0;
  counters_.granted += static_cast<uint64_t>(count);
  if (count > 0) {
    permits->held += count;
    permits->held_until = permits->asked_at + PermitLifetime(back_end);
  } else {
    permits->not_before = now + std::min(wait, kMaxWait);
  }
}

// --- Permits that this daemon issues --------------------------------------

int PermitExchange::Issue(const BackEndEntry& back_end, int count, int minimum,
                          Duration* wait) {
  const MonoTime now = loop_->Now();
  const BackEndId& id = back_end.id;
  const int64_t incarnation = back_end.incarnation;
  const std::vector<std::string> issuers =
      members_->TopMembers(id.value(), kIssuers);
  const auto rank =
      std::find(issuers.begin(), issuers.end(), members_->self().name()) -
      issuers.begin();
  const bool is_issuer = rank < static_cast<std::ptrdiff_t>(issuers.size());
  auto it = issued_.find(id);
  // The members' views of the fleet may differ for a moment.
  if (!is_issuer || (it == issued_.end() && issued_.size() >= kMaxIssued)) {
    *wait = kMaxWait;
    return 0;
  }
  // A member that still knows the former incarnation gets its permits from the
  // same bucket: emptying it for each such request would starve the engine.
  if (it == issued_.end() || it->second.incarnation < incarnation) {
    const Issued issued{incarnation, PermitIssuer(0, now), now};
    it = issued_.insert_or_assign(id, issued).first;
  }
  Issued& issued = it->second;
  issued.last_asked = now;
  issued.issuer.SetRate(
      IssueRate(back_end, rank == 0 ? Issuer::kFirst : Issuer::kSecond), now);
  const int granted = issued.issuer.Issue(count, minimum, now);
  counters_.issued += static_cast<uint64_t>(granted);
  if (granted == 0) *wait = issued.issuer.TimeUntil(minimum, now);
  return granted;
}

void PermitExchange::HandleRequest(const wire::PermitRequest& request,
                                   const Endpoint& from) {
  const BackEndEntry back_end =
      Identify(BackEndId(request.back_end()), request.incarnation());
  if (!MergeStatement(back_end, request.statement())) return;
  Duration wait{};
  const auto limit_count = [](uint32_t count) {
    return static_cast<int>(std::clamp(count, 1U, kMaxPermitsPerRequest));
  };
  const int count = Issue(back_end, limit_count(request.count()),
                          limit_count(request.minimum()), &wait);
  wire::UsageDatagram datagram;
  wire::PermitGrant* const grant = datagram.mutable_permit_grant();
  grant->set_serial(request.serial());
  grant->set_count(static_cast<uint32_t>(count));
  grant->set_wait_ms(SaturatedCast<uint32_t>(ToMillis(wait)));
  *grant->mutable_statement() = StatementOf(back_end);
  if (socket_ != nullptr) socket_->Send(from, datagram.SerializeAsString());
}

void PermitExchange::HandleGrant(const wire::PermitGrant& grant,
                                 const Endpoint& from) {
  for (auto& [id, permits] : permits_) {
    if (permits.serial == 0 || permits.serial != grant.serial()) continue;
    const auto address = members_->FindAddress(permits.asked_member);
    if (!address || address->ToString() != from.ToString()) return;
    permits.serial = 0;
    permits.timeout.Cancel();
    permits.own_share.reset();
    if (permits.asked == Issuer::kFirst) permits.missed_answers = 0;
    const int count = static_cast<int>(std::min<uint32_t>(
        grant.count(), static_cast<uint32_t>(permits.asked_count)));
    const BackEndEntry back_end = Identify(id, permits.incarnation);
    MergeStatement(back_end, grant.statement());
    OnGranted(back_end, &permits, count,
              std::chrono::milliseconds(grant.wait_ms()));
    if (!NeedsPermit(back_end, loop_->Now())) permits_.erase(back_end.id);
    return;
  }
}

void PermitExchange::OnDatagram(const Endpoint& from,
                                const wire::UsageDatagram& datagram) {
  const bool is_about_permits = datagram.has_permit_request() ||
                                datagram.has_permit_grant() ||
                                datagram.has_limit_notice();
  if (!is_about_permits || !members_->IsMemberAddress(from)) return;
  if (datagram.has_permit_request())
    HandleRequest(datagram.permit_request(), from);
  if (datagram.has_permit_grant()) HandleGrant(datagram.permit_grant(), from);
  if (datagram.has_limit_notice()) HandleNotice(datagram.limit_notice());
}

void PermitExchange::SendToMember(const std::string& name,
                                  const wire::UsageDatagram& datagram) {
  const auto to = members_->FindAddress(name);
  if (to && socket_ != nullptr)
    socket_->Send(*to, datagram.SerializeAsString());
}

}  // namespace mimosa
