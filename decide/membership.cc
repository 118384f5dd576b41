// The view of the fleet's records, and the choice of watchers and witnesses.
#include "decide/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr std::string_view kMembersPrefix = "members/";

// Bounds the deletions that are sent to a lagging peer: a view with more
// records than this, deleted ones included, sends snapshots.
constexpr size_t kMaxTombstones = 4096;

bool Parse(const std::string& value, google::protobuf::Message* message) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(FromJson(value, false, message));
        return true;
      },
      [] { return false; });
}

}  // namespace

std::string NewUniqueId(RandomSource* random) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  for (uint64_t bits = random->Next(); id.size() < 16; bits >>= 4) {
    id += kDigits[bits & 15];
  }
  return id;
}

std::string FleetView::MemberKey(const MemberId& id) const {
  return prefix_ + std::string(kMembersPrefix) + id.value();
}

bool FleetView::ApplyDelta(Revision after, const FleetDelta& delta) {
  if (!delta.is_snapshot && after > revision_) return false;
  if (delta.is_snapshot) {
    std::set<std::string> present;
    for (const FleetRecord& record : delta.records) present.insert(record.key);
    std::vector<std::string> missing;
    for (const auto& [key, stored] : records_) {
      if (present.count(key) == 0) missing.push_back(key);
    }
    for (const std::string& key : missing) StoreRecord(key, "", delta.revision);
  }
  for (const FleetRecord& record : delta.records) {
    StoreRecord(record.key, record.value, record.revision);
  }
  for (const std::string& key : delta.deleted_keys)
    StoreRecord(key, "", delta.revision);
  revision_ = std::max(revision_, delta.revision);
  return true;
}

bool FleetView::ApplyRecord(const FleetRecord& record) {
  return StoreRecord(record.key, record.value, record.revision);
}

void FleetView::ApplyDeleted(const std::string& key, Revision revision) {
  StoreRecord(key, "", revision);
}

bool FleetView::StoreRecord(const std::string& key, const std::string& value,
                            Revision revision) {
  StoredRecord& stored = records_[key];
  if (revision <= stored.revision) return false;
  stored = {value, revision};
  ParseRecord(key, stored);
  return true;
}

void FleetView::ParseRecord(const std::string& key,
                            const StoredRecord& stored) {
  if (key == SlotsKey()) {
    slots_.Clear();
    if (!Parse(stored.value, &slots_)) slots_.Clear();
    slots_revision_ = stored.revision;
    return;
  }
  const std::string members = prefix_ + std::string(kMembersPrefix);
  if (key.compare(0, members.size(), members) != 0) return;
  const MemberId id(key.substr(members.size()));
  MemberEntry entry{{}, stored.revision};
  if (stored.value.empty() || !Parse(stored.value, &entry.record)) {
    members_.erase(id);
  } else {
    members_[id] = std::move(entry);
  }
}

FleetDelta FleetView::DeltaSince(Revision after) const {
  FleetDelta delta;
  delta.revision = revision_;
  delta.is_snapshot = after == Revision(0) || records_.size() > kMaxTombstones;
  for (const auto& [key, stored] : records_) {
    if (!delta.is_snapshot && stored.revision <= after) continue;
    if (!stored.value.empty()) {
      delta.records.push_back({key, stored.value, stored.revision});
    } else if (!delta.is_snapshot) {
      delta.deleted_keys.push_back(key);
    }
  }
  return delta;
}

const MemberEntry* FleetView::FindMember(const MemberId& id) const {
  auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

bool FleetView::HasEnded(const MemberId& id, Revision since) const {
  const MemberEntry* entry = FindMember(id);
  if (entry != nullptr) return entry->record.ended();
  return revision_ >= since;
}

std::vector<MemberId> FleetView::ActiveMembers() const {
  std::vector<MemberId> active;
  for (const auto& [id, entry] : members_) {
    if (!entry.record.ended() && !entry.record.leaving()) active.push_back(id);
  }
  return active;
}

bool IsWatcher(const FleetView& view, const MemberId& id, size_t count) {
  const uint64_t own_weight = RendezvousWeight("watch", id.value());
  size_t ranked_higher = 0;
  for (const MemberId& other : view.ActiveMembers()) {
    if (other == id) continue;
    if (RendezvousWeight("watch", other.value()) > own_weight) ++ranked_higher;
  }
  return ranked_higher < count;
}

WitnessSet ChooseWitnesses(const FleetView& view,
                           const wire::MemberRecord& self,
                           const std::function<bool(const MemberId&)>& usable) {
  std::vector<const wire::MemberRecord*> same_region;
  std::vector<const wire::MemberRecord*> all;
  for (const auto& [id, entry] : view.members()) {
    const wire::MemberRecord& record = entry.record;
    if (record.member() == self.member() || record.ended() ||
        record.leaving() || !usable(id)) {
      continue;
    }
    all.push_back(&record);
    if (record.region() == self.region()) same_region.push_back(&record);
  }
  std::vector<const wire::MemberRecord*>& candidates =
      same_region.size() >= kMinWitnesses ? same_region : all;
  if (candidates.size() < kMinWitnesses) return {};
  std::sort(candidates.begin(), candidates.end(),
            [&](const auto* a, const auto* b) {
              return RendezvousWeight(self.member(), a->member()) >
                     RendezvousWeight(self.member(), b->member());
            });
  // The first pass gives no failure domain an end quorum. The second pass fills
  // up the set.
  const size_t size = std::min(candidates.size(), kMaxWitnesses);
  std::map<std::string, size_t> count_by_domain;
  std::set<std::string> chosen;
  WitnessSet witnesses;
  for (const size_t max_per_domain : {EndQuorum(size) - 1, size}) {
    for (const wire::MemberRecord* record : candidates) {
      if (witnesses.size() == size) break;
      if (chosen.count(record->member()) > 0) continue;
      if (count_by_domain[record->failure_domain()] >= max_per_domain) continue;
      ++count_by_domain[record->failure_domain()];
      chosen.insert(record->member());
      witnesses.emplace_back(record->member());
    }
  }
  return witnesses;
}

Duration EndProposalDelay(Duration lease_duration, size_t rank) {
  // The lease itself, the drift of two clocks, and one missed renewal.
  return lease_duration + DriftMargin(lease_duration) + lease_duration / 3 +
         static_cast<int64_t>(rank) * (lease_duration / 6);
}

}  // namespace mimosa
