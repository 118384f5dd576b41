// Starts and statements of back ends that warm up.
#include "decide/warm_up.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosa {

const char* WarmUpSourceName(WarmUpSource source) {
  switch (source) {
    case WarmUpSource::kStart:
      return "start";
    case WarmUpSource::kEntry:
      return "entry";
    case WarmUpSource::kResponse:
      return "response";
    case WarmUpSource::kMember:
      return "member";
  }
  return "?";
}

std::vector<WarmUpTracker::Change> WarmUpTracker::SetServices(
    const std::vector<SiteService>& services, MonoTime now) {
  services_.clear();
  for (const SiteService& service : services) services_[service.id] = service;
  for (auto& [id, warm_up] : warm_ups_) {
    const auto service = services_.find(warm_up.back_end.service);
    if (service != services_.end() && service->second.warm_up_rate)
      warm_up.rate = *service->second.warm_up_rate;
  }
  std::vector<Change> begun;
  for (const auto& [id, known] : known_) {
    if (!known.is_listed || known.until <= now) continue;
    const auto change =
        Begin(known.entry, known.until - now, WarmUpSource::kEntry, now);
    if (change) begun.push_back(*change);
  }
  return begun;
}

std::vector<WarmUpTracker::Change> WarmUpTracker::Update(
    const BackEndList& listed, MonoTime now) {
  std::vector<Change> begun;
  for (auto& [id, known] : known_) known.is_listed = false;
  for (const auto& [id, back_end] : listed.entries()) {
    const BackEndEntry& entry = back_end.entry;
    const auto [it, is_new] =
        known_.try_emplace(id, Known{entry, MonoTime{}, true});
    Known& known = it->second;
    const bool has_started =
        has_listing_ &&
        (is_new || known.entry.incarnation != entry.incarnation);
    const bool has_stated =
        is_new || has_started ||
        known.entry.warm_up_time != entry.warm_up_time ||
        known.entry.has_invalid_warm_up_time != entry.has_invalid_warm_up_time;
    known.entry = entry;
    known.is_listed = true;
    if (!has_stated) continue;
    Duration start_time{};
    const auto service = services_.find(entry.service);
    // A statement that can't be read may be one of a back end that is cold.
    if ((has_started || entry.has_invalid_warm_up_time) &&
        service != services_.end())
      start_time = service->second.warm_up_time;
    if (entry.has_invalid_warm_up_time) ++invalid_statements_;
    const Duration time = std::min(std::max(start_time, entry.warm_up_time),
                                   Duration(kMaxWarmUpTime));
    known.until = now + time;
    const auto change =
        Begin(entry, time,
              has_started ? WarmUpSource::kStart : WarmUpSource::kEntry, now);
    if (change) begun.push_back(*change);
  }
  has_listing_ = true;
  if (known_.size() > kMaxKnown) ForgetUnlisted();
  return begun;
}

void WarmUpTracker::ForgetUnlisted() {
  for (auto it = known_.begin(); it != known_.end();)
    it = it->second.is_listed ? std::next(it) : known_.erase(it);
}

std::optional<WarmUpTracker::Change> WarmUpTracker::Extend(const BackEndId& id,
                                                           Duration time,
                                                           WarmUpSource source,
                                                           MonoTime now) {
  const auto known = known_.find(id);
  if (time <= Duration::zero() || known == known_.end()) return std::nullopt;
  return Begin(known->second.entry, time, source, now);
}

std::optional<WarmUpTracker::Change> WarmUpTracker::Begin(
    const BackEndEntry& back_end, Duration time, WarmUpSource source,
    MonoTime now) {
  const auto service = services_.find(back_end.service);
  if (time <= Duration::zero() || service == services_.end() ||
      !service->second.warm_up_rate)
    return std::nullopt;
  time = std::min(time, kMaxWarmUpTime);
  WarmUp& warm_up = warm_ups_[back_end.id];
  const bool was_warming_up = now < warm_up.until;
  warm_up.back_end = back_end;
  warm_up.rate = *service->second.warm_up_rate;
  warm_up.until = std::max(warm_up.until, now + time);
  if (source != WarmUpSource::kMember)
    warm_up.first_hand_until = std::max(warm_up.first_hand_until, now + time);
  if (was_warming_up) return std::nullopt;
  warm_up.source = source;
  return Change{back_end, source, time};
}

std::vector<WarmUpTracker::Change> WarmUpTracker::TakeEnded(MonoTime now) {
  std::vector<Change> ended;
  for (auto it = warm_ups_.begin(); it != warm_ups_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    ended.push_back({std::move(it->second.back_end), it->second.source, {}});
    it = warm_ups_.erase(it);
  }
  return ended;
}

std::optional<MonoTime> WarmUpTracker::NextEnd() const {
  std::optional<MonoTime> next;
  for (const auto& [id, warm_up] : warm_ups_)
    next = std::min(next.value_or(kNever), warm_up.until);
  return next;
}

std::optional<double> WarmUpTracker::FindRate(const BackEndId& id,
                                              MonoTime now) const {
  const auto it = warm_ups_.find(id);
  if (it == warm_ups_.end() || now >= it->second.until) return std::nullopt;
  return it->second.rate;
}

Duration WarmUpTracker::FirstHandTimeLeft(const BackEndId& id,
                                          MonoTime now) const {
  const auto it = warm_ups_.find(id);
  return it == warm_ups_.end()
             ? Duration::zero()
             : std::max(Duration::zero(), it->second.first_hand_until - now);
}

size_t WarmUpTracker::CountWarmingUp(MonoTime now) const {
  return static_cast<size_t>(std::count_if(
      warm_ups_.begin(), warm_ups_.end(),
      [now](const auto& item) { return now < item.second.until; }));
}

}  // namespace mimosa
