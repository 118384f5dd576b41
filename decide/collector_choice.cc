// Choice of the collector, detection of its silence, and probes.
#include "decide/collector_choice.h"

#include "decide/rendezvous.h"

namespace mimosa {
namespace {

constexpr char kCollectorKey[] = "usage";

uint64_t WeightOf(const std::string& member) {
  return RendezvousWeight(kCollectorKey, member);
}

}  // namespace

bool CollectorChoice::IsPreferred(const Member& a, const Member& b) {
  if (a.link_mbps != b.link_mbps) return a.link_mbps > b.link_mbps;
  return WeightOf(a.name) > WeightOf(b.name);
}

template <typename Accept>
const CollectorChoice::Member* CollectorChoice::MostPreferred(
    const std::vector<Member>& members, const Accept& accept) {
  const Member* best = nullptr;
  for (const Member& member : members)
    if ((best == nullptr || IsPreferred(member, *best)) && accept(member))
      best = &member;
  return best;
}

bool CollectorChoice::Choose(const std::vector<Member>& others, MonoTime now) {
  if (IsSilent(now)) silent_[collector_.name] = now;
  const Member* best = MostPreferred(others, [this](const Member& member) {
    return silent_.count(member.name) == 0;
  });
  if (best == nullptr || IsPreferred(self_, *best)) best = &self_;
  const bool changed = best->name != collector_.name;
  collector_ = *best;
  if (changed) unanswered_reports_ = 0;
  return changed;
}

std::optional<std::string> CollectorChoice::NextProbe(
    const std::vector<Member>& others, MonoTime now) {
  const Member* target = MostPreferred(others, [&](const Member& member) {
    const auto it = silent_.find(member.name);
    return it != silent_.end() && now - it->second >= options_.probe_interval;
  });
  if (target == nullptr || IsPreferred(collector_, *target))
    return std::nullopt;
  silent_[target->name] = now;
  return target->name;
}

void CollectorChoice::OnReportSent(MonoTime now) {
  if (unanswered_reports_++ == 0) unanswered_since_ = now;
}

void CollectorChoice::OnResponse(const std::string& member) {
  silent_.erase(member);
  if (member == collector_.name) unanswered_reports_ = 0;
}

bool CollectorChoice::OnRedirect(const std::string& member,
                                 const std::string& collector, MonoTime now) {
  const auto silent = silent_.find(collector);
  if (silent != silent_.end() &&
      now - silent->second >= options_.probe_interval / 2) {
    silent_.erase(silent);
    return true;
  }
  if (member != collector_.name) return false;
  // Nothing is known that speaks against `member` but that it doesn't collect.
  silent_[member] = now;
  return true;
}

Duration CollectorChoice::UnansweredTime(MonoTime now) const {
  return unanswered_reports_ > 0 ? now - unanswered_since_ : Duration::zero();
}

bool CollectorChoice::IsSilent(MonoTime now) const {
  return collector_.name != self_.name &&
         unanswered_reports_ >= options_.min_unanswered_reports &&
         UnansweredTime(now) > options_.response_timeout;
}

}  // namespace mimosa
