// Inquiries and their answers.
#include "serving/helper_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/saturated_cast.h"
#include "serving/forwarded_request.h"

namespace mimosa {
namespace {

// More requests than a daemon has connections.
constexpr uint32_t kMaxRunningRequests = 1U << 20;

}  // namespace

HelperExchange::HelperExchange(EventLoop* loop, const MemberList* members,
                               const ReachabilityMonitor* reachability,
                               RandomSource* random, RunningCount running_count,
                               const Options& options,
                               const TrafficBoundaries* boundaries)
    : loop_(loop),
      members_(members),
      reachability_(reachability),
      boundaries_(boundaries),
      running_count_(std::move(running_count)),
      options_(options),
      choice_(FailureDomain(members->self().failure_domain()), random,
              options.choice) {}

void HelperExchange::OnReachabilityChanged(const ServiceId& service) {
  if (reachability_->IsUnreachable(service)) {
    Inquire(service);
    ScheduleInquiry(service);
  } else {
    inquiry_timers_.erase(service);
  }
}

void HelperExchange::ScheduleInquiry(const ServiceId& service) {
  inquiry_timers_[service] =
      loop_->After(options_.inquiry_interval, [this, service] {
        if (!reachability_->IsUnreachable(service)) return;
        Inquire(service);
        ScheduleInquiry(service);
      });
}

void HelperExchange::Inquire(const ServiceId& service) {
  const MonoTime now = loop_->Now();
  const auto last = last_inquiry_.find(service);
  if (socket_ == nullptr ||
      (last != last_inquiry_.end() &&
       now - last->second < options_.min_inquiry_interval))
    return;
  last_inquiry_[service] = now;
  std::vector<HelperChoice::Candidate> candidates;
  candidates.reserve(members_->others().size());
  for (const auto& [name, member] : members_->others())
    candidates.push_back({name, FailureDomain(member.failure_domain())});
  wire::UsageDatagram datagram;
  datagram.mutable_service_reach_query()->set_service(service.value());
  for (const std::string& name : choice_.PickMembersToAsk(candidates)) {
    if (const auto address = members_->FindAddress(name))
      socket_->Send(*address, datagram.SerializeAsString());
  }
}

HelperExchange::Advice HelperExchange::Advise(
    const ServiceId& service, const AllowedRegions& allowed_regions) const {
  if (!reachability_->IsUnreachable(service)) return Advice::kServe;
  if (PickHelper(service, {}, allowed_regions)) return Advice::kForward;
  return IsUnreachableForAll(service) ? Advice::kRefuse : Advice::kServe;
}

std::optional<HelperExchange::Helper> HelperExchange::PickHelper(
    const ServiceId& service, const std::set<std::string>& excluded,
    const AllowedRegions& allowed_regions) const {
  std::set<std::string> outside = excluded;
  if (boundaries_ != nullptr && allowed_regions.is_restricted()) {
    const FailureDomain here(self().failure_domain());
    for (const auto& [name, member] : members_->others()) {
      if (!boundaries_->MayForward(here, FailureDomain(member.failure_domain()),
                                   allowed_regions))
        outside.insert(name);
    }
  }
  const auto name = choice_.Pick(service, outside, loop_->Now());
  if (!name) return std::nullopt;
  const auto member = members_->others().find(*name);
  const auto address = members_->FindAddress(*name);
  if (member == members_->others().end() || !address) return std::nullopt;
  return Helper{*name, RecipientOf(member->second), *address};
}

bool HelperExchange::MayReceive(const std::string& sender,
                                const AllowedRegions& allowed_regions) const {
  if (boundaries_ == nullptr || !allowed_regions.is_restricted()) return true;
  const auto member = members_->others().find(sender);
  return member != members_->others().end() &&
         boundaries_->MayForward(FailureDomain(member->second.failure_domain()),
                                 FailureDomain(self().failure_domain()),
                                 allowed_regions);
}

bool HelperExchange::HasCertainHelper(const ServiceId& service) const {
  return choice_.HasCertainHelper(service, loop_->Now());
}

bool HelperExchange::IsUnreachableForAll(const ServiceId& service) const {
  return choice_.IsUnreachableForAll(service, loop_->Now());
}

void HelperExchange::OnRequestStarted(const Helper& helper) {
  choice_.OnRequestStarted(helper.name);
}

void HelperExchange::OnRequestEnded(const Helper& helper) {
  choice_.OnRequestEnded(helper.name);
}

void HelperExchange::RecordFailure(const Helper& helper) {
  choice_.RecordFailure(helper.name, loop_->Now());
}

void HelperExchange::RecordRefusal(const ServiceId& service,
                                   const Helper& helper) {
  choice_.RecordRefusal(service, helper.name);
}

void HelperExchange::OnDatagram(const Endpoint& from,
                                const wire::UsageDatagram& datagram) {
  if (!datagram.has_service_reach_query() &&
      !datagram.has_service_reach_answer())
    return;
  const wire::EntryMember* const member = members_->FindMember(from);
  if (member == nullptr) return;
  if (datagram.has_service_reach_query()) {
    HandleQuery(datagram.service_reach_query(), from);
  } else {
    HandleAnswer(datagram.service_reach_answer(), *member);
  }
}

void HelperExchange::HandleQuery(const wire::ServiceReachQuery& query,
                                 const Endpoint& from) {
  if (socket_ == nullptr) return;
  const ServiceId service(query.service());
  wire::UsageDatagram datagram;
  wire::ServiceReachAnswer* const answer =
      datagram.mutable_service_reach_answer();
  answer->set_service(query.service());
  answer->set_reaches(!leaving_ && !reachability_->IsUnreachable(service));
  if (const auto age = reachability_->TimeSinceContact(service))
    answer->set_contact_age_ms(SaturatedCast<uint32_t>(ToMillis(*age)));
  answer->set_running(static_cast<uint32_t>(running_count_()));
  socket_->Send(from, datagram.SerializeAsString());
}

void HelperExchange::HandleAnswer(const wire::ServiceReachAnswer& answer,
                                  const wire::EntryMember& member) {
  HelperChoice::Answer known;
  known.reaches = answer.reaches();
  if (answer.has_contact_age_ms())
    known.contact_age = std::chrono::milliseconds(answer.contact_age_ms());
  known.running =
      static_cast<int>(std::min(answer.running(), kMaxRunningRequests));
  choice_.RecordAnswer(ServiceId(answer.service()),
                       {member.name(), FailureDomain(member.failure_domain())},
                       known, loop_->Now());
}

}  // namespace mimosa
