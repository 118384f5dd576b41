// Answers of members and the weight of each helper.
#include "decide/helper_choice.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace mimosa {

std::vector<std::string> HelperChoice::PickMembersToAsk(
    const std::vector<Candidate>& members) {
  std::vector<std::string> own_zone;
  std::vector<std::string> others;
  for (const Candidate& member : members)
    (member.zone == zone_ ? own_zone : others).push_back(member.name);
  std::vector<std::string> picked;
  for (std::vector<std::string>* side : {&own_zone, &others}) {
    for (size_t i = 0; i < options_.asked_per_side && !side->empty(); ++i) {
      const auto index = static_cast<size_t>(random_->UniformInt(side->size()));
      std::swap((*side)[index], side->back());
      picked.push_back(std::move(side->back()));
      side->pop_back();
    }
  }
  return picked;
}

void HelperChoice::RecordAnswer(const ServiceId& service,
                                const Candidate& member, const Answer& answer,
                                MonoTime now) {
  auto& known = known_[service];
  for (auto it = known.begin(); it != known.end();)
    it = IsFresh(it->second, now) ? std::next(it) : known.erase(it);
  known[member.name] = {member.zone, answer, now};
}

void HelperChoice::RecordFailure(const std::string& member, MonoTime now) {
  for (auto it = failed_until_.begin(); it != failed_until_.end();)
    it = now < it->second ? std::next(it) : failed_until_.erase(it);
  failed_until_[member] = now + options_.failure_backoff;
}

void HelperChoice::RecordRefusal(const ServiceId& service,
                                 const std::string& member) {
  const auto known = known_.find(service);
  if (known == known_.end()) return;
  const auto it = known->second.find(member);
  if (it != known->second.end()) it->second.answer.reaches = false;
}

std::optional<std::string> HelperChoice::Pick(
    const ServiceId& service, const std::set<std::string>& excluded,
    MonoTime now) const {
  const auto known = known_.find(service);
  if (known == known_.end()) return std::nullopt;
  std::optional<std::string> best;
  std::tuple<bool, int, double> best_weight;
  for (const auto& [name, helper] : known->second) {
    const auto failed = failed_until_.find(name);
    const bool is_in_backoff =
        failed != failed_until_.end() && now < failed->second;
    if (!IsFresh(helper, now) || !helper.answer.reaches || is_in_backoff ||
        excluded.count(name) > 0)
      continue;
    const auto open = open_.find(name);
    const int work = helper.answer.running +
                     (open == open_.end() ? 0 : open->second) +
                     (helper.zone == zone_ ? 0 : options_.other_zone_penalty);
    const std::tuple weight(!IsCertain(helper), work, random_->UniformDouble());
    if (best && best_weight <= weight) continue;
    best = name;
    best_weight = weight;
  }
  return best;
}

bool HelperChoice::HasCertainHelper(const ServiceId& service,
                                    MonoTime now) const {
  const auto known = known_.find(service);
  return known != known_.end() &&
         std::any_of(
             known->second.begin(), known->second.end(), [&](const auto& item) {
               return IsFresh(item.second, now) && IsCertain(item.second);
             });
}

bool HelperChoice::IsUnreachableForAll(const ServiceId& service,
                                       MonoTime now) const {
  const auto known = known_.find(service);
  if (known == known_.end()) return false;
  bool is_answered = false;
  for (const auto& [name, helper] : known->second) {
    if (!IsFresh(helper, now)) continue;
    if (helper.answer.reaches) return false;
    is_answered = true;
  }
  return is_answered;
}

void HelperChoice::OnRequestEnded(const std::string& member) {
  const auto it = open_.find(member);
  if (it == open_.end()) return;
  if (--it->second == 0) open_.erase(it);
}

}  // namespace mimosa
