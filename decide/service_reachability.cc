// Contacts and misses of each service.
#include "decide/service_reachability.h"

#include <algorithm>

namespace mimosa {

void ServiceReachability::RecordContact(const BackEndEntry& back_end,
                                        MonoTime now) {
  ServiceState& state = services_[back_end.service];
  state.last_contact = now;
  if (state.misses == 0) return;
  state.misses = 0;
  state.known.clear();
  state.missed.clear();
}

void ServiceReachability::RecordMiss(const BackEndEntry& back_end,
                                     MonoTime now) {
  ServiceState& state = services_[back_end.service];
  if (state.misses == 0) {
    state.first_miss = now;
    for (const auto& [id, listed] : list_->entries())
      state.known[id] = listed.entry.incarnation;
  }
  ++state.misses;
  state.missed[back_end.id] = {back_end.incarnation, now};
}

bool ServiceReachability::IsUnreachable(const ServiceId& service,
                                        MonoTime now) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  const ServiceState& state = it->second;
  if (state.misses < options_.min_misses ||
      now - state.last_contact.value_or(state.first_miss) <
          options_.min_silence)
    return false;
  size_t listed_count = 0;
  size_t missed_count = 0;
  for (const auto& [id, listed] : list_->entries()) {
    const BackEndEntry& entry = listed.entry;
    if (!Counts(entry, service)) continue;
    ++listed_count;
    const auto missed = state.missed.find(id);
    const bool is_missed = missed != state.missed.end() &&
                           missed->second.incarnation == entry.incarnation;
    if (is_missed) {
      ++missed_count;
    } else {
      const auto known = state.known.find(id);
      const bool is_new =
          known == state.known.end() || known->second != entry.incarnation;
      if (is_new) return false;
    }
  }
  return missed_count > 0 &&
         missed_count >= std::min(options_.min_back_ends, listed_count);
}

std::optional<Duration> ServiceReachability::TimeSinceContact(
    const ServiceId& service, MonoTime now) const {
  const auto it = services_.find(service);
  if (it == services_.end() || !it->second.last_contact) return std::nullopt;
  return now - *it->second.last_contact;
}

std::vector<BackEndEntry> ServiceReachability::BackEndsToProbe(
    const ServiceId& service) const {
  std::vector<std::pair<MonoTime, BackEndEntry>> by_miss;
  const auto state = services_.find(service);
  for (const auto& [id, listed] : list_->entries()) {
    if (!Counts(listed.entry, service)) continue;
    MonoTime last{};
    if (state != services_.end()) {
      const auto missed = state->second.missed.find(id);
      if (missed != state->second.missed.end()) last = missed->second.last;
    }
    by_miss.emplace_back(last, listed.entry);
  }
  std::stable_sort(
      by_miss.begin(), by_miss.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<BackEndEntry> back_ends;
  back_ends.reserve(by_miss.size());
  for (auto& [last, entry] : by_miss) back_ends.push_back(std::move(entry));
  return back_ends;
}

}  // namespace mimosa
